#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/random_source.h"
#include "rosearch/sched/restart_fixture.h"
#include "rosearch/wire/cell.pb.h"

// What the store says of each worker, judged by what the next leader would read.

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStep = milliseconds{100};
constexpr duration kStopTakes = milliseconds{300};

using records = std::map<std::string, std::string>;

void Apply(const state_batch& batch, records& store) {
  for (const auto& record : batch.records) {
    if (record.value.empty()) {
      store.erase(record.key);
    } else {
      store[record.key] = record.value;
    }
  }
}

/// A cell whose leader is replaced, whose workers come and go, and whose store loses answers.
class changing_cell {
 public:
  explicit changing_cell(std::uint64_t seed) : random_{seed} {
    for (int at = 0; at < 4; ++at) {
      AddWorker();
    }
    StartLeader();
  }

  /// @return what went wrong first; empty: nothing.
  std::string Play(int steps) {
    for (int step = 0; step < steps && wrong_.empty(); ++step) {
      now_.steady += kStep;
      now_.wall_ms += kStep / milliseconds{1};
      AdvanceWorkers();
      Disturb();
      Watch();
      Decide();
      AnswerAppends();
      Judge();
    }
    return wrong_;
  }

 private:
  struct active_run {
    std::uint32_t run{0};
    time_point ends{};
  };
  struct worker {
    std::map<std::string, active_run> running;
    std::vector<ended_row> ended;
    std::uint64_t count{0};
    time_point lease_until{};
    time_point back_at{};
  };
  struct append {
    state_batch batch;
    bool applied{false};
    bool answer_lost{false};
  };

  void AddWorker() { workers_["w" + std::to_string(workers_.size())]; }

  void List(const std::string& id) {
    leader_->ObserveWorker(
        {id, "10.0.0.1:80", "pool", "", "", "", {}, {4'000, 8'000, 0}, false, {}}, now_);
  }

  void StartLeader() {
    ++epoch_;
    appends_.clear();
    leader_ = std::make_unique<scheduler>(scheduler_settings{}, epoch_, log_);
    for (const auto& [key, value] : store_) {
      (void)leader_->Restore({key, value}, now_);
    }
    cell_configuration made;
    made.version = 1;
    made.queues = {{"long", "cell.test", "/jobs/", "pool", 2, 2, 1.5, milliseconds{250}, {}}};
    made.pools = {{"pool", false, false}};
    leader_->Configure(made, now_);
    for (const auto& [id, each] : workers_) {
      List(id);
    }
    leader_->FinishRestore(now_);
  }

  void AdvanceWorkers() {
    for (auto& entry : workers_) {
      auto& each = entry.second;
      const bool lapsed = now_.steady >= each.lease_until;
      std::erase_if(each.running, [&](const auto& run) {
        const bool done = now_.steady >= run.second.ends;
        if (!lapsed && !done) {
          return false;
        }
        each.ended.push_back({++each.count, run.first, run.second.run,
                              lapsed ? end_kind::kLeaseExpired : end_kind::kDone, ""});
        return true;
      });
    }
  }

