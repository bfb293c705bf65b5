#include "rosearch/cell/cell_settings.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <string_view>

namespace rosearch::cell {
namespace {

namespace json = boost::json;

/// Reads values of one JSON object and remembers the first that is wrong.
class reader {
 public:
  explicit reader(const json::object& from) : from_{from} {}

  std::string Text(std::string_view key, bool required) {
    const auto* const value = from_.if_contains(key);
    if (value == nullptr || value->is_null()) {
      Require(required, key, "is missing");
      return {};
    }
    if (!value->is_string()) {
      Require(true, key, "is not a text");
      return {};
    }
    return std::string{value->as_string()};
  }

  std::string Address(std::string_view key, bool required) {
    auto text = Text(key, required);
    if (!text.empty() && !IsAddress(text)) {
      Require(true, key, "is not host:port");
    }
    return text;
  }

  double Number(std::string_view key, double otherwise, double least, double most) {
    const auto* const value = from_.if_contains(key);
    if (value == nullptr || value->is_null()) {
      return otherwise;
    }
    if (!value->is_number()) {
      Require(true, key, "is not a number");
      return otherwise;
    }
    const auto number = value->to_number<double>();
    if (!std::isfinite(number) || number < least || number > most) {
      Require(true, key, "is out of range");
      return otherwise;
    }
    return number;
  }

  duration Millis(std::string_view key, duration otherwise) {
    constexpr double kDayMs = 86'400'000;
    const auto ms = std::chrono::duration<double, std::milli>{otherwise}.count();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{Number(key, ms, 0, kDayMs)});
  }

  std::vector<std::string> Texts(std::string_view key) {
    std::vector<std::string> found;
    const auto* const value = from_.if_contains(key);
    if (value == nullptr || value->is_null()) {
      return found;
    }
    if (!value->is_array()) {
      Require(true, key, "is not a list");
      return found;
    }
    for (const auto& each : value->as_array()) {
      if (each.is_string()) {
        found.emplace_back(each.as_string());
      }
    }
    return found;
  }

  std::vector<std::string> Addresses(std::string_view key) {
    auto found = Texts(key);
    std::erase_if(found, [](const auto& text) { return !IsAddress(text); });
    return found;
  }

  [[nodiscard]] const std::string& fault() const { return fault_; }

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
  void Require(bool broken, std::string_view key, std::string_view what) {
    if (broken && fault_.empty()) {
      fault_ = std::string{key} + ' ' + std::string{what};
    }
  }

  const json::object& from_;
  std::string fault_;
};

}  // namespace

result<cell_settings> ParseCellSettings(const std::string& text) {
  boost::system::error_code failed;
  const auto parsed = json::parse(text, failed);
  if (failed || !parsed.is_object()) {
    return error{error_kind::kInvalidRequest, "settings are not a JSON object"};
  }
  reader in{parsed.as_object()};
  cell_settings made;
  made.name = in.Text("name", true);
  made.callers_address = in.Address("callers_address", true);
  made.ready_address = in.Address("ready_address", true);
  made.metrics_address = in.Address("metrics_address", false);
  made.peer_address = in.Address("peer_address", true);
  // Only the hosts of seeds count: the port for messages is the same everywhere.
  const auto port =
      made.peer_address.substr(std::min(made.peer_address.size(), made.peer_address.rfind(':')));
  for (const auto& seed : in.Addresses("seeds")) {
    made.seeds.push_back(seed.substr(0, seed.rfind(':')) + port);
  }
  made.store_address = in.Address("store_address", true);
  made.advice_address = in.Address("advice_address", false);
  made.processor_milli =
      static_cast<std::uint32_t>(in.Number("processors", 1.0, 0.001, 1024) * 1000);
  made.file_descriptors =
      static_cast<std::uint32_t>(in.Number("file_descriptors", 1024, 64, 1'000'000));
  made.grace = std::chrono::milliseconds{
      static_cast<std::int64_t>(in.Number("grace_s", 6, 0.5, 3'600) * 1000)};
  auto& scheduler = made.leading.scheduler;
  scheduler.max_lease =
      std::min(sched::kLongestLease, in.Millis("max_lease_ms", scheduler.max_lease));
  scheduler.stop_timeout = in.Millis("stop_timeout_ms", scheduler.stop_timeout);
  for (const auto& name : in.Texts("without")) {
    const auto which = sched::MechanismNamed(name);
    if (!which) {
      return error{error_kind::kInvalidRequest, "without names no mechanism: " + name};
    }
    scheduler.off.Add(*which);
  }
  if (!scheduler.Uses(sched::mechanism::kBatchesBeside)) {
    made.leading.batches = 1;
  }
  if (!scheduler.Uses(sched::mechanism::kEarlyElection)) {
    made.electing.broken_after = made.electing.suspect_after;
  }
  scheduler.restore = in.Millis("restore_ms", scheduler.restore);
  if (!in.fault().empty()) {
    return error{error_kind::kInvalidRequest, in.fault()};
  }
  return made;
}

}  // namespace rosearch::cell
