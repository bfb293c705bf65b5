#include "rosearch/shard/shard_state.h"

#include <algorithm>

namespace rosearch {
namespace {

task_slot SlotOf(const wire::task_snapshot& snapshot) {
  task_slot slot;
  slot.state = snapshot.state();
  slot.attempt = snapshot.ref().attempt();
  slot.target = snapshot.target_shard();
  slot.held = snapshot.held();
  slot.charged = snapshot.charged();
  slot.ran = snapshot.ran();
  slot.how = snapshot.how();
  return slot;
}

}  // namespace

bool job_entry::Ended() const {
  return std::ranges::all_of(tasks,
                             [](const task_slot& task) { return task.state == wire::TASK_ENDED; });
}

void shard_state::Apply(const wire::shard_record& record) {
  switch (record.body_case()) {
    case wire::shard_record::kAccepted:
      ApplyAccepted(record.accepted());
      return;
    case wire::shard_record::kPlacing:
      if (auto* const slot = Slot(record.placing().ref())) {
        slot->state = wire::TASK_PLACING;
        slot->attempt = record.placing().ref().attempt();
        slot->target = record.placing().target_shard();
        slot->held = record.placing().held();
      }
      return;
    case wire::shard_record::kActive:
      if (auto* const slot = Slot(record.active().ref())) {
        slot->state = wire::TASK_ACTIVE;
      }
      return;
    case wire::shard_record::kRequeued:
      if (auto* const slot = Slot(record.requeued().ref())) {
        slot->state = wire::TASK_QUEUED;
        slot->held = false;
        slot->charged += record.requeued().charged() ? 1 : 0;
        slot->ran = slot->ran || record.requeued().ran();
      }
      return;
    case wire::shard_record::kEnded:
      if (auto* const slot = Slot(record.ended().ref())) {
        slot->state = wire::TASK_ENDED;
        slot->how = record.ended().how();
      }
      return;
    case wire::shard_record::kCancelled:
      ApplyCancelled(record.cancelled());
      return;
    case wire::shard_record::kForgotten:
      jobs_.erase({record.forgotten().customer(), record.forgotten().job()});
      return;
    case wire::shard_record::kPlaced:
      placements_[KeyOf(record.placed().ref())] = record.placed();
      return;
    case wire::shard_record::kFreed:
      placements_.erase(KeyOf(record.freed().ref()));
      return;
    case wire::shard_record::kAdmitted:
      requests_[{record.admitted().customer(), record.admitted().request()}].admitted =
          record.admitted();
      return;
    case wire::shard_record::kRequestDone: {
      const auto found =
          requests_.find({record.request_done().customer(), record.request_done().request()});
      if (found != requests_.end()) {
        found->second.ended = true;
        found->second.how = record.request_done().how();
      }
      return;
    }
    case wire::shard_record::kSnapshot:
      Load(record.snapshot());
      return;
    case wire::shard_record::kRecovery:
      recovery_ = record.recovery();
      return;
    case wire::shard_record::BODY_NOT_SET:
      return;
  }
}

void shard_state::Load(const wire::shard_snapshot& snapshot) {
  jobs_.clear();
  placements_.clear();
  requests_.clear();
  recovery_ = snapshot.recovery();
  for (const auto& job : snapshot.jobs()) {
    auto& entry = jobs_[{job.job().spec().customer(), job.job().spec().job()}];
    entry.accepted = job.job();
    entry.cancelled = job.cancelled();
    for (const auto& task : job.tasks()) {
      entry.tasks.push_back(SlotOf(task));
    }
  }
  for (const auto& placement : snapshot.placements()) {
    placements_[KeyOf(placement.ref())] = placement;
  }
  for (const auto& request : snapshot.requests()) {
    requests_[{request.admitted().customer(), request.admitted().request()}] = {
        request.admitted(), request.ended(), request.how()};
  }
}

wire::job_snapshot shard_state::Describe(const job_entry& entry) {
  wire::job_snapshot snapshot;
  *snapshot.mutable_job() = entry.accepted;
  snapshot.set_cancelled(entry.cancelled);
  const auto& spec = entry.accepted.spec();
  std::uint32_t index = 0;
  for (const auto& slot : entry.tasks) {
    auto& task = *snapshot.add_tasks();
    task.mutable_ref()->set_task(ToText({{spec.customer(), spec.job()}, index++}));
    task.mutable_ref()->set_attempt(slot.attempt);
    task.set_state(slot.state);
    task.set_target_shard(slot.target);
    task.set_held(slot.held);
    task.set_charged(slot.charged);
    task.set_ran(slot.ran);
    *task.mutable_how() = slot.how;
  }
  return snapshot;
}

wire::shard_snapshot shard_state::Snapshot() const {
  wire::shard_snapshot snapshot;
  *snapshot.mutable_recovery() = recovery_;
  for (const auto& [key, entry] : jobs_) {
    *snapshot.add_jobs() = Describe(entry);
  }
  for (const auto& [key, placement] : placements_) {
    *snapshot.add_placements() = placement;
  }
  for (const auto& [key, entry] : requests_) {
    auto& request = *snapshot.add_requests();
    *request.mutable_admitted() = entry.admitted;
    request.set_ended(entry.ended);
    *request.mutable_how() = entry.how;
  }
  return snapshot;
}

void shard_state::ForgetRequestsBefore(std::uint64_t issued_ms) {
  std::erase_if(requests_, [issued_ms](const auto& item) {
    return item.second.admitted.issued_ms() < issued_ms;
  });
}

const job_entry* shard_state::FindJob(const job_key& key) const {
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : &found->second;
}

const task_slot* shard_state::FindTask(const task_key& key) const {
  const auto* const job = FindJob(key.job);
  return job == nullptr || key.index >= job->tasks.size() ? nullptr : &job->tasks[key.index];
}

task_slot* shard_state::Slot(const wire::task_ref& ref) {
  const auto key = ParseTaskKey(ref.task());
  if (!key) {
    return nullptr;
  }
  const auto found = jobs_.find(key->job);
  if (found == jobs_.end() || key->index >= found->second.tasks.size()) {
    return nullptr;
  }
  auto& slot = found->second.tasks[key->index];
  return slot.state == wire::TASK_ENDED ? nullptr : &slot;
}

void shard_state::ApplyAccepted(const wire::job_accepted& record) {
  auto& entry = jobs_[{record.spec().customer(), record.spec().job()}];
  entry.accepted = record;
  entry.tasks.assign(record.spec().count(), task_slot{});
}

void shard_state::ApplyCancelled(const wire::job_cancelled& record) {
  const auto found = jobs_.find({record.customer(), record.job()});
  if (found != jobs_.end()) {
    found->second.cancelled = true;
  }
}

}  // namespace rosearch
