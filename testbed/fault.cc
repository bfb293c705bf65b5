#include "testbed/fault.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace rosearch::testbed {
namespace {

namespace json = boost::json;

bool Read(const json::value& value, bool& field) {
  const auto* const flag = value.if_bool();
  field = flag != nullptr && *flag;
  return flag != nullptr;
}

bool Read(const json::value& value, std::uint64_t& field) {
  json::error_code failed;
  field = value.to_number<std::uint64_t>(failed);
  return !failed;
}

bool Read(const json::value& value, std::chrono::milliseconds& field) {
  std::uint64_t count = 0;
  const bool is_number = Read(value, count);
  field = std::chrono::milliseconds{count};
  return is_number;
}

bool ReadField(const std::string& name, const json::value& value, fault_settings& fault) {
  if (name == "down") return Read(value, fault.down);
  if (name == "slow_ms") return Read(value, fault.slow_ms);
  if (name == "lose_answers") return Read(value, fault.lose_answers);
  if (name == "cut_answers") return Read(value, fault.cut_answers);
  if (name == "garbage_answers") return Read(value, fault.garbage_answers);
  if (name == "chunked") return Read(value, fault.chunked);
  if (name == "retention") return Read(value, fault.retention);
  if (name == "retention_ms") return Read(value, fault.retention_ms);
  if (name == "lag_ms") return Read(value, fault.lag_ms);
  if (name == "fail_all") return Read(value, fault.fail_all);
  if (name == "refuse") return Read(value, fault.refuse);
  if (name == "late_ms") return Read(value, fault.late_ms);
  return false;
}

}  // namespace

std::optional<fault_settings> ParseFault(const std::string& text) {
  json::error_code failed;
  const auto parsed = json::parse(text, failed);
  if (failed || !parsed.is_object()) {
    return std::nullopt;
  }
  fault_settings fault;
  for (const auto& [name, value] : parsed.get_object()) {
    if (!ReadField(std::string{name.data(), name.size()}, value, fault)) {
      return std::nullopt;
    }
  }
  return fault;
}

}  // namespace rosearch::testbed
