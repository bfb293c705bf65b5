#ifndef ROSEARCH_DISPATCH_FWD_H_
#define ROSEARCH_DISPATCH_FWD_H_

namespace rosearch {

class executor_pool;
enum class cancel_effect;
struct dispatch_failure;
struct dispatch_output;
struct dispatch_send;
struct dispatch_settings;
struct executor_facts;
struct queued_request;

}  // namespace rosearch

#endif  // ROSEARCH_DISPATCH_FWD_H_
