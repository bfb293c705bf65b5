#include "rosearch/cell/queue_shedding.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "rosearch/admission/id_filter.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::cell {
namespace {

constexpr std::string_view kRecordKey = "shed";

/// Limits of the retry delay, as for jobs that the scheduler refuses.
constexpr duration kMinRetryAfter = std::chrono::seconds{1};
constexpr duration kMaxRetryAfter = std::chrono::seconds{20};

std::uint32_t Millis(duration span) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

}  // namespace

bool queue_shedding::Restore(const sched::stored_record& record, time_point now) {
  if (record.key != kRecordKey) {
    return false;
  }
  wire::stored_shed_queues stored;
  if (!stored.ParseFromString(record.value)) {
    log_.Write(event_line{"record_unreadable", event_weight::kFailure}.Add("key", record.key));
    return true;
  }
  std::vector<admission::shed_record> queues;
  for (const auto& each : stored.queues()) {
    queues.push_back({each.queue(), each.config_version()});
  }
  lease_.Restore(queues, now);
  return true;
}

std::optional<duration> queue_shedding::RefuseNew(std::string_view queue, time_point now) const {
  if (!lease_.IsHeld(queue, scheduler_.configuration().version, now)) {
    return std::nullopt;
  }
  return RetryAfter(std::string{queue});
}

duration queue_shedding::RetryAfter(const std::string& queue) const {
  const auto known = waits_.find(queue);
  return known == waits_.end() ? kMinRetryAfter
                               : std::clamp(known->second, kMinRetryAfter, kMaxRetryAfter);
}

void queue_shedding::OnVerdict(const std::string& queue, const sched::submit_answer& verdict,
                               time_point now) {
  if (!may_close_ || scheduler_.configuration().customers.empty()) {
    return;
  }
  if (verdict.verdict == sched::submit_verdict::kRefused && verdict.reason == "overload") {
    policy_.OnRefused(queue, now);
  } else if (verdict.reason == "new") {
    policy_.OnAccepted(queue);
  }
}

void queue_shedding::Update(const sched::instant& now, time_point suspend_aware_now) {
  const auto& configuration = scheduler_.configuration();
  if (std::exchange(config_version_, configuration.version) != configuration.version) {
    // Windows of another version may name queues that have changed.
    policy_.Reset();
    lease_.ReopenAll();
  }
  waits_.clear();
  for (const auto& rules : configuration.queues) {
    if (lease_.IsClosed(rules.Key())) {
      waits_[rules.Key()] = scheduler_.ExpectedWait(rules.Key(), now).excess;
    }
  }
  const auto expected_wait = [&](const std::string& queue) {
    const auto wait = scheduler_.ExpectedWait(queue, now);
    return wait.excess > duration{} ? wait.total : duration{};
  };
  for (const auto& decision : policy_.Decide(expected_wait, suspend_aware_now)) {
    Apply(decision);
  }
  metrics_.Set("rosearch_queues_closed", static_cast<double>(waits_.size()));
}

void queue_shedding::Apply(const admission::shed_decision& decision) {
  if (decision.close) {
    lease_.Close(decision.queue, config_version_);
    waits_[decision.queue] = kMinRetryAfter;  // until the next call of `Update`
  } else {
    lease_.Reopen(decision.queue);
    waits_.erase(decision.queue);
  }
  log_.Write(
      event_line{decision.close ? "queue_closed" : "queue_reopened", event_weight::kStateChange}
          .Add("queue", decision.queue)
          .Add("refused", decision.refused)
          .Add("since_ms", decision.since)
          .Add("wait_ms", decision.expected_wait));
}

void queue_shedding::AddRecord(sched::state_batch& batch, time_point now) {
  if (!lease_.HasRecord(now)) {
    return;
  }
  wire::stored_shed_queues stored;
  for (const auto& record : lease_.TakeRecord(batch.number)) {
    auto& queue = *stored.add_queues();
    queue.set_queue(record.queue);
    queue.set_config_version(record.config_version);
  }
  batch.records.push_back({std::string{kRecordKey}, stored.SerializeAsString()});
}

std::string queue_shedding::EncodeWindow(const admission::shed_grant& grant) const {
  wire::peer_frame frame;
  auto& pong = *frame.mutable_pong();
  pong.set_shed_version(grant.version);
  // An open queue with a longer prefix takes calls from a closed one, so both are named.
  for (const auto& rules : scheduler_.configuration().queues) {
    const bool closed = std::ranges::find(grant.queues, rules.Key()) != grant.queues.end();
    auto& queue = *pong.add_shed_queues();
    queue.set_host(rules.host);
    queue.set_path_prefix(rules.path_prefix);
    queue.set_retry_after_ms(closed ? Millis(RetryAfter(rules.Key())) : 0);
    queue.set_requires_key(rules.requires_key);
  }
  return frame.SerializeAsString();
}

std::string queue_shedding::EncodeFilter(const admission::shed_grant& grant) const {
  const auto ids = scheduler_.KnownJobs(grant.queues);
  admission::id_filter filter{ids.size(), grant.version};
  for (const auto& id : ids) {
    filter.Add(id);
  }
  wire::peer_frame frame;
  frame.mutable_pong()->set_shed_filter(filter.bytes());
  return frame.SerializeAsString();
}

shed_offer queue_shedding::MakeOffer(time_point now) {
  if (scheduler_.configuration().version != config_version_) {
    lease_.ReopenAll();  // the next `Update` resets the policy
  }
  const auto grant = lease_.Grant(now);
  if (grant.version == 0) {
    return {};
  }
  if (std::exchange(filter_version_, grant.version) != grant.version) {
    filter_ = std::make_shared<const std::string>(EncodeFilter(grant));
  }
  return {grant.version, grant.send_until, EncodeWindow(grant), filter_};
}

}  // namespace rosearch::cell
