#ifndef ROSEARCH_CELL_ADVICE_DESK_H_
#define ROSEARCH_CELL_ADVICE_DESK_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/order.h"

namespace rosearch::cell {

/// Deals questions for advice out to the processes of the cell.
///
/// The service answers one question at a time for each process that asks; one for long work takes
/// half a second, one for urgent work 25 ms. Asked by one process alone, 30 steps a second would
/// queue for more than a second. So every process asks, and a share of them never takes a long
/// question: an urgent step waits behind urgent ones only.
class advice_desk {
 public:
  /// Who asks what.
  struct assignment {
    std::string helper;
    sched::advice_query query;

    friend bool operator==(const assignment&, const assignment&) = default;
  };

  /// Names the processes that may ask; the first is this one.
  void SetHelpers(const std::vector<std::string>& helpers);

  /// Queues a question; urgent ones come first.
  void Add(sched::advice_query query);

  /// @return the next question that a free process can ask; nothing where there is none.
  [[nodiscard]] std::optional<assignment> Next();

  /// A process has its answer, or gave up.
  void Done(const std::string& helper);

  [[nodiscard]] std::size_t Waiting() const { return urgent_.size() + long_.size(); }

  /// A question that costs more than this is a long one; between the two kinds of the load above.
  static constexpr duration kLong = std::chrono::milliseconds{120};

 private:
  struct helper {
    std::string address;
    bool busy{false};
  };
  [[nodiscard]] helper* FreeHelper(bool long_question);

  std::vector<helper> helpers_;
  std::deque<sched::advice_query> urgent_;
  std::deque<sched::advice_query> long_;
};

/// @return how long the service works at a question.
[[nodiscard]] duration CostOf(const sched::advice_query& query);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_ADVICE_DESK_H_
