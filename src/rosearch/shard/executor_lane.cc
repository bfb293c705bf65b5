#include "rosearch/shard/executor_lane.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <utility>

namespace rosearch {
namespace {

constexpr duration kComeBack = std::chrono::seconds{1};

}  // namespace

void executor_lane::SetExecutors(const std::vector<wire::vm_record>& executors,
                                 time_point /*now*/) {
  std::set<vm_id> listed;
  for (const auto& record : executors) {
    const vm_id vm{record.vm()};
    listed.insert(vm);
    auto& each = executors_[vm];
    if (each.instance != record.instance()) {
      each.busy = 0;
    }
    each.address = record.address();
    each.service = record.service();
    each.slots = record.slots();
    each.leaving = record.leaving();
    each.instance = record.instance();
  }
  std::erase_if(executors_, [&](const auto& each) { return !listed.contains(each.first); });
}

void executor_lane::SetDrained(const vm_id& vm, bool leaving) {
  if (leaving) {
    drained_.insert(vm);
  } else {
    drained_.erase(vm);
  }
}

bool executor_lane::Open(const vm_id& vm, const executor& each) const {
  return !each.leaving && !drained_.contains(vm);
}

bool executor_lane::ServedHere(const std::string& service) const {
  return std::ranges::any_of(executors_, [&](const auto& each) {
    return each.second.service == service && Open(each.first, each.second);
  });
}

void executor_lane::Submit(std::uint64_t ticket, const open_request& request, time_point /*now*/) {
  items_[ticket] = {request.call.service(),
                    request.call.idempotent(),
                    request.call.delegated(),
                    request.call.retries(),
                    0,
                    request.deadline,
                    {},
                    {}};
  queue_.push_back(ticket);
}

void executor_lane::Free(item& request) {
  const auto found = executors_.find(request.at);
  if (found != executors_.end() && found->second.busy > 0) {
    --found->second.busy;
  }
  request.at = {};
}

void executor_lane::OnAnswered(std::uint64_t ticket, std::uint32_t attempt, time_point /*now*/) {
  const auto found = items_.find(ticket);
  if (found == items_.end() || found->second.attempt != attempt) {
    return;
  }
  Free(found->second);
  items_.erase(found);
}

void executor_lane::OnFailed(std::uint64_t ticket, std::uint32_t attempt, const error& why,
                             time_point now) {
  const auto found = items_.find(ticket);
  if (found == items_.end() || found->second.attempt != attempt) {
    return;
  }
  auto& request = found->second;
  request.tried.insert(request.at);
  Free(request);
  const bool may_retry = (request.idempotent || AnswerFor(why.kind).effect == outcome::kNotRun) &&
                         request.retries_left > 0 && now < request.deadline;
  if (may_retry) {
    --request.retries_left;
    queue_.push_back(ticket);
    return;
  }
  actions_.failures.push_back({ticket, why});
  items_.erase(found);
}

std::map<vm_id, executor_lane::executor>::iterator executor_lane::Choose(const item& request) {
  auto best = executors_.end();
  std::pair<bool, std::uint32_t> best_rank;
  for (auto at = executors_.begin(); at != executors_.end(); ++at) {
    const auto& [vm, each] = *at;
    if (each.service != request.service || each.busy >= each.slots || !Open(vm, each)) {
      continue;
    }
    const std::pair rank{request.tried.contains(vm), each.busy};
    if (best == executors_.end() || rank < best_rank) {
      best = at;
      best_rank = rank;
    }
  }
  return best;
}

void executor_lane::Tick(time_point now) {
  for (auto at = queue_.begin(); at != queue_.end();) {
    const auto found = items_.find(*at);
    if (found != items_.end() && now < found->second.deadline) {
      ++at;
      continue;
    }
    if (found != items_.end()) {
      actions_.failures.push_back(
          {*at, {error_kind::kDeadlinePassed, "no free slot before the deadline", kComeBack}});
      items_.erase(found);
    }
    at = queue_.erase(at);
  }
}

lane_actions executor_lane::Take(time_point /*now*/) {
  std::deque<std::uint64_t> waiting;
  for (const auto ticket : std::exchange(queue_, {})) {
    const auto found = items_.find(ticket);
    if (found == items_.end()) {
      continue;
    }
    auto& request = found->second;
    const auto chosen = Choose(request);
    if (chosen != executors_.end()) {
      auto& each = chosen->second;
      ++each.busy;
      CHECK_LE(each.busy, each.slots) << "more requests than slots on " << chosen->first;
      request.at = chosen->first;
      actions_.sends.push_back(
          {ticket, ++request.attempt, chosen->first, each.address, request.deadline});
    } else if (!ServedHere(request.service) && !request.delegated) {
      actions_.delegations.push_back({ticket, ++request.attempt});
      items_.erase(found);
    } else if (!ServedHere(request.service)) {
      actions_.failures.push_back(
          {ticket, {error_kind::kTargetUnreachable, "no executor of the service", kComeBack}});
      items_.erase(found);
    } else {
      waiting.push_back(ticket);
    }
  }
  queue_ = std::move(waiting);
  return std::exchange(actions_, {});
}

void executor_lane::Drop() {
  items_.clear();
  queue_.clear();
  actions_ = {};
  for (auto& each : executors_) {
    each.second.busy = 0;
  }
}

std::uint32_t executor_lane::FreeSlots() const {
  std::uint32_t free = 0;
  for (const auto& [vm, each] : executors_) {
    free += Open(vm, each) ? each.slots - std::min(each.busy, each.slots) : 0;
  }
  return free;
}

std::set<std::string> executor_lane::Services() const {
  std::set<std::string> services;
  for (const auto& [vm, each] : executors_) {
    if (Open(vm, each)) {
      services.insert(each.service);
    }
  }
  return services;
}

boost::json::value executor_lane::Dump() const {
  boost::json::array rows;
  for (const auto& [vm, each] : executors_) {
    rows.push_back(boost::json::object{{"vm", vm.value()},
                                       {"service", each.service},
                                       {"busy", each.busy},
                                       {"slots", each.slots},
                                       {"open", Open(vm, each)}});
  }
  return boost::json::object{{"executors", std::move(rows)}, {"queued", queue_.size()}};
}

}  // namespace rosearch
