#include "rosearch/shard/job_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

using internal::FromWire;

/// Questions to the owner of a new term are spread over this long, so that a takeover isn't met by
/// thousands of messages at once.
constexpr duration kAskSpread = std::chrono::seconds{2};

std::uint32_t PriorityOf(const shard_state& state, const task_key& key) {
  const auto* const job = state.FindJob(key.job);
  return job == nullptr ? 0 : job->accepted.treatment().priority();
}

}  // namespace

job_table::job_table(shard_number shard, region_id region, job_settings settings,
                     shard_journal& journal, std::uint64_t seed)
    : shard_{shard},
      region_{std::move(region)},
      settings_{settings},
      journal_{journal},
      random_{seed} {}

void job_table::Rebuild(time_point now) {
  drives_.clear();
  due_.clear();
  waiting_ = 0;
  for (const auto& [key, job] : journal_.state().jobs()) {
    TakeUp(key, job, now);
    DriveOf(key).changed = journal_.sequence();
  }
}

void job_table::Drop(shard_output& out) {
  for (const auto& [key, job] : drives_) {
    for (const auto& waiting : {job.submitters, job.cancellers}) {
      for (const auto& to : waiting) {
        // The record may or may not have reached the successor; asking it again is safe.
        out.answers.push_back(
            {to, ErrorAnswer(error{error_kind::kInterrupted, "ownership changed"})});
      }
    }
  }
  for (const auto& held : std::exchange(held_answers_, {})) {
    out.answers.push_back(
        {held.answer.to, ErrorAnswer(error{error_kind::kInterrupted, "ownership changed"})});
  }
  drives_.clear();
  due_.clear();
  waiting_ = 0;
}

void job_table::TakeUp(const job_key& key, const job_entry& job, time_point now) {
  auto& drive_of_job = drives_[key];
  const auto& spec = job.accepted.spec();
  drive_of_job.tasks.resize(job.tasks.size());
  drive_of_job.deadline =
      spec.deadline_ms() == 0 ? kNever : now + std::chrono::milliseconds{spec.deadline_ms()};
  bool is_waiting = false;  // some task
  std::uint32_t index = 0;
  for (const auto& slot : job.tasks) {
    is_waiting = is_waiting || slot.state == wire::TASK_QUEUED;
    const task_key task{key, index};
    auto& drive_of_task = drive_of_job.tasks[index++];
    drive_of_task.at = stage::kIdle;
    ++waiting_;
    if (slot.state == wire::TASK_ENDED) {
      SetStage(drive_of_task, stage::kEnded);
      continue;
    }
    if (slot.state != wire::TASK_QUEUED) {
      // The former owner may have asked for it: the capacity shard knows, and asking again is safe.
      SetStage(drive_of_task, slot.held ? stage::kHeld : stage::kAsked);
      drive_of_task.asked_before = true;
      drive_of_job.gang_committing = drive_of_job.gang_committing || (IsGang(job) && !slot.held);
      // Holds whose commit was never recorded are given up: they may have lapsed meanwhile.
      drive_of_job.gang_broken = drive_of_job.gang_broken || slot.held;
    }
    SetDue(task, drive_of_task, now);
  }
  // All members are committed together: one that waits beside them has failed, and the gang is to
  // be tried again once the others have ended.
  drive_of_job.gang_broken =
      drive_of_job.gang_broken || (drive_of_job.gang_committing && is_waiting);
  if (job.Ended()) {
    drive_of_job.forget_at = now + settings_.keep_ended;
    SetDue({key, 0}, drive_of_job.tasks.front(), drive_of_job.forget_at);
  }
}

void job_table::OnTermOf(shard_number shard, time_point now) {
  for (auto& [key, job] : drives_) {
    std::uint32_t index = 0;
    for (auto& task : job.tasks) {
      const task_key task_name{key, index++};
      const bool placed = task.at == stage::kAsked || task.at == stage::kRunning;
      if (placed && SlotOf(task_name).target == shard) {
        SetStage(task, stage::kAsked);
        const auto spread = random_.Between(0, kAskSpread.count());
        SetDue(task_name, task, now + duration{spread});
      }
    }
  }
}

