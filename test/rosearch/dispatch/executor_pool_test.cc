#include "rosearch/dispatch/executor_pool.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "rosearch/core/random_source.h"

namespace rosearch {
namespace {

using std::chrono::milliseconds;

time_point At(int millisecond) { return time_point{milliseconds{millisecond}}; }

executor_facts Executor(int number, std::uint32_t slots = 1) {
  return {vm_id{"ex" + std::to_string(number)}, "127.0.0.1:1", slots, 60};
}

queued_request Request(std::uint64_t ticket, int deadline = 1000, bool idempotent = true,
                       std::string customer = "calandria") {
  return {ticket, customer_id{std::move(customer)}, "quote", 1, At(deadline), idempotent, 3};
}

executor_pool PoolOf(int executors, std::uint32_t slots = 1, dispatch_settings settings = {}) {
  executor_pool pool{settings};
  dispatch_output out;
  for (int number = 0; number < executors; ++number) {
    pool.SetExecutor(Executor(number, slots), At(0), out);
  }
  return pool;
}

}  // namespace

TEST_CASE("requests go to the least loaded executor and wait when all slots are taken") {
  auto pool = PoolOf(2, 2);
  dispatch_output out;
  for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
    pool.Submit(Request(ticket), At(0), out);
  }
  REQUIRE(out.sends.size() == 4);
  CHECK(out.sends[0] == dispatch_send{1, vm_id{"ex0"}, 1, At(1000)});
  CHECK(out.sends[1].vm == vm_id{"ex1"});
  CHECK(pool.Queued() == 1);
  CHECK(pool.FreeSlots() == 0);
  REQUIRE(pool.OnAnswered(2, 1, At(5), out));
  CHECK(out.sends.back() == dispatch_send{5, vm_id{"ex1"}, 1, At(1000)});
  CHECK_FALSE(pool.OnAnswered(2, 1, At(6), out));
  CHECK(out.failures.empty());
}

// An executor refuses, dies or is slow. A request that may have run must not run again unless it is
// idempotent, and "not run" must be true: the caller orders anew on that word.
TEST_CASE("a failed attempt is tried again only where that is safe",
          "[truthful-not-run][at-most-once]") {
  struct row {
    error_kind kind;
    bool idempotent;
    bool again;
  };
  const std::vector<row> rows{
      {error_kind::kTargetUnreachable, false, true}, {error_kind::kTargetRefused, false, true},
      {error_kind::kTargetLost, false, false},       {error_kind::kTimeout, false, false},
      {error_kind::kTargetFailed, false, false},     {error_kind::kInterrupted, false, false},
      {error_kind::kTargetLost, true, true},         {error_kind::kTimeout, true, true},
      {error_kind::kTargetFailed, true, true},       {error_kind::kInvalidRequest, true, false},
      {error_kind::kInterrupted, true, false}};
  for (const auto& [kind, idempotent, again] : rows) {
    INFO(AnswerFor(kind).name);
    auto pool = PoolOf(2);
    dispatch_output out;
    pool.Submit(Request(1, 1000, idempotent), At(0), out);
    pool.OnFailed(1, 1, kind, At(10), out);
    REQUIRE(out.sends.size() == (again ? 2 : 1));
    REQUIRE(out.failures.size() == (again ? 0 : 1));
    if (again) {
      CHECK(out.sends[1] == dispatch_send{1, vm_id{"ex1"}, 2, At(1000)});
    } else {
      CHECK(out.failures[0].why.kind == kind);
    }
  }
}

// The first attempt of an idempotent request timed out and may have run; what follows says "not
// run" of itself only.
TEST_CASE("a later refusal, cancel or deadline doesn't turn an unknown into not run",
          "[truthful-not-run]") {
  for (const std::string end : {"refused", "cancel", "deadline"}) {
    INFO(end);
    auto pool = PoolOf(1);
    dispatch_output out;
    pool.Submit(Request(1, 5000), At(0), out);
    pool.OnFailed(1, 1, error_kind::kTimeout, At(10), out);
    REQUIRE(pool.Queued() == 1);
    if (end == "refused") {
      pool.Tick(At(2010), out);
      REQUIRE(out.sends.size() == 2);
      pool.OnFailed(1, 2, error_kind::kInvalidRequest, At(2020), out);
    } else if (end == "cancel") {
      CHECK(pool.Cancel(1, out) == cancel_effect::kFinished);
    } else {
      pool.SetLeaving(vm_id{"ex0"});
      pool.Tick(At(5000), out);
    }
    REQUIRE(out.failures.size() == 1);
    CHECK(out.failures[0].why.kind == error_kind::kTimeout);
  }
}

