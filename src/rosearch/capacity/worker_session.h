#ifndef ROSEARCH_CAPACITY_WORKER_SESSION_H_
#define ROSEARCH_CAPACITY_WORKER_SESSION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/capacity/look_budget.h"
#include "rosearch/capacity/pool_settings.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch {

/// The exchange that is on its way to a worker.
struct worker_flight {
  time_point emitted_at{};
  std::uint64_t since{};
  bool renews{};
  bool stale{};  ///< the VM was replaced meanwhile: the report says nothing
  std::vector<attempt_key> starts{};
  std::vector<attempt_key> forgets{};
};

/// What is wanted of the next command.
struct session_wants {
  std::vector<wire::task_start> starts;
  std::set<attempt_key> stops;
  std::set<attempt_key> checkpoints;
  bool has_tasks{};            ///< something may run there
  bool awaits{};               ///< a stop or a start was sent and is not reported yet
  time_point stop_at{kNever};  ///< a checkpoint that was not reported becomes a stop
  time_point look_at{kNever};  ///< a task may have ended by then
};

/// The state of the exchanges with one worker: at most one in flight, and what the worker's reports
/// have proved so far.
class worker_session {
 public:
  /// @param verify_after  a whole report proves what runs only when asked for at or after this.
  /// @param may_renew  false: tasks that nobody here knows may run, and must not be kept alive.
  worker_session(time_point verify_after, bool may_renew)
      : verify_after_{verify_after}, whole_at_{time_point{}}, may_renew_{may_renew} {}

  /// Closes the VM until a whole report that was asked for at or after `verify_after` is read.
  void Unverify(time_point verify_after);
  /// Asks for a whole report at `at` or soon after.
  void AskWholeAt(time_point at);
  /// Keeps asking the worker to drop an ended task once `after` has passed.
  void AddForget(const attempt_key& key, time_point after) { forgets_.try_emplace(key, after); }
  /// The VM was replaced: what is in flight proves nothing.
  void Replace(time_point verify_after);

  /// @return whether `Next` may have something to send though nothing new is wanted.
  [[nodiscard]] bool IsDue(time_point now) const noexcept {
    return !flight_ && now >= std::min({due_at_, renew_due_, whole_at_});
  }
  /// @return the next command; nothing where one is in flight or nothing is due.
  [[nodiscard]] std::optional<wire::worker_command> Next(const session_wants& wants, time_point now,
                                                         const pool_settings& settings);

  /// Ends the flight that was written at `sent_at`.
  /// @param arrived  false: certainly nothing arrived.
  /// @return the flight; nothing where this answer belongs to none.
  [[nodiscard]] std::optional<worker_flight> Land(bool arrived, time_point sent_at);
  /// Takes in a report of a landed flight.
  /// @return whether the report may be relied on; otherwise a whole one is asked for.
  [[nodiscard]] bool Accept(const worker_flight& flight, const wire::worker_report& report,
                            time_point sent_at);
  /// Takes in that a landed flight has no answer.
  void Fail(const worker_flight& flight, time_point sent_at, time_point now,
            const pool_settings& settings);

  /// @return when the last exchange was sent.
  [[nodiscard]] time_point looked_at() const noexcept { return looked_at_; }
  [[nodiscard]] bool verified() const noexcept { return verified_; }
  [[nodiscard]] bool in_flight() const noexcept { return flight_.has_value(); }
  [[nodiscard]] bool failing() const noexcept { return failing_since_.has_value(); }
  /// @return when a renewal was last written, or may have been by a predecessor.
  [[nodiscard]] time_point renewed_at() const noexcept { return renewed_at_; }
  void set_renewed_at(time_point at) noexcept { renewed_at_ = std::max(renewed_at_, at); }

 private:
  /// Moves the next exchange forward to where it is wanted.
  void PlanNext(const session_wants& wants, const pool_settings& settings) noexcept;
  [[nodiscard]] bool Renews(time_point now, const pool_settings& settings) const noexcept;

  std::optional<worker_flight> flight_;
  std::map<attempt_key, time_point> forgets_;
  std::set<attempt_key> told_;  ///< stops and checkpoints that the worker has answered once
  std::optional<time_point> failing_since_;
  std::uint64_t version_{};
  time_point verify_after_;
  time_point whole_at_;
  time_point due_at_{};
  time_point looked_at_{};
  time_point awaits_since_{kNever};
  internal::look_budget looks_;
  time_point retry_at_{};
  time_point renew_due_{};
  time_point renewed_at_{time_point::min()};
  bool verified_{false};
  bool may_renew_;
};

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_WORKER_SESSION_H_
