#include <catch2/catch.hpp>

#include "rosearch/cell/fake_ports.h"

namespace rosearch::cell {
namespace {

/// A leader whose store has answered before, so that its probes come at the usual intervals.
class busy_store_fixture : public leader_fixture {
 public:
  busy_store_fixture() {
    const auto before = SendCall("POST", "z", "job");
    Run(milliseconds{100});
    REQUIRE(before->status == 200);
    Run(milliseconds{400});
  }

  /// Submits job "a", whose batch arrives late while the store refuses every other copy of it.
  std::shared_ptr<caller_answer> SubmitWithLateCopy() {
    ports.first_append_delay = milliseconds{1'500};
    ports.refuse_records = true;
    return SendCall("POST", "a", "job");
  }

  [[nodiscard]] bool IsStored(const std::string& job) const {
    return ports.stored.contains('j' + job) || ports.stored.contains('p' + job);
  }
};

}  // namespace

// An append hangs on its way and a second copy of it is refused: its caller is told that the job
// was rejected, but it runs.
TEST_CASE("a job whose other copy is still on its way isn't refused", "[at-most-once]") {
  busy_store_fixture cell;
  const auto called = cell.SubmitWithLateCopy();
  cell.Run(milliseconds{1'300});
  CHECK(called->status != 503);
  cell.ports.refuse_records = false;
  cell.Run(milliseconds{600});
  CHECK(cell.IsStored("a"));
  CHECK(called->status == 200);
}

// As above, and the next batch gets the number of the refused one: the store takes it for a repeat
// and drops it, though its caller is told that the job was accepted. Ends of tasks would be lost
// in the same way, and the next leader would run these tasks again.
TEST_CASE("a batch isn't taken for a repeat of one that arrives late", "[at-most-once]") {
  busy_store_fixture cell;
  (void)cell.SubmitWithLateCopy();
  cell.Run(milliseconds{1'300});
  cell.ports.refuse_records = false;
  cell.Run(milliseconds{600});
  const auto called = cell.SendCall("POST", "b", "job");
  for (int wait = 0; wait < 100 && called->status == 0; ++wait) {
    cell.Run(milliseconds{2});
  }
  REQUIRE(called->status == 200);
  CHECK(cell.IsStored("b"));
}

// While one copy hangs and the store refuses the others, copies were sent 16 times a second. Each
// is paid for, and refused ones count against the store's limit.
TEST_CASE("a batch that is refused beside a hung copy is sent again ever more rarely") {
  busy_store_fixture cell;
  const auto before = cell.ports.record_append_count;
  cell.ports.first_append_delay = milliseconds{3'000};
  cell.ports.refuse_records = true;
  (void)cell.SendCall("POST", "a", "job");
  cell.Run(milliseconds{2'800});
  constexpr int kMaxCopies = 8;
  CHECK(cell.ports.record_append_count - before <= kMaxCopies);
  CHECK(cell.ports.record_append_count - before >= 3);
}

}  // namespace rosearch::cell
