#ifndef ROSEARCH_DISPATCH_RETRY_BUDGET_H_
#define ROSEARCH_DISPATCH_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace rosearch::internal {

/// Keeps retries to a share of first tries. Without it, executors that are slow get every request
/// several times over, which keeps them slow after the cause has gone.
class retry_budget {
 public:
  /// @param percent  retries for every hundred first tries.
  /// @param reserve  retries at the start, and the most that is saved up beyond 100.
  retry_budget(std::uint32_t percent, std::uint32_t reserve) noexcept
      : percent_{percent},
        hundredths_{std::uint64_t{reserve} * kRetry},
        most_{hundredths_ + kSaved} {}

  void OnFirstTry() noexcept { hundredths_ = std::min(most_, hundredths_ + percent_); }

  /// @return whether one more retry is allowed; if so, it is taken from the budget.
  [[nodiscard]] bool TryTake() noexcept {
    if (hundredths_ < kRetry) {
      return false;
    }
    hundredths_ -= kRetry;
    return true;
  }

 private:
  static constexpr std::uint64_t kRetry = 100;
  static constexpr std::uint64_t kSaved = 100 * kRetry;

  std::uint64_t percent_;
  std::uint64_t hundredths_;
  std::uint64_t most_;
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_DISPATCH_RETRY_BUDGET_H_
