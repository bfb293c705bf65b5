#ifndef ROSEARCH_LOG_FWD_H_
#define ROSEARCH_LOG_FWD_H_

namespace rosearch {

enum class event_weight;
class bounded_log;
class event_line;
class event_sink;

}  // namespace rosearch

#endif  // ROSEARCH_LOG_FWD_H_
