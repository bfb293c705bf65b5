#ifndef ROSEARCH_PLATFORM_EXECUTOR_CLIENT_H_
#define ROSEARCH_PLATFORM_EXECUTOR_CLIENT_H_

#include "rosearch/platform/http_client.h"
#include "rosearch/platform/ports.h"

namespace rosearch {

/// Executors over HTTP.
class executor_client {
 public:
  /// @param http  must outlive this object.
  explicit executor_client(http_client& http);

  /// Posts a request to an executor.
  /// @param call  what to run, where and until when.
  /// @param done  receives the whole answer of whatever status; `kTargetRefused` on the executor's
  /// own
  ///              word that it did not run the request; or the error of `http_client::Send`.
  void Run(const executor_call& call, executor_callback done);

  /// @return what its requests have cost so far.
  [[nodiscard]] const http_traffic& traffic() const noexcept { return traffic_; }

 private:
  http_client& http_;
  http_traffic traffic_;
};

static_assert(executor_port<executor_client>);

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_EXECUTOR_CLIENT_H_
