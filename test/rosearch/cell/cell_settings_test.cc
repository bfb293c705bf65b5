#include "rosearch/cell/cell_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;

/// @return complete settings with further members added.
std::string Settings(const std::string& more) {
  return R"({"name":"a","callers_address":"127.0.0.1:1","ready_address":"127.0.0.1:2",)"
         R"("peer_address":"127.0.0.1:3","store_address":"127.0.0.1:4")" +
         more + "}";
}

}  // namespace

TEST_CASE("all mechanisms but calibrated run times are in use where settings say nothing") {
  const auto read = ParseCellSettings(Settings(""));
  REQUIRE(read.has_value());
  sched::mechanism_set off;
  off.Add(sched::mechanism::kEstimates);
  CHECK(read.value().leading.scheduler.off == off);
  CHECK(read.value().leading.max_batches_in_flight > 1);
}

TEST_CASE("the memory for clients and jobs comes from the memory of the machine") {
  const auto read = ParseCellSettings(Settings(R"(,"memory_mb":260)"));
  REQUIRE(read.has_value());
  CHECK(read.value().client_memory_mb == 52);
  CHECK(read.value().leading.scheduler.max_job_bytes == 64'000'000);
  const auto small = ParseCellSettings(Settings(R"(,"memory_mb":64)"));
  CHECK(small.value().client_memory_mb == 12);
  CHECK(small.value().leading.scheduler.max_job_bytes == 20'000'000);
  const auto named =
      ParseCellSettings(Settings(R"(,"memory_mb":260,"client_memory_mb":9,"job_memory_mb":7)"));
  CHECK(named.value().client_memory_mb == 9);
  CHECK(named.value().leading.scheduler.max_job_bytes == 7'000'000);
  CHECK(ParseCellSettings(Settings(R"(,"memory_mb":31)")).has_error());
  CHECK(ParseCellSettings(Settings(R"(,"client_memory_mb":-1)")).has_error());
  CHECK(ParseCellSettings(Settings("")).value().memory_mb > 0);
}

TEST_CASE("settings switch mechanisms off by name") {
  const auto read =
      ParseCellSettings(Settings(R"(,"without":["rescue","batches_beside","early_election"])"));
  REQUIRE(read.has_value());
  const auto& scheduler = read.value().leading.scheduler;
  CHECK_FALSE(scheduler.Uses(sched::mechanism::kRescue));
  CHECK(scheduler.Uses(sched::mechanism::kReservation));
  CHECK(read.value().leading.max_batches_in_flight == 1);
  CHECK(read.value().electing.connection_loss_timeout == read.value().electing.suspect_timeout);
}

// Run times are predicted only where an operator asks for it. A value that is ignored would leave
// the operator in the belief that they are.
TEST_CASE("settings decide whether run times are calibrated") {
  const auto calibrated = ParseCellSettings(Settings(R"(,"run_times":"calibrated")"));
  REQUIRE(calibrated.has_value());
  CHECK(calibrated.value().leading.scheduler.off == sched::mechanism_set{});
  const auto declared = ParseCellSettings(Settings(R"(,"run_times":"declared")"));
  REQUIRE(declared.has_value());
  CHECK_FALSE(declared.value().leading.scheduler.Uses(sched::mechanism::kEstimates));
  CHECK(ParseCellSettings(Settings(R"(,"run_times":"learned")")).has_error());
}

// An operator misspells a mechanism to measure the cell without it. If the unknown name were
// ignored, the mechanism would stay on and the measurement would be wrong.
TEST_CASE("settings that name no mechanism are refused") {
  CHECK(ParseCellSettings(Settings(R"(,"without":["rescues"])")).has_error());
  CHECK(ParseCellSettings(Settings(R"(,"without":"rescue")")).has_error());
}

TEST_CASE("the time that resuming takes comes from the settings") {
  const auto read = ParseCellSettings(Settings(R"(,"restore_ms":250)"));
  REQUIRE(read.has_value());
  CHECK(read.value().leading.scheduler.restore == milliseconds{250});
}

}  // namespace rosearch::cell
