#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Makes a worker count as silent.
void Silence(scheduler_fixture& cell, const std::string& worker) {
  for (std::uint32_t count = 0; count < scheduler_settings{}.silent_after; ++count) {
    cell.leader.OnWatchFailed(worker, watch_failure::kNoAnswer, cell.now);
  }
}

/// Starts the only task of a job. @return its order, which the worker has confirmed.
start_order RunFirstTask(scheduler_fixture& cell) {
  (void)cell.Submit("a", 1);
  (void)cell.Store();
  const auto starts = cell.Starts();
  REQUIRE(starts.size() == 1);
  cell.leader.OnStartAnswer(starts[0], start_outcome::kStarted, cell.now);
  return starts[0];
}

}  // namespace

// Guards against a task that runs twice: a leader that was replaced without knowing it takes the
// lease of a worker that it doesn't reach for expired, though its successor has extended it.
TEST_CASE("a lease that a newer leader may have extended doesn't count as expired") {
  scheduler_fixture cell{2};
  const auto first = RunFirstTask(cell);
  const auto replaced_at = cell.now.steady + seconds{1};
  Silence(cell, first.worker);
  cell.AdvanceTime(seconds{9});
  cell.leader.SetProvenAt(replaced_at);
  cell.leader.Tick(cell.now);
  CHECK(cell.Starts().empty());
  CHECK(cell.leader.AwaitsProof());
  cell.leader.SetProvenAt(cell.now.steady);
  cell.leader.Tick(cell.now);
  CHECK_FALSE(cell.leader.AwaitsProof());
  const auto again = cell.Starts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].worker != first.worker);
}

// Guards against a task that runs twice: a leader that restored a worker as closed starts what may
// run there while its successor keeps it at work.
TEST_CASE("tasks of a closed worker are held until no newer leader can have extended its lease") {
  scheduler_fixture former{2};
  (void)former.Submit("a", 1);
  former.SaveRecords();
  const auto first = former.Starts();
  REQUIRE(first.size() == 1);
  Silence(former, first[0].worker);
  former.SaveRecords();
  new_leader next{former};
  const auto other = first[0].worker == "w0" ? "w1" : "w0";
  next.leader.SetProvenAt(next.now.steady + seconds{1});
  next.AddWorker(other);
  next.now.steady += seconds{9};
  (void)next.leader.NextWatch(other, next.now);
  next.leader.OnReport(other, next.now.steady, {}, next.now);
  next.leader.Tick(next.now);
  CHECK(next.Started().empty());
  next.leader.SetProvenAt(next.now.steady);
  next.leader.Tick(next.now);
  CHECK(next.Started().size() == 1);
}

// Guards against a task that runs twice: a former leader that a majority of the processes may still
// follow extends leases for longer than its successor waits.
TEST_CASE("leases of a former leader that may still send are waited for") {
  scheduler_fixture former{1};
  (void)former.Submit("a", 1);
  former.SaveRecords();
  (void)former.Starts();
  former.SaveRecords();
  new_leader next{former};
  const auto restored_at = next.now.steady;
  next.leader.SetFormerLeadersSendUntil(restored_at + seconds{10});
  next.AddWorker("w1");
  next.now.steady = restored_at + seconds{9};
  next.leader.Tick(next.now);
  CHECK_FALSE(next.leader.OldRunsSettled());
  next.leader.SetFormerLeadersSendUntil(restored_at + seconds{2});
  next.leader.Tick(next.now);
  CHECK(next.leader.OldRunsSettled());
}

// Guards against a task that runs twice: a lease that lasts longer at the worker than the leader
// counts.
TEST_CASE("a lease is over at the slowest worker before the leader takes it for expired") {
  scheduler_fixture cell{2};
  const auto first = RunFirstTask(cell);
  auto lease_end = first.lease_end;
  SECTION("of a start") {}
  SECTION("of a watch") {
    cell.AdvanceTime(seconds{2});
    const auto watch = cell.leader.NextWatch(first.worker, cell.now);
    REQUIRE((watch && watch->lease_end));
    CHECK(*watch->lease_end > lease_end);
    lease_end = *watch->lease_end;
  }
  Silence(cell, first.worker);
  CHECK_FALSE(cell.leader.NextWatch(first.worker, cell.now)->lease_end);
  const scheduler_settings settings;
  const auto drift =
      std::chrono::duration_cast<duration>(settings.max_lease * settings.max_clock_drift);
  cell.now.steady = lease_end + drift + settings.lease_expiry_margin - milliseconds{1};
  cell.leader.Tick(cell.now);
  CHECK(cell.Starts().empty());
  cell.now.steady += milliseconds{1};
  cell.leader.Tick(cell.now);
  CHECK(cell.Starts().size() == 1);
}

}  // namespace rosearch::sched
