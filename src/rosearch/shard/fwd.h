#ifndef ROSEARCH_SHARD_FWD_H_
#define ROSEARCH_SHARD_FWD_H_

namespace rosearch {

class cell_view;
class job_table;
class request_table;
class shard;
class shard_journal;
class shard_state;
class shard_replica;
struct shard_output;
struct shard_settings;
struct task_key;

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_FWD_H_
