#ifndef ROSEARCH_TESTBED_FAULT_H_
#define ROSEARCH_TESTBED_FAULT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosearch::testbed {

/// How a stand-in misbehaves. `POST /fault` replaces all of it: what the JSON does not name is off.
struct fault_settings {
  bool down{false};                      ///< drops every connection before anything takes effect
  std::chrono::milliseconds slow_ms{0};  ///< takes effect at once and answers later
  std::uint64_t lose_answers{0};         ///< so many take effect and get no answer
  std::uint64_t cut_answers{0};          ///< so many are answered in part
  std::uint64_t garbage_answers{0};      ///< so many are answered by broken JSON
  bool chunked{false};                   ///< answers in chunks
  std::uint64_t retention{0};            ///< log: records kept; 0 is all
  std::chrono::milliseconds retention_ms{0};  ///< log: how long records are kept; 0 is for ever
  std::chrono::milliseconds lag_ms{0};        ///< VM list: shows the state of so long ago
  bool fail_all{false};                       ///< worker, executor: all that is started fails
  bool refuse{false};                         ///< executor: runs nothing and says so
  std::chrono::milliseconds late_ms{0};       ///< executor: every second answer comes so much later

  friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

/// @param text  a JSON object with the fields of `fault_settings`.
/// @return the settings, or none where the text is malformed or names an unknown fault.
[[nodiscard]] std::optional<fault_settings> ParseFault(const std::string& text);

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_FAULT_H_
