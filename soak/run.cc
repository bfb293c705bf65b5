#include "soak/run.h"

#include <array>
#include <iostream>
#include <utility>

#include "soak/callers.h"
#include "soak/faults.h"
#include "soak/world.h"

namespace rosearch::soak {
namespace {

constexpr moment kStep = 20 * kMillisecond;
constexpr moment kFirstPublish = 4 * kSecond;
constexpr moment kLook = 200 * kMillisecond;

/// When all faults have ended, everything is as it should be by then.
constexpr moment kHealedBy = 150 * kSecond;

constexpr std::array<std::pair<fault_mode, std::string_view>, 3> kModes{
    {{fault_mode::kNone, "none"}, {fault_mode::kSingle, "single"}, {fault_mode::kMany, "many"}}};

void Steps(world& all, callers& work, faults& mishaps) {
  auto& time = all.time;
  for (std::uint64_t step = 0; step < time.options().steps; ++step) {
    time.RunUntil(time.now() + kStep);
    if (time.now() % kLook == 0) {
      all.Look();
    }
    if (time.now() % (2 * kSecond) == 0 && time.now() > kFirstPublish) {
      work.AskForJobs();
    }
    if (time.now() == kFirstPublish || time.random.Chance(0.002)) {
      work.Publish();
    }
    if (time.now() > kFirstPublish) {
      work.Step();
      mishaps.Step();
    }
  }
}

void Heal(world& all, callers& work, faults& mishaps) {
  auto& time = all.time;
  time.Trace("faults end");
  mishaps.EndAll();
  const auto end = time.now() + kHealedBy;
  while (work.Unfinished() > 0) {
    if (time.now() > end) {
      time.Breach("single-run", "not healed in time: " + work.UnfinishedNames());
    }
    time.RunUntil(time.now() + kLook);
    all.Look();
    if (time.now() % (2 * kSecond) < kLook) {
      work.AskForJobs();
    }
  }
}

}  // namespace

std::string_view FaultModeName(fault_mode mode) noexcept {
  return kModes[static_cast<std::size_t>(mode)].second;
}

std::optional<fault_mode> FaultModeFromName(std::string_view name) noexcept {
  for (const auto& [mode, word] : kModes) {
    if (word == name) {
      return mode;
    }
  }
  return std::nullopt;
}

std::string ReplayLine(const run_options& options) {
  return "rosearch_soak --seed " + std::to_string(options.seed) + " --steps " +
         std::to_string(options.steps) + " --faults " + std::string{FaultModeName(options.faults)};
}

void timeline::Print(const std::string& line) const {
  std::cout << static_cast<double>(now_) / kSecond << ' ' << line << '\n';
}

run_result Run(const run_options& options) {
  world all{options};
  callers work{all};
  faults mishaps{all, work};
  run_result result;
  try {
    Steps(all, work, mishaps);
    Heal(all, work, mishaps);
  } catch (const breach& found) {
    result.breach = found.what();
    if (options.trace) {
      all.PrintDumps();
    }
  }
  result.trace_hash = all.time.hash();
  result.counts = all.checks.Counts();
  return result;
}

}  // namespace rosearch::soak
