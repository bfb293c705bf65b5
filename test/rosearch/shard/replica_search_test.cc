#include "rosearch/shard/replica_search.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace rosearch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds{100}};
const party kFirst{entry_id{"a"}, 1};
const party kSecond{entry_id{"b"}, 2};

wire::replica_answer Answer(std::uint64_t search, const replica_version& version) {
  wire::replica_answer answer;
  answer.set_search(search);
  SetVersion(version, answer);
  answer.mutable_state();
  return answer;
}

}  // namespace

// Guards against a claimant that begins with an older state although a newer one was on its way.
TEST_CASE("a claimant waits for all entries and takes the newest state", "[truthful-not-run]") {
  replica_search search;
  search.SetSources({kFirst, kSecond});
  search.Start(7, kStart);
  REQUIRE(search.TakeDue(kStart).size() == 2);
  search.OnAnswer(kFirst, Answer(7, {{3, true}, 10}), kStart);
  CHECK_FALSE(search.IsDone(kStart));
  CHECK(search.TakeDue(kStart + milliseconds{100}).empty());
  CHECK(search.TakeDue(kStart + milliseconds{300}).size() == 1);
  search.OnAnswer(kSecond, Answer(7, {{3, false}, 90}), kStart);
  CHECK(search.IsDone(kStart));
  REQUIRE(search.best().has_value());
  CHECK(search.best()->version == replica_version{{3, true}, 10});
  CHECK(search.best_holder() == kFirst);
}

// Guards against a shard that pauses for ever because a listed entry is silent, and against answers
// to an earlier claim.
TEST_CASE("a claimant waits for a silent entry for a bounded time", "[truthful-not-run]") {
  replica_search search;
  search.SetSources({kFirst, kSecond});
  search.Start(7, kStart);
  search.OnAnswer(kFirst, Answer(6, {{9}, 1}), kStart);
  CHECK_FALSE(search.best().has_value());
  search.OnAnswer(kSecond, Answer(7, {{3}, 1}), kStart);
  CHECK_FALSE(search.IsDone(kStart + milliseconds{4900}));
  CHECK(search.IsDone(kStart + seconds{5}));
  CHECK(search.Missing() == 1);
}

// Guards against an end that is forgotten although three entries have it: the claimant was cut off
// from all of them and began with what the log had.
TEST_CASE("a claimant that hears nobody waits longer", "[truthful-not-run]") {
  replica_search search;
  search.SetSources({kFirst, kSecond});
  search.Start(7, kStart);
  CHECK_FALSE(search.IsDone(kStart + milliseconds{29900}));
  SECTION("until one answers, then for the others as ever") {
    search.OnAnswer(kFirst, Answer(7, {{3}, 1}), kStart + seconds{8});
    CHECK_FALSE(search.IsDone(kStart + milliseconds{12900}));
    CHECK(search.IsDone(kStart + seconds{13}));
    search.OnAnswer(kSecond, Answer(7, {{4}, 1}), kStart + seconds{9});
    CHECK(search.Missing() == 0);
    CHECK(search.best_holder() == kSecond);
  }
  SECTION("or until the list shows nobody") {
    search.SetSources({});
    CHECK(search.IsDone(kStart + seconds{8}));
  }
  SECTION("but not for ever") { CHECK(search.IsDone(kStart + seconds{30})); }
}

}  // namespace rosearch