void job_table::Tick(const job_context& context, shard_output& out) {
  std::vector<task_key> batch;
  for (const auto& [due, key] : due_) {
    if (due > context.now || batch.size() == settings_.steps_per_tick) {
      break;
    }
    batch.push_back(key);
  }
  std::ranges::stable_sort(batch, std::greater{}, [this](const task_key& key) {
    return PriorityOf(journal_.state(), key);
  });
  no_room_.clear();
  for (const auto& key : batch) {
    Step(key, context, out);
  }
}

void job_table::Step(const task_key& key, const job_context& context, shard_output& out) {
  const auto found = drives_.find(key.job);
  if (found == drives_.end() || found->second.tasks[key.index].due > context.now) {
    return;
  }
  auto& job = found->second;
  auto& task = job.tasks[key.index];
  SetDue(key, task, kNever);
  const auto& entry = *journal_.state().FindJob(key.job);
  if (job.forget_at <= context.now) {
    ForgetIfOld(key.job, job, context.now);
    return;
  }
  if (IsGang(entry) && job.gang_broken) {
    BreakGang(key.job, context, out);
  }
  switch (task.at) {
    case stage::kIdle:
      StepIdle(key, context, out);
      return;
    case stage::kHeld:
      // The hold has lapsed, or the job was cancelled.
      Stop(key, out);
      SetStage(task, stage::kIdle);
      SetDue(key, task, context.now + settings_.retry_room);
      job.gang_broken = true;
      return;
    case stage::kAsked:
      if (!StopIfWanted(key, context, out)) {
        AskNow(key, context, out);
      }
      return;
    case stage::kRunning:
      (void)StopIfWanted(key, context, out);
      return;
    case stage::kSettling:
    case stage::kEnded:
      return;
  }
}

void job_table::StepIdle(const task_key& key, const job_context& context, shard_output& out) {
  const auto& entry = *journal_.state().FindJob(key.job);
  auto& job = DriveOf(key.job);
  if (entry.cancelled) {
    EndTask(key, EndingOf(error_kind::kCancelled, "cancelled before it started"));
    return;
  }
  if (context.now >= job.deadline && !IsService(entry)) {
    EndTask(key, EndingOf(error_kind::kDeadlinePassed, "no room before the deadline"));
    if (IsGang(entry)) {
      WakeGang(key.job, context.now);
    }
    return;
  }
  if (IsGang(entry)) {
    StepGang(key.job, context, out);
    return;
  }
  auto& task = job.tasks[key.index];
  const auto& spec = entry.accepted.spec();
  const auto needs = FromWire(spec.needs());
  const auto again = [&] { SetDue(key, task, context.now + settings_.retry_room); };
  if (std::ranges::find(no_room_, needs) != no_room_.end() ||
      context.cell.OverQuota(spec.customer(), needs)) {
    again();
    return;
  }
  auto target = context.cell.ChooseFor(needs, shard_, region_, {});
  if (!target && spec.urgent()) {
    // The cell is full: the home shard makes room by preemption, or one that has what to preempt.
    if (context.now >= job.avoid_until) {
      job.avoid.clear();
    }
    target = context.cell.ChooseToPreempt(shard_, region_, job.avoid);
  }
  if (!target) {
    no_room_.push_back(needs);
    again();
    return;
  }
  context.cell.OnAsked(*target, needs);
  wire::shard_record record;
  *record.mutable_placing()->mutable_ref() = RefOf(key, SlotOf(key).attempt + 1);
  record.mutable_placing()->set_target_shard(*target);
  Record(key.job, std::move(record));
  SetStage(task, stage::kSettling);
  task.asked_before = false;
}

