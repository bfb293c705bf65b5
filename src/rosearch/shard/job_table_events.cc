#include <string>
#include <utility>

#include "rosearch/shard/job_table.h"

namespace rosearch {
namespace {

bool MayRunAgain(const job_entry& job) { return !job.accepted.spec().at_most_once(); }

}  // namespace

// What becomes of attempts: the events of capacity shards, and the records that settle them.

void job_table::OnEvent(shard_number from, const wire::place_event& event,
                        const job_context& context, shard_output& out) {
  const auto key = ParseTaskKey(event.ref().task());
  const auto acknowledge = [&] {
    auto message = MessageTo(from);
    *message.mutable_ack()->mutable_ref() = event.ref();
    message.mutable_ack()->set_home_shard(shard_);
    message.mutable_ack()->set_kind(event.kind());
    out.capacity.push_back(std::move(message));
  };
  const auto* const slot = key ? journal_.state().FindTask(*key) : nullptr;
  if (slot == nullptr || slot->attempt != event.ref().attempt() || slot->target != from ||
      slot->state == wire::TASK_QUEUED || slot->state == wire::TASK_ENDED) {
    // An attempt that this shard has settled before, or doesn't know: nobody waits for it. While
    // the record that settled it is not durable yet, the acknowledgement has to wait.
    const bool settling = slot != nullptr && DriveOf(key->job).tasks[key->index].ack.has_value();
    if (settling) {
      return;
    }
    acknowledge();
    if (event.kind() == wire::PLACE_STARTED || event.kind() == wire::PLACE_HELD) {
      auto stop = MessageTo(from);
      *stop.mutable_stop()->mutable_ref() = event.ref();
      out.capacity.push_back(std::move(stop));
    }
    return;
  }
  auto& job = DriveOf(key->job);
  auto& task = job.tasks[key->index];
  switch (event.kind()) {
    case wire::PLACE_HELD:
      if (task.at == stage::kAsked && slot->held) {
        SetStage(task, stage::kHeld);
        SetDue(*key, task, context.now + settings_.hold);
        CommitGangIfHeld(key->job, context.now);
      }
      return;
    case wire::PLACE_STARTED:
      if (task.at == stage::kAsked) {
        SetStage(task, stage::kRunning);
        task.vm = event.vm();
        // A start may be confirmed between a cancel and the step that sends its stop. Not due
        // again, the task would run on, seen by its caller as a cancelled job that never ends.
        const bool stops = task.stopping || journal_.state().FindJob(key->job)->cancelled;
        SetDue(*key, task, stops ? context.now : kNever);
      }
      return;
    case wire::PLACE_REFUSED:
      if (task.at != stage::kAsked && task.at != stage::kHeld) {
        return;
      }
      context.cell.OnRefused(from);
      SetStage(task, stage::kIdle);
      task.stopping = false;
      SetDue(*key, task, context.now + settings_.retry_room);
      job.avoid.insert(from);
      job.avoid_until = context.now + settings_.avoid;
      if (IsGang(*journal_.state().FindJob(key->job))) {
        BreakGang(key->job, context, out);
      }
      return;
    case wire::PLACE_ENDED:
    case wire::PLACE_LOST:
      Ended(*key, event, context);
      task.ack.emplace();
      *task.ack->mutable_ref() = event.ref();
      task.ack->set_home_shard(shard_);
      task.ack->set_kind(event.kind());
      return;
    default:
      return;
  }
}

void job_table::Ended(const task_key& key, const wire::place_event& event,
                      const job_context& context) {
  const auto& job = *journal_.state().FindJob(key.job);
  const auto& slot = SlotOf(key);
  const auto& treatment = job.accepted.treatment();
  const bool lost = event.kind() == wire::PLACE_LOST;
  auto how = event.how();
  if (lost && how.error().kind().empty()) {
    how = EndingOf(error_kind::kTargetLost, "the VM was lost while the task may have run");
  }
  how.set_vm(event.vm());
  const auto kind = ErrorKindFromName(how.error().kind());
  const bool done = how.error().kind().empty();
  const bool failed = !done && kind == error_kind::kTargetFailed;
  const bool ran = lost || EffectOf(how) != outcome::kNotRun;

  if (job.cancelled) {
    EndTask(key,
            done ? how
                 : EndingOf(ran ? error_kind::kInterrupted : error_kind::kCancelled, "cancelled"));
    return;
  }
  if (IsService(job)) {
    Requeue(key, std::string{how.error().kind()}, {.charged = false, .ran = ran},
            context.now + (failed ? settings_.retry_failed : settings_.retry_room));
    return;
  }
  if (done || (ran && !MayRunAgain(job)) || (failed && slot.charged >= treatment.retries())) {
    EndTask(key, how);
    if (IsGang(job)) {
      WakeGang(key.job, context.now + settings_.retry_room);
    }
    return;
  }
  DriveOf(key.job).gang_broken = IsGang(job);
  Requeue(key, how.error().kind(), {.charged = failed, .ran = ran},
          context.now + (failed ? settings_.retry_failed : settings_.retry_room));
}

void job_table::EndTask(const task_key& key, wire::ending how) {
  if (SlotOf(key).ran && EffectOf(how) == outcome::kNotRun) {
    // The last attempt did not run, but one before it did: "not run" of the task would be untrue,
    // and a caller who believes it sends the same work to somebody else as well.
    how = EndingOf(error_kind::kInterrupted,
                   how.error().kind() + " after an attempt that may have run");
  }
  wire::shard_record record;
  *record.mutable_ended()->mutable_ref() = RefOf(key, SlotOf(key).attempt);
  *record.mutable_ended()->mutable_how() = std::move(how);
  Record(key.job, std::move(record));
  auto& task = DriveOf(key.job).tasks[key.index];
  SetStage(task, stage::kEnded);
  SetDue(key, task, kNever);
}

void job_table::Requeue(const task_key& key, const std::string& cause, attempt_effect effect,
                        time_point due) {
  wire::shard_record record;
  *record.mutable_requeued()->mutable_ref() = RefOf(key, SlotOf(key).attempt);
  record.mutable_requeued()->set_cause(cause);
  record.mutable_requeued()->set_charged(effect.charged);
  record.mutable_requeued()->set_ran(effect.ran);
  Record(key.job, std::move(record));
  auto& task = DriveOf(key.job).tasks[key.index];
  SetStage(task, stage::kIdle);
  task.stopping = false;
  task.vm.clear();
  SetDue(key, task, due);
}

void job_table::OnDurable(const wire::shard_record& record, const job_context& context,
                          shard_output& out) {
  SendSecuredAnswers(out);
  const auto settle = [&](const wire::task_ref& ref) {
    const auto key = ParseTaskKey(ref.task());
    const auto found = key ? drives_.find(key->job) : drives_.end();
    if (found == drives_.end()) {
      return;
    }
    auto& task = found->second.tasks[key->index];
    if (task.ack && task.ack->ref().attempt() == ref.attempt()) {
      auto message = MessageTo(SlotOf(*key).target);
      *message.mutable_ack() = std::move(*task.ack);
      out.capacity.push_back(std::move(message));
      task.ack.reset();
    }
    const auto* const job = journal_.state().FindJob(key->job);
    if (job != nullptr && job->Ended() && found->second.forget_at == kNever) {
      found->second.forget_at = context.now + settings_.keep_ended;
      SetDue({key->job, 0}, found->second.tasks.front(), found->second.forget_at);
    }
  };
  switch (record.body_case()) {
    case wire::shard_record::kAccepted: {
      const job_key key{record.accepted().spec().customer(), record.accepted().spec().job()};
      const auto found = drives_.find(key);
      if (found == drives_.end()) {
        return;
      }
      for (const auto& to : std::exchange(found->second.submitters, {})) {
        Answer(to, key, out);
      }
      for (std::uint32_t index = 0; index < found->second.tasks.size(); ++index) {
        if (found->second.tasks[index].at == stage::kIdle) {
          SetDue({key, index}, found->second.tasks[index], context.now);
        }
      }
      return;
    }
    case wire::shard_record::kCancelled: {
      const job_key key{record.cancelled().customer(), record.cancelled().job()};
      const auto found = drives_.find(key);
      if (found != drives_.end()) {
        for (const auto& to : std::exchange(found->second.cancellers, {})) {
          Answer(to, key, out);
        }
      }
      return;
    }
    case wire::shard_record::kPlacing: {
      const auto key = ParseTaskKey(record.placing().ref().task());
      const auto found = key ? drives_.find(key->job) : drives_.end();
      if (found == drives_.end()) {
        return;
      }
      auto& task = found->second.tasks[key->index];
      const auto& slot = SlotOf(*key);
      if (task.at == stage::kSettling && slot.attempt == record.placing().ref().attempt() &&
          slot.held == record.placing().held()) {
        SetStage(task, stage::kAsked);
        AskNow(*key, context, out);
      }
      return;
    }
    case wire::shard_record::kRequeued:
      settle(record.requeued().ref());
      return;
    case wire::shard_record::kEnded:
      settle(record.ended().ref());
      return;
    default:
      return;
  }
}

}  // namespace rosearch
