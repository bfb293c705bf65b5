#ifndef ROSEARCH_TESTBED_FAULT_H_
#define ROSEARCH_TESTBED_FAULT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosearch::testbed {

/// How a stand-in misbehaves. `POST /fault` replaces all of it: what the JSON does not name is off.
struct fault_settings {
  /// Drops every connection before anything takes effect.
  bool down{false};
  /// Takes effect at once and answers so much later.
  std::chrono::milliseconds slow_ms{0};
  /// So many requests take effect and get no answer.
  std::uint64_t lose_answers{0};
  /// So many are answered in part.
  std::uint64_t cut_answers{0};
  /// So many are answered by broken JSON.
  std::uint64_t garbage_answers{0};
  /// Answers in chunks.
  bool chunked{false};
  /// Sends an interim answer (status 100) ahead of each.
  bool interim{false};
  /// Log: how many records are kept; 0 is all.
  std::uint64_t retention{0};
  /// Log: how long records are kept; 0 is for ever.
  std::chrono::milliseconds retention_ms{0};
  /// VM list: shows the state of so long ago.
  std::chrono::milliseconds lag_ms{0};
  /// Worker, executor: all that is started fails.
  bool fail_all{false};
  /// Worker: what tasks use, in percent of what they declared.
  std::uint64_t usage_percent{100};
  /// Executor: runs nothing and says so.
  bool refuse{false};
  /// Executor: every second answer comes so much later.
  std::chrono::milliseconds late_ms{0};

  friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

/// @param text  a JSON object with the fields of `fault_settings`.
/// @return the settings, or none where the text is malformed or names an unknown fault.
[[nodiscard]] std::optional<fault_settings> ParseFault(const std::string& text);

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_FAULT_H_
