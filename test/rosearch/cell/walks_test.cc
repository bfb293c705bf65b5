// Checks the diagnosis procedures (walks) in docs/OPERATIONS.md: each test causes a failure, runs
// the commands of the page with the job's id and expects them to print the cause.
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

std::string ReadOperationsPage() {
  std::ifstream file{std::string{ROSEARCH_SOURCE_DIR} + "/docs/OPERATIONS.md"};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// @return the output of one walk's commands for a job.
/// @param name the tag of the walk's code block in the page
/// @param lines the log to search
/// @param id the job's id
std::string RunWalk(const std::string& name, const std::vector<std::string>& lines,
                    const std::string& id) {
  const auto page = ReadOperationsPage();
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
  std::string output;
  std::array<char, 512> buffer{};
  while (fgets(buffer.data(), buffer.size(), pipe.get()) != nullptr) {
    output += buffer.data();
  }
  return output;
}

}  // namespace

// The store is unavailable while a caller submits a job; the caller gets 503.
TEST_CASE("from a refused job's id to the unavailable store") {
  leader_fixture cell;
  cell.ports.drop_appends = true;
  (void)cell.SendCall("POST", "first", "job", milliseconds{2'000});
  cell.Run(milliseconds{700});
  CHECK(cell.SendCall("POST", "5c0e7a21d94b36f8", "job")->status == 503);
  const auto output = RunWalk("walk-refused", cell.log.lines, "5c0e7a21d94b36f8");
  CHECK(output.find("reason=store_away") != std::string::npos);
}

// Every run of a task fails, so the job fails.
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
  const auto output = RunWalk("walk-failed", world.Log().lines, id);
  CHECK(output.find("how=failed") != std::string::npos);
  CHECK(output.find("last_worker=w") != std::string::npos);
}

// The append of a job is never answered; the caller times out with 504.
TEST_CASE("from an unanswered job's id to the append without an answer") {
  leader_fixture cell;
  cell.ports.drop_appends = true;
  const auto answer = cell.SendCall("POST", "5c0e7a21d94b36f8", "job", milliseconds{300});
  cell.Run(milliseconds{500});
  CHECK(answer->status == 504);
  const auto output = RunWalk("walk-unknown", cell.log.lines, "5c0e7a21d94b36f8");
  CHECK(output.find("event=caller_unanswered") != std::string::npos);
  CHECK(output.find("event=leader_serves") != std::string::npos);
}

// A worker is cut off for longer than its lease, and its task starts elsewhere.
TEST_CASE("from a task's second run to the lease that had lapsed") {
  sched::cell_world world{3, {}, 4};
  world.Run(std::chrono::seconds{1});
  sched::job_spec job;
  job.steps.resize(1);
  job.steps[0].count = 3;
  job.steps[0].need = {6'000, 10, 0};
  job.steps[0].estimate = std::chrono::seconds{30};
  const auto id = world.Submit(job);
  world.Run(std::chrono::seconds{2});
  for (std::size_t worker = 0; worker < 3; ++worker) {
    world.DisconnectWorker(worker, std::chrono::seconds{10});
  }
  world.Run(std::chrono::seconds{15});
  const auto output = RunWalk("walk-twice", world.Log().lines, id);
  CHECK(output.find("how=lost") != std::string::npos);
  CHECK(output.find("cause=lease_lapsed epoch=") != std::string::npos);
  CHECK(output.find("proof_age_ms=") != std::string::npos);
}

}  // namespace rosearch::cell
