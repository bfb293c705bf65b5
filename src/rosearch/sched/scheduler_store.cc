// Stored state of `scheduler`: writing record batches and restoring them after a leader change.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/job_codec.h"
#include "rosearch/sched/scheduler.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::sched {
namespace {

// Record keys: a letter for the kind of record, followed by the job's id.
constexpr char kJobKey = 'j';
constexpr char kProgressKey = 'p';
constexpr std::string_view kWorkersKey = "w";
constexpr std::string_view kRunTimesKey = "t";

std::string Key(char kind, const std::string& id) { return kind + id; }

}  // namespace

struct scheduler::stored_effects {
  std::vector<std::string> new_jobs;
  std::vector<std::pair<std::string, job_phase>> progress;
  std::vector<std::pair<worker_incarnation, std::uint64_t>> ends;  ///< newest processed end
  std::vector<std::string> forgotten;
  bool workers{false};
  bool run_times{false};
};

scheduler::scheduler(const scheduler_settings& settings, std::uint64_t epoch, event_sink& log)
    : settings_{settings}, epoch_{epoch}, log_{log} {}

scheduler::~scheduler() = default;

bool scheduler::Restore(const stored_record& record, const instant& now) {
  if (record.key == kWorkersKey) {
    wire::stored_workers workers;
    if (!workers.ParseFromString(record.value)) {
      WaitForUnknownWorkers(now);
      return false;
    }
    for (const auto& stored : workers.workers()) {
      auto& worker = workers_[stored.id()];
      if (!worker) {  // not in the registry yet
        worker = std::make_unique<worker_state>();
        worker->facts.id = stored.id();
        worker->facts.address = stored.address();
        worker->facts.pool = stored.pool();
        worker->listed = false;
      }
      worker->born = std::max(worker->born, stored.born());
      worker->lease_until = FormerLeaseEnd(now);
      worker->records.Restore({stored.born(), !stored.closed(), 0});
      if (stored.closed()) {
        worker->held_tasks.assign(stored.tasks().begin(), stored.tasks().end());
      } else {
        unsettled_[stored.id()] = worker->lease_until;
      }
    }
    return true;
  }
  if (record.key == kRunTimesKey) {
    auto model = run_time_model::Decode(record.value);
    run_times_ = model ? std::move(*model) : run_time_model{};
    return model.has_value();
  }
  if (record.key.size() < 2 || (record.key[0] != kJobKey && record.key[0] != kProgressKey)) {
    return false;
  }
  restoring_.push_back(record);
  return true;
}

void scheduler::WaitForUnknownWorkers(const instant& now) {
  auto& worker = workers_["?"];
  worker = std::make_unique<worker_state>();
  worker->facts.id = "?";
  worker->listed = false;
  worker->lease_until = FormerLeaseEnd(now);
  unsettled_[worker->facts.id] = worker->lease_until;
}

void scheduler::RestoreJob(const std::string& id, const std::string& job_text,
                           const std::string& progress_text, const instant& now) {
  wire::stored_progress progress;
  const bool readable = progress.ParseFromString(progress_text);
  const auto phase = static_cast<job_phase>(progress.phase());
  if (readable && !progress_text.empty() && IsTerminal(phase)) {
    const auto& stopping = progress.stopping();
    ended_[id] =
        ended_job{progress.queue(),
                  phase,
                  progress.ended_ms(),
                  progress.customer(),
                  {stopping.processors_milli(), stopping.memory_mb(), stopping.accelerators()}};
    return;
  }
  auto spec = DecodeJob(job_text);
  if (!spec || !readable) {
    log_.Write(event_line{"record_unreadable", event_weight::kFailure}.Add("job", id));
    return;
  }
  auto job = std::make_unique<job_state>();
  job->accepted = true;
  job->restored = true;
  job->new_record = false;
  const auto age =
      std::chrono::milliseconds{std::max<std::int64_t>(0, now.wall_ms - spec->accepted_ms)};
  job->submitted_at = now.steady - age;
  job->spec = std::make_shared<const job_spec>(std::move(*spec));
  ResolveRules(*job);
  ApplyPrediction(*job, PredictJob(*job->spec));
  AssignCustomer(*job);
  ApplyProgress(progress, *job);
  job->begun = HasDoneTasks(*job);
  const auto occurrences = std::max<std::size_t>(1, job->occurrences.size());
  EraseJob(id);
  CountBytes(*job, job_memory::SpecBytes(*job->spec) +
                       occurrences * job_memory::OccurrenceBytes(*job->spec));
  auto& restored_job = *(jobs_[id] = std::move(job));
  LogRestoredJob(restored_job);
  for (auto& occurrence : restored_job.occurrences) {
    if (!occurrence->done) {
      OpenSteps(restored_job, *occurrence, now);
    }
  }
  OpenDueOccurrences(restored_job, now);
}

