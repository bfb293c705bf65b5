#ifndef ROSEARCH_ADMISSION_FWD_H_
#define ROSEARCH_ADMISSION_FWD_H_

namespace rosearch::admission {

class id_filter;
class shed_lease;
class shed_policy;
class shed_table;
struct shed_grant;
struct shed_queue;
struct shed_record;
struct shed_window;

}  // namespace rosearch::admission

#endif  // ROSEARCH_ADMISSION_FWD_H_
