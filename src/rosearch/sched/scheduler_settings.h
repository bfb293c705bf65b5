#ifndef ROSEARCH_SCHED_SCHEDULER_SETTINGS_H_
#define ROSEARCH_SCHED_SCHEDULER_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "rosearch/core/time.h"
#include "rosearch/sched/mechanism.h"

namespace rosearch::sched {

/// Long enough for runs to survive a leader change and a store outage of 4 s. A longer lease delays
/// the restart of a dead worker's tasks by as much.
inline constexpr duration kMaxWorkerLease = std::chrono::seconds{6};

/// Limits, timeouts and weights of the scheduler. The platform's limits come from the process
/// settings; the others keep their defaults.
struct scheduler_settings {
  /// Mechanisms that are disabled to measure their effect.
  mechanism_set off{};
  [[nodiscard]] bool Uses(mechanism which) const { return !off.Has(which); }

  /// Lease granted to workers, measured by their own clocks: the platform's maximum, but at most
  /// `kMaxWorkerLease`.
  duration max_lease{std::chrono::seconds{6}};
  /// Max relative drift of a worker's clock: 2% by the platform's specification, plus a margin for
  /// rounding.
  double max_clock_drift{0.025};
  /// Margin for message delivery that is added to a lease's duration, beyond `max_clock_drift`.
  duration lease_expiry_margin{std::chrono::milliseconds{200}};
  /// After a leader change: how long the former leader may have continued to send before it noticed
  /// that it was partitioned. Used until `scheduler::SetFormerLeadersSendUntil` tells more.
  duration former_leader_send_margin{std::chrono::milliseconds{2'000}};
  /// Max time that a worker takes to stop a run; from the platform's settings.
  duration stop_timeout{std::chrono::milliseconds{900}};
  /// Time that a run takes to restore a checkpoint; from the platform's settings.
  duration restore{std::chrono::milliseconds{600}};
  /// Retention period of ended jobs: callers are promised 120 s, plus a margin of 30 s.
  duration ended_retention{std::chrono::seconds{150}};
  /// Delay of an occurrence after its due time, so that it never starts early where clocks differ
  /// by a few milliseconds.
  duration due_margin{std::chrono::milliseconds{30}};
  /// Limit of what all jobs that haven't ended may hold in memory.
  std::size_t max_job_bytes{std::size_t{64} << 20U};
  /// Share of every worker that only urgent work may use. A burst that doubles the urgent load then
  /// finds room while other runs end, at the cost of that share of utilization.
  double urgent_reserve{0.10};
  /// A ticket with less remaining validity is requested anew, since the start order must arrive
  /// before the ticket expires.
  duration ticket_margin{std::chrono::milliseconds{150}};
  /// Max workers named in one advice query, by the platform's specification. A step names only as
  /// many as its tasks need.
  std::size_t max_workers_per_query{100};
  /// Workers without advice that a gang names in one query, even if it has few members.
  std::size_t min_workers_per_gang_query{30};
  /// Attempts to deliver a start order without an answer before the run is stopped and moved.
  std::uint32_t max_start_attempts{3};
  /// Consecutive unanswered watches before a worker counts as silent. A single one is usually a
  /// lost answer, and is retried immediately.
  std::uint32_t silent_after{2};
  /// Retry interval of an unanswered stop order.
  duration stop_retry_interval{std::chrono::milliseconds{400}};
  /// Quarantine of a worker after `failures_to_quarantine` consecutive failures; doubles each time.
  duration quarantine{std::chrono::seconds{3}};
  duration max_quarantine{std::chrono::seconds{8}};
  std::uint32_t failures_to_quarantine{2};
  /// Pause for a worker that reports bad health or refuses a start for lack of room.
  duration refusal_backoff{std::chrono::milliseconds{700}};
  /// A run without progress for longer than this and than half its estimate counts as stuck.
  duration stuck_timeout{std::chrono::milliseconds{2'500}};
  /// A run that is slower than its siblings elsewhere by this factor counts as slow. The factor is
  /// well above the differences on a healthy cell: 1.25 / 0.8 between workers, 1.3 between tasks.
  double slow_factor{2.5};
  /// A slow run is moved if its remaining time exceeds the time of a new start elsewhere, including
  /// the stop, by this factor.
  double rescue_gain{1.3};
  /// Max share of all runs that are being stopped as slow at a time, but at least `min_rescues`
  /// runs: if every worker is slow, moving runs gains nothing.
  double rescue_share{0.05};
  std::size_t min_rescues{4};
  /// Retry interval of an unanswered advice query.
  duration advice_retry_interval{std::chrono::milliseconds{250}};
  /// A step reserves workers once it has waited this long for room on those that it may run on.
  /// Most steps find room sooner.
  duration reserve_after{std::chrono::milliseconds{1'000}};
  /// A step reserves workers only if at most this share of its pool may run it.
  double max_eligible_share{0.5};
  /// Review interval of reservations; they expire after twice as long.
  duration reservation_interval{std::chrono::milliseconds{200}};
  /// Max share of a pool's workers that is reserved at a time. Twice that brought no benefit.
  double max_reserved_share{0.34};
  /// A step that has stalled for this long counts as starved: reservations of other steps, the
  /// reserve for urgent work and the exclusion of slow workers don't keep it from room. Leaves time
  /// for an advice query, as no accepted job may stand for 3 s beside room for it.
  duration starvation_timeout{std::chrono::milliseconds{1'000}};
  /// Timeout of an advice query beyond its cost; after it the query counts as lost and is retried.
  /// Longer than `kMaxAdviceDelay`, after which the process that sent it reports that it has no
  /// answer.
  duration advice_timeout{std::chrono::milliseconds{10'000}};
  /// Share of the slack in a job's objective that the expected waiting time may use; a job that
  /// would wait longer is refused.
  double admission_slack{0.9};
  /// Number of times per step that a job waits for the leader's event loop: for its record, advice,
  /// starts, ends and the next record.
  double loop_waits_per_step{8};

  friend bool operator==(const scheduler_settings&, const scheduler_settings&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_SCHEDULER_SETTINGS_H_