// Executors slow down and every request times out. Without a budget each is sent several times,
// and the executors stay overloaded after the cause has gone.
TEST_CASE("retries are a share of first tries") {
  dispatch_settings settings;
  settings.health.least_failures = 1000;
  auto pool = PoolOf(50, 8, settings);
  dispatch_output out;
  for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
    pool.Submit(Request(ticket, 100000), At(0), out);
  }
  for (std::size_t next = 0; next < out.sends.size(); ++next) {
    const auto send = out.sends[next];
    pool.OnFailed(send.ticket, send.attempt, error_kind::kTargetRefused, At(1), out);
  }
  CHECK(out.sends.size() == 300 + 30 + 3);
  CHECK(out.failures.size() == 300);
}

TEST_CASE("a request that can't start before its deadline is answered at once") {
  auto pool = PoolOf(1);
  dispatch_output out;
  pool.Submit(Request(1), At(0), out);
  pool.Submit(Request(2, 30), At(0), out);
  CHECK(pool.Queued() == 1);
  pool.Submit(Request(3, 30), At(0), out);
  REQUIRE(out.failures.size() == 1);
  CHECK(out.failures[0].ticket == 3);
  CHECK(out.failures[0].why.kind == error_kind::kOverloaded);
  CHECK(out.failures[0].why.retry_after == milliseconds{10});
  pool.Submit(Request(4, 0), At(0), out);
  CHECK(out.failures[1].why.kind == error_kind::kDeadlinePassed);
  pool.Tick(At(30), out);
  REQUIRE(out.failures.size() == 3);
  CHECK(out.failures[2].ticket == 2);
  CHECK(out.failures[2].why.kind == error_kind::kDeadlinePassed);
  CHECK(out.failures[2].why.retry_after);
}

// Every executor hangs: no answers come, so that the mean time of the past would promise slots
// that never become free, and callers wait in vain until their deadline.
TEST_CASE("silence of all executors sheds work that would have been queued before") {
  auto pool = PoolOf(2);
  dispatch_output out;
  pool.Submit(Request(1, 9000), At(0), out);
  pool.Submit(Request(2, 9000), At(0), out);
  pool.Submit(Request(3, 400), At(100), out);
  CHECK(pool.Queued() == 1);
  pool.Tick(At(400), out);
  out = {};
  pool.Submit(Request(4, 1000), At(600), out);
  REQUIRE(out.failures.size() == 1);
  CHECK(out.failures[0].why.kind == error_kind::kOverloaded);
}

TEST_CASE("a full queue of one customer leaves the others theirs, by weight") {
  dispatch_settings settings;
  settings.queue_per_customer = 40;
  auto pool = PoolOf(1, 1, settings);
  pool.SetWeight(customer_id{"trinacria"}, 3);
  dispatch_output out;
  for (std::uint64_t ticket = 1; ticket <= 50; ++ticket) {
    pool.Submit(Request(ticket, 100000), At(0), out);
  }
  CHECK(out.failures.size() == 9);
  CHECK(out.failures[0].why.kind == error_kind::kQuotaExceeded);
  for (std::uint64_t ticket = 101; ticket <= 140; ++ticket) {
    pool.Submit(Request(ticket, 100000, true, "trinacria"), At(0), out);
  }
  CHECK(out.failures.size() == 9);
  int heavy = 0;
  for (int turn = 0; turn < 40; ++turn) {
    const auto send = out.sends.back();
    REQUIRE(pool.OnAnswered(send.ticket, send.attempt, At(turn), out));
    heavy += out.sends.back().ticket > 100 ? 1 : 0;
  }
  CHECK(heavy >= 29);
  CHECK(heavy <= 31);
}

TEST_CASE("priority goes first within a customer") {
  auto pool = PoolOf(1);
  dispatch_output out;
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    auto request = Request(ticket);
    request.priority = static_cast<std::uint32_t>(ticket);
    pool.Submit(request, At(0), out);
  }
  REQUIRE(pool.OnAnswered(1, 1, At(1), out));
  CHECK(out.sends.back().ticket == 3);
}

// One executor answers every request with an error within a millisecond. It is always free, and
// without a check most requests would go there and fail.
TEST_CASE("an executor that fails everything gets no more until a probe is due") {
  auto pool = PoolOf(4, 8);
  dispatch_output out;
  int failed = 0;
  for (std::uint64_t ticket = 1; ticket <= 400; ++ticket) {
    out = {};
    pool.Submit(Request(ticket, 100000, false), At(static_cast<int>(ticket)), out);
    REQUIRE(out.sends.size() == 1);
    if (out.sends[0].vm == vm_id{"ex0"}) {
      ++failed;
      pool.OnFailed(ticket, 1, error_kind::kTargetFailed, At(static_cast<int>(ticket)), out);
    } else if (ticket > 8) {
      REQUIRE(pool.OnAnswered(ticket, 1, At(static_cast<int>(ticket)), out));
    }
  }
  CHECK(failed <= 5);
  CHECK(pool.health().ConditionOf(vm_id{"ex0"}, At(400)) == vm_condition::kSuspect);
}

