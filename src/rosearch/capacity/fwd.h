#ifndef ROSEARCH_CAPACITY_FWD_H_
#define ROSEARCH_CAPACITY_FWD_H_

namespace rosearch {

class ended_memory;
class hold_table;
class vm_pool;
class worker_session;
enum class placement_phase;
enum class stop_cause;
struct attempt_key;
struct ended_attempt;
struct hold;
struct placement_record;
struct pool_output;
struct pool_settings;
struct worker_exchange;

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_FWD_H_
