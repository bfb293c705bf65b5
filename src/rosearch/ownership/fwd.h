#ifndef ROSEARCH_OWNERSHIP_FWD_H_
#define ROSEARCH_OWNERSHIP_FWD_H_

namespace rosearch {

struct party;
struct assignment;
class assignment_chain;
struct rights_settings;
struct rights_output;
struct full_rules;
template <typename Rules = full_rules>
class basic_shard_rights;
using shard_rights = basic_shard_rights<full_rules>;

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_FWD_H_
