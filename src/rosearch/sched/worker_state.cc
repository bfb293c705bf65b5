#include "rosearch/sched/worker_state.h"

#include <algorithm>
#include <array>

namespace rosearch::sched {

std::string_view StopReasonName(stop_reason reason) noexcept {
  constexpr std::array<std::string_view, 10> kNames{
      "none",      "job_over", "other_copy", "unanswered", "gang_broken",
      "preempted", "stuck",    "leaving",    "slow",       "stranger"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view EndKindName(end_kind how) noexcept {
  constexpr std::array<std::string_view, 7> kNames{"done",   "failed", "stopped", "lapsed",
                                                   "broken", "alone",  "lost"};
  return kNames.at(static_cast<std::size_t>(how));
}

bool worker_health::RecordFailure(const scheduler_settings& settings, time_point now) {
  ++consecutive_failures_;
  if (consecutive_failures_ < settings.failures_to_quarantine && quarantines_ == 0) {
    return false;
  }
  const auto doubled = settings.quarantine * (1U << std::min(quarantines_, 10U));
  excluded_until_ = now + std::min(doubled, settings.max_quarantine);
  ++quarantines_;
  consecutive_failures_ = 0;
  return true;
}

duration worker_health::RecordSlowRun(const scheduler_settings& settings, time_point now) {
  const auto doubled = settings.quarantine * (1U << std::min(slow_quarantines_, 10U));
  const auto pause = std::min(doubled, settings.max_quarantine);
  slow_until_ = std::max(slow_until_, now + pause);
  ++slow_quarantines_;
  return pause;
}

resources worker_state::FreeFor(const step_state& step) const {
  const bool not_its = reservation && reservation->step != &step &&
                       reservation->priority <= step.job->priority &&
                       (!step.starved || (reservation->firm && reservation->yielded_to != &step));
  return not_its ? Free() - reservation->room : Free();
}

}  // namespace rosearch::sched
