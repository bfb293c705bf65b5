#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

struct leaving_way {
  const char* name;
  bool by_list;  ///< marked in the VM list; else by an operator's order
};

// A VM is to be replaced: an operator drains it, or the platform's list marks it. Whatever is still
// sent there after a few seconds dies with the VM, and its owner sees an unknown outcome for work
// that could have run elsewhere.
TEST_CASE("nothing new starts on a leaving VM", "[leaving-targets]") {
  cell cell{{.workers = 3, .executors = 3}};
  const std::vector<leaving_way> rows{{"list", true}, {"order", false}};
  int leaving = 0;
  for (const auto& row : rows) {
    INFO(row.name);
    ++leaving;
    const auto worker = "worker-" + std::to_string(leaving);
    const auto executor = "executor-" + std::to_string(leaving);
    REQUIRE(cell.Submit(1, std::string{"before-"} + row.name, 30, 100).status == 202);
    if (row.by_list) {
      cell.SetVm(worker, "VM_WORKER", cell.StandInAddress("workers", leaving), leaving,
                 R"(,"holds":{"processors_milli":16000,"memory_mb":65536},"leaving":true)");
      cell.SetVm(executor, "VM_EXECUTOR", cell.StandInAddress("executors", leaving), leaving,
                 R"(,"slots":8,"connections":60,"service":"fuel","leaving":true)");
    } else {
      for (const auto& vm : {worker, executor}) {
        REQUIRE(cell.Ask(2, "POST", "/v1/vms/" + vm + "/drain").status == 200);
      }
    }
    cell.Until(
        "word of it at each entry",
        [&] { return cell.OpenAnywhere(worker) == 0 && cell.OpenAnywhere(executor) == 0; },
        std::chrono::seconds{5});
    cell.Until("end of the first job",
               [&] { return cell.JobEnded(1, std::string{"before-"} + row.name, 30); });
    const auto starts = cell.Starts("", leaving);
    const auto runs = cell.ExecutorRuns(leaving);
    const auto job = std::string{"after-"} + row.name;
    REQUIRE(cell.Submit(2, job, 40, 100).status == 202);
    for (int number = 0; number < 30; ++number) {
      CHECK(cell.Quote(1 + number % 3, R"({"litres":1})").get().outcome == "done");
    }
    cell.Until("end of the second job", [&] { return cell.JobEnded(1, job, 40); });
    CHECK(cell.Starts("", leaving) == starts);
    CHECK(cell.ExecutorRuns(leaving) == runs);
  }
}

}  // namespace
}  // namespace rosearch::test
