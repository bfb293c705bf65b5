#include "rosearch/cell/cell_settings.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <string_view>

#include "rosearch/net/memory_limit.h"

namespace rosearch::cell {
namespace {

namespace json = boost::json;

/// Values of `run_times`: whether the scheduler takes declared run times as they are, or predicts
/// run times from them and from ended runs.
constexpr std::string_view kDeclaredRunTimes = "declared";
constexpr std::string_view kCalibratedRunTimes = "calibrated";

/// Reads values of one JSON object and records the first error.
class settings_reader {
 public:
  explicit settings_reader(const json::object& from) : from_{from} {}

  std::string Text(std::string_view key, bool required) {
    const auto* const value = from_.if_contains(key);
    if (value == nullptr || value->is_null()) {
      RecordErrorIf(required, key, "is missing");
      return {};
    }
    if (!value->is_string()) {
      RecordErrorIf(true, key, "is not a string");
      return {};
    }
    return std::string{value->as_string()};
  }

  std::string Address(std::string_view key, bool required) {
    auto text = Text(key, required);
    if (!text.empty() && !IsAddress(text)) {
      RecordErrorIf(true, key, "is not host:port");
    }
    return text;
  }

  double Number(std::string_view key, double default_value, double min, double max) {
    const auto* const value = from_.if_contains(key);
    if (value == nullptr || value->is_null()) {
      return default_value;
    }
    if (!value->is_number()) {
      RecordErrorIf(true, key, "is not a number");
      return default_value;
    }
    const auto number = value->to_number<double>();
    if (!std::isfinite(number) || number < min || number > max) {
      RecordErrorIf(true, key, "is out of range");
      return default_value;
    }
    return number;
  }

  duration Milliseconds(std::string_view key, duration default_value) {
    constexpr double kDayMs = 86'400'000;
    const auto ms = std::chrono::duration<double, std::milli>{default_value}.count();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{Number(key, ms, 0, kDayMs)});
  }

  std::vector<std::string> Texts(std::string_view key) {
    std::vector<std::string> values;
    const auto* const value = from_.if_contains(key);
    if (value == nullptr || value->is_null()) {
      return values;
    }
    if (!value->is_array()) {
      RecordErrorIf(true, key, "is not a list");
      return values;
    }
    for (const auto& each : value->as_array()) {
      if (each.is_string()) {
        values.emplace_back(each.as_string());
      }
    }
    return values;
  }

  std::vector<std::string> Addresses(std::string_view key) {
    auto values = Texts(key);
    std::erase_if(values, [](const auto& text) { return !IsAddress(text); });
    return values;
  }

  [[nodiscard]] const std::string& first_error() const { return first_error_; }

 private:
  static bool IsAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
      return false;
    }
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return parsed.ec == std::errc{} && parsed.ptr == end;
  }
  void RecordErrorIf(bool failed, std::string_view key, std::string_view what) {
    if (failed && first_error_.empty()) {
      first_error_ = std::string{key} + ' ' + std::string{what};
    }
  }

  const json::object& from_;
  std::string first_error_;
};

/// What a process holds beside its clients and its jobs.
constexpr std::uint32_t kOwnMemoryMb = 24;
/// A leader's successor may have less memory, and restores all jobs.
constexpr std::uint32_t kMostJobMemoryMb = 64;

std::uint32_t DefaultJobMemoryMb(std::uint32_t memory_mb) {
  const auto rest = memory_mb - std::min(memory_mb, kOwnMemoryMb);
  return std::clamp(rest / 2, 4U, kMostJobMemoryMb);
}

void ReadMemory(settings_reader& in, cell_settings& settings) {
  constexpr double kLeastMb = 32;
  constexpr double kMostMb = 1'000'000;
  settings.memory_mb =
      static_cast<std::uint32_t>(in.Number("memory_mb", MachineMemoryMb(), kLeastMb, kMostMb));
  settings.client_memory_mb = ClientMemoryMb(
      settings.memory_mb, static_cast<std::uint32_t>(in.Number("client_memory_mb", 0, 0, kMostMb)));
  const auto job_memory_mb = static_cast<std::uint32_t>(in.Number("job_memory_mb", 0, 0, kMostMb));
  settings.leading.scheduler.max_job_bytes =
      kBytesPerMb * (job_memory_mb > 0 ? job_memory_mb : DefaultJobMemoryMb(settings.memory_mb));
}

}  // namespace

result<cell_settings> ParseCellSettings(const std::string& text) {
  boost::system::error_code failed;
  const auto parsed = json::parse(text, failed);
  if (failed || !parsed.is_object()) {
    return error{error_kind::kInvalidRequest, "settings are not a JSON object"};
  }
  settings_reader in{parsed.as_object()};
  cell_settings settings;
  settings.name = in.Text("name", true);
  settings.callers_address = in.Address("callers_address", true);
  settings.ready_address = in.Address("ready_address", true);
  settings.metrics_address = in.Address("metrics_address", false);
  settings.peer_address = in.Address("peer_address", true);
  // Only the host of each seed is used: the peer port is the same for all processes.
  const auto port = settings.peer_address.substr(
      std::min(settings.peer_address.size(), settings.peer_address.rfind(':')));
  for (const auto& seed : in.Addresses("seeds")) {
    settings.seeds.push_back(seed.substr(0, seed.rfind(':')) + port);
  }
  settings.store_address = in.Address("store_address", true);
  settings.advice_address = in.Address("advice_address", false);
  settings.processor_milli =
      static_cast<std::uint32_t>(in.Number("processors", 1.0, 0.001, 1024) * 1000);
  settings.link_mbps = static_cast<std::uint32_t>(in.Number("link_mbps", 0, 0, 1'000'000));
  settings.file_descriptors =
      static_cast<std::uint32_t>(in.Number("file_descriptors", 1024, 64, 1'000'000));
  ReadMemory(in, settings);
  settings.grace = std::chrono::milliseconds{
      static_cast<std::int64_t>(in.Number("grace_s", 6, 0.5, 3'600) * 1000)};
  auto& scheduler = settings.leading.scheduler;
  scheduler.max_lease =
      std::min(sched::kMaxWorkerLease, in.Milliseconds("max_lease_ms", scheduler.max_lease));
  scheduler.stop_timeout = in.Milliseconds("stop_timeout_ms", scheduler.stop_timeout);
  const auto run_times = in.Text("run_times", false);
  if (!run_times.empty() && run_times != kDeclaredRunTimes && run_times != kCalibratedRunTimes) {
    return error{error_kind::kInvalidRequest, "run_times is neither declared nor calibrated"};
  }
  if (run_times != kCalibratedRunTimes) {
    scheduler.off.Add(sched::mechanism::kEstimates);
  }
  for (const auto& name : in.Texts("without")) {
    const auto which = sched::FindMechanism(name);
    if (!which) {
      return error{error_kind::kInvalidRequest, "without holds an unknown mechanism: " + name};
    }
    scheduler.off.Add(*which);
  }
  if (!scheduler.Uses(sched::mechanism::kConcurrentBatches)) {
    settings.leading.max_batches_in_flight = 1;
  }
  if (!scheduler.Uses(sched::mechanism::kEarlyElection)) {
    settings.electing.connection_loss_timeout = settings.electing.suspect_timeout;
  }
  scheduler.restore = in.Milliseconds("restore_ms", scheduler.restore);
  if (!in.first_error().empty()) {
    return error{error_kind::kInvalidRequest, in.first_error()};
  }
  return settings;
}

}  // namespace rosearch::cell