void job_table::AskNow(const task_key& key, const job_context& context, shard_output& out) {
  const auto& slot = SlotOf(key);
  const auto& entry = *journal_.state().FindJob(key.job);
  const auto& spec = entry.accepted.spec();
  auto& task = DriveOf(key.job).tasks[key.index];
  auto message = MessageTo(slot.target);
  if (IsGang(entry) && !slot.held) {
    *message.mutable_commit()->mutable_ref() = RefOf(key, slot.attempt);
  } else {
    auto& place = *message.mutable_place();
    *place.mutable_want() = WantOf(key);
    place.set_hold(slot.held);
    place.set_repeated(task.asked_before);
    place.set_policy(entry.accepted.treatment().policy());
    place.set_urgent(spec.urgent());
    place.set_hold_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.hold).count()));
  }
  out.capacity.push_back(std::move(message));
  task.asked_before = true;
  SetDue(key, task, context.now + settings_.ask_again);
}

void job_table::Stop(const task_key& key, shard_output& out) const {
  const auto& slot = SlotOf(key);
  auto message = MessageTo(slot.target);
  *message.mutable_stop()->mutable_ref() = RefOf(key, slot.attempt);
  out.capacity.push_back(std::move(message));
}

bool job_table::StopIfWanted(const task_key& key, const job_context& context, shard_output& out) {
  auto& task = DriveOf(key.job).tasks[key.index];
  if (!journal_.state().FindJob(key.job)->cancelled && !task.stopping) {
    return false;
  }
  // Repeated until the capacity shard says how the attempt ended. It is not asked for the place
  // again: a question that overtakes the stop would start what was cancelled.
  task.stopping = true;
  Stop(key, out);
  SetDue(key, task, context.now + settings_.ask_again);
  return true;
}

void job_table::ForgetIfOld(const job_key& key, job_drive& job, time_point now) {
  if (now < job.forget_at) {
    return;
  }
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    SetDue({key, index}, job.tasks[index], kNever);
  }
  drives_.erase(key);
  wire::shard_record record;
  record.mutable_forgotten()->set_customer(key.customer);
  record.mutable_forgotten()->set_job(key.job);
  journal_.Propose(std::move(record));
}

const task_slot& job_table::SlotOf(const task_key& key) const {
  return *journal_.state().FindTask(key);
}

void job_table::SetDue(const task_key& key, drive& task, time_point due) {
  if (task.due != kNever) {
    due_.erase({task.due, key});
  }
  task.due = due;
  if (due != kNever) {
    due_.emplace(due, key);
  }
}

void job_table::SetStage(drive& task, stage at) {
  waiting_ -= task.at == stage::kIdle ? 1 : 0;
  task.at = at;
  waiting_ += task.at == stage::kIdle ? 1 : 0;
}

wire::capacity_message job_table::MessageTo(shard_number shard) const {
  wire::capacity_message message;
  message.set_from_shard(shard_);
  message.set_to_shard(shard);
  return message;
}

wire::placement_made job_table::WantOf(const task_key& key) const {
  const auto& entry = *journal_.state().FindJob(key.job);
  const auto& spec = entry.accepted.spec();
  const auto& treatment = entry.accepted.treatment();
  wire::placement_made want;
  *want.mutable_ref() = RefOf(key, SlotOf(key).attempt);
  *want.mutable_needs() = spec.needs();
  want.set_home_shard(shard_);
  want.set_at_most_once(spec.at_most_once());
  want.set_preemptible(treatment.preemptible() && !spec.at_most_once());
  want.set_priority(treatment.priority());
  want.set_run_ms(spec.run_ms());
  want.set_payload(spec.payload());
  want.set_customer(spec.customer());
  want.set_spread_over(spec.customer() + '/' + spec.job());
  return want;
}

void job_table::Record(const job_key& key, wire::shard_record record) {
  journal_.Propose(std::move(record));
  DriveOf(key).changed = journal_.sequence();
}

}  // namespace rosearch
