#include <algorithm>
#include <boost/json/object.hpp>
#include <chrono>
#include <utility>

#include "rosearch/capacity/amounts.h"
#include "rosearch/shard/shard.h"

namespace rosearch {
namespace {

/// A caller that is refused while a shard changes hands may ask again after this.
constexpr duration kComeBack = std::chrono::milliseconds{500};

std::uint32_t LeftMs(time_point until, time_point now) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

}  // namespace

// Work of one shard: VMs, callers, and what others and people are told of it.

void shard::OnVmList(const std::vector<wire::vm_record>& vms, const step_time& at,
                     shard_output& out) {
  std::vector<wire::vm_record> workers;
  std::vector<wire::vm_record> executors;
  for (const auto& vm : vms) {
    if (vm.kind() == wire::VM_WORKER) {
      workers.push_back(vm);
    } else if (vm.kind() == wire::VM_EXECUTOR) {
      executors.push_back(vm);
    }
  }
  pool_output pool;
  pool_.OnVmList(workers, at.now, pool);
  Pump(pool, at, out);
  executors_.SetExecutors(executors, at.now);
  Settle(at, out);
}

void shard::OnDrain(const vm_id& vm, bool leaving, const step_time& at, shard_output& out) {
  pool_output pool;
  pool_.OnDrain(vm, leaving, at.now, pool);
  Pump(pool, at, out);
  executors_.SetDrained(vm, leaving, at.now);
  Settle(at, out);
}

void shard::OnWorkerReport(const vm_id& vm, const wire::worker_report& report, time_point sent_at,
                           const step_time& at, shard_output& out) {
  pool_output pool;
  pool_.OnReport(vm, report, sent_at, at.now, pool);
  Pump(pool, at, out);
  Settle(at, out);
}

void shard::OnWorkerFailed(const vm_id& vm, const error& failure, time_point sent_at,
                           const step_time& at, shard_output& out) {
  pool_output pool;
  pool_.OnExchangeFailed(vm, failure, sent_at, at.now, pool);
  Pump(pool, at, out);
  Settle(at, out);
}

void shard::Pump(pool_output& pool, const step_time& at, shard_output& out) {
  for (auto& record : pool.records) {
    journal_.Propose(std::move(record));
  }
  for (auto& message : pool.messages) {
    out.capacity.push_back(std::move(message));
  }
  const auto valid_until = rights_.ActDeadline();
  for (auto& exchange : pool.exchanges) {
    out.workers.push_back(
        {exchange.vm, std::move(exchange.address), std::move(exchange.command), valid_until});
  }
  pool = {};
  (void)at;
}

void shard::OnCapacity(const wire::capacity_message& message, const step_time& at,
                       shard_output& out) {
  if (!Serving(at.now) || message.to_shard() != number_) {
    return;
  }
  auto& newest = newest_terms_[message.from_shard()];
  newest = std::max(newest, cell_.TermOf(message.from_shard()));
  if (message.from_epoch() < newest) {
    // From an owner that has been replaced since: its word on an attempt may be out of date.
    return;
  }
  newest = message.from_epoch();
  TakeCapacity(message, at, out);
  Settle(at, out);
}

void shard::TakeCapacity(const wire::capacity_message& message, const step_time& at,
                         shard_output& out) {
  if (message.has_event()) {
    jobs_.OnEvent(message.from_shard(), message.event(), JobContext(at), out);
    return;
  }
  pool_output pool;
  pool_.OnMessage(message, at.now, pool);
  Pump(pool, at, out);
}

/// Messages of this shard to itself need no transport; every message gets the sender's term.
void shard::LoopBack(const step_time& at, shard_output& out) {
  std::vector<wire::capacity_message> outward;
  while (!out.capacity.empty()) {
    auto batch = std::exchange(out.capacity, {});
    for (auto& message : batch) {
      message.set_from_shard(number_);
      message.set_from_epoch(Term());
      if (message.to_shard() == number_) {
        TakeCapacity(message, at, out);
        DeliverDurable(at, out);
      } else {
        outward.push_back(std::move(message));
      }
    }
  }
  out.capacity = std::move(outward);
}

bool shard::CanAccept(time_point now) const {
  return Serving(now) && (rights_.WitnessActive() || log_up_);
}

/// An entry that has just started takes a job before it has read the VM list. Accepted here too, a
/// job that fits no worker would wait for ever.
bool shard::NeverFits(const wire::job_spec& spec) const {
  const auto needs = internal::FromWire(spec.needs());
  const bool is_known = state().FindJob({spec.customer(), spec.job()}) != nullptr;
  return !is_known && !worker_sizes_.empty() &&
         std::ranges::none_of(worker_sizes_,
                              [&](const resources& size) { return needs.FitsIn(size); });
}

void shard::Refuse(const call_origin& from, const error& why, shard_output& out) const {
  wire::call_answer answer;
  *answer.mutable_error() = ToWire(why);
  out.answers.push_back({from, std::move(answer)});
}

bool shard::Knows(const wire::job_spec& spec) const {
  return journal_.state().FindJob({spec.customer(), spec.job()}) != nullptr;
}

void shard::OnCall(const call_origin& from, const wire::call& call, const step_time& at,
                   shard_output& out) {
  if (!Serving(at.now) || draining_) {
    Refuse(from, {error_kind::kNoOwner, "this entry doesn't serve the shard", kComeBack}, out);
    return;
  }
  const auto deadline = at.now + std::chrono::milliseconds{call.left_ms()};
  const bool durable = CanAccept(at.now);
  switch (call.body_case()) {
    case wire::call::kRequest:
      requests_.OnRequest(from, call.request(), deadline, at.unix_ms, durable, out);
      break;
    case wire::call::kSubmit:
      if (!Knows(call.submit().job().spec()) && NeverFits(call.submit().job().spec())) {
        Refuse(from, {error_kind::kNeverFits, "larger than every worker that is listed", {}}, out);
        return;
      }
      jobs_.OnSubmit(from, call.submit().job(), durable, JobContext(at), out);
      break;
    case wire::call::kStatus:
      jobs_.OnStatus(from, {call.status().customer(), call.status().job()},
                     DurableBy() != durable_by::kNobody, out);
      break;
    case wire::call::kCancel:
      if (!durable) {
        Refuse(from, NoSecondCopy(), out);
        return;
      }
      jobs_.OnCancel(from, {call.cancel().customer(), call.cancel().job()}, JobContext(at), out);
      break;
    case wire::call::BODY_NOT_SET:
      Refuse(from, {error_kind::kInvalidRequest, "an empty call", std::nullopt}, out);
      return;
  }
  Settle(at, out);
}

void shard::Dispatch(const step_time& at, shard_output& out) {
  for (const auto ticket : requests_.TakeReady()) {
    executors_.Submit(ticket, *requests_.Find(ticket), at.now);
  }
  auto actions = executors_.Take();
  for (const auto& send : actions.sends) {
    const auto* const open = requests_.Find(send.ticket);
    if (open == nullptr) {
      continue;
    }
    requests_.OnSent(send.ticket);
    out.executors.push_back({send.ticket, send.attempt, send.vm, send.address, open->call,
                             std::min(send.valid_until, rights_.ActDeadline()), open->deadline});
  }
  for (const auto& send : actions.delegations) {
    const auto* const open = requests_.Find(send.ticket);
    if (open != nullptr) {
      requests_.OnSent(send.ticket);
      out.delegated.push_back({send.ticket, send.attempt, open->call, open->deadline});
    }
  }
  for (const auto& failure : actions.failures) {
    wire::call_answer answer;
    *answer.mutable_error() = ToWire(failure.why);
    requests_.Finish(failure.ticket, answer, out);
  }
}

void shard::OnExecutorAnswer(std::uint64_t ticket, std::uint32_t attempt,
                             const result<wire::call_answer>& answer, const step_time& at,
                             shard_output& out) {
  if (answer.has_value()) {
    const auto status = answer.value().http_status();
    if (executors_.OnAnswered(ticket, attempt, status, at.now)) {
      requests_.Finish(ticket, answer.value(), out);
    }
  } else {
    executors_.OnFailed(ticket, attempt, answer.error(), at.now);
  }
  Settle(at, out);
}

void shard::OnDelegated(std::uint64_t ticket, const wire::call_answer& answer, const step_time& at,
                        shard_output& out) {
  requests_.Finish(ticket, answer, out);
  Settle(at, out);
}

void shard::OnSummary(const wire::shard_summary& summary, const region_id& region,
                      const step_time& at) {
  if (summary.shard() == number_ && summary.replicated()) {
    replicated_term_ = std::max(replicated_term_, TermOf(summary));
  }
  if (replica_.whole() && replica_.version().term < replicated_term_) {
    replica_.Clear();
  }
  if (cell_.OnSummary(summary, region) && phase_ == phase::kServing) {
    jobs_.OnTermOf(summary.shard(), at.now);
  }
}

void shard::OnUsage(const entry_id& entry, const std::vector<wire::customer_usage>& usage) {
  cell_.OnUsage(entry, usage);
}

void shard::OnEntryGone(const entry_id& entry) { cell_.ForgetEntry(entry); }

void shard::SetQuotas(std::map<std::string, resources> quotas) {
  cell_.SetQuotas(std::move(quotas));
}

void shard::SetWeights(std::map<std::string, std::uint32_t> weights) {
  executors_.SetWeights(std::move(weights));
}

std::optional<wire::shard_summary> shard::Summary(time_point now) const {
  if (!Serving(now)) {
    return std::nullopt;
  }
  wire::shard_summary summary;
  summary.set_shard(number_);
  SetTerm(journal_.term(), summary);
  summary.set_replicated(journal_.IsStartReplicated());
  if (!draining_) {
    *summary.mutable_largest_room() = pool_.LargestRoom();
    *summary.mutable_total_room() = pool_.TotalRoom();
    summary.set_free_slots(executors_.FreeSlots());
    for (const auto& service : executors_.Services()) {
      summary.add_services(service);
    }
  }
  summary.set_queued(static_cast<std::uint32_t>(jobs_.Waiting() + requests_.size()));
  return summary;
}

void shard::Tick(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.Tick(at.now, rights);
  TakeRights(rights, at, out);
  if (phase_ == phase::kPaused && at.now >= paused_until_) {
    OnLost(at, out);
  }
  Search(at, out);
  PassOn(at, out);
  if (!Serving(at.now)) {
    return;
  }
  pool_output pool;
  pool_.Tick(at.now, pool);
  Pump(pool, at, out);
  if (journal_.state().recovery().incomplete() && pool_.complete()) {
    wire::shard_record record;
    *record.mutable_recovery() = journal_.state().recovery();
    record.mutable_recovery()->set_incomplete(false);
    journal_.Propose(std::move(record));
  }
  if (const auto summary = Summary(at.now)) {
    (void)cell_.OnSummary(*summary, region_);
  }
  jobs_.Tick(JobContext(at), out);
  requests_.Tick(at.unix_ms);
  executors_.Tick(at.now);
  Settle(at, out);
}

boost::json::value shard::Dump(time_point now) const {
  boost::json::object dump;
  dump["shard"] = number_;
  dump["region"] = region_.value();
  dump["serving"] = Serving(now);
  dump["right_left_ms"] = LeftMs(std::max(rights_.ActDeadline(), now), now);
  dump["rights"] = rights_.Dump();
  dump["sequence"] = journal_.sequence();
  dump["records_told"] = journal_.delivered();
  dump["records_secured"] = journal_.secured();
  dump["records_kept_by"] = Serving(now) ? DurableByName(DurableBy()) : "";
  dump["standby"] = standby_.current() ? ToText(*standby_.current()) : "";
  dump["replica_epoch"] = replica_.epoch();
  dump["replica_sequence"] = replica_.sequence();
  dump["witness_in_step"] = journal_.WitnessInStep();
  dump["jobs"] = journal_.state().jobs().size();
  dump["tasks_waiting"] = jobs_.Waiting();
  dump["placements"] = journal_.state().placements().size();
  dump["requests_open"] = requests_.size();
  dump["requests_remembered"] = journal_.state().requests().size();
  dump["executors"] = executors_.Dump();
  if (Serving(now)) {
    dump["vms"] = pool_.Dump(now);
  }
  return dump;
}

}  // namespace rosearch
