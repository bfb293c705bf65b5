#ifndef ROSEARCH_CELL_PORTS_H_
#define ROSEARCH_CELL_PORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/cell/store_types.h"
#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/sched/order.h"
#include "rosearch/sched/scheduler.h"
#include "rosearch/sched/worker_facts.h"

namespace rosearch::cell {

/// The streams of the store that a cell reads or writes.
enum class stream : std::uint8_t {
  kClaims,         ///< written by the cell: claims of leadership; the newest one is valid
  kState,          ///< written by the cell: jobs, and the workers that hold its leases
  kConfiguration,  ///< written by the operator
  kWorkers,        ///< registry of the workers
};

/// The result of watching a worker.
struct watch_answer {
  std::optional<sched::worker_report> report;
  sched::watch_failure failure{sched::watch_failure::kNoAnswer};  ///< valid only without a report
};

/// An HTTP request received from a caller.
struct caller_request {
  std::string method;
  std::string host;  ///< in lower case, without a port
  std::string path;
  std::string body;
  std::optional<sched::key_digest> key{};  ///< of the key that the caller showed
  /// Forwarded by a peer that is too old to forward keys: the caller may have shown one.
  bool key_unknown{false};
};

struct caller_answer {
  unsigned status{500};
  std::string body{};
  std::uint32_t retry_after_s{0};  ///< 0: no `Retry-After` header
  /// This process doesn't lead and didn't process the request, except possibly for `kMayBeStored`.
  bool not_leading{false};
};

/// Status of a `not_leading` answer to a job whose append to the store was in flight when this
/// process stopped leading. The next leader may find the record there, so the job must not be
/// reported as refused.
inline constexpr unsigned kMayBeStored = 504;

using start_callback = std::function<void(sched::start_outcome)>;
/// Receives whether the worker acknowledged the stop, and whether it rejected it because its fence
/// is older than that of a newer leader.
using stop_callback = std::function<void(bool acknowledged, bool stale_fence)>;
using watch_callback = std::function<void(watch_answer)>;
/// How an advice query is sent.
struct advice_route {
  std::string helper;            ///< peer that sends it; empty: this process does
  bool fresh_connection{false};  ///< a kept connection may have gone silent

  friend bool operator==(const advice_route&, const advice_route&) = default;
};
using advice_callback = std::function<void(const std::vector<sched::advised_worker>*)>;

/// Access of a cell's processes to the store, the workers and the formats of stored records, in the
/// types of the scheduler. Each callback runs exactly once, on the thread of the io_context, and
/// never inside the call.
template <typename Ports>
concept cell_ports = requires(Ports ports, stream which, const std::vector<std::string>& records,
                              const std::optional<writer_proof>& proof,
                              const std::optional<std::uint64_t>& at, std::uint64_t from,
                              const std::string& text, duration wait,
                              const sched::start_order& start, const sched::stop_order& stop,
                              const sched::pace_order& pace, const sched::watch_request& watch,
                              const advice_route& route, const sched::advice_query& query,
                              std::uint64_t fence) {
  ports.Append(which, records, proof, at, append_callback{});
  ports.Read(which, from, wait, log_callback{});
  ports.ReadNewest(which, text, newest_callback{});
  ports.Start(start, fence, start_callback{});
  ports.Stop(stop, fence, stop_callback{});
  ports.Pace(pace, fence);
  ports.Watch(watch, fence, watch_callback{});
  ports.Advise(route, query, advice_callback{});
  { Ports::DecodeConfiguration(text) } -> std::same_as<result<sched::cell_configuration>>;
  { Ports::ConfigurationKey() } -> std::convertible_to<std::string_view>;
  { Ports::DecodeWorker(text, text) } -> std::same_as<result<sched::worker_facts>>;
  { Ports::DecodeJob(text) } -> std::same_as<result<sched::job_spec>>;
  { Ports::EncodePhase(sched::job_phase{}) } -> std::same_as<std::string>;
  { Ports::EncodeWaiting(std::size_t{}) } -> std::same_as<std::string>;
  { Ports::IsJobId(std::string_view{}) } -> std::same_as<bool>;
  {
    Ports::CallerTimeout(std::map<std::string, std::string>{})
    } -> std::same_as<std::optional<duration>>;
  {
    Ports::CallerKey(std::map<std::string, std::string>{})
    } -> std::same_as<std::optional<std::string>>;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_PORTS_H_
