#include "rosearch/admission/shed_policy.h"

#include <catch2/catch.hpp>

namespace rosearch::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{seconds{100}};
constexpr duration kLongWait = seconds{3};

auto Wait(duration span) {
  return [span](const std::string&) { return span; };
}

/// Refuses a submission every 20 ms for a time.
/// @return the time of the last one.
time_point Refuse(shed_policy& policy, time_point from, duration span) {
  auto now = from;
  for (; now < from + span; now += milliseconds{20}) {
    policy.OnRefused("q", now);
  }
  return now - milliseconds{20};
}

}  // namespace

TEST_CASE("a queue closes once its submissions have all been refused for some time") {
  shed_policy policy;
  auto now = Refuse(policy, kStart, milliseconds{400});
  CHECK(policy.Decide(Wait(kLongWait), now).empty());
  now = Refuse(policy, now, milliseconds{200});
  const auto decisions = policy.Decide(Wait(kLongWait), now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].close);
  CHECK(decisions[0].refused == 30);
  CHECK(policy.Decide(Wait(kLongWait), now).empty());
}

// Guards against a closed queue whose next job would have been accepted.
TEST_CASE("a queue stays open") {
  shed_policy policy;
  auto now = Refuse(policy, kStart, milliseconds{700});
  duration wait = kLongWait;
  SECTION("if a job was accepted meanwhile") { policy.OnAccepted("q"); }
  SECTION("if its workers would run out of work") { wait = shed_policy::kMinWait; }
  SECTION("if nothing was submitted lately") { now += seconds{1}; }
  CHECK(policy.Decide(Wait(wait), now).empty());
}

// Guards against a queue that stays closed although the cause has ended, or that flaps.
TEST_CASE("a queue reopens when the wait has ended, and after the longest time in any case") {
  shed_policy policy;
  const auto closed_at = Refuse(policy, kStart, milliseconds{700});
  REQUIRE(policy.Decide(Wait(kLongWait), closed_at).size() == 1);
  CHECK(policy.Decide(Wait({}), closed_at + milliseconds{400}).empty());
  SECTION("the wait has ended") {
    const auto decisions =
        policy.Decide(Wait(shed_policy::kReopenWait), closed_at + shed_policy::kMinClosedTime);
    REQUIRE(decisions.size() == 1);
    CHECK_FALSE(decisions[0].close);
  }
  SECTION("the estimate may be wrong") {
    CHECK(policy.Decide(Wait(kLongWait), closed_at + seconds{4}).empty());
    CHECK(policy.Decide(Wait(kLongWait), closed_at + shed_policy::kMaxClosedTime).size() == 1);
  }
}

}  // namespace rosearch::admission
