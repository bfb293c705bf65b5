#include "rosearch/shard/shard_journal.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "rosearch/shard/shard_replica.h"

namespace rosearch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds{100}};

wire::shard_record Admitted(const std::string& request) {
  wire::shard_record record;
  record.mutable_admitted()->set_customer("calandria");
  record.mutable_admitted()->set_request(request);
  return record;
}

/// Passes everything that is due to the copy and the acknowledgements back.
void Exchange(shard_journal& journal, shard_replica& copy, time_point now) {
  for (const auto& message : journal.TakeForWitness(now)) {
    journal.OnWitnessAck(copy.OnReplicate(message), now);
  }
}

}  // namespace

// The first snapshot reaches the witness before the record that names it as witness, and is
// ignored. Without another one the shard never gets an active witness, and stops when the log is
// down.
TEST_CASE("a snapshot that was lost is sent again, also of a shard without records",
          "[single-run]") {
  const int records = GENERATE(0, 1, 3);
  shard_journal journal{0};
  journal.Start(1, {}, 0);
  for (int at = 0; at < records; ++at) {
    journal.Propose(Admitted(std::to_string(at)));
  }
  journal.StartReplication(kStart);
  REQUIRE_FALSE(journal.TakeForWitness(kStart).empty());
  REQUIRE(journal.TakeForWitness(kStart + milliseconds{10}).empty());
  shard_replica copy;
  Exchange(journal, copy, kStart + milliseconds{400});
  CHECK(journal.WitnessInStep());
  CHECK(journal.WitnessHasAll());
  CHECK(copy.WholeAt(1));
  CHECK(copy.sequence() == static_cast<std::uint64_t>(records));
}

// The owner dies after it told a caller that its work is accepted. Whoever takes over has what the
// second copy has: a record counts only where that copy is the one that would take over.
TEST_CASE("a record is durable where the one who would take over has it", "[at-most-once]") {
  shard_journal journal{0};
  journal.Start(1, {}, 0);
  journal.Propose(Admitted("a"));
  CHECK(journal.TakeDurable(durable_by::kLog).empty());
  CHECK(journal.TakeDurable(durable_by::kNobody).empty());
  journal.StartReplication(kStart);
  shard_replica copy;
  Exchange(journal, copy, kStart);
  CHECK(journal.TakeDurable(durable_by::kLog).empty());
  CHECK(journal.TakeDurable(durable_by::kWitness).size() == 1);
  journal.Propose(Admitted("b"));
  REQUIRE(journal.TakeForLog().has_value());
  journal.OnLogDurable(2);
  CHECK(journal.TakeDurable(durable_by::kWitness).empty());
  Exchange(journal, copy, kStart + milliseconds{1});
  CHECK(journal.TakeDurable(durable_by::kWitness).size() == 1);
}

// Guards against a witness that takes over without a record that was told because the log had it.
TEST_CASE("a witness is not ready before it has all that was told", "[truthful-not-run]") {
  shard_journal journal{0};
  journal.Start(1, {}, 0);
  journal.StartReplication(kStart);
  shard_replica copy;
  Exchange(journal, copy, kStart);
  journal.Propose(Admitted("a"));
  REQUIRE(journal.TakeForLog().has_value());
  journal.OnLogDurable(1);
  REQUIRE(journal.TakeDurable(durable_by::kLog).size() == 1);
  CHECK(journal.WitnessInStep());
  CHECK_FALSE(journal.WitnessHasTold());
  Exchange(journal, copy, kStart + milliseconds{1});
  CHECK(journal.WitnessHasTold());
}

// Guards against a holder that goes on at a new epoch and is lost at once: its former witness had
// already dropped the only other copy, which was of the epoch before.
TEST_CASE("a new epoch is not replicated before a copy of it is", "[truthful-not-run]") {
  shard_journal journal{0};
  journal.Start(5, {}, 82);
  journal.Propose(Admitted("a"));
  journal.StartReplication(kStart);
  shard_replica copy;
  Exchange(journal, copy, kStart);
  REQUIRE(journal.TakeDurable(durable_by::kWitness).size() == 1);
  REQUIRE(journal.IsStartReplicated());
  journal.ContinueAt(6);
  CHECK(journal.secured() == 83);
  CHECK_FALSE(journal.IsStartReplicated());
  SECTION("at a witness") {
    journal.StartReplication(kStart);
    Exchange(journal, copy, kStart);
  }
  SECTION("on the log") {
    REQUIRE(journal.TakeForLog().has_value());
    journal.OnLogDurable(83);
  }
  CHECK(journal.IsStartReplicated());
}

// Guards against records that are told without being on the log: the answer to an append of an
// earlier term of the same process names sequences of that term.
TEST_CASE("an append of an earlier term says nothing of a later one's records",
          "[truthful-not-run]") {
  shard_journal journal{0};
  journal.Start(1, {}, 700);
  journal.Propose(Admitted("a"));
  REQUIRE(journal.TakeForLog().has_value());
  journal.Start(3, {}, 690);
  journal.Propose(Admitted("b"));
  journal.OnLogDurable(701);
  CHECK(journal.TakeDurable(durable_by::kLog).empty());
  CHECK(journal.LogLacksTold());
  REQUIRE(journal.TakeForLog().has_value());
  journal.OnLogDurable(691);
  CHECK(journal.TakeDurable(durable_by::kLog).size() == 1);
}

}  // namespace rosearch
