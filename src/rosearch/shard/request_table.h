#ifndef ROSEARCH_SHARD_REQUEST_TABLE_H_
#define ROSEARCH_SHARD_REQUEST_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rosearch/core/error.h"
#include "rosearch/core/time.h"
#include "rosearch/shard/shard_journal.h"
#include "rosearch/shard/shard_output.h"

namespace rosearch {

/// How long a shard answers for the ids of non-idempotent requests.
struct request_settings {
  /// A repeat of an id is recognised for so long after it was issued.
  std::chrono::milliseconds remember{std::chrono::minutes{30}};
  /// How far a caller's clock may be off.
  std::chrono::milliseconds clock_skew{std::chrono::seconds{5}};
};

/// One request that waits for its executor's answer.
struct open_request {
  wire::request_call call;
  std::vector<call_origin> waiting;
  time_point deadline;
};

/// The requests that one shard answers for: a non-idempotent one is recorded before it may be sent,
/// so that no owner of the shard sends it a second time.
class request_table {
 public:
  /// @param journal  outlives the table.
  request_table(request_settings settings, shard_journal& journal)
      : settings_{settings}, journal_{journal} {}

  /// Begins a term. An id that was issued before the fence of the state's recovery and is unknown
  /// may have run, and is answered so.
  void Start();

  /// @return the fence to be recorded by an owner that may miss records of the terms before.
  [[nodiscard]] std::uint64_t FenceAt(std::uint64_t unix_ms) const {
    return unix_ms + static_cast<std::uint64_t>(settings_.clock_skew.count());
  }

  /// Ends a term: answers everyone who waits, truthfully for what was sent and what was not.
  void Drop(shard_output& out);

  /// Takes in a request, or joins it to the same one under way, or answers from the record.
  /// @param durable  whether a record would have a second copy. Without one, an id that is known
  ///   still gets its answer, and a new one is refused.
  void OnRequest(const call_origin& from, const wire::request_call& call, time_point deadline,
                 std::uint64_t unix_ms, bool durable, shard_output& out);

  /// A record of this shard became durable.
  void OnDurable(const wire::shard_record& record);

  /// @return tickets of requests that may be sent from now on, once each.
  [[nodiscard]] std::vector<std::uint64_t> TakeReady();

  /// @return the request, or null where it has been answered.
  [[nodiscard]] const open_request* Find(std::uint64_t ticket) const;

  /// Its bytes are about to be handed to a target.
  void OnSent(std::uint64_t ticket);

  /// The final answer of a request: recorded where it isn't idempotent, and given to all who wait.
  void Finish(std::uint64_t ticket, const wire::call_answer& answer, shard_output& out);

  /// Forgets what is too old to be asked for.
  void Tick(std::uint64_t unix_ms);

  [[nodiscard]] std::size_t size() const noexcept { return open_.size(); }

 private:
  struct tracked {
    open_request request;
    bool sent{false};
  };

  [[nodiscard]] std::optional<error> RefuseByAge(const wire::request_call& call,
                                                 std::uint64_t unix_ms) const;
  [[nodiscard]] bool AnswerKnown(const call_origin& from, const wire::request_call& call,
                                 std::uint64_t body_hash, shard_output& out);

  request_settings settings_;
  shard_journal& journal_;
  std::uint64_t next_ticket_{1};
  std::map<std::uint64_t, tracked> open_;
  std::map<request_key, std::uint64_t> by_key_;  ///< non-idempotent ones under way
  std::vector<std::uint64_t> ready_;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_REQUEST_TABLE_H_
