#ifndef ROSEARCH_NODE_CALL_TABLE_H_
#define ROSEARCH_NODE_CALL_TABLE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// Takes the final answer of a call; called once.
using call_done = std::function<void(wire::call_answer)>;

/// The calls of one entry's own callers, each on its way to the owner of a shard.
///
/// A call may be sent again until it is answered, where its effect is that of one. It is given up
/// at its deadline, and the caller learns at once whether it may have taken effect.
class call_table {
 public:
  /// @param first_number  numbers go up from here.
  explicit call_table(std::uint64_t first_number) : next_{first_number} {}

  /// Takes a call in; it is due at once.
  /// @return its number.
  std::uint64_t Add(wire::call call, time_point deadline, time_point now, call_done done);

  /// @return the calls to be sent now. Each is due again later, until it is answered.
  [[nodiscard]] std::vector<std::uint64_t> TakeDue(time_point now);

  /// @return the call with the time that is left, or none where it was answered.
  [[nodiscard]] std::optional<wire::call> Prepare(std::uint64_t number, time_point now) const;

  /// The call was handed to a shard's owner.
  void OnSent(std::uint64_t number, shard_number shard, const party& owner);

  /// @return whom the call was sent to last and has no answer from, or none.
  [[nodiscard]] std::optional<party> Awaited(std::uint64_t number) const;

  /// Ends a call that may have taken effect with an owner that is gone.
  void Abandon(std::uint64_t number);

  /// The call could not be handed to anybody now.
  void TryAgain(std::uint64_t number, time_point now);

  /// An answer arrived. An owner that doesn't serve the shard is asked again, or another is.
  void OnAnswer(const wire::call_answer& answer, time_point now);

  /// Answers every call whose deadline has passed.
  void Expire(time_point now);

  [[nodiscard]] std::size_t size() const noexcept { return open_.size(); }

 private:
  struct open_call {
    wire::call call;
    call_done done;
    time_point deadline;
    time_point due;
    std::uint32_t unanswered{0};  ///< times sent that no "not run" has come back for
    party sent_to{};
  };

  void SetDue(std::uint64_t number, open_call& item, time_point due);
  void Finish(std::uint64_t number, wire::call_answer answer);

  std::uint64_t next_;
  std::map<std::uint64_t, open_call> open_;
  std::set<std::pair<time_point, std::uint64_t>> due_;
  std::set<std::pair<time_point, std::uint64_t>> deadlines_;
};

}  // namespace rosearch

#endif  // ROSEARCH_NODE_CALL_TABLE_H_