void scheduler::LogRestoredJob(const job_state& job) {
  std::size_t tasks = 0;
  std::size_t done = 0;
  for (const auto& occurrence : job.occurrences) {
    for (const auto& step : occurrence->steps) {
      tasks += step->tasks.size();
      done += step->done;
    }
  }
  log_.Write(event_line{"job_restored", event_weight::kDetail}
                 .Add("job", job.spec->id)
                 .Add("epoch", epoch_)
                 .Add("occurrences", job.occurrences.size())
                 .Add("tasks", tasks)
                 .Add("done", done));
}

void scheduler::FinishRestore(const instant& now) {
  std::map<std::string, std::pair<std::string, std::string>> texts;
  for (auto& record : restoring_) {
    auto& [job, progress] = texts[record.key.substr(1)];
    (record.key[0] == kJobKey ? job : progress) = std::move(record.value);
  }
  restoring_.clear();
  for (const auto& [id, text] : texts) {
    RestoreJob(id, text.first, text.second, now);
  }
  HoldTasks();
  EstimateUnreadUsage(now);
  workers_dirty_ = true;
  restored_at_ = now.steady;
  log_.Write(event_line{"state_restored", event_weight::kStateChange}
                 .Add("epoch", epoch_)
                 .Add("jobs", jobs_.size())
                 .Add("ended", ended_.size())
                 .Add("unsettled_workers", unsettled_.size()));
}

bool scheduler::HasRecords() const {
  return !dirty_.empty() || !forgotten_.empty() || workers_dirty_;
}

state_batch scheduler::TakeBatch() {
  state_batch batch{next_batch_++, {}};
  stored_effects effects;
  for (const auto& id : std::exchange(dirty_, {})) {
    auto* const job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    job->dirty = false;
    if (IsTerminal(job->phase)) {
      if (!job->new_record) {
        batch.records.push_back({Key(kJobKey, id), {}});
      }
      batch.records.push_back({Key(kProgressKey, id), EncodeProgress(*job)});
    } else if (job->new_record) {
      batch.records.push_back({Key(kJobKey, id), EncodeJob(*job->spec)});
    } else {
      batch.records.push_back({Key(kProgressKey, id), EncodeProgress(*job)});
    }
    if (std::exchange(job->new_record, false)) {
      effects.new_jobs.push_back(id);
    }
    effects.progress.emplace_back(id, job->phase);
  }
  for (const auto& id : std::exchange(forgotten_, {})) {
    batch.records.push_back({Key(kProgressKey, id), {}});
    effects.forgotten.push_back(id);
  }
  if (std::exchange(workers_dirty_, false)) {
    effects.workers = true;
    batch.records.push_back({std::string{kWorkersKey}, EncodeWorkers(batch.number)});
  }
  // The model is only written beside other records: losing the newest samples is harmless.
  if (!batch.records.empty() && std::exchange(run_times_due_, false)) {
    effects.run_times = true;
    batch.records.push_back({std::string{kRunTimesKey}, run_times_.Encode()});
  }
  for (const auto& id : workers_with_unstored_ends_) {
    const auto& worker = *workers_.at(id);
    effects.ends.emplace_back(worker_incarnation{id, worker.born}, worker.seen_end);
  }
  urgent_ = false;
  storing_[batch.number] = std::move(effects);
  return batch;
}

void scheduler::OnStored(std::uint64_t number, const instant& now) {
  const auto node = storing_.extract(number);
  if (node.empty()) {
    return;
  }
  const auto& effects = node.mapped();
  for (const auto& id : effects.new_jobs) {
    if (auto* const job = FindJob(id)) {
      job->accepted = true;
      settled_.push_back({id, true, false});
      log_.Write(event_line{"job_accepted"}.Add("job", id).Add("batch", number));
      if (!IsTerminal(job->phase)) {
        OpenDueOccurrences(*job, now);
      }
    }
  }
  for (const auto& [id, phase] : effects.progress) {
    auto* const job = FindJob(id);
    if (job != nullptr && IsTerminal(phase)) {
      job->stored_phase = phase;
      settled_.push_back({id, false, true});
      retiring_.push_back(id);
    }
  }
  for (const auto& [worker, end] : effects.ends) {
    const auto& [id, born] = worker;
    auto* const known = FindIncarnation(id, born);
    if (known != nullptr && known->acked_end < end) {
      known->acked_end = end;
      workers_with_stored_ends_.push_back(id);
      if (end == known->seen_end) {
        workers_with_unstored_ends_.erase(id);
      }
    }
  }
  if (effects.workers) {
    SettleWorkerRecords(number);
  }
  RetireEndedJobs(now);
  AckEndsWithoutRecords();
}

