#include <algorithm>
#include <string>
#include <utility>

#include "rosearch/shard/job_table.h"

namespace rosearch {
namespace {

wire::call_answer ErrorAnswer(error_kind kind, std::string detail) {
  return ErrorAnswer(error{kind, std::move(detail)});
}

}  // namespace

// What callers ask of jobs, and the answers, which wait until another place has what they tell.

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

}  // namespace rosearch
