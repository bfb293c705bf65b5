#ifndef ROSEARCH_TESTBED_WORKER_STAND_IN_H_
#define ROSEARCH_TESTBED_WORKER_STAND_IN_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/platform.pb.h"
#include "testbed/fault.h"
#include "testbed/http_server.h"

namespace rosearch::testbed {

/// A worker without a guard: it starts whatever it is told to, and counts what it should not have
/// been told.
///   POST /v1/exchange, GET /stats, GET /starts: {"starts": [{"task", "attempt", "at_us"}]}, where
///   at_us is this machine's monotonic clock, so that the journals of several workers can be
///   compared
class worker_stand_in {
 public:
  worker_stand_in(boost::asio::io_context& io, const fault_settings& fault, const resources& holds);

  void Handle(const server_request& request, const respond_function& respond);

  /// A task whose payload is this word runs and then fails.
  static constexpr std::string_view kFailPayload = "fail";

  /// @return {"starts", "doubled", "overcommitted_starts", "overcommitted_peak": resources,
  ///         "used_peak": resources, "running"}; doubled counts starts of a task that was running.
  [[nodiscard]] std::string Stats();

 private:
  struct task_key {
    std::string task;
    std::uint32_t attempt;
    friend bool operator==(const task_key&, const task_key&) = default;
    friend bool operator<(const task_key& a, const task_key& b) {
      return std::tie(a.task, a.attempt) < std::tie(b.task, b.attempt);
    }
  };
  struct held_task {
    wire::task_start start;
    wire::task_phase phase{wire::TASK_RUNNING};
    time_point started{};
    time_point ends_at{kNever};
    time_point lease_until{};
    std::uint64_t changed{0};
    std::uint32_t started_times{0};
  };
  struct start_entry {
    task_key key;
    time_point at;
  };

  /// Ends what has ended by `now`: the clock alone would have done it since the last request.
  void Advance(time_point now);
  void Start(const wire::task_start& start, time_point now);
  void End(held_task& task, wire::task_phase phase);
  void EndAll(const google::protobuf::RepeatedPtrField<wire::task_ref>& refs,
              wire::task_phase phase);
  void Throttle(const wire::worker_command& command, time_point now);
  void CountUse();
  [[nodiscard]] resources Used() const;
  [[nodiscard]] std::uint64_t Running() const;
  [[nodiscard]] wire::worker_report Report(std::uint64_t since, time_point now) const;
  [[nodiscard]] std::string Starts() const;

  const fault_settings& fault_;
  const resources holds_;
  const std::uint64_t first_version_;
  std::uint64_t version_;
  std::map<task_key, held_task> tasks_;
  std::vector<start_entry> journal_;
  std::uint64_t doubled_{0};
  std::uint64_t overcommitted_starts_{0};
  resources used_peak_{};
};

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_WORKER_STAND_IN_H_