void scheduler::OnNotStored(std::uint64_t number) {
  const auto node = storing_.extract(number);
  if (node.empty()) {
    return;
  }
  const auto& effects = node.mapped();
  for (const auto& id : effects.new_jobs) {
    RefuseNewJob(id, "store_refused");
  }
  for (const auto& [id, phase] : effects.progress) {
    if (auto* const job = FindJob(id)) {
      MarkDirty(*job, IsTerminal(phase));
    }
  }
  forgotten_.insert(forgotten_.end(), effects.forgotten.begin(), effects.forgotten.end());
  if (effects.workers) {
    workers_dirty_ = true;
    for (const auto& [id, worker] : workers_) {
      worker->records.OnNotStored(number);
    }
  }
  run_times_due_ = run_times_due_ || effects.run_times;
}

void scheduler::RefuseNewJob(const std::string& id, std::string_view reason) {
  if (FindJob(id) == nullptr) {
    return;
  }
  // The job was never accepted, so none of its tasks has started. Its caller gets the refusal.
  std::erase(dirty_, id);
  EraseJob(id);
  settled_.push_back({id, false, false, reason});
  log_.Write(
      event_line{"job_refused", event_weight::kFailure}.Add("job", id).Add("reason", reason));
}

void scheduler::RefuseUnsentJobs() {
  const auto dirty = dirty_;
  for (const auto& id : dirty) {
    const auto* const job = FindJob(id);
    if (job != nullptr && job->new_record) {
      RefuseNewJob(id, "store_away");
    }
  }
}

bool scheduler::IsPending(std::string_view id) const {
  const auto found = jobs_.find(std::string{id});
  return found != jobs_.end() && !found->second->accepted;
}

void scheduler::SettleWorkerRecords(std::uint64_t batch) {
  for (const auto& [id, worker] : workers_) {
    const bool could_start = worker->MayStart();
    worker->records.OnStored(batch);
    if (!could_start && worker->MayStart()) {
      RecordFreedRoom(*worker);
    }
  }
}

std::string scheduler::EncodeWorkers(std::uint64_t batch) {
  wire::stored_workers stored;
  for (const auto& [id, worker] : workers_) {
    auto& each = *stored.add_workers();
    each.set_id(id);
    each.set_address(worker->facts.address);
    each.set_pool(worker->facts.pool);
    each.set_born(worker->born);
    const bool may_start = worker->session == session_phase::kLive && !worker->facts.draining;
    const bool open = may_start || unsettled_.contains(id);
    worker->records.OnSent({worker->born, open, batch});
    if (open) {
      continue;
    }
    each.set_closed(true);
    for (const auto& [task, run] : worker->runs) {
      each.add_tasks(task);
    }
    for (const auto& task : worker->held_tasks) {
      each.add_tasks(task);
    }
  }
  return stored.SerializeAsString();
}

time_point scheduler::FormerLeaseEnd(const instant& now) const {
  return former_leaders_send_until_.value_or(now.steady + settings_.former_leader_send_margin) +
         MaxLeaseDuration();
}

void scheduler::SetFormerLeadersSendUntil(time_point until) {
  former_leaders_send_until_ = until;
  for (const auto& [id, worker] : workers_) {
    const auto unsettled = unsettled_.find(id);
    if (unsettled == unsettled_.end() && worker->held_tasks.empty()) {
      continue;
    }
    worker->lease_until = until + MaxLeaseDuration();
    if (unsettled != unsettled_.end()) {
      unsettled->second = worker->lease_until;
    }
  }
  HoldTasks();
}

task_state* scheduler::FindTask(std::string_view text) {
  const auto name = task_name::Parse(text);
  auto* const step = name ? FindStep(*name) : nullptr;
  return step == nullptr ? nullptr : &step->tasks[name->index];
}

void scheduler::HoldTasks() {
  std::unordered_map<task_state*, time_point> held;
  for (const auto& [id, worker] : workers_) {
    for (const auto& text : worker->held_tasks) {
      if (auto* const task = FindTask(text)) {
        held[task] = std::max(held[task], worker->lease_until);
      }
    }
  }
  for (const auto& [task, until] : held) {
    task->held_until = until;
  }
}

void scheduler::ReleaseTasks(worker_state& worker) {
  const auto released = std::exchange(worker.held_tasks, {});
  for (const auto& text : released) {
    if (auto* const task = FindTask(text)) {
      task->held_until = {};
    }
  }
  if (!released.empty()) {
    HoldTasks();
  }
}

void scheduler::AckEndsWithoutRecords() {
  if (!dirty_.empty() || !storing_.empty()) {
    return;
  }
  for (const auto& id : std::exchange(workers_with_unstored_ends_, {})) {
    auto& worker = *workers_.at(id);
    worker.acked_end = worker.seen_end;
    workers_with_stored_ends_.push_back(id);
  }
}

}  // namespace rosearch::sched
