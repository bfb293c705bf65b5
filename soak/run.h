#ifndef SOAK_RUN_H_
#define SOAK_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosearch::soak {

/// Which faults a run meets.
enum class fault_mode {
  kNone,
  kSingle,  ///< one at a time, each long over before the next
  kMany,    ///< several at once and twice
};

/// All that decides a run, to the byte.
struct run_options {
  std::uint64_t seed{1};
  std::uint64_t steps{3000};  ///< of 20 ms of true time, before the faults end
  fault_mode faults{fault_mode::kNone};
  bool trace{false};  ///< print each line of the trace

  friend bool operator==(const run_options&, const run_options&) = default;
};

/// What became of a run.
struct run_result {
  std::string breach;  ///< the promise that was broken and how to see it again; empty: none
  std::uint64_t trace_hash{0};
  std::string counts;  ///< what the run did, key=value

  friend bool operator==(const run_result&, const run_result&) = default;
};

/// @return the mode's word on the command line.
[[nodiscard]] std::string_view FaultModeName(fault_mode mode) noexcept;
[[nodiscard]] std::optional<fault_mode> FaultModeFromName(std::string_view name) noexcept;

/// @return the command that does the same run again.
[[nodiscard]] std::string ReplayLine(const run_options& options);

/// Runs a cell of whole entries among fakes, and checks what must always hold.
[[nodiscard]] run_result Run(const run_options& options);

}  // namespace rosearch::soak

#endif  // SOAK_RUN_H_
