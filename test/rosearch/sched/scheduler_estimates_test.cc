#include <catch2/catch.hpp>
#include <chrono>

#include "rosearch/sched/job_codec.h"
#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Declared estimates of the fixture's jobs.
constexpr milliseconds kDeclared{500};
constexpr milliseconds kReal{2'500};

/// Runs single-task jobs one after the other, each for `kReal`.
class learning_cell {
 public:
  explicit learning_cell(const scheduler_settings& settings = {}) : fixture{1, 1, settings} {}

  void RunJobs(int jobs) {
    for (int at = 0; at < jobs; ++at) {
      const auto id = "job" + std::to_string(next_++);
      (void)fixture.Submit(id, 1);
      Save();
      EndLater(fixture.Starts().at(0));
    }
  }
  /// @param checkpoint  reported with the end.
  void EndLater(const start_order& start, end_kind how = end_kind::kDone,
                const std::string& checkpoint = {}) {
    fixture.leader.OnStartAnswer(start, start_outcome::kStarted, fixture.now);
    fixture.AdvanceTime(kReal);
    worker_report report;
    report.ended = {{++ends_, start.task, start.run, how, checkpoint}};
    fixture.Report(start.worker, report);
    fixture.leader.Tick(fixture.now);
    Save();
  }
  /// Stores the pending records, and counts those of the model.
  void Save() {
    for (const auto& record : fixture.Store()) {
      model_records += record.key == "t" ? 1 : 0;
      fixture.saved[record.key] = record.value;
    }
    fixture.saved["w"] = fixture.workers_record;
  }
  [[nodiscard]] bool Predicts() const { return fixture.log.Has("event=run_time_predicted"); }

  scheduler_fixture fixture;
  int model_records{0};

 private:
  int next_{1};
  std::uint64_t ends_{0};
};

}  // namespace

// By the declared estimate, the job would count as late long before its real objective has passed.
TEST_CASE("a job's deadline follows the predicted run time") {
  learning_cell cell;
  cell.RunJobs(60);
  cell.fixture.log.lines.clear();
  (void)cell.fixture.Submit("next", 1);
  CHECK(cell.Predicts());
  // The declared objective is 10 s: 250 ms of latency target and 9,750 ms, five times as much.
  const auto text = cell.fixture.leader.Explain("next", cell.fixture.now);
  const auto left = std::stol(text.substr(text.find("left_ms=") + 8));
  CHECK(left > 40'000);
  CHECK(left < 50'000);
  CHECK(cell.fixture.leader.Dump(cell.fixture.now).find("run_times queue=") != std::string::npos);
}

TEST_CASE("nothing is predicted, learned or stored if calibrated run times are switched off") {
  scheduler_settings settings;
  settings.off.Add(mechanism::kEstimates);
  learning_cell cell{settings};
  cell.RunJobs(20);
  (void)cell.fixture.Submit("next", 1);
  CHECK_FALSE(cell.Predicts());
  CHECK(cell.model_records == 0);
  CHECK(cell.fixture.leader.Counts(cell.fixture.now).run_times_learned == 0);
}

// Otherwise a new leader would order by wrong estimates until it has learned again, or would
// correct estimates that its predecessor had corrected already.
TEST_CASE("a new leader predicts from the stored model and the declared estimates") {
  learning_cell cell;
  cell.RunJobs(60);
  cell.fixture.AdvanceTime(seconds{10});
  auto job = MakeJob("next", 1, 1'000, {});
  job.accepted_ms = cell.fixture.now.wall_ms;
  (void)cell.fixture.leader.Submit(job, cell.fixture.now);
  cell.fixture.leader.Tick(cell.fixture.now);
  cell.Save();
  CHECK(DecodeJob(cell.fixture.saved.at("jnext"))->steps[0].estimate == kDeclared);
  CHECK(DecodeJob(cell.fixture.saved.at("jnext"))->objective == seconds{10});
  new_leader next{cell.fixture};
  const auto text = next.leader.Explain("next", next.now);
  const auto left = std::stol(text.substr(text.find("left_ms=") + 8));
  CHECK(left > 40'000);
  CHECK(left < 50'000);
}

// A record after each run would take the link of a small peer that carries the batches.
TEST_CASE("the model is stored at most every ten seconds, and never on its own") {
  learning_cell cell;
  cell.RunJobs(40);  // 100 s
  CHECK(cell.model_records >= 5);
  CHECK(cell.model_records <= 11);
  cell.fixture.AdvanceTime(seconds{20});
  cell.fixture.leader.Tick(cell.fixture.now);
  CHECK_FALSE(cell.fixture.leader.HasRecords());
  CHECK_FALSE(cell.fixture.leader.HasUrgentRecords());
}

TEST_CASE("a model whose batch was not stored is stored later") {
  learning_cell cell;
  const auto has_model = [](const state_batch& batch) {
    return std::ranges::any_of(batch.records, [](const auto& each) { return each.key == "t"; });
  };
  cell.RunJobs(2);
  cell.fixture.AdvanceTime(seconds{20});
  cell.fixture.leader.Tick(cell.fixture.now);
  (void)cell.fixture.Submit("next", 1);
  const auto lost = cell.fixture.leader.TakeBatch();
  CHECK(has_model(lost));
  cell.fixture.leader.OnNotStored(lost.number);
  (void)cell.fixture.Submit("another", 1);
  CHECK(has_model(cell.fixture.leader.TakeBatch()));
}

// A run that resumed from a checkpoint does only the rest of the work, so learning from it would
// make every prediction too short.
TEST_CASE("a run that resumed or was taken over from a former leader is not learned") {
  learning_cell cell;
  auto job = MakeJob("a", 1, 1'000, {});
  job.steps[0].checkpoints = true;
  (void)cell.fixture.leader.Submit(job, cell.fixture.now);
  cell.Save();
  cell.EndLater(cell.fixture.Starts().at(0), end_kind::kStopped, "checkpoint");
  const auto resumed = cell.fixture.Starts().at(0);
  CHECK(resumed.checkpoint == "checkpoint");
  new_leader next{cell.fixture};
  cell.EndLater(resumed);
  CHECK(cell.fixture.leader.Counts(cell.fixture.now).run_times_learned == 0);

  worker_report report;
  report.running = {{resumed.task, resumed.run, {}, 50, 0}};
  next.AddWorker("w0", report);
  worker_report ended;
  ended.ended = {{9, resumed.task, resumed.run, end_kind::kDone, ""}};
  (void)next.leader.NextWatch("w0", next.now);
  next.leader.OnReport("w0", next.now.steady, ended, next.now);
  CHECK(next.leader.Phase("a", {kQueue}) == job_phase::kRunning);  // its end isn't stored yet
  CHECK(next.leader.Counts(next.now).run_times_learned == 0);
}

// A new leader must start whatever the record contains; the cell logs it as unreadable.
TEST_CASE("a stored model that can't be decoded is ignored") {
  scheduler_fixture fixture{0, 2};
  CHECK_FALSE(fixture.leader.Restore({"t", "garbage"}, fixture.now));
  fixture.leader.FinishRestore(fixture.now);
  CHECK(fixture.leader.Dump(fixture.now).find("run_times") == std::string::npos);
}

}  // namespace rosearch::sched