  void Disturb() {
    if (random_.Chance(0.03)) {
      auto& unlucky = workers_["w" + std::to_string(random_.Between(
                                         0, static_cast<std::int64_t>(workers_.size()) - 1))];
      unlucky.back_at = now_.steady + milliseconds{random_.Between(200, 25'000)};
    }
    if (random_.Chance(0.03) && workers_.size() < 14) {
      AddWorker();
      List("w" + std::to_string(workers_.size() - 1));
    }
    if (random_.Chance(0.01)) {
      StartLeader();
    }
    if (random_.Chance(0.12)) {
      (void)leader_->Submit(MakeJob("j" + std::to_string(next_job_++),
                                    static_cast<std::uint32_t>(random_.Between(1, 4)), 1'000, ""),
                            now_);
    }
  }

  [[nodiscard]] bool Reachable(const worker& each) const { return now_.steady >= each.back_at; }

  void Watch() {
    for (auto& [id, each] : workers_) {
      const auto watch = leader_->NextWatch(id, now_);
      if (!watch) {
        continue;
      }
      if (!Reachable(each)) {
        leader_->OnWatchFailed(id, watch_failure::kNoAnswer, now_);
        continue;
      }
      if (watch->lease_end) {
        each.lease_until = *watch->lease_end;
      }
      std::erase_if(each.ended, [&](const auto& row) { return row.number <= watch->acked_end; });
      worker_report report;
      report.ended = each.ended;
      for (const auto& [task, run] : each.running) {
        report.running.push_back({task, run.run, {}, 10, 0});
      }
      leader_->OnReport(id, now_.steady, report, now_);
    }
  }

  void Decide() {
    leader_->Tick(now_);
    leader_->Schedule(now_);
    for (auto& decided : leader_->TakeOrders()) {
      if (const auto* const start = std::get_if<start_order>(&decided)) {
        Start(*start);
      } else if (const auto* const stop = std::get_if<stop_order>(&decided)) {
        Stop(*stop);
      }
    }
    constexpr std::size_t kMaxInFlight = 3;
    if (leader_->HasRecords() && appends_.size() < kMaxInFlight) {
      appends_.push_back({leader_->TakeBatch()});
    }
  }

  void Start(const start_order& order) {
    auto& each = workers_.at(order.worker);
    if (!Reachable(each)) {
      leader_->OnStartAnswer(order, start_outcome::kNotSent, now_);
      return;
    }
    for (const auto& [id, other] : workers_) {
      if (other.running.contains(order.task)) {
        wrong_ = order.task + " starts at " + order.worker + " while it runs at " + id;
      }
    }
    each.lease_until = order.lease_end;
    each.running[order.task] = {order.run,
                                now_.steady + milliseconds{random_.Between(500, 40'000)}};
    leader_->OnStartAnswer(order, start_outcome::kStarted, now_);
  }

  void Stop(const stop_order& order) {
    auto& each = workers_.at(order.worker);
    if (!Reachable(each)) {
      return;
    }
    const auto found = each.running.find(order.task);
    if (found != each.running.end() && found->second.run <= order.run) {
      found->second.ends = std::min(found->second.ends, now_.steady + kStopTakes);
    }
    leader_->OnStopAnswer(order, true, now_);
  }

  /// Applies appends in order, and answers, refuses or keeps silent about them.
  void AnswerAppends() {
    while (!appends_.empty()) {
      auto& oldest = appends_.front();
      if (!oldest.applied && !oldest.answer_lost && appends_.size() == 1 && random_.Chance(0.1)) {
        leader_->OnNotStored(oldest.batch.number);
        appends_.pop_front();
        return;
      }
      if (random_.Chance(0.4)) {
        oldest.answer_lost = true;  // it is sent again
        if (!oldest.applied && random_.Chance(0.5)) {
          Apply(oldest.batch, store_);
          oldest.applied = true;
        }
        return;
      }
      if (!oldest.applied) {
        Apply(oldest.batch, store_);
      }
      leader_->OnStored(oldest.batch.number, now_);
      appends_.pop_front();
    }
  }

  /// Checks each state of the store that a leader who takes over may find.
  void Judge() {
    auto found = store_;
    JudgeState(found);
    for (const auto& each : appends_) {
      Apply(each.batch, found);
      JudgeState(found);
    }
  }

  void JudgeState(const records& store) {
    wire::stored_workers read;
    const auto record = store.find("w");
    if (record != store.end() && !read.ParseFromString(record->second)) {
      wrong_ = "unreadable record";
    }
    for (const auto& [id, each] : workers_) {
      const auto entry = std::ranges::find_if(
          read.workers(), [&, &name = id](const auto& stored) { return stored.id() == name; });
      for (const auto& [task, run] : each.running) {
        const bool covered =
            entry != read.workers().end() &&
            (!entry->closed() || std::ranges::find(entry->tasks(), task) != entry->tasks().end());
        if (!covered && wrong_.empty()) {
          wrong_ = task;
          wrong_.append(" runs at ").append(id).append(", which the store has as ");
          wrong_ += entry == read.workers().end() ? "unknown" : "closed without it";
        }
      }
    }
  }

  random_source random_;
  recording_sink log_;
  instant now_{time_point{seconds{1'000}}, 1'000'000};
  std::uint64_t epoch_{0};
  std::map<std::string, worker> workers_;
  records store_;
  std::deque<append> appends_;
  std::unique_ptr<scheduler> leader_;
  int next_job_{0};
  std::string wrong_;
};

void PlaySeeds(std::uint64_t first, std::uint64_t last) {
  constexpr int kSteps = 600;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    INFO("seed " << seed);
    const auto wrong = changing_cell{seed}.Play(kSteps);
    INFO(wrong);
    CHECK(wrong.empty());
  }
}

/// Rewrites the stored record of the workers: the named ones are closed, and a task may run there.
void StoreAsClosed(scheduler_fixture& former, const std::set<std::string>& closed,
                   const std::string& task) {
  wire::stored_workers workers;
  REQUIRE(workers.ParseFromString(former.saved["w"]));
  for (auto& each : *workers.mutable_workers()) {
    each.set_closed(closed.contains(each.id()));
    if (each.closed()) {
      each.add_tasks(task);
    }
  }
  former.saved["w"] = workers.SerializeAsString();
}

}  // namespace

// Guards against a task that runs twice after the next change of leader: a worker whose lease had
// lapsed before it answered a new leader got work while the store had it as closed.
TEST_CASE("a worker that was stored as closed gets no work before it is stored as open") {
  scheduler_fixture former{1};
  former.SaveRecords();
  new_leader next{former};
  next.Store();
  next.now.steady += seconds{9};
  next.leader.Tick(next.now);
  REQUIRE(next.leader.OldRunsSettled());
  next.AddWorker("w1");  // its record has w0 as closed
  REQUIRE(next.leader.Submit(MakeJob("a", 8, 1'000, ""), next.now).verdict ==
          submit_verdict::kPending);
  next.Store();
  CHECK(next.Started().size() == 4);
  next.leader.ObserveWorker(Facts("w0", 0), next.now);
  (void)next.leader.NextWatch("w0", next.now);
  next.leader.OnReport("w0", next.now.steady, {}, next.now);
  CHECK(next.Started().empty());
  next.Store();
  CHECK(next.Started().size() == 4);
}

// Guards against a task that runs twice: it was held for two workers that had been stored as
// closed, and the answer of the one that didn't run it let it start beside the other.
TEST_CASE("a task that two closed workers may run is held until both have answered") {
  scheduler_fixture former{3};
  (void)former.Submit("a", 1);
  former.SaveRecords();
  StoreAsClosed(former, {"w0", "w1"}, "a.0.0.0");
  new_leader next{former};
  next.AddWorker("w2");
  next.AddWorker("w0");
  CHECK(next.Started().empty());
  next.AddWorker("w1");
  next.now.steady += milliseconds{100};
  CHECK(next.Started().size() == 1);
}

// Guards against tasks that run twice: the stored list of workers can't be read, and the next
// leader waited for nobody.
TEST_CASE("an unreadable list of workers is waited for until all leases have ended") {
  scheduler_fixture former{2};
  (void)former.Submit("a", 1);
  former.SaveRecords();
  former.saved["w"] = "\xff\xfe";
  former.unreadable = {"w"};
  new_leader next{former};
  next.AddWorker("w1");
  next.now.steady += seconds{5};
  next.leader.Tick(next.now);
  CHECK(next.Started().empty());
  next.now.steady += seconds{5};
  next.leader.Tick(next.now);
  next.Store();
  CHECK(next.Started().size() == 1);
}

// Guards against a task that runs twice: the worker that runs it listed it in a row that couldn't
// be read, and its answer let the task start elsewhere.
TEST_CASE("a report with an unreadable run releases no task") {
  scheduler_fixture former{2};
  (void)former.Submit("a", 1);
  former.SaveRecords();
  StoreAsClosed(former, {"w0"}, "a.0.0.0");
  new_leader next{former};
  next.AddWorker("w1");
  next.leader.ObserveWorker(Facts("w0", 0), next.now);
  (void)next.leader.NextWatch("w0", next.now);
  worker_report report;
  report.whole = false;
  next.leader.OnReport("w0", next.now.steady, report, next.now);
  next.now.steady += milliseconds{100};
  CHECK(next.Started().empty());
  next.leader.OnReport("w0", next.now.steady, {}, next.now);
  next.now.steady += milliseconds{100};
  CHECK(next.Started().size() == 1);
}

// Guards against a task that runs twice after two more changes of leader: a lease that had lapsed
// was still in the record of its worker, beside that of the worker where the task ran then.
TEST_CASE("a task is no longer held for a worker whose lease has lapsed") {
  scheduler_fixture former{2};
  (void)former.Submit("a", 1);
  former.SaveRecords();
  StoreAsClosed(former, {"w0"}, "a.0.0.0");
  new_leader next{former};
  next.now.steady += seconds{9};
  next.leader.Tick(next.now);
  next.leader.ObserveWorker(Facts("w9", 0), next.now);
  wire::stored_workers workers;
  for (const auto& record : next.leader.TakeBatch().records) {
    if (record.key == "w") {
      REQUIRE(workers.ParseFromString(record.value));
    }
  }
  for (const auto& each : workers.workers()) {
    CHECK(each.tasks().empty());
  }
}

// Guards against tasks that the next leader starts elsewhere at once, whatever is lost or late.
TEST_CASE("the next leader knows of every worker what may run there") { PlaySeeds(1, 240); }

// Hidden by default; run it by hand with the tag [many].
TEST_CASE("the next leader knows what may run over many seeds", "[.][many]") {
  PlaySeeds(1, 10'000);
}

}  // namespace rosearch::sched
