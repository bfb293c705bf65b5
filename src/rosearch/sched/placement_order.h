#ifndef ROSEARCH_SCHED_PLACEMENT_ORDER_H_
#define ROSEARCH_SCHED_PLACEMENT_ORDER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/fair_share.h"
#include "rosearch/sched/job_state.h"
#include "rosearch/sched/scheduler_settings.h"

namespace rosearch::sched {

/// Position of a waiting step in the order of placement; smaller ones are served first.
///
/// Answers a cell in which more work waits than fits, some of it from customers that send many
/// times their rate: these would make the jobs of all others late.
struct placement_rank {
  bool interruptible{false};  ///< not a service, whose users are affected at once
  bool hopeless{false};       ///< late by more than twice its objective
  std::uint32_t priority{0};
  bool beyond_rate{false};  ///< submitted beyond the rate to which its customer is entitled
  time_point finish_by{};

  friend auto operator<=>(const placement_rank&, const placement_rank&) = default;
};

/// Yields waiting steps in the order of placement. Steps of equal rank except for their deadlines
/// that are beyond the rate of their customers are yielded by the shares of these customers,
/// smallest first, as they are at the time of each call: each start increases one.
class placement_queue {
 public:
  using ranked_step = std::pair<placement_rank, step_state*>;

  /// @param sorted     steps by rank.
  /// @param by_shares  whether shares count.
  placement_queue(std::vector<ranked_step> sorted, bool by_shares)
      : sorted_{std::move(sorted)}, by_shares_{by_shares} {}

  /// @return the next step; null after the last one.
  [[nodiscard]] step_state* Next();

 private:
  /// Waiting steps of one customer, in the order of placement.
  struct customer_steps {
    const share_account* account{nullptr};
    std::vector<std::size_t> positions;  ///< in `sorted_`
    std::size_t next{0};
  };
  /// A customer whose next step is waiting, by its share when it was added.
  struct candidate {
    double share{0};
    std::size_t position{0};  ///< of its next step; orders equal shares by deadline
    std::size_t group{0};

    friend auto operator<=>(const candidate&, const candidate&) = default;
  };
  void GroupFromHere();
  void AddCandidate(std::size_t group);

  std::vector<ranked_step> sorted_;
  bool by_shares_;
  std::size_t at_{0};
  std::vector<customer_steps> groups_;
  std::priority_queue<candidate, std::vector<candidate>, std::greater<>> candidates_;
  std::optional<std::size_t> served_;  ///< group of the last step, whose share may have changed
};

/// @return the position of a waiting step in the order of placement.
[[nodiscard]] placement_rank RankOf(const step_state& step, const scheduler_settings& settings,
                                    time_point now);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_PLACEMENT_ORDER_H_