// A shard has a new owner, and its former one filled all slots of an executor. By the new owner's
// count that executor is idle, so that each request would go there first and be refused.
TEST_CASE("an executor that refuses is the last choice until it answers again") {
  auto pool = PoolOf(2, 8);
  dispatch_output out;
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    pool.Submit(Request(ticket, 1000, false), At(0), out);
  }
  pool.OnFailed(1, 1, error_kind::kTargetRefused, At(1), out);
  pool.Submit(Request(4, 1000, false), At(2), out);
  CHECK(out.sends[3] == dispatch_send{1, vm_id{"ex1"}, 2, At(1000)});
  CHECK(out.sends[4].vm == vm_id{"ex1"});
  pool.SetOpen(vm_id{"ex1"}, false, At(3), out);
  pool.Submit(Request(5, 1000, false), At(3), out);
  CHECK(out.sends[5].vm == vm_id{"ex0"});
  pool.SetOpen(vm_id{"ex1"}, true, At(4), out);
  REQUIRE(pool.OnAnswered(3, 1, At(5), out));
  pool.Submit(Request(6, 1000, false), At(6), out);
  CHECK(out.sends[6].vm == vm_id{"ex0"});
}

// A VM is drained or vanishes while requests wait. New ones there would be cut off by its stop.
TEST_CASE("a leaving executor gets nothing new and a lost one gives its requests back",
          "[leaving-targets]") {
  auto pool = PoolOf(2);
  dispatch_output out;
  pool.Submit(Request(1), At(0), out);
  pool.SetLeaving(vm_id{"ex0"});
  pool.SetOpen(vm_id{"ex0"}, true, At(0), out);
  pool.Submit(Request(2), At(0), out);
  pool.Submit(Request(3, 1000, false), At(0), out);
  REQUIRE(pool.OnAnswered(1, 1, At(1), out));
  CHECK(pool.Queued() == 1);
  REQUIRE(pool.OnAnswered(2, 1, At(2), out));
  CHECK(out.sends.back().vm == vm_id{"ex1"});
  pool.RemoveExecutor(vm_id{"ex1"}, At(3), out);
  REQUIRE(out.failures.size() == 1);
  CHECK(out.failures[0].why.kind == error_kind::kTargetLost);
  CHECK(pool.InFlight() == 0);
}

TEST_CASE("a cancel takes what waits and lets what is in flight end") {
  auto pool = PoolOf(2);
  dispatch_output out;
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    pool.Submit(Request(ticket), At(0), out);
  }
  CHECK(pool.Cancel(9, out) == cancel_effect::kNotKnown);
  CHECK(pool.Cancel(3, out) == cancel_effect::kFinished);
  CHECK(out.failures.at(0).why.kind == error_kind::kCancelled);
  CHECK(pool.Cancel(1, out) == cancel_effect::kInFlight);
  pool.OnFailed(1, 1, error_kind::kTargetRefused, At(1), out);
  CHECK(out.sends.size() == 2);
  CHECK(out.failures.size() == 2);
}

namespace {

/// What really happened to one request, whatever the pool was told.
struct truth {
  queued_request request;
  int runs{};
  int finals{};
};

/// Executors that run, refuse, fail, die or never answer, with a record of what ran.
class model {
 public:
  explicit model(std::uint64_t seed) : random_{seed} {
    for (int number = 0; number < kExecutors; ++number) {
      Set(number);
    }
  }

  void Step() {
    now_ += milliseconds{random_.Between(0, 30)};
    switch (random_.Between(0, 11)) {
      case 0:
        SetOpen(Any(), random_.Chance(0.7));
        break;
      case 1:
        pool_.Tick(now_, out_);
        break;
      case 2:
        Cancel();
        break;
      case 3:
        Replace();
        break;
      case 4:
      case 5:
      case 6:
      case 7:
        Submit();
        break;
      default:
        End();
    }
    Check();
  }

  void Finish() {
    for (int round = 0; round < 3000 && pool_.Queued() + pool_.InFlight() > 0; ++round) {
      now_ += milliseconds{50};
      End();
      pool_.Tick(now_, out_);
      Check();
    }
    REQUIRE(pool_.Queued() + pool_.InFlight() == 0);
    for (const auto& [ticket, each] : truths_) {
      REQUIRE(each.finals == 1);
    }
  }

 private:
  static constexpr int kExecutors = 4;
  static constexpr std::uint32_t kSlots = 2;

