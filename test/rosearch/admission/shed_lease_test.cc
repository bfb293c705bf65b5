#include "rosearch/admission/shed_lease.h"

#include <catch2/catch.hpp>

namespace rosearch::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{seconds{100}};
constexpr std::uint64_t kConfig = 3;

/// A lease with closed queue "q", whose record was stored at `kStart` in batch 1.
shed_lease LeaseWithClosedQueue() {
  shed_lease lease;
  lease.Close("q", kConfig);
  REQUIRE(lease.HasRecord(kStart));
  CHECK(lease.TakeRecord(1) == std::vector<shed_record>{{"q", kConfig}});
  lease.OnStored(1);
  lease.OnStoreConfirmed(kStart);
  return lease;
}

}  // namespace

// Guards against a successor that doesn't know of the window.
TEST_CASE("no window is sent before its record is stored") {
  shed_lease lease;
  lease.OnStoreConfirmed(kStart);
  lease.Close("q", kConfig);
  CHECK(lease.IsHeld("q", kConfig, kStart));
  CHECK(lease.Grant(kStart).version == 0);
  CHECK(lease.TakeRecord(4).size() == 1);
  lease.OnStored(3);
  CHECK(lease.Grant(kStart).version == 0);
  SECTION("nor if it was not stored") {
    lease.OnNotStored(4);
    CHECK(lease.HasRecord(kStart));
    lease.OnStored(5);
    CHECK(lease.Grant(kStart).version == 0);
  }
  SECTION("then it is") {
    lease.OnStored(4);
    CHECK(lease.Grant(kStart).queues == std::vector<std::string>{"q"});
  }
}

// Guards against a window of a leader that has been fenced.
TEST_CASE("windows are sent only for a while after the store has confirmed the leader") {
  auto lease = LeaseWithClosedQueue();
  const auto confirmed_until = kStart + shed_lease::kConfirmationValidity;
  CHECK(lease.Grant(kStart).send_until == kStart + shed_lease::kSendValidity);
  CHECK(lease.Grant(kStart + milliseconds{500}).send_until == confirmed_until);
  CHECK(lease.Grant(confirmed_until).version == 0);
  CHECK(lease.NeedsConfirmation(confirmed_until));
  lease.OnStoreConfirmed(confirmed_until);
  CHECK(lease.Grant(confirmed_until).version > 0);
}

// Guards against an entry that still refuses calls once the leader accepts them.
TEST_CASE("a reopened queue is held until its last window has expired") {
  auto lease = LeaseWithClosedQueue();
  const auto grant = lease.Grant(kStart);
  lease.Reopen("q");
  CHECK(lease.Grant(kStart).version == 0);
  const auto expiry = grant.send_until + kWindowValidity;
  CHECK(lease.IsHeld("q", kConfig, expiry));
  CHECK_FALSE(lease.HasRecord(expiry));
  CHECK_FALSE(lease.IsHeld("q", kConfig, expiry + shed_lease::kClockMargin));
  CHECK(lease.HasRecord(expiry + shed_lease::kClockMargin));
  CHECK(lease.TakeRecord(2).empty());
}

// Guards against a queue that refuses jobs longer than needed, or shorter: a window that is sent
// at the last moment still lasts its whole time.
TEST_CASE("a withdrawn window shortens the hold, but not that of an earlier leader") {
  auto lease = LeaseWithClosedQueue();
  CHECK(lease.Grant(kStart).version > 0);
  lease.OnReplaced(kStart);
  CHECK(lease.IsHeld("q", kConfig, kStart + kWindowValidity + shed_lease::kClockMargin));
  lease.Reopen("q");
  lease.OnReplaced(kStart);
  CHECK(lease.IsHeld("q", kConfig, kStart + kWindowValidity + shed_lease::kClockMargin));
  CHECK(lease.Grant(kStart).version == 0);
  lease.OnReplaced(kStart);
  CHECK(lease.IsHeld("q", kConfig, kStart + kWindowValidity));
  CHECK_FALSE(lease.IsHeld("q", kConfig, kStart + kWindowValidity + shed_lease::kClockMargin));
  shed_lease successor;
  successor.Restore({{"q", kConfig}}, kStart);
  successor.OnReplaced(kStart);
  CHECK(successor.IsHeld("q", kConfig, kStart + shed_lease::kTakeoverHold - milliseconds{1}));
}

// Guards against a filter that lacks the jobs accepted between two closings.
TEST_CASE("a queue that is closed again gets a new version") {
  auto lease = LeaseWithClosedQueue();
  const auto first = lease.Grant(kStart).version;
  lease.Reopen("q");
  lease.Close("q", kConfig);
  CHECK(lease.Grant(kStart).version > first);
}

// Guards against a second queue that joins a window whose filter lacks its jobs.
TEST_CASE("a further closed queue gets a new version once its record is stored") {
  auto lease = LeaseWithClosedQueue();
  lease.Close("r", kConfig);
  const auto before = lease.Grant(kStart);
  CHECK(before.queues == std::vector<std::string>{"q"});
  CHECK(lease.TakeRecord(2).size() == 2);
  lease.OnStored(2);
  const auto after = lease.Grant(kStart);
  CHECK(after.queues.size() == 2);
  CHECK(after.version > before.version);
}

// Guards against a job that is accepted in a queue that a new configuration has split off.
TEST_CASE("under another configuration a held queue holds all queues") {
  auto lease = LeaseWithClosedQueue();
  CHECK_FALSE(lease.IsHeld("other", kConfig, kStart));
  CHECK(lease.IsHeld("other", kConfig + 1, kStart));
  CHECK(lease.Grant(kStart).version > 0);
  lease.ReopenAll();
  CHECK(lease.IsHeld("other", kConfig + 1, kStart));
  CHECK_FALSE(lease.IsHeld("other", kConfig + 1, kStart + seconds{1}));
}

TEST_CASE("a successor holds the queues of the record for the longest time of a window") {
  shed_lease lease;
  lease.Restore({{"q", kConfig}}, kStart);
  CHECK(lease.IsHeld("q", kConfig, kStart + shed_lease::kTakeoverHold - milliseconds{1}));
  CHECK_FALSE(lease.IsHeld("other", kConfig, kStart));
  CHECK_FALSE(lease.IsHeld("q", kConfig, kStart + shed_lease::kTakeoverHold));
  CHECK_FALSE(lease.HasRecord(kStart));
  CHECK(lease.HasRecord(kStart + shed_lease::kTakeoverHold));
}

}  // namespace rosearch::admission
