#ifndef ROSEARCH_DISPATCH_EXECUTOR_POOL_H_
#define ROSEARCH_DISPATCH_EXECUTOR_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/dispatch/completion_rate.h"
#include "rosearch/dispatch/dispatch_output.h"
#include "rosearch/dispatch/dispatch_settings.h"
#include "rosearch/dispatch/executor_facts.h"
#include "rosearch/dispatch/executor_table.h"
#include "rosearch/dispatch/fair_queue.h"
#include "rosearch/dispatch/queued_request.h"
#include "rosearch/dispatch/retry_budget.h"
#include "rosearch/placement/vm_health.h"

namespace rosearch {

/// What a cancel did.
enum class cancel_effect {
  kNotKnown,  ///< no such ticket: it is finished already
  kFinished,  ///< it was waiting; its final answer is in the output
  kInFlight,  ///< an executor has it; its answer is still to come, and it won't be tried again
};

/// Sends the requests of one shard to its executors, or answers at once that it can't.
class executor_pool {
 public:
  explicit executor_pool(dispatch_settings settings = {});

  /// Adds or updates an executor.
  /// @param open  false: gets nothing until opened. A new executor that is leaving must not get
  ///   what waits in the moment before it is closed.
  void SetExecutor(const executor_facts& facts, time_point now, dispatch_output& out,
                   bool open = true);
  /// Forgets an executor that is gone: what is with it counts as lost (`kTargetLost`).
  void RemoveExecutor(const vm_id& vm, time_point now, dispatch_output& out);
  /// @param open  false: gets nothing new until opened again.
  void SetOpen(const vm_id& vm, bool open, time_point now, dispatch_output& out);
  /// Gives an executor nothing new any more; what is with it goes on.
  void SetLeaving(const vm_id& vm);
  /// @param weight  share of the slots against other customers that wait.
  void SetWeight(const customer_id& customer, std::uint32_t weight);

  /// Sends or queues a request, or answers at once with `kDeadlinePassed`, `kQuotaExceeded` (the
  /// customer's queue is full) or `kOverloaded` (it can't start before its deadline). Ends the
  /// process where the ticket is in use.
  void Submit(const queued_request& request, time_point now, dispatch_output& out);
  /// Takes an executor's whole answer to an attempt.
  /// @param faulty  the answer is the executor's own failure: handed on, but counted against it.
  /// @return whether it is the answer to hand on; false for an attempt that was given up.
  [[nodiscard]] bool OnAnswered(std::uint64_t ticket, std::uint32_t attempt, time_point now,
                                dispatch_output& out, bool faulty = false);
  /// Takes the failure of an attempt: tries again elsewhere or adds the final answer.
  void OnFailed(std::uint64_t ticket, std::uint32_t attempt, error_kind kind, time_point now,
                dispatch_output& out);
  /// Cancels a request. One that waits and may have run before is answered with that, not with
  /// `kCancelled`.
  [[nodiscard]] cancel_effect Cancel(std::uint64_t ticket, dispatch_output& out);
  /// Takes out what waits and was never sent, without an answer.
  /// @return the tickets, in ascending order.
  [[nodiscard]] std::vector<std::uint64_t> WithdrawUnsent();
  /// Forgets every request without an answer. The slots of those in flight stay taken for `linger`:
  /// executors go on with them.
  void DropRequests(time_point now);
  /// Answers what waited past its deadline, frees slots that are due and sends what can go.
  void Tick(time_point now, dispatch_output& out);

  /// @return free slots of open executors.
  [[nodiscard]] std::uint64_t FreeSlots() const noexcept { return executors_.FreeSlots(); }
  /// @return requests that wait.
  [[nodiscard]] std::size_t Queued() const noexcept { return queue_.size(); }
  /// @return requests that are with executors.
  [[nodiscard]] std::size_t InFlight() const noexcept { return requests_.size() - queue_.size(); }
  /// @return requests that an executor has, those included whose end is not known.
  [[nodiscard]] std::uint32_t TakenOn(const vm_id& vm) const { return executors_.TakenOn(vm); }
  [[nodiscard]] bool IsOpen(const vm_id& vm) const { return executors_.IsOpen(vm); }
  /// @return whether any executor takes work, with a free slot or without.
  [[nodiscard]] bool AnyOpen() const { return executors_.AnyOpen(); }
  [[nodiscard]] const vm_health& health() const noexcept { return health_; }

 private:
  struct entry {
    queued_request request;
    std::uint32_t attempt{};
    std::optional<vm_id> with;  ///< none while it waits
    time_point sent_at{};
    std::vector<vm_id> tried;
    std::optional<error_kind> may_have_run;  ///< the latest failure that doesn't exclude it
    bool cancelled{};
  };

  [[nodiscard]] entry* FindAttempt(std::uint64_t ticket, std::uint32_t attempt);
  [[nodiscard]] std::optional<error> Refusal(const queued_request& request, time_point now) const;
  [[nodiscard]] duration ExpectedWait(const queued_request& request, time_point now) const;
  [[nodiscard]] bool MayRetry(const entry& failed, error_kind kind, time_point now);
  void Enqueue(const entry& waiting);
  void LeaveSlot(entry& left, error_kind kind, time_point now);
  void CountHealth(const entry& failed, error_kind kind, time_point now);
  void Finish(std::uint64_t ticket, error why, dispatch_output& out);
  void Expire(time_point now, dispatch_output& out);
  void Pump(time_point now, dispatch_output& out);
  void Send(entry& next, const vm_id& vm, time_point now, dispatch_output& out);

  dispatch_settings settings_;
  internal::executor_table executors_;
  internal::fair_queue queue_;
  internal::retry_budget budget_;
  internal::completion_rate rate_;
  vm_health health_;
  std::map<std::uint64_t, entry> requests_;
};

}  // namespace rosearch

#endif  // ROSEARCH_DISPATCH_EXECUTOR_POOL_H_
