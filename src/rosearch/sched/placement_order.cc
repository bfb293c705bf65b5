#include "rosearch/sched/placement_order.h"

#include <map>

namespace rosearch::sched {

placement_rank RankOf(const step_state& step, const scheduler_settings& settings, time_point now) {
  const auto& job = *step.job;
  placement_rank rank;
  rank.interruptible = !step.spec->service;
  rank.priority = job.priority;
  rank.finish_by = job.finish_by;
  if (step.spec->service) {
    return rank;
  }
  rank.hopeless =
      settings.Uses(mechanism::kHopelessLast) && now > job.finish_by + 2 * job.spec->objective;
  rank.beyond_rate = !job.spec->within_rate && settings.Uses(mechanism::kRateOrder);
  return rank;
}

step_state* placement_queue::Next() {
  if (served_) {
    AddCandidate(*served_);
    served_.reset();
  }
  if (candidates_.empty() && at_ < sorted_.size() && by_shares_ && sorted_[at_].first.beyond_rate) {
    GroupFromHere();
  }
  if (candidates_.empty()) {
    return at_ < sorted_.size() ? sorted_[at_++].second : nullptr;
  }
  const auto next = candidates_.top();
  candidates_.pop();
  ++groups_[next.group].next;
  served_ = next.group;
  return sorted_[next.position].second;
}

void placement_queue::GroupFromHere() {
  groups_.clear();
  std::map<const share_account*, std::size_t> group_of;
  auto rank = sorted_[at_].first;
  for (; at_ < sorted_.size(); ++at_) {
    rank.finish_by = sorted_[at_].first.finish_by;
    if (sorted_[at_].first != rank) {
      break;
    }
    const auto* const account = sorted_[at_].second->job->share;
    const auto [found, added] = group_of.try_emplace(account, groups_.size());
    if (added) {
      groups_.push_back({account, {}, 0});
    }
    groups_[found->second].positions.push_back(at_);
  }
  for (std::size_t group = 0; group < groups_.size(); ++group) {
    AddCandidate(group);
  }
}

void placement_queue::AddCandidate(std::size_t group) {
  const auto& steps = groups_[group];
  if (steps.next < steps.positions.size()) {
    const double share = steps.account == nullptr ? 0 : steps.account->Share();
    candidates_.push({share, steps.positions[steps.next], group});
  }
}

}  // namespace rosearch::sched
