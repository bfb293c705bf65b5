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

TEST_CASE("all mechanisms are in use where settings say nothing") {
  const auto read = ParseCellSettings(Settings(""));
  REQUIRE(read.has_value());
  CHECK(read.value().leading.scheduler.off == sched::mechanism_set{});
  CHECK(read.value().leading.max_batches_in_flight > 1);
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