  int Any() { return static_cast<int>(random_.Between(0, kExecutors - 1)); }

  void Set(int number) {
    open_.insert(Executor(number).vm);
    pool_.SetExecutor(Executor(number, kSlots), now_, out_);
  }

  void SetOpen(int number, bool open) {
    const auto vm = Executor(number).vm;
    if (open) {
      open_.insert(vm);
    } else {
      open_.erase(vm);
    }
    pool_.SetOpen(vm, open, now_, out_);
  }

  void Replace() {
    if (random_.Chance(0.8)) {
      return;
    }
    const auto number = Any();
    const auto vm = Executor(number).vm;
    std::erase_if(flights_, [&vm](const dispatch_send& each) { return each.vm == vm; });
    std::erase_if(lingering_, [&vm](const auto& each) { return each.second == vm; });
    busy_.erase(vm);
    open_.erase(vm);
    pool_.RemoveExecutor(vm, now_, out_);
    Check();
    Set(number);
  }

  void Submit() {
    auto request = Request(++last_, 0, random_.Chance(0.5), random_.Chance(0.5) ? "a" : "b");
    request.deadline = now_ + milliseconds{random_.Between(0, 3000)};
    request.retries = static_cast<std::uint32_t>(random_.Between(0, 3));
    truths_[last_].request = request;
    pool_.Submit(request, now_, out_);
  }

  void Cancel() {
    if (last_ > 0) {
      (void)pool_.Cancel(
          static_cast<std::uint64_t>(random_.Between(1, static_cast<std::int64_t>(last_))), out_);
    }
  }

  void End() {
    if (flights_.empty()) {
      return;
    }
    const auto at = random_.Between(0, static_cast<std::int64_t>(flights_.size()) - 1);
    const auto send = flights_[static_cast<std::size_t>(at)];
    flights_.erase(flights_.begin() + at);
    auto& real = truths_.at(send.ticket);
    if (random_.Chance(0.5)) {
      ++real.runs;
      --busy_[send.vm];
      real.finals += pool_.OnAnswered(send.ticket, send.attempt, now_, out_) ? 1 : 0;
      return;
    }
    static const std::vector<error_kind> kinds{error_kind::kTargetUnreachable,
                                               error_kind::kTargetRefused, error_kind::kTargetLost,
                                               error_kind::kTimeout, error_kind::kTargetFailed};
    const auto kind = kinds[static_cast<std::size_t>(random_.Between(0, 4))];
    const auto effect = AnswerFor(kind).effect;
    const bool ran =
        effect == outcome::kDone || (effect == outcome::kUnknown && random_.Chance(0.5));
    real.runs += ran ? 1 : 0;
    if (effect == outcome::kUnknown) {
      lingering_.emplace_back(now_ + dispatch_settings{}.linger, send.vm);
    } else {
      --busy_[send.vm];
    }
    pool_.OnFailed(send.ticket, send.attempt, kind, now_, out_);
  }

  /// An executor that did not answer may go on with the request until then.
  void EndLingering() {
    std::erase_if(lingering_, [this](const auto& each) {
      const bool ended = each.first <= now_;
      busy_[each.second] -= ended ? 1 : 0;
      return ended;
    });
  }

  void Check() {
    EndLingering();
    for (const auto& send : out_.sends) {
      REQUIRE(open_.contains(send.vm));
      REQUIRE(send.valid_until > now_);
      REQUIRE(++busy_[send.vm] <= static_cast<int>(kSlots));
      REQUIRE((truths_.at(send.ticket).request.idempotent || truths_.at(send.ticket).runs == 0));
      flights_.push_back(send);
    }
    for (const auto& failure : out_.failures) {
      auto& real = truths_.at(failure.ticket);
      ++real.finals;
      if (AnswerFor(failure.why.kind).effect == outcome::kNotRun) {
        REQUIRE(real.runs == 0);
      }
      REQUIRE((real.request.idempotent || real.runs <= 1));
    }
    out_ = {};
  }

  random_source random_;
  executor_pool pool_;
  time_point now_{};
  dispatch_output out_;
  std::map<std::uint64_t, truth> truths_;
  std::vector<dispatch_send> flights_;
  std::map<vm_id, int> busy_;
  std::vector<std::pair<time_point, vm_id>> lingering_;
  std::set<vm_id> open_;
  std::uint64_t last_{};
};

}  // namespace

// Faults of every kind at any moment, together and twice. Whatever the order, a caller must get one
// final answer, and it must be true.
TEST_CASE("random faults never break a promise",
          "[truthful-not-run][at-most-once][leaving-targets][no-overcommit]") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO(seed);
    model world{seed};
    for (int step = 0; step < 1500; ++step) {
      world.Step();
    }
    world.Finish();
  }
}

}  // namespace rosearch
