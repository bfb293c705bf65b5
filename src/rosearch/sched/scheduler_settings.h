#ifndef ROSEARCH_SCHED_SCHEDULER_SETTINGS_H_
#define ROSEARCH_SCHED_SCHEDULER_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "rosearch/core/time.h"
#include "rosearch/sched/mechanism.h"

namespace rosearch::sched {

/// Long enough for work to outlast a change of leader and 4 s without a store; every second more
/// keeps the work of a dead worker waiting for that much longer.
inline constexpr duration kLongestLease = std::chrono::seconds{6};

/// Bounds and weights of the scheduler. The platform's own bounds come from the process's settings;
/// the others are defaults.
struct scheduler_settings {
  /// What is switched off, to measure what it is worth.
  mechanism_set off{};
  [[nodiscard]] bool Uses(mechanism which) const { return !off.Has(which); }

  /// Lease that workers are given, by their own clocks: what the platform grants at most, but no
  /// more than `kLongestLease`.
  duration max_lease{std::chrono::seconds{6}};
  /// A worker's clock may be slow by so much: 2% by the platform's pages, and a little for
  /// rounding.
  double clock_slack{0.025};
  /// What a message may be under way beyond the clock's slack before it counts as sent too late.
  duration lapse_margin{std::chrono::milliseconds{200}};
  /// After a change of leader: how long the former one may have gone on sending before it noticed
  /// that it was cut off.
  duration old_leader_silence{std::chrono::milliseconds{2'000}};
  /// Longest that a worker takes to end a run on order; from the platform's settings.
  duration stop_timeout{std::chrono::milliseconds{900}};
  /// What a run that resumes from a checkpoint takes before it goes on; from the platform's
  /// settings.
  duration restore{std::chrono::milliseconds{600}};
  /// How long an ended job is still known to callers: 120 s are promised, 30 s are margin.
  duration keep_ended{std::chrono::seconds{150}};
  /// An occurrence starts so long after its due time, so that clocks that differ by a few
  /// milliseconds never make it early.
  duration due_margin{std::chrono::milliseconds{30}};
  /// Share of every worker that only the most urgent class may fill. A burst that doubles the
  /// urgent work finds room while the rest drains away, at the price of that share of packing.
  double urgent_reserve{0.10};
  /// A ticket with less life left than this is asked for anew: the start must still arrive in time.
  duration ticket_margin{std::chrono::milliseconds{150}};
  /// Most workers named in one request for advice; more cost the caller's time.
  std::size_t most_names{30};
  /// Tries of an order whose answers are lost before the run is stopped and moved.
  std::uint32_t start_tries{3};
  /// Watches in a row that bring no answer before a worker counts as silent: one alone is mostly a
  /// lost answer, and is followed by another watch at once.
  std::uint32_t silent_after{2};
  /// Between two sendings of an order to stop that was not answered.
  duration stop_retry{std::chrono::milliseconds{400}};
  /// Two failures in a row make a worker suspect: it is left alone for this long, doubling.
  duration quarantine{std::chrono::seconds{3}};
  duration longest_quarantine{std::chrono::seconds{8}};
  std::uint32_t failures_to_quarantine{2};
  /// A worker that answers unwell or refuses for want of room is left alone for so long.
  duration refusal_pause{std::chrono::milliseconds{700}};
  /// A run whose progress stands still for longer than this, and than half its estimate, hangs.
  duration stuck_after{std::chrono::milliseconds{2'500}};
  /// A run that works so many times slower than its siblings do elsewhere is taken for slow. Twice
  /// what workers and tasks differ by on a sound cell: 1.25 / 0.8 by worker, 1.3 by task.
  double slow_factor{2.5};
  /// A slow run is moved where it would go on for so many times longer than a new start elsewhere
  /// takes, the stop included.
  double rescue_gain{1.3};
  /// At most this share of all runs, and at least `least_rescues`, is stopped as slow at a time:
  /// where everything is slow, moving helps nobody.
  double rescue_share{0.05};
  std::size_t least_rescues{4};
  /// Unanswered advice is asked for again after this.
  duration advice_retry{std::chrono::milliseconds{250}};
  /// A step that found no place among the workers that it may run on for so long reserves some.
  /// Most find one sooner.
  duration reserve_after{std::chrono::milliseconds{1'000}};
  /// Only where no more than this share of a pool's workers may run it.
  double few_workers{0.5};
  /// Reservations are looked at again so often, and last twice as long.
  duration reserve_every{std::chrono::milliseconds{200}};
  /// At most this share of a pool's workers is reserved at a time; twice that gained nothing.
  double reserved_most{0.34};
  /// A question that isn't answered so long after what it costs is taken for lost and asked again.
  /// Twice the 1.7 s that the slowest of 1,600 answers took on a replayed day.
  duration advice_patience{std::chrono::milliseconds{4'000}};
  /// Share of the slack of a job's objective that waiting may use up before a job is refused.
  double admission_slack{0.9};
  /// For each of its steps a job waits so often until the leader has done what came before: its
  /// record, advice, starts, ends, the next record.
  double turns_per_step{8};

  friend bool operator==(const scheduler_settings&, const scheduler_settings&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_SCHEDULER_SETTINGS_H_
