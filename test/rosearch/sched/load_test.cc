#include <catch2/catch.hpp>
#include <iostream>

#include "rosearch/sched/cell_world.h"

// The load at its worst, replayed in virtual time: what the scheduler does against it, beside the
// same load without that.

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

/// Jobs of one kind, and how many of them their callers got in time.
class handed_in {
 public:
  void Add(cell_world& world, const job_spec& job) { ids_.push_back(world.Submit(job)); }
  /// @return the share that was done soon after what its work takes at most.
  [[nodiscard]] double InTime(const cell_world& world, duration work, duration slack) const {
    std::size_t good = 0;
    for (const auto& id : ids_) {
      const auto took = world.DoneAfter(id);
      const bool done = world.Phase(id) == job_phase::kCompleted;
      good += done && took && *took <= work * 8 / 5 + slack ? 1 : 0;
    }
    return static_cast<double>(good) / static_cast<double>(ids_.size());
  }
  /// @return the share that was refused at once.
  [[nodiscard]] double Refused(const cell_world& world) const {
    const auto refused =
        std::ranges::count_if(ids_, [&](const auto& id) { return world.Refused(id); });
    return static_cast<double>(refused) / static_cast<double>(ids_.size());
  }

 private:
  std::vector<std::string> ids_;
};

/// Long work that can't be interrupted fills the cell; then urgent work comes in a burst.
double UrgentBurst(const scheduler_settings& settings) {
  cell_world world{11, {}, kWorkers, settings};
  world.Run(seconds{1});
  handed_in urgent;
  for (int at = 0; at < 100; ++at) {
    (void)world.Submit(Job(8, 4'000, milliseconds{6'000}, true));
    world.Run(milliseconds{100});
    if (at >= 60) {
      urgent.Add(world, Job(6, 1'300, milliseconds{600}, false));
      urgent.Add(world, Job(6, 1'300, milliseconds{600}, false));
    }
  }
  world.Run(seconds{60});
  CHECK(world.Broken().empty());
  return urgent.InTime(world, milliseconds{600}, milliseconds{600});
}

/// Twice as much long work as the cell can do.
struct overload_result {
  double in_time{0};
  double refused{0};
};
overload_result Overload(const scheduler_settings& settings) {
  cell_world world{12, {}, kWorkers, settings};
  world.Run(seconds{1});
  handed_in all;
  for (int at = 0; at < 150; ++at) {
    all.Add(world, Job(10, 4'000, milliseconds{4'000}, true));
    world.Run(milliseconds{200});
  }
  world.Run(seconds{120});
  CHECK(world.Broken().empty());
  return {all.InTime(world, milliseconds{4'000}, seconds{3}), all.Refused(world)};
}

/// A tenth of the workers fails whatever starts there, and looks empty for it.
double SickWorkers(const scheduler_settings& settings) {
  cell_world world{13, {}, kWorkers, settings};
  world.SickenWorker(3);
  world.SickenWorker(8);
  world.Run(seconds{1});
  handed_in urgent;
  for (int at = 0; at < 200; ++at) {
    urgent.Add(world, Job(8, 1'300, milliseconds{600}, false));
    world.Run(milliseconds{50});
  }
  world.Run(seconds{30});
  CHECK(world.Broken().empty());
  return urgent.InTime(world, milliseconds{600}, milliseconds{200});
}

scheduler_settings Without(mechanism which) {
  scheduler_settings settings;
  settings.off.Add(which);
  return settings;
}

/// Workers turn slow by a factor of seven for six seconds, each time others, under quick work.
double SlowWorkers(const scheduler_settings& settings) {
  cell_world world{14, {}, kWorkers, settings};
  world.Run(seconds{1});
  handed_in urgent;
  for (int at = 0; at < 240; ++at) {
    constexpr int kRound = 120;
    const std::size_t first = 3 + static_cast<std::size_t>(at) / kRound;
    const std::size_t second = first + 12;
    if (at % kRound == 0) {
      world.SlowWorker(first, 7.0);
      world.SlowWorker(second, 7.0);
    } else if (at % kRound == kRound / 2) {
      world.SlowWorker(first, 1.0);
      world.SlowWorker(second, 1.0);
    }
    urgent.Add(world, Job(8, 1'300, milliseconds{700}, false));
    world.Run(milliseconds{100});
  }
  world.Run(seconds{30});
  CHECK(world.Broken().empty());
  return urgent.InTime(world, milliseconds{700} * 3, milliseconds{200});
}

/// Workers with eight accelerators each, of which advice allows three in ten, and questions that
/// cost half a second at three processes.
world_shape Accelerators() {
  world_shape shape;
  shape.worker = {64'000, 128'000, 8};
  shape.long_advice = {milliseconds{560}, milliseconds{8}, seconds{2}};
  shape.allowed_tenths = 3;
  shape.advice_processes = 3;
  shape.urgent_queue = false;
  return shape;
}

job_spec Accelerated(std::uint32_t tasks, std::int64_t processors, std::int64_t accelerators,
                     milliseconds estimate) {
  auto job = Job(tasks, processors, estimate, true);
  job.steps[0].need = {processors, 10'000, accelerators};
  return job;
}

/// Jobs that need all accelerators of a worker beside small ones that need one for each task.
double ScarceAccelerators(const scheduler_settings& settings, const world_shape& shape) {
  cell_world world{15, {}, 13, settings, shape};
  world.Run(seconds{1});
  handed_in large;
  for (int at = 0; at < 100; ++at) {
    large.Add(world, Accelerated(1, 31'000, at % 2 == 0 ? 8 : 4, milliseconds{5'000}));
    if (at % 2 == 0) {
      (void)world.Submit(Accelerated(6, 5'600, 1, milliseconds{3'000}));
    }
    world.Run(milliseconds{500});
  }
  world.Run(seconds{60});
  CHECK(world.Broken().empty());
  return large.InTime(world, milliseconds{5'000}, seconds{4});
}

/// Two jobs in three need all accelerators of a worker, and small work fills each gap: the pool is
/// nine tenths full.
double FewAllowed(const scheduler_settings& settings) {
  auto shape = Accelerators();
  shape.allowed_tenths = 2;
  cell_world world{16, {}, 13, settings, shape};
  world.Run(seconds{1});
  handed_in large;
  for (int at = 0; at < 120; ++at) {
    if (at % 3 == 0) {
      large.Add(world, Accelerated(1, 31'000, 8, milliseconds{5'000}));
    }
    (void)world.Submit(Accelerated(6, 5'600, 1, milliseconds{3'000}));
    world.Run(milliseconds{380});
  }
  world.Run(seconds{60});
  CHECK(world.Broken().empty());
  return large.InTime(world, milliseconds{5'000}, seconds{8});
}

/// Workers of three speeds, and quick jobs that end with their slowest task.
double MixedSpeeds(const scheduler_settings& settings) {
  cell_world world{17, {}, kWorkers, settings};
  for (std::size_t at = 0; at < kWorkers; ++at) {
    constexpr double kSpeeds[]{0.8, 1.0, 1.25};
    world.SlowWorker(at, kSpeeds[at % 3]);
  }
  world.Run(seconds{1});
  handed_in urgent;
  for (int at = 0; at < 300; ++at) {
    urgent.Add(world, Job(6, 1'300, milliseconds{700}, false));
    world.Run(milliseconds{100});
  }
  world.Run(seconds{30});
  CHECK(world.Broken().empty());
  return urgent.InTime(world, milliseconds{700}, milliseconds{100});
}

}  // namespace

// Advice allows a job two or three workers, and it needs one of them whole. Small work takes each
// gap there, since it fits sooner, and the caller's job waits while others come and go.
TEST_CASE("a job that few workers may run gets one of them") {
  const double ours = FewAllowed({});
  const double baseline = FewAllowed(Without(mechanism::kReservation));
  std::cout << "whole workers for jobs that few may run, in time: " << ours
            << ", without reservations " << baseline << '\n';
  CHECK(ours > 0.8);
  CHECK(ours > baseline + 0.1);
}

// Workers of one pool are up to half as fast again as others. A quick job with a task on a slow one
// keeps its caller waiting, though fast ones had room.
TEST_CASE("quick work finds the fast workers") {
  const double ours = MixedSpeeds({});
  const double baseline = MixedSpeeds(Without(mechanism::kSpeeds));
  std::cout << "quick jobs among workers of three speeds in time: " << ours
            << ", without preferring fast ones " << baseline << '\n';
  CHECK(ours > baseline + 0.05);
}

// A worker that turns slow holds few runs for long and so looks empty: each job puts a task there,
// and its caller waits for that one task seven times as long as for all the others.
TEST_CASE("a slow worker holds up few jobs") {
  const double ours = SlowWorkers({});
  const double baseline = SlowWorkers(Without(mechanism::kRescue));
  std::cout << "beside slow workers within three times their time: " << ours
            << ", without moving slow runs " << baseline << '\n';
  CHECK(ours > 0.97);
  CHECK(ours > baseline);
}

// Many jobs wait for the accelerators of the few workers that advice allows them. Each question
// costs half a second, and one that names only the worker that has room just then mostly tells that
// it isn't allowed: the answers come ever later, and callers wait while room is free.
TEST_CASE("scarce accelerators are not lost to questions for advice") {
  const double ours = ScarceAccelerators({}, Accelerators());
  const double baseline = ScarceAccelerators(Without(mechanism::kAdviceAhead), Accelerators());
  std::cout << "large accelerated jobs in time: " << ours << ", without asking ahead " << baseline
            << '\n';
  CHECK(ours > 0.9);
  CHECK(ours > baseline + 0.1);
}

// Callers with urgent jobs come all at once while the cell is full of work that can't be stopped.
// Without room kept for them they wait until some of it ends.
TEST_CASE("a burst of urgent work finds room in a full cell") {
  auto without = Without(mechanism::kReserve);
  const double advised_ahead = UrgentBurst(without);
  without.off.Add(mechanism::kAdviceAhead);
  const double ours = UrgentBurst({});
  const double baseline = UrgentBurst(without);
  std::cout << "urgent burst in time: " << ours << ", without a reserve " << advised_ahead
            << ", without asking ahead either " << baseline << '\n';
  CHECK(ours > advised_ahead);
  CHECK(ours > 0.9);
  CHECK(ours > baseline + 0.2);
}

// Three times the quick work that there is room for: hundreds of steps wait, and runs end all the
// time. A leader that looked at all of them in every pass had no time left for anything else just
// when most was to be done, and nobody was served.
TEST_CASE("looking for places costs what was freed, not what waits") {
  constexpr std::size_t kManyWorkers = 100;
  constexpr int kRounds = 250;
  constexpr milliseconds kPause{8};
  scheduler_settings all_taken;
  all_taken.off.Add(mechanism::kAdmission);
  world_shape shape;
  shape.allowed_tenths = 1;
  cell_world world{16, {}, kManyWorkers, all_taken, shape};
  world.Run(seconds{1});
  for (int at = 0; at < kRounds; ++at) {
    (void)world.Submit(Job(10, 4'000, milliseconds{600}, false));
    world.Run(kPause);
  }
  const auto counts = [&] { return world.Leader().Counts(world.Now()); };
  const auto waiting_steps = counts().waiting_tasks / 10;
  const auto looks_before = counts().placement_attempts;
  const auto starts_before = world.Starts();
  constexpr seconds kWatched{2};
  world.Run(kWatched);
  const auto looks = static_cast<double>(counts().placement_attempts - looks_before);
  const auto freed = static_cast<double>(world.Starts() - starts_before);
  // Each step now and then, and each run that ends concerns those that may run where it was.
  constexpr double kLooksPerSecond = 20;
  constexpr double kAllowedShare = 0.1;
  const auto waiting = static_cast<double>(waiting_steps);
  CHECK(waiting > 100);
  CHECK(looks <
        2 * waiting * kLooksPerSecond * kWatched.count() + 2 * freed * waiting * kAllowedShare);
  CHECK(world.Broken().empty());
}

/// Quick work at a cell whose leader has some share of a processor for twelve seconds, then all of
/// it.
struct slowed_result {
  double before{0};  ///< in time while the leader had a whole processor
  double slowed{0};  ///< in time while it had a share of one
  double after{0};   ///< in time of what came two seconds later and on
  bool lost{false};  ///< something accepted never ended
};
slowed_result SlowedLeader(double processor, const scheduler_settings& settings = {}) {
  constexpr std::size_t kManyWorkers = 100;
  constexpr milliseconds kPause{10};
  world_shape shape;
  // Three fifths of a processor for this load.
  shape.cost = {std::chrono::microseconds{200}, std::chrono::microseconds{200},
                std::chrono::microseconds{300}};
  cell_world world{17, {}, kManyWorkers, settings, shape};
  world.Run(seconds{1});
  const auto hand_in = [&](seconds span) {
    handed_in jobs;
    for (milliseconds at{0}; at < span; at += kPause) {
      jobs.Add(world, Job(6, 1'300, milliseconds{300}, false));
      world.Run(kPause);
    }
    return jobs;
  };
  const auto before = hand_in(seconds{6});
  world.SetProcessor(processor);
  const auto slowed = hand_in(seconds{12});
  world.SetProcessor(1.0);
  (void)hand_in(seconds{2});
  const auto after = hand_in(seconds{6});
  world.Run(seconds{60});
  CHECK(world.Broken().empty());
  const auto in_time = [&](const handed_in& jobs) {
    return jobs.InTime(world, milliseconds{300}, milliseconds{400});
  };
  return {in_time(before), in_time(slowed), in_time(after), !world.Unfinished().empty()};
}

// The machine of the leader turns slow, or has other work. It may decide less, but what it serves
// must not fall faster than its processor does, and it must be back soon after.
TEST_CASE("a leader with less processor decides less and doesn't collapse", "[slowed-leader]") {
  const double processor = GENERATE(1.0, 0.5, 0.25, 0.125);
  const auto got = SlowedLeader(processor);
  std::cout << "leader with " << processor << " of a processor: in time " << got.before
            << " before, " << got.slowed << " meanwhile, " << got.after << " after\n";
  CHECK(got.before > 0.95);
  CHECK(got.slowed >= got.before * processor);
  CHECK(got.after >= got.before - 0.02);
  CHECK_FALSE(got.lost);
}

// The same, taking in whatever comes: everything is late, also what comes after.
TEST_CASE("a leader with less processor that turns nothing away serves nobody", "[slowed-leader]") {
  const auto ours = SlowedLeader(0.25);
  const auto baseline = SlowedLeader(0.25, Without(mechanism::kAdmission));
  std::cout << "leader with a quarter of a processor: in time " << ours.slowed << ", taking in all "
            << baseline.slowed << ", and after it " << baseline.after << '\n';
  CHECK(ours.slowed > baseline.slowed + 0.2);
}

// Twice the work that there is room for. Taken in all of it, every job is late; turned away at
// once, a part's callers can come back, and the rest is in time.
TEST_CASE("what can't be done in time is refused, so that the rest is") {
  scheduler_settings without;
  without.admission_slack = 1e9;
  const auto ours = Overload({});
  const auto baseline = Overload(without);
  std::cout << "overload in time: " << ours.in_time << " (refused " << ours.refused
            << "), taking in all " << baseline.in_time << '\n';
  CHECK(baseline.refused == 0);
  CHECK(ours.in_time > baseline.in_time + 0.1);
  CHECK(ours.in_time / (1 - ours.refused) > 0.75);
}

// A worker that fails everything is always the emptiest. Trusted again each time, it draws new work
// for ever.
TEST_CASE("workers that fail everything are left alone") {
  const double ours = SickWorkers({});
  std::cout << "beside failing workers in time: " << ours << '\n';
  CHECK(ours > 0.9);
}

}  // namespace rosearch::sched
