#include "rosearch/admission/shed_policy.h"

namespace rosearch::admission {

void shed_policy::OnAccepted(const std::string& queue) {
  const auto found = queues_.find(queue);
  if (found != queues_.end() && !found->second.closed) {
    queues_.erase(found);
  }
}

void shed_policy::OnRefused(const std::string& queue, time_point now) {
  auto& state = queues_[queue];
  if (state.closed) {
    return;
  }
  if (state.refused == 0 || now - state.refused_at > kMaxRefusalGap) {
    state.refused = 0;
    state.since = now;
  }
  ++state.refused;
  state.refused_at = now;
}

bool shed_policy::MustClose(const queue_state& state, time_point now) {
  return state.refused >= kMinRefusals && now - state.refused_at <= kMaxRefusalGap &&
         now - state.since >= kCloseAfter;
}

std::vector<shed_decision> shed_policy::Decide(
    const std::function<duration(const std::string&)>& expected_wait, time_point now) {
  std::vector<shed_decision> decisions;
  for (auto each = queues_.begin(); each != queues_.end();) {
    auto& [queue, state] = *each;
    const auto since = now - state.since;
    const bool due = state.closed ? since >= kMinClosedTime : MustClose(state, now);
    const auto wait = due ? expected_wait(queue) : duration{};
    if (due && !state.closed && wait > kMinWait) {
      decisions.push_back({queue, true, state.refused, since, wait});
      state.closed = true;
      state.since = now;
    } else if (due && state.closed && (wait <= kReopenWait || since >= kMaxClosedTime)) {
      decisions.push_back({queue, false, state.refused, since, wait});
      each = queues_.erase(each);
      continue;
    }
    ++each;
  }
  return decisions;
}

}  // namespace rosearch::admission
