#include <algorithm>
#include <chrono>
#include <utility>

#include "rosearch/capacity/amounts.h"
#include "rosearch/shard/job_table.h"

// Gangs: all tasks are held, then committed, or none is.

namespace rosearch {
namespace {

using internal::FromWire;

}  // namespace

void job_table::StepGang(const job_key& key, const job_context& context, shard_output& out) {
  auto& job = DriveOf(key);
  if (job.gang_broken) {
    RestartGangIfStill(key, context);
    return;
  }
  const auto unsettled = [](const drive& task) {
    return task.at != stage::kIdle && task.at != stage::kEnded;
  };
  if (job.gang_committing || std::ranges::any_of(job.tasks, unsettled)) {
    return;
  }
  PlaceGang(key, context, out);
}

void job_table::PlaceGang(const job_key& key, const job_context& context, shard_output& /*out*/) {
  auto& job = DriveOf(key);
  const auto& entry = *journal_.state().FindJob(key);
  const auto& spec = entry.accepted.spec();
  const auto needs = FromWire(spec.needs());
  if (context.now >= job.avoid_until) {
    job.avoid.clear();
  }
  std::vector<std::uint32_t> members;
  resources together;
  std::uint32_t attempt = 0;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    attempt = std::max(attempt, entry.tasks[index].attempt);
    if (job.tasks[index].at == stage::kIdle) {
      members.push_back(index);
      together = together + needs;
    }
  }
  std::vector<shard_number> targets;
  for (const auto& [number, room] : context.cell.RoomFor(needs, region_)) {
    if (!job.avoid.contains(number)) {
      targets.insert(targets.end(), std::min<std::size_t>(room, members.size() - targets.size()),
                     number);
    }
  }
  if (targets.size() < members.size() || context.cell.OverQuota(spec.customer(), together)) {
    // Two gangs that were refused at the same moment must not come back at the same moment.
    const auto wait =
        settings_.retry_room + duration{random_.Between(0, settings_.retry_room.count())};
    SetDue({key, members.front()}, job.tasks[members.front()], context.now + wait);
    return;
  }
  // Every gang takes its holds in ascending order of shards.
  for (std::size_t at = 0; at < members.size(); ++at) {
    const task_key task{key, members[at]};
    context.cell.OnAsked(targets[at], needs);
    wire::shard_record record;
    *record.mutable_placing()->mutable_ref() = RefOf(task, attempt + 1);
    record.mutable_placing()->set_target_shard(targets[at]);
    record.mutable_placing()->set_held(true);
    Record(key, std::move(record));
    SetStage(job.tasks[members[at]], stage::kSettling);
    SetDue(task, job.tasks[members[at]], kNever);
    job.tasks[members[at]].asked_before = false;
  }
}

void job_table::CommitGangIfHeld(const job_key& key, time_point now) {
  auto& job = DriveOf(key);
  const bool all_held = std::ranges::all_of(job.tasks, [](const drive& task) {
    return task.at == stage::kHeld || task.at == stage::kEnded;
  });
  if (!all_held || job.gang_broken) {
    return;
  }
  job.gang_committing = true;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    auto& task = job.tasks[index];
    if (task.at != stage::kHeld) {
      continue;
    }
    const task_key name{key, index};
    wire::shard_record record;
    *record.mutable_placing()->mutable_ref() = RefOf(name, SlotOf(name).attempt);
    record.mutable_placing()->set_target_shard(SlotOf(name).target);
    record.mutable_placing()->set_held(false);
    Record(key, std::move(record));
    SetStage(task, stage::kSettling);
    SetDue(name, task, now + settings_.hold);
  }
}

void job_table::BreakGang(const job_key& key, const job_context& context, shard_output& out) {
  auto& job = DriveOf(key);
  job.gang_broken = true;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    auto& task = job.tasks[index];
    const task_key name{key, index};
    const bool only_held = SlotOf(name).held;
    if (only_held &&
        (task.at == stage::kHeld || task.at == stage::kAsked || task.at == stage::kSettling)) {
      // A hold never runs without a commit, and none was recorded: it may be given up at once.
      Stop(name, out);
      SetStage(task, stage::kIdle);
      SetDue(name, task, context.now + settings_.retry_room);
    } else if (!task.stopping && (task.at == stage::kAsked || task.at == stage::kRunning)) {
      task.stopping = true;
      SetDue(name, task, context.now);
    }
  }
}

void job_table::RestartGangIfStill(const job_key& key, const job_context& context) {
  auto& job = DriveOf(key);
  const auto& entry = *journal_.state().FindJob(key);
  const auto settled = [](const drive& task) {
    return task.at == stage::kIdle || task.at == stage::kEnded;
  };
  if (!std::ranges::all_of(job.tasks, settled)) {
    return;
  }
  job.gang_broken = false;
  job.gang_committing = false;
  std::uint32_t first_idle = 0;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].at != stage::kIdle) {
      continue;
    }
    first_idle = index;
    if (entry.tasks[index].state != wire::TASK_QUEUED) {
      Requeue({key, index}, "the gang is tried again", {}, kNever);
    }
  }
  SetDue({key, first_idle}, job.tasks[first_idle], context.now + settings_.retry_room);
}

/// Members that wait for the others have no time of their own to be looked at again.
void job_table::WakeGang(const job_key& key, time_point due) {
  auto& job = DriveOf(key);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].at == stage::kIdle) {
      SetDue({key, index}, job.tasks[index], due);
    }
  }
}

}  // namespace rosearch
