#include <catch2/catch.hpp>
#include <iostream>

#include "rosearch/sched/cell_world.h"

// Runs adverse loads in virtual time, each with the scheduler's defaults and again with the
// mechanism against that load switched off.

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 24;  // 432 processors in all

job_spec Job(std::uint32_t tasks, std::int64_t processors, milliseconds estimate, bool is_long) {
  job_spec job;
  job.queue = is_long ? cell_world::kLongQueue : cell_world::kQueue;
  job.steps.resize(1);
  job.steps[0].count = tasks;
  job.steps[0].need = {processors, processors * 2, 0};
  job.steps[0].estimate = estimate;
  return job;
}

/// Submitted jobs of one kind, and the shares of them that completed in time or were refused.
class submitted_jobs {
 public:
  void Add(cell_world& world, const job_spec& job) { ids_.push_back(world.Submit(job)); }
  /// @param work  estimate of a job's work; simulated runs take at most 1.6 times as long.
  /// @param slack  time allowed beyond that.
  /// @return share of jobs that completed within 1.6 times `work` plus `slack`.
  [[nodiscard]] double InTime(const cell_world& world, duration work, duration slack) const {
    std::size_t good = 0;
    for (const auto& id : ids_) {
      const auto took = world.CompletionTime(id);
      const bool done = world.Phase(id) == job_phase::kCompleted;
      good += done && took && *took <= work * 8 / 5 + slack ? 1 : 0;
    }
    return static_cast<double>(good) / static_cast<double>(ids_.size());
  }
  /// @return share of jobs that were refused.
  [[nodiscard]] double Refused(const cell_world& world) const {
    const auto refused =
        std::ranges::count_if(ids_, [&](const auto& id) { return world.Refused(id); });
    return static_cast<double>(refused) / static_cast<double>(ids_.size());
  }

 private:
  std::vector<std::string> ids_;
};

