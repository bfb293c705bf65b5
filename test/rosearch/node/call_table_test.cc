#include "rosearch/node/call_table.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "rosearch/core/error.h"
#include "rosearch/shard/shard_output.h"

namespace rosearch {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{seconds{1000}};
const party kOwner{entry_id{"entry-1"}, 7};

/// One call that waits for its answer.
struct waiting_call {
  waiting_call() {
    number = table.Add({}, kStart + seconds{5}, kStart, [this](const wire::call_answer& answer) {
      CHECK_FALSE(final.has_value());
      final = FromWire(answer.error()).kind;
    });
  }

  void Answer(error_kind kind) {
    wire::call_answer answer;
    answer.set_number(number);
    *answer.mutable_error() = ToWire(error{kind, ""});
    table.OnAnswer(answer, kStart);
  }

  call_table table{1};
  std::uint64_t number{0};
  std::optional<error_kind> final;
};

}  // namespace

// An owner dies with a call in hand, or the call never reached one. The caller wants to know
// whether the work may have run, and must not be told "not run" of work that did.
TEST_CASE("a call that is given up tells what the caller may assume", "[truthful-not-run]") {
  struct row {
    int sent;
    int no_owner;
    error_kind told;
  };
  const auto each = GENERATE(row{0, 0, error_kind::kNoOwner}, row{1, 0, error_kind::kTimeout},
                             row{1, 1, error_kind::kNoOwner}, row{2, 1, error_kind::kTimeout},
                             row{2, 2, error_kind::kNoOwner});
  waiting_call call;
  for (int at = 0; at < each.sent; ++at) {
    call.table.OnSent(call.number, 0, kOwner);
  }
  for (int at = 0; at < each.no_owner; ++at) {
    call.Answer(error_kind::kNoOwner);
  }
  REQUIRE_FALSE(call.final.has_value());
  call.table.Expire(kStart + seconds{5});
  CHECK(call.final == each.told);
}

// An order ran, its answer was lost, and the caller repeats it at an entry that finds no owner.
// Told "not run", the caller would place the order anew.
TEST_CASE("an id that nobody looked up is not told as not run", "[truthful-not-run]") {
  const bool idempotent = GENERATE(false, true);
  call_table table{1};
  wire::call call;
  call.mutable_request()->set_idempotent(idempotent);
  outcome told{};
  table.Add(call, kStart + seconds{5}, kStart, [&told](const wire::call_answer& answer) {
    told = AnswerFor(FromWire(answer.error()).kind).effect;
  });
  table.Expire(kStart + seconds{5});
  CHECK(told == (idempotent ? outcome::kNotRun : outcome::kUnknown));
}

// The entry that runs a request on behalf of the owner of its id dies. Sent to another entry the
// request could run twice, so the caller learns that nobody can tell.
TEST_CASE("a call that was handed over is awaited until it is abandoned", "[at-most-once]") {
  waiting_call call;
  CHECK(call.table.Awaited(call.number) == std::nullopt);
  call.table.OnSent(call.number, 3, kOwner);
  CHECK(call.table.Awaited(call.number) == kOwner);
  call.table.Abandon(call.number);
  CHECK(call.final == error_kind::kInterrupted);
  CHECK(call.table.size() == 0);
}

TEST_CASE("a refusal by an owner is final and given at once", "[whole-answer]") {
  waiting_call call;
  call.table.OnSent(call.number, 0, kOwner);
  call.Answer(error_kind::kOverloaded);
  CHECK(call.final == error_kind::kOverloaded);
}

}  // namespace rosearch
