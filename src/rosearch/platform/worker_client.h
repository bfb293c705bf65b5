#ifndef ROSEARCH_PLATFORM_WORKER_CLIENT_H_
#define ROSEARCH_PLATFORM_WORKER_CLIENT_H_

#include <string>

#include "rosearch/platform/http_client.h"
#include "rosearch/platform/ports.h"

namespace rosearch {

/// Workers over HTTP.
class worker_client {
 public:
  /// @param http  must outlive this object.
  explicit worker_client(http_client& http);

  /// Sends commands to a worker and receives its report. Never sent a second time: a worker starts
  /// whatever it is told to, so a repeated start would run the task in two places.
  /// @param address      host:port of the worker.
  /// @param valid_until  the sender's right to command this worker; nothing is written past it.
  /// @param answer_by    the whole report must be here by then.
  /// @param done         receives the report, or an error whose effect in the table of core/error.h
  ///                     says whether the commands may have been taken.
  void Exchange(const std::string& address, const wire::worker_command& command,
                time_point valid_until, time_point answer_by, worker_callback done);

  /// @return what its requests have cost so far.
  [[nodiscard]] const http_traffic& traffic() const noexcept { return traffic_; }

 private:
  http_client& http_;
  http_traffic traffic_;
};

static_assert(worker_port<worker_client>);

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_WORKER_CLIENT_H_
