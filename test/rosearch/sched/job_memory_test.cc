#include "rosearch/sched/job_memory.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

scheduler_settings WithLimit(std::size_t bytes) {
  scheduler_settings settings;
  settings.max_job_bytes = bytes;
  return settings;
}

job_spec MakeService(const std::string& id, std::uint32_t tasks) {
  auto job = MakeJob(id, tasks, 10, {});
  job.steps[0].service = true;
  return job;
}

}  // namespace

// Work that lasts is admitted whatever the load, and none of it ever ended by itself.
TEST_CASE("services are refused when the memory for jobs is full") {
  scheduler_fixture fixture{2, 1, WithLimit(1'000'000)};
  submit_answer answer{submit_verdict::kPending};
  int accepted = 0;
  while (accepted < 100 && answer.verdict == submit_verdict::kPending) {
    answer = fixture.leader.Submit(MakeService("s" + std::to_string(accepted), 1'000), fixture.now);
    accepted += answer.verdict == submit_verdict::kPending ? 1 : 0;
  }
  CHECK(accepted > 0);
  CHECK(answer.verdict == submit_verdict::kRefused);
  CHECK(answer.reason == "job_memory");
  CHECK(answer.retry_after > duration{});
  CHECK(fixture.leader.Counts(fixture.now).job_bytes <= 1'000'000);
  // A small job isn't the one that pays.
  CHECK(fixture.leader.Submit(MakeService("small", 1), fixture.now).verdict ==
        submit_verdict::kPending);
}

// A request of 40 bytes for each step asked for more tasks than a machine can hold.
TEST_CASE("a job larger than the memory for jobs is refused without a retry time") {
  scheduler_fixture fixture{2, 1, WithLimit(1'000'000)};
  const auto answer = fixture.leader.Submit(MakeService("a", 10'000), fixture.now);
  CHECK(answer.verdict == submit_verdict::kRefused);
  CHECK(answer.reason == "job_too_large");
  CHECK(answer.retry_after == duration{});
}

// A timetable that lies in the past opened a million occurrences at once.
TEST_CASE("occurrences that are all due open as far as the memory for jobs goes") {
  scheduler_fixture fixture{2, 1, WithLimit(1'000'000)};
  auto job = MakeJob("a", 100, 1'000, {});
  job.occurrences = 1'000'000;
  job.first_due_ms = 1;
  REQUIRE(fixture.leader.Submit(job, fixture.now).verdict == submit_verdict::kPending);
  (void)fixture.Store();
  const auto counts = fixture.leader.Counts(fixture.now);
  CHECK(counts.job_bytes <= 1'000'000);
  CHECK(counts.waiting_tasks > 100);
}

TEST_CASE("jobs that have ended give their memory back") {
  scheduler_fixture fixture{2, 1, WithLimit(1'000'000)};
  REQUIRE(fixture.leader.Submit(MakeService("a", 10), fixture.now).verdict ==
          submit_verdict::kPending);
  CHECK(fixture.leader.Counts(fixture.now).job_bytes > 0);
  fixture.leader.RefuseUnsentJobs();
  CHECK(fixture.leader.Counts(fixture.now).job_bytes == 0);
  REQUIRE(fixture.leader.Submit(MakeService("b", 10), fixture.now).verdict ==
          submit_verdict::kPending);
  (void)fixture.Store();
  REQUIRE(fixture.leader.Cancel("b", {kQueue}, fixture.now) == cancel_verdict::kPending);
  (void)fixture.Store();
  fixture.leader.Tick(fixture.now);
  (void)fixture.Store();
  fixture.leader.Tick(fixture.now);
  CHECK(fixture.leader.Counts(fixture.now).jobs == 0);
  CHECK(fixture.leader.Counts(fixture.now).job_bytes == 0);
}

}  // namespace rosearch::sched
