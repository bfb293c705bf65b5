// The walks of docs/OPERATIONS.md from an id to the cause: each produces its failure, and finds the
// cause by the page's own commands.
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "rosearch/cell/fake_ports.h"
#include "rosearch/sched/cell_world.h"

namespace rosearch::cell {
namespace {

std::string Page() {
  std::ifstream file{std::string{ROSEARCH_SOURCE_DIR} + "/docs/OPERATIONS.md"};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// @return what the commands of one walk print about a job.
std::string Walk(const std::string& name, const std::vector<std::string>& lines,
                 const std::string& id) {
  const auto page = Page();
  const auto fence = "```sh " + name + "\n";
  const auto begin = page.find(fence);
  REQUIRE(begin != std::string::npos);
  const auto from = begin + fence.size();
  const auto commands = page.substr(from, page.find("```", from) - from);
  const std::string folder = ROSEARCH_BIN_DIR;
  const auto log = folder + "/" + name + ".log";
  std::ofstream out{log};
  for (const auto& line : lines) {
    out << line << '\n';
  }
  out.close();
  const auto script = folder + "/" + name + ".sh";
  std::ofstream{script} << "LOG=" << log << "\nID=" << id << '\n' << commands;
  const std::unique_ptr<FILE, int (*)(FILE*)> pipe{popen(("bash " + script).c_str(), "r"), pclose};
  REQUIRE(pipe);
  std::string printed;
  std::array<char, 512> part{};
  while (fgets(part.data(), part.size(), pipe.get()) != nullptr) {
    printed += part.data();
  }
  return printed;
}

}  // namespace

// The store is away while a caller hands in a job; the caller gets 503.
TEST_CASE("from a refused job's id to the store that was away") {
  leading cell;
  cell.ports.silent = true;
  (void)cell.Ask("POST", "first", "job", milliseconds{2'000});
  cell.Run(milliseconds{700});
  CHECK(cell.Ask("POST", "5c0e7a21d94b36f8", "job")->status == 503);
  const auto printed = Walk("walk-refused", cell.log.lines, "5c0e7a21d94b36f8");
  CHECK(printed.find("reason=store_away") != std::string::npos);
}

// Every run of a task fails; the caller sees its job as failed.
TEST_CASE("from a failed job's id to the worker of its last attempt") {
  sched::world_faults faults;
  faults.run_fails = 1;
  sched::cell_world world{3, faults, 4};
  world.Run(std::chrono::seconds{1});
  sched::job_spec job;
  job.steps.resize(1);
  job.steps[0].need = {100, 10, 0};
  job.steps[0].estimate = milliseconds{100};
  const auto id = world.Submit(job);
  world.Run(std::chrono::seconds{20});
  REQUIRE(world.Phase(id) == sched::job_phase::kFailed);
  const auto printed = Walk("walk-failed", world.Log().lines, id);
  CHECK(printed.find("how=failed") != std::string::npos);
  CHECK(printed.find("last_worker=w") != std::string::npos);
}

// The append that carries a job is never answered; the caller waits, and gets 504.
TEST_CASE("from an unanswered job's id to the append without an answer") {
  leading cell;
  cell.ports.silent = true;
  const auto answer = cell.Ask("POST", "5c0e7a21d94b36f8", "job", milliseconds{300});
  cell.Run(milliseconds{500});
  CHECK(answer->status == 504);
  const auto printed = Walk("walk-unknown", cell.log.lines, "5c0e7a21d94b36f8");
  CHECK(printed.find("event=caller_unanswered") != std::string::npos);
  CHECK(printed.find("event=leader_serves") != std::string::npos);
}

}  // namespace rosearch::cell
