#include "rosearch/cell/advice_dispatcher.h"

#include <algorithm>
#include <utility>

namespace rosearch::cell {
namespace {

/// One in this many helpers sends no long queries.
constexpr std::size_t kHelpersPerUrgentOnlyHelper = 3;

/// Bound of the doubling of a helper's pause.
constexpr std::uint32_t kMaxDoublings = 3;

}  // namespace

void advice_dispatcher::SetHelpers(const std::vector<std::string>& helpers) {
  std::vector<helper> next;
  for (const auto& address : helpers) {
    const auto* const known = Find(address);
    next.push_back(known != nullptr ? *known : helper{address});
  }
  // Busy helpers that are no longer listed are dropped: their queries still end by an answer or a
  // timeout.
  helpers_ = std::move(next);
}

advice_dispatcher::helper* advice_dispatcher::Find(const std::string& address) {
  const auto found = std::ranges::find(helpers_, address, &helper::address);
  return found == helpers_.end() ? nullptr : &*found;
}

void advice_dispatcher::Add(sched::advice_query query, time_point now) {
  const auto same = [&](const auto& other) { return other.query.step == query.step; };
  if (std::ranges::any_of(sent_, [&](const auto& each) { return same(each.second); })) {
    return;
  }
  auto& queue = IsLongQuery(query.cost) ? long_queries_ : urgent_queries_;
  auto due = now + kDelayPerPriorityLevel * static_cast<int>(query.priority);
  for (auto* const each_queue : {&urgent_queries_, &long_queries_}) {
    if (const auto known = std::ranges::find_if(*each_queue, same); known != each_queue->end()) {
      due = known->due;
      each_queue->erase(known);
    }
  }
  const auto position = std::ranges::upper_bound(queue, due, {}, &queued_query::due);
  queue.insert(position, {std::move(query), due});
}

std::size_t advice_dispatcher::CountUrgentOnlyHelpers() const {
  return helpers_.size() > 1
             ? std::max<std::size_t>(1, helpers_.size() / kHelpersPerUrgentOnlyHelper)
             : 0;
}

std::size_t advice_dispatcher::FirstHelper(bool long_query) const {
  return long_query ? CountUrgentOnlyHelpers() : 0;
}

std::size_t advice_dispatcher::CountLongSlots(time_point now) const {
  std::size_t free = 0;
  for (auto at = FirstHelper(true); at < helpers_.size(); ++at) {
    free += helpers_[at].busy_until <= now ? 1 : 0;
  }
  return free > long_queries_.size() ? free - long_queries_.size() : 0;
}

advice_dispatcher::helper* advice_dispatcher::FindFreeHelper(bool long_query, time_point now) {
  helper* unproven = nullptr;
  for (auto at = FirstHelper(long_query); at < helpers_.size(); ++at) {
    auto& each = helpers_[at];
    if (each.busy_until > now) {
      continue;
    }
    if (IsProven(each, now)) {
      return &each;
    }
    if (unproven == nullptr || each.retry_at < unproven->retry_at) {
      unproven = &each;
    }
  }
  return unproven;
}

time_point advice_dispatcher::Occupy(helper& by, const sched::advice_query& query, time_point now) {
  by.busy_until = now + QueryCost(query) + sched::kMaxAdviceDelay + kEndGracePeriod;
  return by.busy_until;
}

void advice_dispatcher::MarkLate(const std::string& address, time_point now) {
  auto* const late = Find(address);
  if (late == nullptr) {
    return;
  }
  const auto doublings = std::min(late->late_answers++, kMaxDoublings);
  late->retry_at = now + std::min<duration>(kMinSilentPause * (1U << doublings), kMaxSilentPause);
}

void advice_dispatcher::MarkLateQueries(time_point now) {
  std::erase_if(sent_, [&](const auto& each) { return now >= each.second.forget_at; });
  for (auto& [number, sent] : sent_) {
    if (now >= sent.late_at && !std::exchange(sent.is_late, true)) {
      MarkLate(sent.helper, now);
    }
  }
}

// Only a helper that answers in time gets the second copy. If the service itself is late, no helper
// does, and a second copy would make it later.
std::optional<advice_dispatcher::assignment> advice_dispatcher::TakeHedge(time_point now) {
  for (auto& [number, sent] : sent_) {
    if (!sent.is_late || sent.hedged) {
      continue;
    }
    auto* free = FindFreeHelper(IsLongQuery(sent.query.cost), now);
    if (free == nullptr || free->late_answers > 0) {
      free = FindFreeHelper(false, now);
    }
    if (free == nullptr || free->late_answers > 0) {
      continue;
    }
    sent.hedged = true;
    ++sent.copies;
    sent.forget_at = Occupy(*free, sent.query, now);
    return assignment{number, free->address, sent.query, true};
  }
  return std::nullopt;
}

std::optional<advice_dispatcher::assignment> advice_dispatcher::TakeNext(time_point now) {
  MarkLateQueries(now);
  if (auto hedge = TakeHedge(now)) {
    return hedge;
  }
  for (auto* const queue : {&urgent_queries_, &long_queries_}) {
    if (queue->empty()) {
      continue;
    }
    if (auto* const free = FindFreeHelper(queue == &long_queries_, now)) {
      assignment assigned{++last_number_, free->address, std::move(queue->front().query), false};
      queue->pop_front();
      sent_[assigned.number] = {assigned.query, assigned.helper,
                                now + QueryCost(assigned.query) + kLateAfter,
                                Occupy(*free, assigned.query, now)};
      return assigned;
    }
  }
  return std::nullopt;
}

bool advice_dispatcher::OnEnd(const assignment& ended, bool answered, time_point now) {
  MarkLateQueries(now);
  const auto found = sent_.find(ended.number);
  const bool was_late = found == sent_.end() || found->second.is_late;
  if (auto* const by = Find(ended.helper)) {
    by->busy_until = time_point{};
    if (answered && !was_late) {
      by->late_answers = 0;
    }
  }
  if (!answered) {
    MarkLate(ended.helper, now);
  }
  if (found == sent_.end()) {
    return false;  // the other copy has been answered
  }
  if (!answered && --found->second.copies > 0) {
    return false;
  }
  sent_.erase(found);
  return true;
}

}  // namespace rosearch::cell
