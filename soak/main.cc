#include <glog/logging.h>

#include <cxxopts.hpp>
#include <iostream>

#include "soak/run.h"

namespace {

std::string replay;  // NOLINT: the failure function takes no argument

/// A check inside the program failed: says how to see it again.
__attribute__((noreturn)) void OnCheckFailed() {
  std::cerr << "promise=internal-check replay=\"" << replay << "\"\n";
  std::abort();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options{"rosearch_soak", "Randomised runs of whole entries among fakes"};
  options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "how many", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "steps", "of 20 ms", cxxopts::value<std::uint64_t>()->default_value("3000"))(
      "faults", "none, single or many", cxxopts::value<std::string>()->default_value("single"))(
      "trace", "print what happens");
  const auto given = options.parse(argc, argv);
  const auto mode = rosearch::soak::FaultModeFromName(given["faults"].as<std::string>());
  if (!mode) {
    std::cerr << options.help();
    return 2;
  }
  rosearch::soak::run_options run{given["seed"].as<std::uint64_t>(),
                                  given["steps"].as<std::uint64_t>(), *mode,
                                  given.count("trace") > 0};
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = run.trace ? google::GLOG_INFO : google::GLOG_FATAL;
  google::InstallFailureFunction(&OnCheckFailed);
  int failed = 0;
  const auto seeds = given["seeds"].as<std::uint64_t>();
  for (std::uint64_t count = 0; count < seeds; ++count, ++run.seed) {
    replay = rosearch::soak::ReplayLine(run);
    const auto result = rosearch::soak::Run(run);
    std::cout << "seed=" << run.seed << " hash=" << result.trace_hash << ' ' << result.counts
              << (result.breach.empty() ? "ok" : "BREACH " + result.breach) << std::endl;
    failed += result.breach.empty() ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}
