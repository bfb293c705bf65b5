#include "random_cell.h"

#include <catch2/catch.hpp>

namespace rosearch::test {

// Owners pause and are overtaken with their commands still on the way, workers freeze, are replaced
// or answer too late, and records are lost. A customer would see a task run in two places, a VM
// fall over with more than it holds, or work told "not run" that ran.
TEST_CASE("random faults break no promise of a shard's VMs",
          "[no-overcommit][single-run][truthful-not-run][leaving-targets]") {
  int starts = 0;
  int takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    random_cell cell{seed};
    cell.Run();
    CHECK(cell.found().overcommitted == 0);
    CHECK(cell.found().run_twice == 0);
    CHECK(cell.found().ran_after_not_run == 0);
    CHECK(cell.found().started_while_leaving == 0);
    CHECK(cell.unanswered() == 0);
    CHECK(cell.IsAllFree());
    starts += cell.starts();
    takeovers += cell.takeovers();
  }
  // The run must have reached what it is about.
  CHECK(starts > 300 * 40);
  CHECK(takeovers > 300 * 4);
}

}  // namespace rosearch::test
