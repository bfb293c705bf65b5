#include "rosearch/shard/executor_lane.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <utility>

namespace rosearch {
namespace {

constexpr duration kComeBack = std::chrono::seconds{1};

/// Answers from this status on are the executor's own failures.
constexpr std::uint32_t kServerError = 500;

executor_facts FactsOf(const wire::vm_record& listed) {
  return {vm_id{listed.vm()}, listed.address(), listed.slots(), listed.connections()};
}

queued_request RequestOf(std::uint64_t ticket, const open_request& request) {
  const auto& call = request.call;
  return {.ticket = ticket,
          .customer = customer_id{call.customer()},
          .kind = call.customer() + '/' + call.label(),
          .priority = call.priority(),
          .deadline = request.deadline,
          .idempotent = call.idempotent(),
          .retries = call.retries()};
}

}  // namespace

executor_pool& executor_lane::PoolOf(const std::string& service) {
  const auto [found, added] = pools_.try_emplace(service, settings_);
  if (added) {
    for (const auto& [customer, weight] : weights_) {
      found->second.SetWeight(customer_id{customer}, weight);
    }
  }
  return found->second;
}

void executor_lane::SetExecutors(const std::vector<wire::vm_record>& executors, time_point now) {
  for (auto& [vm, each] : executors_) {
    each.present = false;
  }
  for (const auto& record : executors) {
    const vm_id vm{record.vm()};
    const auto found = executors_.find(vm);
    const bool replaced =
        found != executors_.end() && (found->second.listed.instance() != record.instance() ||
                                      found->second.listed.service() != record.service());
    if (replaced) {
      dispatch_output out;
      PoolOf(found->second.listed.service()).RemoveExecutor(vm, now, out);
      Absorb(out);
    }
    auto& each = executors_[vm];
    each = {record, true};
    dispatch_output out;
    PoolOf(record.service()).SetExecutor(FactsOf(record), now, out, IsOpen(vm, each));
    Absorb(out);
  }
  for (const auto& [vm, each] : executors_) {
    UpdateOpen(vm, each, now);
  }
  RemoveUnlisted(now);
  SendOnUnserved();
}

void executor_lane::SetDrained(const vm_id& vm, bool leaving, time_point now) {
  if (leaving) {
    drained_.insert(vm);
  } else {
    drained_.erase(vm);
  }
  const auto found = executors_.find(vm);
  if (found != executors_.end()) {
    UpdateOpen(vm, found->second, now);
    SendOnUnserved();
  }
}

void executor_lane::SetWeights(std::map<std::string, std::uint32_t> weights) {
  for (auto& [service, pool] : pools_) {
    for (const auto& [customer, weight] : weights_) {
      pool.SetWeight(customer_id{customer}, 1);
    }
    for (const auto& [customer, weight] : weights) {
      pool.SetWeight(customer_id{customer}, weight);
    }
  }
  weights_ = std::move(weights);
}

bool executor_lane::IsOpen(const vm_id& vm, const executor& each) const {
  return each.present && !each.listed.leaving() && !drained_.contains(vm);
}

void executor_lane::UpdateOpen(const vm_id& vm, const executor& each, time_point now) {
  dispatch_output out;
  PoolOf(each.listed.service()).SetOpen(vm, IsOpen(vm, each), now, out);
  Absorb(out);
}

void executor_lane::RemoveUnlisted(time_point now) {
  // The list may drop an executor before its last answers are read. Removed at once, what it runs
  // would be told lost and tried again while the first answer is still to come.
  for (auto at = executors_.begin(); at != executors_.end();) {
    const auto& [vm, each] = *at;
    auto& pool = PoolOf(each.listed.service());
    if (each.present || pool.TakenOn(vm) > 0) {
      ++at;
      continue;
    }
    dispatch_output out;
    pool.RemoveExecutor(vm, now, out);
    Absorb(out);
    at = executors_.erase(at);
  }
}

void executor_lane::SendOnUnserved() {
  for (auto& [service, pool] : pools_) {
    if (pool.AnyOpen()) {
      continue;
    }
    for (const auto ticket : pool.WithdrawUnsent()) {
      SendOn(ticket, std::exchange(items_.at(ticket), {}).delegated);
      items_.erase(ticket);
    }
  }
}

void executor_lane::SendOn(std::uint64_t ticket, bool delegated) {
  if (delegated) {
    // Sent on by each shard in turn, it would go round until its deadline.
    actions_.failures.push_back(
        {ticket, {error_kind::kTargetUnreachable, "no executor of the service", kComeBack}});
  } else {
    actions_.delegations.push_back({ticket, 1});
  }
}

void executor_lane::Submit(std::uint64_t ticket, const open_request& request, time_point now) {
  const auto& service = request.call.service();
  const auto found = pools_.find(service);
  if (found == pools_.end() || !found->second.AnyOpen()) {
    SendOn(ticket, request.call.delegated());
    return;
  }
  items_[ticket] = {service, request.call.delegated()};
  dispatch_output out;
  found->second.Submit(RequestOf(ticket, request), now, out);
  Absorb(out);
}

bool executor_lane::OnAnswered(std::uint64_t ticket, std::uint32_t attempt,
                               std::uint32_t http_status, time_point now) {
  const auto found = items_.find(ticket);
  if (found == items_.end()) {
    return false;
  }
  dispatch_output out;
  const bool faulty = http_status >= kServerError;
  const bool is_final = PoolOf(found->second.service).OnAnswered(ticket, attempt, now, out, faulty);
  if (is_final) {
    items_.erase(found);
  }
  Absorb(out);
  return is_final;
}

void executor_lane::OnFailed(std::uint64_t ticket, std::uint32_t attempt, const error& why,
                             time_point now) {
  const auto found = items_.find(ticket);
  if (found == items_.end()) {
    return;
  }
  dispatch_output out;
  PoolOf(found->second.service).OnFailed(ticket, attempt, why.kind, now, out);
  for (auto& failure : out.failures) {
    if (failure.ticket == ticket) {
      failure.why.detail += ": " + why.detail;
    }
  }
  Absorb(out);
}

void executor_lane::Tick(time_point now) {
  for (auto& [service, pool] : pools_) {
    dispatch_output out;
    pool.Tick(now, out);
    Absorb(out);
  }
  RemoveUnlisted(now);
}

void executor_lane::Absorb(dispatch_output& out) {
  for (auto& send : out.sends) {
    const auto& address = executors_.at(send.vm).listed.address();
    actions_.sends.push_back({send.ticket, send.attempt, send.vm, address, send.valid_until});
  }
  for (auto& failure : out.failures) {
    items_.erase(failure.ticket);
    actions_.failures.push_back({failure.ticket, std::move(failure.why)});
  }
}

lane_actions executor_lane::Take() { return std::exchange(actions_, {}); }

void executor_lane::Drop(time_point now) {
  for (auto& [service, pool] : pools_) {
    pool.DropRequests(now);
  }
  items_.clear();
  actions_ = {};
}

std::uint32_t executor_lane::FreeSlots() const {
  std::uint64_t free = 0;
  for (const auto& [service, pool] : pools_) {
    free += pool.FreeSlots();
  }
  return static_cast<std::uint32_t>(free);
}

std::set<std::string> executor_lane::Services() const {
  std::set<std::string> services;
  for (const auto& [service, pool] : pools_) {
    if (pool.AnyOpen()) {
      services.insert(service);
    }
  }
  return services;
}

boost::json::value executor_lane::Dump() const {
  boost::json::array rows;
  for (const auto& [vm, each] : executors_) {
    const auto& pool = pools_.at(each.listed.service());
    rows.push_back(boost::json::object{{"vm", vm.value()},
                                       {"service", each.listed.service()},
                                       {"busy", pool.TakenOn(vm)},
                                       {"slots", each.listed.slots()},
                                       {"open", pool.IsOpen(vm)}});
  }
  std::size_t queued = 0;
  for (const auto& [service, pool] : pools_) {
    queued += pool.Queued();
  }
  return boost::json::object{{"executors", std::move(rows)}, {"queued", queued}};
}

}  // namespace rosearch