/// Long work that can't be preempted fills the cell, then a burst of urgent jobs arrives.
/// @return share of urgent jobs in time.
double UrgentBurst(const scheduler_settings& settings) {
  cell_world world{11, {}, kWorkers, settings};
  world.Run(seconds{1});
  submitted_jobs urgent;
  for (int at = 0; at < 100; ++at) {
    (void)world.Submit(Job(8, 4'000, milliseconds{6'000}, true));
    world.Run(milliseconds{100});
    if (at >= 60) {
      urgent.Add(world, Job(6, 1'300, milliseconds{600}, false));
      urgent.Add(world, Job(6, 1'300, milliseconds{600}, false));
    }
  }
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  return urgent.InTime(world, milliseconds{600}, milliseconds{600});
}

/// Submits twice as much long work as the cell can run.
struct overload_result {
  double in_time{0};
  double refused{0};
};
overload_result Overload(const scheduler_settings& settings) {
  cell_world world{12, {}, kWorkers, settings};
  world.Run(seconds{1});
  submitted_jobs all;
  for (int at = 0; at < 150; ++at) {
    all.Add(world, Job(10, 4'000, milliseconds{4'000}, true));
    world.Run(milliseconds{200});
  }
  world.Run(seconds{120});
  CHECK(world.Violations().empty());
  return {all.InTime(world, milliseconds{4'000}, seconds{3}), all.Refused(world)};
}

/// Two of the 24 workers fail every run, and so always have room.
/// @return share of urgent jobs in time.
double FailingWorkers(const scheduler_settings& settings) {
  cell_world world{13, {}, kWorkers, settings};
  world.MakeWorkerFail(3);
  world.MakeWorkerFail(8);
  world.Run(seconds{1});
  submitted_jobs urgent;
  for (int at = 0; at < 200; ++at) {
    urgent.Add(world, Job(8, 1'300, milliseconds{600}, false));
    world.Run(milliseconds{50});
  }
  world.Run(seconds{30});
  CHECK(world.Violations().empty());
  return urgent.InTime(world, milliseconds{600}, milliseconds{200});
}

scheduler_settings Without(mechanism which) {
  scheduler_settings settings;
  settings.off.Add(which);
  return settings;
}

/// Slows two workers by a factor of 7 for 6 s, then two others, under urgent load.
/// @return share of urgent jobs that completed within about three times their time.
double SlowWorkers(const scheduler_settings& settings) {
  cell_world world{14, {}, kWorkers, settings};
  world.Run(seconds{1});
  submitted_jobs urgent;
  for (int at = 0; at < 240; ++at) {
    constexpr int kRound = 120;
    const std::size_t first = 3 + static_cast<std::size_t>(at) / kRound;
    const std::size_t second = first + 12;
    if (at % kRound == 0) {
      world.SetWorkerSlowdown(first, 7.0);
      world.SetWorkerSlowdown(second, 7.0);
    } else if (at % kRound == kRound / 2) {
      world.SetWorkerSlowdown(first, 1.0);
      world.SetWorkerSlowdown(second, 1.0);
    }
    urgent.Add(world, Job(8, 1'300, milliseconds{700}, false));
    world.Run(milliseconds{100});
  }
  world.Run(seconds{30});
  CHECK(world.Violations().empty());
  return urgent.InTime(world, milliseconds{700} * 3, milliseconds{200});
}

/// Returns a cell of workers with eight accelerators each, three tenths of which advice allows. An
/// advice query costs over half a second, and three processes send queries.
world_options Accelerators() {
  world_options options;
  options.worker = {64'000, 128'000, 8};
  options.long_queue_advice = {milliseconds{560}, milliseconds{8}, seconds{2}};
  options.advice_allowed_tenths = 3;
  options.max_advice_queries = 3;
  options.has_urgent_queue = false;
  return options;
}

job_spec Accelerated(std::uint32_t tasks, std::int64_t processors, std::int64_t accelerators,
                     milliseconds estimate) {
  auto job = Job(tasks, processors, estimate, true);
  job.steps[0].need = {processors, 10'000, accelerators};
  return job;
}

/// Jobs that need four or all eight accelerators of a worker, beside small jobs that need one per
/// task.
/// @return share of the large jobs in time.
double ScarceAccelerators(const scheduler_settings& settings, const world_options& options) {
  cell_world world{15, {}, 13, settings, options};
  world.Run(seconds{1});
  submitted_jobs large;
  for (int at = 0; at < 100; ++at) {
    large.Add(world, Accelerated(1, 31'000, at % 2 == 0 ? 8 : 4, milliseconds{5'000}));
    if (at % 2 == 0) {
      (void)world.Submit(Accelerated(6, 5'600, 1, milliseconds{3'000}));
    }
    world.Run(milliseconds{500});
  }
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  return large.InTime(world, milliseconds{5'000}, seconds{4});
}

/// One job in four needs all accelerators of a worker, and small jobs fill the gaps: the pool is
/// nine tenths full.
/// @return share of the large jobs in time.
double FewAllowedWorkers(const scheduler_settings& settings) {
  auto options = Accelerators();
  options.advice_allowed_tenths = 2;
  cell_world world{16, {}, 13, settings, options};
  world.Run(seconds{1});
  submitted_jobs large;
  for (int at = 0; at < 120; ++at) {
    if (at % 3 == 0) {
      large.Add(world, Accelerated(1, 31'000, 8, milliseconds{5'000}));
    }
    (void)world.Submit(Accelerated(6, 5'600, 1, milliseconds{3'000}));
    world.Run(milliseconds{380});
  }
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  return large.InTime(world, milliseconds{5'000}, seconds{8});
}

/// Workers of three speeds, and quick jobs that end with their slowest task.
/// @return share of the jobs in time.
double MixedSpeeds(const scheduler_settings& settings) {
  cell_world world{17, {}, kWorkers, settings};
  for (std::size_t at = 0; at < kWorkers; ++at) {
    constexpr double kSpeeds[]{0.8, 1.0, 1.25};
    world.SetWorkerSlowdown(at, kSpeeds[at % 3]);
  }
  world.Run(seconds{1});
  submitted_jobs urgent;
  for (int at = 0; at < 300; ++at) {
    urgent.Add(world, Job(6, 1'300, milliseconds{700}, false));
    world.Run(milliseconds{100});
  }
  world.Run(seconds{30});
  CHECK(world.Violations().empty());
  return urgent.InTime(world, milliseconds{700}, milliseconds{100});
}

}  // namespace

// Advice allows a job two or three workers, and the job needs all of one. Without reservations,
// small tasks take every gap on these workers and the large job starves.
TEST_CASE("a job that few workers may run gets one of them") {
  const double ours = FewAllowedWorkers({});
  const double baseline = FewAllowedWorkers(Without(mechanism::kReservation));
  std::cout << "jobs that need a whole worker, in time: " << ours << ", without reservations "
            << baseline << '\n';
  CHECK(ours > 0.8);
  CHECK(ours > baseline + 0.1);
}

// Workers of one pool differ in speed by up to half. Without a preference for fast workers, a quick
// job ends late because one task runs on a slow worker while fast ones have room.
TEST_CASE("quick work finds the fast workers") {
  const double ours = MixedSpeeds({});
  const double baseline = MixedSpeeds(Without(mechanism::kSpeeds));
  std::cout << "quick jobs among workers of three speeds in time: " << ours
            << ", without preferring fast workers " << baseline << '\n';
  CHECK(ours > baseline + 0.05);
}

// A slowed worker holds few runs at a time and so attracts a task of each job. Without moving slow
// runs, each job waits for that straggler, which takes seven times as long as its other tasks.
TEST_CASE("a slow worker holds up few jobs") {
  const double ours = SlowWorkers({});
  const double baseline = SlowWorkers(Without(mechanism::kRescue));
  std::cout << "jobs beside slow workers within three times their time: " << ours
            << ", without moving slow runs " << baseline << '\n';
  CHECK(ours > 0.97);
  CHECK(ours > baseline);
}

// Many jobs wait for the accelerators of the few workers that advice allows them. An advice query
// costs half a second. Queries that name only the workers with room mostly return that these aren't
// allowed, so the queue of queries grows and jobs wait while workers have room.
TEST_CASE("advice queries leave no scarce accelerators unused") {
  const double ours = ScarceAccelerators({}, Accelerators());
  const double baseline = ScarceAccelerators(Without(mechanism::kAdviceAhead), Accelerators());
  std::cout << "large accelerated jobs in time: " << ours << ", without early advice queries "
            << baseline << '\n';
  CHECK(ours > 0.9);
  CHECK(ours > baseline + 0.1);
}

// A burst of urgent jobs arrives while the cell is full of work that can't be preempted. Without
// reserved capacity they wait until some of that work ends.
TEST_CASE("a burst of urgent work finds room in a full cell") {
  auto without = Without(mechanism::kReserve);
  const double advised_ahead = UrgentBurst(without);
  without.off.Add(mechanism::kAdviceAhead);
  const double ours = UrgentBurst({});
  const double baseline = UrgentBurst(without);
  std::cout << "urgent burst in time: " << ours << ", without reserved capacity " << advised_ahead
            << ", also without early advice queries " << baseline << '\n';
  CHECK(ours > advised_ahead);
  CHECK(ours > 0.9);
  CHECK(ours > baseline + 0.2);
}

// With three times the quick work that the cell can run, hundreds of steps wait while runs end all
// the time. A leader that tried to place every waiting step in every pass would spend all its time
// on that and start no tasks in time.
TEST_CASE("placement attempts grow with freed capacity, not with the backlog") {
  constexpr std::size_t kManyWorkers = 100;
  constexpr int kRounds = 250;
  constexpr milliseconds kPause{8};
  scheduler_settings admit_all;
  admit_all.off.Add(mechanism::kAdmission);
  world_options options;
  options.advice_allowed_tenths = 1;
  cell_world world{16, {}, kManyWorkers, admit_all, options};
  world.Run(seconds{1});
  for (int at = 0; at < kRounds; ++at) {
    (void)world.Submit(Job(10, 4'000, milliseconds{600}, false));
    world.Run(kPause);
  }
  const auto counts = [&] { return world.Leader().Counts(world.Now()); };
  const auto waiting_steps = counts().waiting_tasks / 10;
  const auto attempts_before = counts().placement_attempts;
  const auto starts_before = world.StartCount();
  constexpr seconds kMeasured{2};
  world.Run(kMeasured);
  const auto attempts = static_cast<double>(counts().placement_attempts - attempts_before);
  const auto freed = static_cast<double>(world.StartCount() - starts_before);
  // Each waiting step is retried periodically, and each ended run causes attempts only for the
  // steps that may run on its worker.
  constexpr double kRetriesPerSecond = 20;
  constexpr double kAllowedShare = 0.1;
  const auto waiting = static_cast<double>(waiting_steps);
  CHECK(waiting > 100);
  CHECK(attempts <
        2 * waiting * kRetriesPerSecond * kMeasured.count() + 2 * freed * waiting * kAllowedShare);
  CHECK(world.Violations().empty());
}

/// Shares of quick jobs in time, at a cell whose leader has a share of a processor for 12 s and a
/// whole one before and after.
struct slowed_result {
  double before{0};  ///< submitted while the leader had a whole processor
  double slowed{0};  ///< submitted while it had a share of one
  double after{0};   ///< submitted from 2 s after it had a whole one again
  bool lost{false};  ///< whether an accepted job never ended
};
slowed_result SlowedLeader(double processor, const scheduler_settings& settings = {}) {
  constexpr std::size_t kManyWorkers = 100;
  constexpr milliseconds kPause{10};
  world_options options;
  // These costs add up to three fifths of a processor under this load.
  options.cost = {std::chrono::microseconds{200}, std::chrono::microseconds{200},
                  std::chrono::microseconds{300}};
  cell_world world{17, {}, kManyWorkers, settings, options};
  world.Run(seconds{1});
  const auto submit_for = [&](seconds span) {
    submitted_jobs jobs;
    for (milliseconds at{0}; at < span; at += kPause) {
      jobs.Add(world, Job(6, 1'300, milliseconds{300}, false));
      world.Run(kPause);
    }
    return jobs;
  };
  const auto before = submit_for(seconds{6});
  world.SetLeaderProcessorShare(processor);
  const auto slowed = submit_for(seconds{12});
  world.SetLeaderProcessorShare(1.0);
  (void)submit_for(seconds{2});
  const auto after = submit_for(seconds{6});
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  const auto in_time = [&](const submitted_jobs& jobs) {
    return jobs.InTime(world, milliseconds{300}, milliseconds{400});
  };
  return {in_time(before), in_time(slowed), in_time(after), !world.Unfinished().empty()};
}

// The leader's machine slows down or has other load. The share of jobs in time must not fall below
// the leader's share of its processor, and must recover within 2 s of the slowdown.
TEST_CASE("a leader with less processor degrades at most in proportion and recovers",
          "[slowed-leader]") {
  const double processor = GENERATE(1.0, 0.5, 0.25, 0.125);
  const auto got = SlowedLeader(processor);
  std::cout << "leader with " << processor << " of a processor: in time " << got.before
            << " before, " << got.slowed << " while slowed, " << got.after << " after\n";
  CHECK(got.before > 0.95);
  CHECK(got.slowed >= got.before * processor);
  CHECK(got.after >= got.before - 0.02);
  CHECK_FALSE(got.lost);
}

// As above, without admission control: the backlog makes every job late, also those submitted after
// the slowdown.
TEST_CASE("a slowed leader without admission control serves fewer jobs in time",
          "[slowed-leader]") {
  const auto ours = SlowedLeader(0.25);
  const auto baseline = SlowedLeader(0.25, Without(mechanism::kAdmission));
  std::cout << "leader with a quarter of a processor: in time " << ours.slowed
            << ", without admission control " << baseline.slowed << ", and after the slowdown "
            << baseline.after << '\n';
  CHECK(ours.slowed > baseline.slowed + 0.2);
}

/// Long steps of 14 tasks, which advice allows on a third of 100 workers, at three quarters of the
/// cell's capacity. An advice query costs over half a second, and three processes send queries.
/// @return share of jobs in time.
double WideAdvisedSteps(const scheduler_settings& settings) {
  world_options options;
  options.worker = {64'000, 128'000, 0};
  options.long_queue_advice = {milliseconds{507}, std::chrono::microseconds{7'280},
                               milliseconds{2'500}};
  options.advice_allowed_tenths = 3;
  options.max_advice_queries = 3;
  options.has_urgent_queue = false;
  cell_world world{19, {}, 100, settings, options};
  world.Run(seconds{1});
  submitted_jobs wide;
  for (int at = 0; at < 120; ++at) {
    auto job = Job(14, 18'000, milliseconds{6'000}, true);
    job.steps[0].need = {18'000, 34'000, 0};
    wide.Add(world, job);
    world.Run(milliseconds{400});
  }
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  return wide.InTime(world, milliseconds{6'000}, seconds{4});
}

// Queries that wait for a process name workers that are full by the time of the answer. Steps then
// ask again and again, while a quarter of the processors stays free.
TEST_CASE("workers of a long query are chosen when a process can send it") {
  const double ours = WideAdvisedSteps({});
  const double baseline = WideAdvisedSteps(Without(mechanism::kAdviceSlots));
  auto few_names = scheduler_settings{};
  few_names.off.Add(mechanism::kAdviceSlots);
  few_names.max_workers_per_query = 30;
  const double former = WideAdvisedSteps(few_names);
  few_names.off = {};
  const double slots_alone = WideAdvisedSteps(few_names);
  std::cout << "wide advised steps in time: " << ours << ", with queries that queue " << baseline
            << ", with at most 30 names " << slots_alone << ", with both " << former << '\n';
  CHECK(slots_alone > former + 0.1);
  CHECK(baseline > former + 0.1);
  CHECK(ours >= slots_alone);
}

// Under twice the load that the cell can run, accepting every job makes all of them late. Refusing
// a part at once lets its callers retry and the rest complete in time.
TEST_CASE("jobs that can't complete in time are refused, so that the rest complete in time") {
  scheduler_settings without;
  without.admission_slack = 1e9;
  const auto ours = Overload({});
  const auto baseline = Overload(without);
  std::cout << "overload, in time: " << ours.in_time << " (refused " << ours.refused
            << "), without admission control " << baseline.in_time << '\n';
  CHECK(baseline.refused == 0);
  CHECK(ours.in_time > baseline.in_time + 0.1);
  CHECK(ours.in_time / (1 - ours.refused) > 0.75);
}

// A worker that fails every run always has the most room. Without a lasting penalty it would
// attract new tasks forever.
TEST_CASE("workers that fail every run are avoided") {
  const double ours = FailingWorkers({});
  std::cout << "jobs beside failing workers, in time: " << ours << '\n';
  CHECK(ours > 0.9);
}

}  // namespace rosearch::sched
