#ifndef ROSEARCH_NODE_FWD_H_
#define ROSEARCH_NODE_FWD_H_

namespace rosearch {

class call_table;
class control_state;
class member_table;
struct member;
struct node_settings;

}  // namespace rosearch

#endif  // ROSEARCH_NODE_FWD_H_
