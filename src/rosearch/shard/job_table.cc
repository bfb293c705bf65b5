#include "rosearch/shard/job_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

using internal::FromWire;

/// A shard that refused a gang, or had nothing to preempt, is passed over for this long.
constexpr duration kAvoidFor = std::chrono::seconds{2};

/// Questions to the owner of a new term are spread over this long, so that a takeover isn't met by
/// thousands of messages at once.
constexpr duration kAskSpread = std::chrono::seconds{2};

bool MayRunAgain(const job_entry& job) { return !job.accepted.spec().at_most_once(); }

bool IsService(const job_entry& job) { return job.accepted.spec().kind() == wire::JOB_SERVICE; }

std::uint32_t PriorityOf(const shard_state& state, const task_key& key) {
  const auto* const job = state.FindJob(key.job);
  return job == nullptr ? 0 : job->accepted.treatment().priority();
}

wire::call_answer ErrorAnswer(error_kind kind, std::string detail) {
  return ErrorAnswer(error{kind, std::move(detail)});
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
        out.answers.push_back({to, ErrorAnswer(error_kind::kInterrupted, "ownership changed")});
      }
    }
  }
  for (const auto& held : std::exchange(held_answers_, {})) {
    out.answers.push_back(
        {held.answer.to, ErrorAnswer(error_kind::kInterrupted, "ownership changed")});
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

void job_table::OnSubmit(const call_origin& from, const wire::job_accepted& job, bool durable,
                         const job_context& context, shard_output& out) {
  const job_key key{job.spec().customer(), job.spec().job()};
  if (const auto* const known = journal_.state().FindJob(key)) {
    auto known_spec = known->accepted.spec();
    auto new_spec = job.spec();
    // The time that is left shrinks between two tries of one submission.
    known_spec.clear_deadline_ms();
    new_spec.clear_deadline_ms();
    if (known_spec.SerializeAsString() != new_spec.SerializeAsString()) {
      out.answers.push_back({from, ErrorAnswer(error_kind::kDuplicateMismatch,
                                               "the job is known with another description")});
      return;
    }
    auto& submitters = DriveOf(key).submitters;
    if (submitters.empty()) {
      Answer(from, key, out);
    } else if (std::ranges::find(submitters, from) == submitters.end()) {
      submitters.push_back(from);
    }
    return;
  }
  if (!durable) {
    out.answers.push_back({from, ErrorAnswer(NoSecondCopy())});
    return;
  }
  wire::shard_record record;
  *record.mutable_accepted() = job;
  journal_.Propose(std::move(record));
  TakeUp(key, *journal_.state().FindJob(key), context.now);
  auto& drive_of_job = DriveOf(key);
  drive_of_job.changed = journal_.sequence();
  drive_of_job.submitters.push_back(from);
  for (std::uint32_t index = 0; index < drive_of_job.tasks.size(); ++index) {
    // Nothing is placed before the acceptance is durable: a start of a job that nobody remembers
    // would run with no one to answer for it.
    SetDue({key, index}, drive_of_job.tasks[index], kNever);
  }
}

void job_table::OnStatus(const call_origin& from, const job_key& key, bool durable,
                         shard_output& out) {
  if (journal_.state().FindJob(key) == nullptr) {
    out.answers.push_back({from, ErrorAnswer(error_kind::kNotFound, "no such job")});
    return;
  }
  if (!durable && DriveOf(key).changed > journal_.secured()) {
    // An end that is told and then lost with this process would be taken back.
    out.answers.push_back({from, ErrorAnswer(NoSecondCopy())});
    return;
  }
  Answer(from, key, out);
}

void job_table::OnCancel(const call_origin& from, const job_key& key, const job_context& context,
                         shard_output& out) {
  const auto* const job = journal_.state().FindJob(key);
  if (job == nullptr) {
    out.answers.push_back({from, ErrorAnswer(error_kind::kNotFound, "no such job")});
    return;
  }
  if (job->cancelled || job->Ended()) {
    Answer(from, key, out);
    return;
  }
  wire::shard_record record;
  record.mutable_cancelled()->set_customer(key.customer);
  record.mutable_cancelled()->set_job(key.job);
  Record(key, std::move(record));
  auto& drive_of_job = DriveOf(key);
  drive_of_job.cancellers.push_back(from);
  for (std::uint32_t index = 0; index < drive_of_job.tasks.size(); ++index) {
    if (drive_of_job.tasks[index].at != stage::kEnded) {
      SetDue({key, index}, drive_of_job.tasks[index], context.now);
    }
  }
}

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

void job_table::Answer(const call_origin& to, const job_key& key, shard_output& out) {
  const auto& entry = *journal_.state().FindJob(key);
  wire::call_answer answer;
  *answer.mutable_job() = shard_state::Describe(entry);
  answer.set_rule(entry.accepted.treatment().rule());
  const auto found = drives_.find(key);
  if (found != drives_.end()) {
    for (std::size_t index = 0; index < found->second.tasks.size(); ++index) {
      auto& task = *answer.mutable_job()->mutable_tasks(static_cast<int>(index));
      if (found->second.tasks[index].at == stage::kRunning) {
        task.set_state(wire::TASK_ACTIVE);
        task.set_vm(found->second.tasks[index].vm);
      }
    }
  }
  const auto sequence = found == drives_.end() ? 0 : found->second.changed;
  held_answers_.push_back({sequence, {to, std::move(answer)}});
  SendSecuredAnswers(out);
}

/// An owner that is cut off goes on until its right lapses. Told before the records that it rests
/// on are durable, "ended" would be taken back by the successor, which starts the task again.
void job_table::SendSecuredAnswers(shard_output& out) {
  const auto is_secured = [this](const held_answer& held) {
    return held.sequence <= journal_.secured();
  };
  for (auto& held : held_answers_) {
    if (is_secured(held)) {
      out.answers.push_back(held.answer);
    }
  }
  std::erase_if(held_answers_, is_secured);
}

void job_table::Record(const job_key& key, wire::shard_record record) {
  journal_.Propose(std::move(record));
  DriveOf(key).changed = journal_.sequence();
}

}  // namespace rosearch
