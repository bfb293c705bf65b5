#ifndef ROSEARCH_API_SERVICE_H_
#define ROSEARCH_API_SERVICE_H_

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/config/config_chain.h"
#include "rosearch/config/configuration.h"
#include "rosearch/core/result.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/http_server.h"
#include "rosearch/node/call_table.h"
#include "rosearch/placement/explain.h"
#include "rosearch/placement/never_fits.h"
#include "rosearch/placement/placement_request.h"
#include "rosearch/shard/shard.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// What the administration API needs of the entry that it runs in: a set of functions, so that
/// tests answer them without a node.
struct entry_access {
  std::function<step_time()> now;
  std::function<bool()> ready;      ///< whether a balancer should send calls
  std::function<bool()> accepting;  ///< whether calls that come are taken
  std::function<void(wire::call, time_point deadline, call_done)> call;
  std::function<void(wire::configuration_record, time_point deadline,
                     std::function<void(result<config_version>)>)>
      publish;
  std::function<result<void>(const vm_id&, bool leaving)> drain;
  std::function<std::shared_ptr<const config::configuration>()> configuration;
  std::function<wire::configuration_record()> configuration_record;
  std::function<std::vector<config::change_verdict>()> history;
  std::function<config_version()> lowest_version;
  std::function<shard_number(const std::string& customer, const std::string& name)> home_of;
  std::function<std::vector<wire::vm_record>()> vms;
  std::function<std::map<std::string, wire::drain_order>()> drains;
  std::function<bool(const resources&)> fits_somewhere;
  std::function<std::optional<closest_vm>(const resources&)> closest_worker;  ///< may be empty
  std::function<boost::json::value()> dump;
  std::function<std::vector<vm_explanation>(const placement_request&)> explain;
  std::function<std::map<std::string, double>()> gauges;  ///< by name of the metric
};

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
  [[nodiscard]] http_response Configuration() const;
  [[nodiscard]] http_response History() const;
  [[nodiscard]] http_response CheckConfiguration(const http_call& call) const;
  [[nodiscard]] http_response Quotas() const;
  [[nodiscard]] http_response Vms() const;
  [[nodiscard]] http_response Drain(const std::string& vm, bool leaving) const;
  [[nodiscard]] http_response Explain(const http_call& call) const;
  [[nodiscard]] bool HandleSimple(const http_call& call, const http_respond& respond);

  const entry_access& access_;
  metric_set& metrics_;
  std::mutex mutex_;
  std::vector<waiting_publish> waiting_;
  std::vector<std::function<void()>> later_;  ///< for the next tick
};

}  // namespace rosearch

#endif  // ROSEARCH_API_SERVICE_H_
