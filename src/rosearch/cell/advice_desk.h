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
///
/// Each question is due at a moment that its priority puts off, and the one that is due first goes
/// first. By priority alone, steps that ask again each time their tickets expire kept the questions
/// of the least priority back for ever: 130 of them, for 30 s and more, on a replayed day.
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

  /// Queues a question. One of the same step that still waits here is replaced by it, and the new
  /// one takes its place in the order.
  void Add(sched::advice_query query, time_point now);

  /// @return the next question that a free process can ask; nothing where there is none.
  [[nodiscard]] std::optional<assignment> Next(time_point now);

  /// A process has its answer, or gave up.
  void Done(const std::string& helper);

  [[nodiscard]] std::size_t Waiting() const { return urgent_.size() + long_.size(); }

  /// A question that costs more than this is a long one; between the two kinds of the load above.
  static constexpr duration kLong = std::chrono::milliseconds{120};

  /// Each step of priority puts a question off by this: about as long as a long one takes, so that
  /// one that is under way already keeps a more urgent one no longer than that.
  static constexpr duration kPutOff = std::chrono::milliseconds{600};

  /// A process whose answer hasn't come so long after the service must have given it is taken for
  /// free again: an answer that is lost on its way keeps nobody out for ever. Beyond the 0.84 s
  /// that the exchange itself is given.
  static constexpr duration kAnswerGrace = std::chrono::milliseconds{1'200};

 private:
  struct helper {
    std::string address;
    time_point busy_until{};
  };
  struct waiting {
    sched::advice_query query;
    time_point due{};
  };
  using queue = std::deque<waiting>;
  [[nodiscard]] helper* FreeHelper(bool long_question, time_point now);

  std::vector<helper> helpers_;
  queue urgent_;
  queue long_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_ADVICE_DESK_H_
