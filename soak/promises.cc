#include "soak/promises.h"

#include "rosearch/shard/shard_output.h"

namespace rosearch::soak {
namespace {

/// An accepted configuration is in force by then at each entry that can hear of it.
constexpr moment kInForceBy = 15 * kSecond;

std::string JobOf(const std::string& task) { return task.substr(0, task.find('#')); }

}  // namespace

std::string promises::AnswerTo(const std::string& body) {
  return "answer to " + body + ' ' + std::string(40 + body.size() % 7, 'x') + " end";
}

void promises::OnAsked(const std::string& body, bool idempotent) {
  auto& facts = requests_[body];
  facts.idempotent = idempotent;
  ++facts.may_run;
  ++counts_["requests"];
}

void promises::OnRequestRun(const std::string& id, const std::string& body) {
  const auto found = requests_.find(body);
  if (found == requests_.end()) {
    time_.Breach("whole-answer", "an executor got a body nobody sent, id=" + id);
  }
  auto& facts = found->second;
  ++facts.runs;
  ++counts_["request_runs"];
  if (!facts.idempotent && facts.runs > 1) {
    time_.Breach("at-most-once", "non-idempotent request ran twice: " + body);
  }
  if (facts.may_run == 0) {
    time_.Breach("truthful-not-run", "request ran after its caller was told not_run: " + body);
  }
}

void promises::OnRequestAnswered(const std::string& body, const wire::call_answer& answer) {
  auto& facts = requests_.at(body);
  const auto& kind = answer.error().kind();
  if (kind.empty()) {
    ++counts_["request_done"];
    if (answer.body() != AnswerTo(body)) {
      time_.Breach("whole-answer", "request=" + body + " answer=" + answer.body());
    }
    if (facts.runs == 0) {
      time_.Breach("whole-answer", "answered without having run: " + body);
    }
    return;
  }
  ++counts_["request_" + kind];
  if (AnswerFor(ErrorKindFromName(kind)).effect != outcome::kNotRun) {
    return;
  }
  --facts.may_run;
  if (facts.may_run == 0 && facts.runs > 0) {
    time_.Breach("truthful-not-run",
                 "told not_run (" + kind + ' ' + answer.error().detail() + ") but ran: " + body);
  }
}

void promises::OnRecord(const wire::shard_record& record) {
  const auto note = [this](const wire::task_ref& ref, bool ended) {
    auto& job = jobs_[JobOf(ref.task())];
    job.committed.insert({ref.task(), ref.attempt()});
    if (ended) {
      job.ended.insert(ref.task());
    }
  };
  if (record.has_placing() && !record.placing().held()) {
    note(record.placing().ref(), false);
  }
  if (record.has_ended()) {
    note(record.ended().ref(), true);
  }
  for (const auto& job : record.snapshot().jobs()) {
    for (const auto& task : job.tasks()) {
      const bool placed = task.state() == wire::TASK_PLACING || task.state() == wire::TASK_ACTIVE;
      if ((placed && !task.held()) || task.state() == wire::TASK_ENDED) {
        note(task.ref(), task.state() == wire::TASK_ENDED);
      }
    }
  }
}

bool promises::WhollyCommitted(const job_facts& job, std::uint32_t attempt) const {
  for (std::uint32_t index = 0; index < job.spec.count(); ++index) {
    const auto task = Name(job.spec) + '#' + std::to_string(index);
    if (!job.committed.contains({task, attempt}) && !job.ended.contains(task)) {
      return false;
    }
  }
  return true;
}

const job_facts& promises::JobOfTask(const std::string& task) { return jobs_[JobOf(task)]; }

void promises::OnTaskStart(const std::string& vm, const wire::task_start& start, bool committed) {
  const auto& name = start.ref().task();
  auto& facts = tasks_[name];
  auto& job = jobs_[JobOf(name)];
  ++counts_["task_starts"];
  ++facts.starts;
  const auto what = name + " attempt " + std::to_string(start.ref().attempt()) + " at " + vm;
  if (job.spec.at_most_once() && facts.starts > 1) {
    time_.Breach("at-most-once", "an at_most_once task started twice: " + what);
  }
  if (facts.ended) {
    time_.Breach("truthful-not-run", "a task started that a caller knows as ended: " + what);
  }
  if (job.spec.kind() == wire::JOB_GANG && !committed &&
      !WhollyCommitted(job, start.ref().attempt())) {
    time_.Breach("single-run", "a gang's member started before the gang was committed: " + what);
  }
}

void promises::OnTaskSeen(const wire::task_snapshot& task) {
  if (task.state() != wire::TASK_ENDED) {
    return;
  }
  auto& facts = tasks_[task.ref().task()];
  const auto& kind = task.how().error().kind();
  counts_["task_ended_" + (kind.empty() ? "done" : kind)] += facts.ended ? 0 : 1;
  facts.ended = true;
  const auto effect = EffectOf(task.how());
  if (effect == outcome::kNotRun && facts.starts > 0) {
    time_.Breach("truthful-not-run",
                 "task is told as not_run (" + kind + ") but started: " + task.ref().task());
  }
  if (effect == outcome::kDone && facts.starts == 0) {
    time_.Breach("truthful-not-run",
                 "task is told as done but never started: " + task.ref().task());
  }
}

void promises::OnControlAppended(const wire::log_entry& entry) {
  if (!control_ids_.insert(entry.id()).second || !entry.control().has_configuration()) {
    return;
  }
  const auto verdict = chain_.Apply(entry.control().configuration());
  if (verdict.effect == config::change_effect::kAccepted) {
    changes_[verdict.version] = {verdict.change_id, time_.now()};
    ++counts_["configurations"];
  }
}

void promises::OnVersion(const std::string& entry, const wire::configuration_record& record,
                         config_version& seen, moment healthy_since) {
  const auto version = record.version();
  const auto what = "entry=" + entry + " version=" + std::to_string(version);
  if (version < seen) {
    time_.Breach("config-in-force", what + " was " + std::to_string(seen));
  }
  seen = version;
  if (version > 0 && record.change_id() != ChangeOf(version)) {
    time_.Breach("config-in-force", what + " is not the log's: " + record.change_id());
  }
  const auto next = changes_.find(version + 1);
  if (next != changes_.end() &&
      time_.now() - std::max(next->second.second, healthy_since) > kInForceBy) {
    time_.Breach("config-in-force", what + " is behind a version of the log for too long");
  }
}

std::string promises::Counts() const {
  std::string text;
  for (const auto& [name, count] : counts_) {
    text += name + '=' + std::to_string(count) + ' ';
  }
  return text;
}

}  // namespace rosearch::soak
