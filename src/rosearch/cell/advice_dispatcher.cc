#include "rosearch/cell/advice_dispatcher.h"

#include <algorithm>
#include <utility>

namespace rosearch::cell {
namespace {

/// One in this many helpers sends no long queries.
constexpr std::size_t kHelpersPerUrgentOnlyHelper = 3;

}  // namespace

void advice_dispatcher::SetHelpers(const std::vector<std::string>& helpers) {
  std::vector<helper> next;
  for (const auto& address : helpers) {
    const auto known = std::ranges::find(helpers_, address, &helper::address);
    next.push_back({address, known != helpers_.end() ? known->busy_until : time_point{}});
  }
  // Busy helpers that are no longer listed are dropped: their queries still end by an answer or a
  // timeout.
  helpers_ = std::move(next);
}

void advice_dispatcher::Add(sched::advice_query query, time_point now) {
  auto& queue = IsLongQuery(query.cost) ? long_queries_ : urgent_queries_;
  auto due = now + kDelayPerPriorityLevel * static_cast<int>(query.priority);
  for (auto* const each_queue : {&urgent_queries_, &long_queries_}) {
    const auto same = [&](const queued_query& other) { return other.query.step == query.step; };
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

std::size_t advice_dispatcher::CountLongSlots(time_point now) const {
  std::size_t free = 0;
  for (auto at = CountUrgentOnlyHelpers(); at < helpers_.size(); ++at) {
    free += helpers_[at].busy_until <= now ? 1 : 0;
  }
  return free > long_queries_.size() ? free - long_queries_.size() : 0;
}

advice_dispatcher::helper* advice_dispatcher::FindFreeHelper(bool long_query, time_point now) {
  const auto urgent_only = CountUrgentOnlyHelpers();
  for (std::size_t at = 0; at < helpers_.size(); ++at) {
    if (helpers_[at].busy_until <= now && (!long_query || at >= urgent_only)) {
      return &helpers_[at];
    }
  }
  return nullptr;
}

std::optional<advice_dispatcher::assignment> advice_dispatcher::TakeNext(time_point now) {
  for (auto* const queue : {&urgent_queries_, &long_queries_}) {
    if (queue->empty()) {
      continue;
    }
    if (auto* const free = FindFreeHelper(queue == &long_queries_, now)) {
      assignment assigned{free->address, std::move(queue->front().query)};
      free->busy_until = now + QueryCost(assigned.query) + kAnswerGracePeriod;
      queue->pop_front();
      return assigned;
    }
  }
  return std::nullopt;
}

void advice_dispatcher::ReleaseHelper(const std::string& address) {
  const auto found = std::ranges::find(helpers_, address, &helper::address);
  if (found != helpers_.end()) {
    found->busy_until = time_point{};
  }
}

}  // namespace rosearch::cell
