#include "rosearch/sched/cell_world.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rosearch/sched/job_codec.h"

namespace rosearch::sched {
namespace {

constexpr duration kNetworkDelay = std::chrono::microseconds{700};
constexpr duration kAnswerTimeout = std::chrono::milliseconds{400};
constexpr duration kMaxLease = std::chrono::seconds{6};
constexpr duration kTickInterval = std::chrono::milliseconds{50};
constexpr duration kMinPassInterval = std::chrono::milliseconds{4};
constexpr duration kStoreAnswerDelay = std::chrono::milliseconds{5};
constexpr duration kStopDelay = std::chrono::milliseconds{300};
constexpr std::uint32_t kMaxAttempts = 4;

cell_configuration Configuration(const world_options& options) {
  cell_configuration made;
  made.version = 1;
  made.queues = {{"quick", "cell.test", "/jobs/", std::string{cell_world::kPool}, 0, kMaxAttempts,
                  1.5, std::chrono::milliseconds{250},
                  advice_cost{std::chrono::milliseconds{18}, std::chrono::microseconds{260},
                              std::chrono::milliseconds{2'500}}},
                 {"long", "cell.test", "/plans/", std::string{cell_world::kPool}, 2, kMaxAttempts,
                  2.2, std::chrono::milliseconds{1'200}, std::nullopt}};
  made.pools = {{std::string{cell_world::kPool}, false, false}};
  if (options.long_queue_advice != advice_cost{}) {
    made.queues[1].advice = options.long_queue_advice;
  }
  if (!options.has_urgent_queue) {
    made.queues.erase(made.queues.begin());
  }
  return made;
}

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

/// @return task ends that complete a job. A gang counts as one end.
std::size_t CompletingEnds(const job_spec& job) {
  std::size_t ends = 0;
  for (const auto& step : job.steps) {
    ends += step.gang ? 1 : step.count;
  }
  return ends;
}

}  // namespace

bool recording_sink::Has(const std::string& part) const {
  return std::ranges::any_of(
      lines, [&](const auto& line) { return line.find(part) != std::string::npos; });
}

cell_world::cell_world(std::uint64_t seed, const world_faults& faults, std::size_t workers,
                       const scheduler_settings& settings, const world_options& options)
    : random_{seed},
      faults_{faults},
      settings_{settings},
      options_{options},
      advice_free_at_(options.max_advice_queries),
      now_{std::chrono::seconds{100}} {
  settings_.max_lease = kMaxLease;
  constexpr std::int64_t kProcessorsMilli[]{16'000, 16'000, 8'000, 32'000};
  for (std::size_t at = 0; at < workers; ++at) {
    fake_worker made;
    made.facts.id = "w" + std::to_string(next_worker_++);
    made.facts.address = "10.0.0." + std::to_string(at) + ":80";
    made.facts.pool = kPool;
    made.facts.born = faults.in_place_restarts > 0 ? 1 : 0;
    made.facts.rack = "r" + std::to_string(at / 4);
    made.facts.labels = {"a", made.facts.rack};
    made.facts.capacity = {kProcessorsMilli[at % 4], kProcessorsMilli[at % 4] * 4, 0};
    if (options.worker != resources{}) {
      made.facts.capacity = options.worker;
    }
    workers_[made.facts.id] = std::move(made);
  }
  StartLeader();
  InjectFaults();
}

cell_world::~cell_world() = default;

instant cell_world::Now() const {
  return {now_,
          std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()};
}

void cell_world::AddViolation(const std::string& what) {
  violations_.push_back(
      what + " at " +
      std::to_string(std::chrono::duration<double>{now_.time_since_epoch()}.count()));
}

void cell_world::ScheduleAt(time_point when, std::function<void()> what) {
  events_.emplace(when, std::move(what));
}

cell_world::fake_worker* cell_world::FindWorker(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

// Leader.

void cell_world::StartLeader() {
  ++epoch_;
  append_pending_ = false;
  watched_.clear();
  leader_ = std::make_unique<scheduler>(settings_, epoch_, log_);
  for (const auto& [key, value] : store_) {
    if (!leader_->Restore({key, value}, Now())) {
      AddViolation("unreadable record " + key);
    }
  }
  leader_->Configure(Configuration(options_), Now());
  for (const auto& [id, worker] : workers_) {
    leader_->ObserveWorker(worker.facts, Now());
  }
  leader_->FinishRestore(Now());
  ScheduleTick(kNetworkDelay);
}

void cell_world::ScheduleTick(duration pause) {
  ScheduleAfter(pause, [this, epoch = epoch_, due = now_ + pause] {
    EnqueueForLeader([this, epoch, due] { Tick(epoch, due); });
  });
}

void cell_world::Tick(std::uint64_t epoch, time_point due) {
  if (epoch != epoch_) {
    return;
  }
  for (auto& [id, worker] : workers_) {
    AdvanceWorker(worker);
  }
  leader_->RecordLoopDelay(now_ - due);
  leader_->Tick(Now());
  RequestPass();
  ScheduleTick(kTickInterval);
}

void cell_world::ReplaceLeader() {
  log_.lines.clear();
  StartLeader();
}

void cell_world::EnqueueForLeader(std::function<void()> what) {
  if (options_.cost == leader_cost{}) {
    what();
    return;
  }
  inbox_.push_back(std::move(what));
  ScheduleInbox();
}

void cell_world::ScheduleInbox() {
  if (!inbox_.empty() && !std::exchange(action_scheduled_, true)) {
    ScheduleAt(std::max(now_, busy_until_), [this] { RunNextAction(); });
  }
}

void cell_world::RunNextAction() {
  const auto what = std::move(inbox_.front());
  inbox_.pop_front();
  const auto attempts_before = leader_->PlacementAttempts();
  const auto orders_before = order_count_;
  what();
  const auto attempts = static_cast<int>(leader_->PlacementAttempts() - attempts_before);
  const auto orders = static_cast<int>(order_count_ - orders_before);
  const auto& cost = options_.cost;
  const auto took = cost.message + cost.attempt * attempts + cost.order * orders;
  busy_until_ = now_ + std::chrono::duration_cast<duration>(took / processor_share_);
  action_scheduled_ = false;
  ScheduleInbox();
}

void cell_world::RequestPass() {
  if (options_.cost == leader_cost{}) {
    RunPass();
    return;
  }
  if (std::exchange(pass_pending_, true)) {
    return;
  }
  ScheduleAt(std::max(now_, last_pass_at_ + std::max(kMinPassInterval, leader_->ExtraPassDelay())),
             [this] {
               EnqueueForLeader([this] {
                 pass_pending_ = false;
                 last_pass_at_ = now_;
                 RunPass();
               });
             });
}

void cell_world::RunPass() {
  if (!advice_free_at_.empty() && settings_.Uses(mechanism::kAdviceSlots)) {
    const auto free =
        std::ranges::count_if(advice_free_at_, [&](auto free_at) { return free_at <= now_; });
    leader_->SetLongAdviceSlots(static_cast<std::size_t>(free));
  }
  leader_->Schedule(Now());
  const auto orders = leader_->TakeOrders();
  order_count_ += orders.size();
  for (const auto& decided : orders) {
    Execute(decided);
  }
  for (const auto& settled : leader_->TakeSettled()) {
    auto& job = jobs_[settled.id];
    job.accepted = job.accepted || settled.accepted;
    job.refused = job.refused || (!settled.accepted && !settled.cancelled);
    if (settled.cancelled &&
        leader_->Phase(settled.id, {job.spec.queue}) == job_phase::kCancelled) {
      job.cancelled = job.cancelled.value_or(now_);
    }
  }
  (void)leader_->TakeWorkersWithStoredEnds();
  for (const auto& id : leader_->WatchedWorkers()) {
    if (watched_.insert(id).second) {
      SendWatch(id, epoch_);
    }
  }
  StorePending();
}

void cell_world::StorePending() {
  if (append_pending_ || !leader_->HasRecords()) {
    return;
  }
  append_pending_ = true;
  SendBatch(epoch_, leader_->TakeBatch(), false);
}

void cell_world::SendBatch(std::uint64_t epoch, const state_batch& batch, bool may_be_stored) {
  if (epoch != epoch_) {
    return;
  }
  const bool refused = random_.Chance(faults_.store_refuses);
  const bool dropped = !refused && random_.Chance(faults_.store_drops);
  const bool silent = !refused && !dropped && random_.Chance(faults_.store_answer_lost);
  if (!refused && !dropped) {
    for (const auto& record : batch.records) {
      if (record.value.empty()) {
        store_.erase(record.key);
      } else {
        store_[record.key] = record.value;
      }
    }
  }
  const auto answer_delay = silent || dropped ? kAnswerTimeout : kStoreAnswerDelay;
  ScheduleAfter(answer_delay, [this, epoch, batch, refused, silent, dropped, may_be_stored] {
    if (epoch != epoch_) {
      return;
    }
    if (silent || dropped || (refused && may_be_stored)) {
      // The append may have been stored: retry with the same bytes until the outcome is known.
      SendBatch(epoch, batch, may_be_stored || silent || dropped);
      return;
    }
    EnqueueForLeader([this, epoch, batch, refused] {
      if (epoch != epoch_) {
        return;
      }
      append_pending_ = false;
      if (refused) {
        leader_->OnNotStored(batch.number);
      } else {
        leader_->OnStored(batch.number, Now());
      }
      RequestPass();
    });
  });
}

// Workers.

void cell_world::AdvanceWorker(fake_worker& worker) {
  if (now_ >= worker.lease_until) {
    while (!worker.running.empty()) {
      EndRun(worker, worker.running.begin()->first, end_kind::kLeaseExpired);
    }
  }
  std::vector<std::string> over;
  for (const auto& [task, run] : worker.running) {
    if (now_ >= run.ends) {
      over.push_back(task);
    }
  }
  for (const auto& task : over) {
    EndRun(worker, task, worker.running[task].fails ? end_kind::kFailed : end_kind::kDone);
  }
}

void cell_world::EndRun(fake_worker& worker, const std::string& key, end_kind how) {
  const auto node = worker.running.extract(key);
  const auto& task = node.key();
  const auto& run = node.mapped();
  auto& highest = worker.max_ended_run[task];
  highest = std::max(highest, run.run);
  worker.ended.push_back({++worker.ended_count, task, run.run, how, run.checkpoint});
  auto& job = jobs_[JobOf(task)];
  if (how == end_kind::kDone) {
    job.done.insert(task);
    job.last_done_at = now_;
  }
}

void cell_world::AckEnds(fake_worker& worker, std::uint64_t end) {
  std::erase_if(worker.ended, [&](const ended_row& row) {
    if (row.number > end) {
      return false;
    }
    auto& job = jobs_[JobOf(row.task)];
    if (row.how == end_kind::kDone) {
      job.acked_done.insert(row.task);
    } else if (row.how == end_kind::kFailed) {
      job.failed[row.task].insert(row.run);
    }
    return true;
  });
}

void cell_world::CheckStart(const fake_worker& worker, const start_order& order) {
  const auto name = task_name::Parse(order.task);
  auto& job = jobs_[name->job];
  const auto& step = job.spec.steps[name->step];
  for (const auto& [id, other] : workers_) {
    if (other.running.contains(order.task) && !step.may_duplicate) {
      AddViolation("task runs twice at the same time: " + order.task);
    }
  }
  if (order.born != worker.facts.born) {
    return;  // a restarted worker can't tell that a late order was stopped before, or executed
  }
  auto used = step.need;
  for (const auto& [task, run] : worker.running) {
    used = used + run.charged;
  }
  if (!used.FitsIn(worker.facts.capacity)) {
    AddViolation("worker " + worker.facts.id + " is overcommitted by task " + order.task);
  }
  if (job.acked_done.contains(order.task)) {
    AddViolation("task starts again after its success was acknowledged: " + order.task);
  }
  if (job.refused && !job.accepted) {
    AddViolation("task of a refused job starts: " + order.task);
  }
  if (job.failed[order.task].size() >= kMaxAttempts && !step.service) {
    AddViolation("task exceeds its attempts: " + order.task);
  }
  for (const auto before : step.after) {
    for (std::uint32_t at = 0; at < job.spec.steps[before].count; ++at) {
      if (!job.done.contains(task_name{name->job, name->occurrence, before, at}.Text())) {
        AddViolation("task starts before its preceding steps are done: " + order.task);
      }
    }
  }
  if (job.cancelled && now_ > *job.cancelled + std::chrono::seconds{3}) {
    AddViolation("task starts over 3 s after its job was cancelled: " + order.task);
  }
}

start_outcome cell_world::Apply(const start_order& order, std::uint64_t fence) {
  auto* const worker = FindWorker(order.worker);
  if (worker == nullptr) {
    return start_outcome::kOtherIncarnation;
  }
  AdvanceWorker(*worker);
  if (fence < worker->fence) {
    return start_outcome::kStaleFence;
  }
  worker->fence = fence;
  if (now_ >= order.lease_end) {
    return start_outcome::kTooLate;
  }
  worker->lease_until = std::max(worker->lease_until, order.lease_end);
  const auto known = worker->running.find(order.task);
  if (known != worker->running.end() && known->second.run == order.run) {
    return start_outcome::kStarted;
  }
  if (order.run <= worker->max_ended_run[order.task]) {
    return start_outcome::kStaleRun;
  }
  CheckStart(*worker, order);
  ++start_count_;
  const auto name = task_name::Parse(order.task);
  const auto& job = jobs_[name->job];
  const auto& step = job.spec.steps[name->step];
  const auto percent = random_.Between(50, 160);
  fake_run run;
  run.run = order.run;
  run.began = now_;
  const auto work =
      std::chrono::duration_cast<duration>(step.estimate * job.real_factor * worker->slowdown);
  run.ends = step.service ? now_ + std::chrono::hours{1} : now_ + work * percent / 100;
  run.fails = random_.Chance(faults_.run_fails) || worker->always_fails;
  run.charged = step.need;
  worker->running[order.task] = run;
  return start_outcome::kStarted;
}

bool cell_world::Apply(const stop_order& order, std::uint64_t fence) {
  auto* const worker = FindWorker(order.worker);
  if (worker == nullptr || fence < worker->fence) {
    return false;
  }
  worker->fence = fence;
  AdvanceWorker(*worker);
  auto& highest = worker->max_ended_run[order.task];
  highest = std::max(highest, order.run);
  const auto found = worker->running.find(order.task);
  if (found != worker->running.end() && found->second.run <= order.run) {
    ScheduleAfter(kStopDelay, [this, id = order.worker, task = order.task, run = order.run] {
      auto* const current = FindWorker(id);
      if (current != nullptr && current->running.contains(task) &&
          current->running[task].run == run) {
        EndRun(*current, task, end_kind::kStopped);
      }
    });
  }
  return true;
}

void cell_world::Execute(const order& decided) {
  std::visit([this](const auto& each) { Execute(each); }, decided);
}

void cell_world::Execute(const start_order& decided) {
  const bool late = random_.Chance(faults_.order_delayed);
  const bool lost = random_.Chance(faults_.order_answer_lost);
  ScheduleAfter(late ? std::chrono::milliseconds{random_.Between(2'000, 12'000)} : kNetworkDelay,
                [this, decided, late, lost, fence = epoch_] {
                  auto* const worker = FindWorker(decided.worker);
                  const bool cut = worker != nullptr && !Reachable(*worker);
                  const auto outcome = cut ? start_outcome::kUnknown : Apply(decided, fence);
                  const bool answered = !cut && !late && !lost;
                  ScheduleAfter(answered ? kNetworkDelay : kAnswerTimeout, [this, decided, outcome,
                                                                            answered, late, fence] {
                    EnqueueForLeader([this, decided, outcome, answered, late, fence] {
                      if (fence == epoch_ && !late) {
                        leader_->OnStartAnswer(decided,
                                               answered ? outcome : start_outcome::kUnknown, Now());
                        RequestPass();
                      }
                    });
                  });
                });
  if (late) {
    ScheduleAfter(kAnswerTimeout, [this, decided, fence = epoch_] {
      EnqueueForLeader([this, decided, fence] {
        if (fence == epoch_) {
          leader_->OnStartAnswer(decided, start_outcome::kUnknown, Now());
          RequestPass();
        }
      });
    });
  }
}

void cell_world::Execute(const stop_order& decided) {
  const bool lost = random_.Chance(faults_.order_answer_lost);
  ScheduleAfter(kNetworkDelay, [this, decided, lost, fence = epoch_] {
    auto* const worker = FindWorker(decided.worker);
    const bool cut = worker != nullptr && !Reachable(*worker);
    const bool answered = !cut && Apply(decided, fence) && !lost;
    ScheduleAfter(answered ? kNetworkDelay : kAnswerTimeout, [this, decided, answered, fence] {
      EnqueueForLeader([this, decided, answered, fence] {
        if (fence == epoch_) {
          leader_->OnStopAnswer(decided, answered, Now());
          RequestPass();
        }
      });
    });
  });
}

void cell_world::Execute(const advice_query& decided) {
  // Draws no random number while the fault is off, so runs of other faults keep their sequence.
  if (faults_.advice_answer_lost > 0 && random_.Chance(faults_.advice_answer_lost)) {
    return;
  }
  const auto cost = QueryCost(decided);
  auto answered_at = now_ + cost;
  if (!advice_free_at_.empty()) {
    auto& free_at = *std::ranges::min_element(advice_free_at_);
    free_at = std::max(free_at, now_) + cost;
    answered_at = free_at;
  }
  ScheduleAt(answered_at, [this, decided, epoch = epoch_] {
    if (epoch != epoch_) {
      return;
    }
    std::vector<advised_worker> allowed;
    for (const auto& worker : decided.workers) {
      if (std::hash<std::string>{}(decided.step + worker) % 10 < options_.advice_allowed_tenths) {
        allowed.push_back({worker, "ticket"});
      }
    }
    EnqueueForLeader([this, decided, allowed, epoch] {
      if (epoch == epoch_) {
        leader_->OnAdvice(decided, &allowed, Now());
        RequestPass();
      }
    });
  });
}

void cell_world::SendWatch(const std::string& id, std::uint64_t epoch) {
  if (epoch != epoch_) {
    return;
  }
  const auto watch = leader_->NextWatch(id, Now());
  if (!watch) {
    watched_.erase(id);
    return;
  }
  ScheduleAfter(kNetworkDelay, [this, id, epoch, watch = *watch, sent_at = now_] {
    AnswerWatch(id, epoch, watch, sent_at, now_ + watch.wait, std::nullopt);
  });
}

void cell_world::AnswerWatch(const std::string& id, std::uint64_t epoch, const watch_request& watch,
                             time_point sent_at, time_point give_up,
                             std::optional<std::int64_t> asked) {
  auto* const worker = FindWorker(id);
  const bool broken = worker != nullptr && asked && *asked != worker->facts.born;
  const auto next = [this, id, epoch] {
    if (epoch == epoch_) {
      RequestPass();
      ScheduleAfter(leader_->WatchDelay(id, Now()), [this, id, epoch] { SendWatch(id, epoch); });
    }
  };
  if (worker == nullptr || broken || !Reachable(*worker) || epoch < worker->fence) {
    const auto failure = worker == nullptr                  ? watch_failure::kOtherIncarnation
                         : !broken && epoch < worker->fence ? watch_failure::kStaleFence
                                                            : watch_failure::kNoAnswer;
    ScheduleAfter(failure == watch_failure::kNoAnswer ? kAnswerTimeout : kNetworkDelay,
                  [this, id, epoch, failure, next, born = watch.born] {
                    EnqueueForLeader([this, id, epoch, failure, next, born] {
                      if (epoch == epoch_) {
                        leader_->OnWatchFailed(id, failure, Now(), born);
                        next();
                      }
                    });
                  });
    return;
  }
  worker->fence = epoch;
  AdvanceWorker(*worker);
  if (watch.lease_end) {
    worker->lease_until = std::max(worker->lease_until, *watch.lease_end);
  }
  if (!asked) {
    AckEnds(*worker, watch.acked_end);
  }
  if (worker->ended.empty() && now_ < give_up) {
    ScheduleAfter(std::chrono::milliseconds{10},
                  [this, id, epoch, watch, sent_at, give_up, born = worker->facts.born] {
                    AnswerWatch(id, epoch, watch, sent_at, give_up, born);
                  });
    return;
  }
  const auto report = ReportOf(*worker);
  ScheduleAfter(kNetworkDelay, [this, id, epoch, report, sent_at, next] {
    EnqueueForLeader([this, id, epoch, report, sent_at, next] {
      if (epoch == epoch_) {
        leader_->OnReport(id, sent_at, report, Now());
        next();
      }
    });
  });
}

worker_report cell_world::ReportOf(const fake_worker& worker) {
  worker_report report;
  report.born = worker.facts.born;
  report.ended = worker.ended;
  for (const auto& [task, run] : worker.running) {
    const auto part = std::chrono::duration<double>{now_ - run.began} /
                      std::chrono::duration<double>{run.ends - run.began};
    const auto name = task_name::Parse(task);
    const bool service = jobs_[name->job].spec.steps[name->step].service;
    const auto percent = service ? 100U : static_cast<std::uint32_t>(part * 99);
    report.running.push_back({task, run.run, run.checkpoint, percent, 0});
  }
  return report;
}

// Faults, callers, virtual time.

void cell_world::RestartInPlace(const std::string& id) {
  auto& worker = workers_[id];
  ScheduleAfter(std::chrono::milliseconds{random_.Between(0, 200)},
                [this, id, epoch = epoch_, sent_at = now_, report = ReportOf(worker)] {
                  if (epoch == epoch_) {
                    leader_->OnReport(id, sent_at, report, Now());
                  }
                });
  fake_worker made;
  made.facts = worker.facts;
  made.facts.born = Now().wall_ms;
  worker = std::move(made);
  ScheduleAfter(std::chrono::milliseconds{random_.Between(0, 900)},
                [this, id, facts = worker.facts] {
                  if (workers_.contains(id)) {
                    leader_->ObserveWorker(facts, Now());
                  }
                });
}

void cell_world::MakeWorkerFail(std::size_t number) {
  std::next(workers_.begin(), static_cast<std::ptrdiff_t>(number))->second.always_fails = true;
}

void cell_world::SetWorkerSlowdown(std::size_t number, double factor) {
  std::next(workers_.begin(), static_cast<std::ptrdiff_t>(number))->second.slowdown = factor;
}

void cell_world::DisconnectWorker(std::size_t number, duration span) {
  auto worker = workers_.begin();
  std::advance(worker, static_cast<std::ptrdiff_t>(number % workers_.size()));
  worker->second.unreachable_until = now_ + span;
}

void cell_world::InjectFaults() {
  std::vector<std::string> dying;
  std::vector<std::string> restarting;
  for (auto& [id, worker] : workers_) {
    if (random_.Chance(faults_.worker_unreachable)) {
      worker.unreachable_until = now_ + std::chrono::milliseconds{random_.Between(1'000, 9'000)};
    }
    if (random_.Chance(faults_.worker_restarts)) {
      dying.push_back(id);
    }
    // Draws no random number while the fault is off, so runs of other faults keep their sequence.
    if (faults_.in_place_restarts > 0 && random_.Chance(faults_.in_place_restarts)) {
      restarting.push_back(id);
    }
  }
  for (const auto& id : restarting) {
    RestartInPlace(id);
  }
  for (const auto& id : dying) {
    auto former = workers_[id];
    workers_.erase(id);
    leader_->UnlistWorker(id, Now());
    fake_worker made;
    made.facts = former.facts;
    made.facts.id = "w" + std::to_string(next_worker_++);
    leader_->ObserveWorker(made.facts, Now());
    workers_[made.facts.id] = std::move(made);
  }
  if (random_.Chance(faults_.leader_dies)) {
    StartLeader();
  }
  ScheduleAfter(std::chrono::seconds{1}, [this] { InjectFaults(); });
}

std::string cell_world::Submit(job_spec job, double real_factor) {
  job.id = "job" + std::to_string(next_id_++);
  if (job.queue.empty()) {
    job.queue = kQueue;
  }
  constexpr std::uint32_t kLongPriority = 2;
  job.priority = job.queue == kLongQueue ? kLongPriority : 0;
  job.pool = kPool;
  job.payload = "payload";
  job.max_attempts = kMaxAttempts;
  job.accepted_ms = Now().wall_ms;
  if (job.objective == duration{}) {
    job.objective = CriticalPath(job.steps) * 3 / 2 + std::chrono::milliseconds{250};
  }
  auto& known = jobs_[job.id];
  known.spec = job;
  known.real_factor = real_factor;
  known.submitted_at = now_;
  const auto answer = leader_->Submit(job, Now());
  known.refused = answer.verdict == submit_verdict::kRefused;
  if (!known.refused) {
    RequestPass();
  }
  return job.id;
}

void cell_world::Cancel(const std::string& id) {
  const auto& job = jobs_[id];
  if (leader_->Cancel(id, {job.spec.queue}, Now()) == cancel_verdict::kCancelled) {
    jobs_[id].cancelled = now_;
  }
  RequestPass();
}

void cell_world::Run(duration span) {
  const auto end = now_ + span;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto first = events_.extract(events_.begin());
    now_ = std::max(now_, first.key());
    first.mapped()();
  }
  now_ = end;
  for (const auto& [id, job] : jobs_) {
    const auto phase = leader_->Phase(id, {job.spec.queue});
    if (phase == job_phase::kCompleted && job.done.size() < CompletingEnds(job.spec)) {
      AddViolation("job reported as completed before all its tasks ended: " + id);
    }
    if (job.accepted && !phase) {
      AddViolation("accepted job is unknown to the leader: " + id);
    }
  }
}

std::optional<job_phase> cell_world::Phase(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? std::nullopt : leader_->Phase(id, {found->second.spec.queue});
}

std::vector<std::string> cell_world::Unfinished() const {
  std::vector<std::string> open;
  for (const auto& [id, job] : jobs_) {
    const bool service = !job.spec.steps.empty() && job.spec.steps.front().service;
    const auto phase = Phase(id);
    if (job.accepted && !service && phase && !IsTerminal(*phase)) {
      open.push_back(id);
    }
  }
  return open;
}

std::size_t cell_world::RunningCount(const std::string& job) const {
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_) {
    count += static_cast<std::size_t>(std::ranges::count_if(
        worker.running, [&](const auto& each) { return JobOf(each.first) == job; }));
  }
  return count;
}

std::optional<duration> cell_world::CompletionTime(const std::string& id) const {
  const auto& job = jobs_.at(id);
  if (job.last_done_at == time_point{}) {
    return std::nullopt;
  }
  return job.last_done_at - job.submitted_at;
}

}  // namespace rosearch::sched
