#ifndef ROSEARCH_API_SERVICE_H_
#define ROSEARCH_API_SERVICE_H_

#include <boost/json/array.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "rosearch/api/entry_access.h"
#include "rosearch/api/operator_views.h"
#include "rosearch/core/result.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/http_server.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// The HTTP interface of an entry towards callers and operators; docs/API.md lists its paths. Safe
/// to call from several threads.
class api_service {
 public:
  /// @param access, metrics  outlive the service.
  api_service(const entry_access& access, metric_set& metrics);

  /// Answers one HTTP call; `respond` is called once, from any thread.
  void Handle(const http_call& call, http_respond respond);

  /// Does what waits for time to pass: publishes that wait until they are in force everywhere.
  void Tick(time_point now);

 private:
  struct waiting_publish {
    config_version version;
    time_point deadline;
    http_respond respond;
  };

  void Request(const http_call& call, http_respond respond);
  void Submit(const http_call& call, http_respond respond);
  void Job(const http_call& call, const std::string& customer, const std::string& job,
           http_respond respond);
  void Publish(const http_call& call, http_respond respond);
  void Published(const result<config_version>& version, time_point wait_until,
                 const http_respond& respond);
  void ExplainJob(const std::string& customer, const std::string& job, http_respond respond);
  /// @return for each VM of the shards served here, whether it could take a task now.
  [[nodiscard]] boost::json::array VmsFor(const wire::job_spec& spec, std::uint32_t priority) const;
  [[nodiscard]] http_response Metrics() const;
  [[nodiscard]] http_response Explain(const http_call& call) const;
  [[nodiscard]] bool HandleSimple(const http_call& call, const http_respond& respond);

  const entry_access& access_;
  metric_set& metrics_;
  operator_views views_;
  std::mutex mutex_;
  std::vector<waiting_publish> waiting_;
  std::vector<std::function<void()>> later_;  ///< for the next tick
};

}  // namespace rosearch

#endif  // ROSEARCH_API_SERVICE_H_
