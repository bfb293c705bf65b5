#ifndef ROSEARCH_API_ENTRY_ACCESS_H_
#define ROSEARCH_API_ENTRY_ACCESS_H_

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/config/config_chain.h"
#include "rosearch/config/configuration.h"
#include "rosearch/core/result.h"
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

}  // namespace rosearch

#endif  // ROSEARCH_API_ENTRY_ACCESS_H_
