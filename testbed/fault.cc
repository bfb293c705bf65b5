#include "testbed/fault.h"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <string_view>

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

template <auto Member>
bool ReadMember(const json::value& value, fault_settings& fault) {
  return Read(value, fault.*Member);
}

struct fault_field {
  std::string_view name;
  bool (*read)(const json::value& value, fault_settings& fault);
};

constexpr std::array kFields{
    fault_field{"down", ReadMember<&fault_settings::down>},
    fault_field{"slow_ms", ReadMember<&fault_settings::slow_ms>},
    fault_field{"lose_answers", ReadMember<&fault_settings::lose_answers>},
    fault_field{"cut_answers", ReadMember<&fault_settings::cut_answers>},
    fault_field{"garbage_answers", ReadMember<&fault_settings::garbage_answers>},
    fault_field{"chunked", ReadMember<&fault_settings::chunked>},
    fault_field{"interim", ReadMember<&fault_settings::interim>},
    fault_field{"retention", ReadMember<&fault_settings::retention>},
    fault_field{"retention_ms", ReadMember<&fault_settings::retention_ms>},
    fault_field{"lag_ms", ReadMember<&fault_settings::lag_ms>},
    fault_field{"fail_all", ReadMember<&fault_settings::fail_all>},
    fault_field{"usage_percent", ReadMember<&fault_settings::usage_percent>},
    fault_field{"refuse", ReadMember<&fault_settings::refuse>},
    fault_field{"late_ms", ReadMember<&fault_settings::late_ms>},
};

}  // namespace

std::optional<fault_settings> ParseFault(const std::string& text) {
  json::error_code failed;
  const auto parsed = json::parse(text, failed);
  if (failed || !parsed.is_object()) {
    return std::nullopt;
  }
  fault_settings fault;
  for (const auto& [name, value] : parsed.get_object()) {
    const std::string_view wanted{name.data(), name.size()};
    const auto* const field = std::ranges::find(kFields, wanted, &fault_field::name);
    if (field == kFields.end() || !field->read(value, fault)) {
      return std::nullopt;
    }
  }
  return fault;
}

}  // namespace rosearch::testbed
