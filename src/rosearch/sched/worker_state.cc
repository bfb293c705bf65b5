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

bool worker_health::Bad(const scheduler_settings& settings, time_point now) {
  ++in_a_row_;
  if (in_a_row_ < settings.failures_to_quarantine && pauses_ == 0) {
    return false;
  }
  const auto doubled = settings.quarantine * (1U << std::min(pauses_, 10U));
  shunned_until_ = now + std::min(doubled, settings.longest_quarantine);
  ++pauses_;
  in_a_row_ = 0;
  return true;
}

duration worker_health::Slow(const scheduler_settings& settings, time_point now) {
  const auto doubled = settings.quarantine * (1U << std::min(slow_pauses_, 10U));
  const auto pause = std::min(doubled, settings.longest_quarantine);
  shunned_until_ = std::max(shunned_until_, now + pause);
  ++slow_pauses_;
  return pause;
}

resources worker_state::FreeFor(const step_state& step) const {
  const bool not_its =
      reservation && reservation->step != &step && reservation->priority <= step.job->priority;
  return not_its ? Free() - reservation->room : Free();
}

}  // namespace rosearch::sched
