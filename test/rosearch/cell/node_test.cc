#include "rosearch/cell/node.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "rosearch/cell/cell_of_three.h"

namespace rosearch::cell {

// The leader's machine loses power: no message is sent and no connection breaks. Callers get no
// answer until another process leads. The `election` tests check the exact times.
TEST_CASE("a silent leader is replaced") {
  cell_of_three cell;
  cell.processes[0]->Suspend();
  const auto elapsed = cell.WaitUntilOtherLeads();
  CHECK(elapsed > milliseconds{300});
  CHECK(elapsed < seconds{3});
}

// An overloaded leader doesn't answer for a while and was replaced. Each successor had to read all
// workers again, was overloaded and replaced in turn, so that no process served callers.
TEST_CASE("a leader that is busy is not replaced") {
  cell_of_three cell;
  cell.processes[0]->BlockMainThread(milliseconds{1'800});
  std::this_thread::sleep_for(milliseconds{1'700});
  CHECK_FALSE(cell.processes[1]->Leads());
  CHECK_FALSE(cell.processes[2]->Leads());
  CHECK(cell.claims.AppendCount() == 1);
  CHECK(cell.processes[0]->Leads());
}

// A new leader reads all workers. Its peers don't have its member list yet; their pings waited
// until the main thread was free, and the leader was replaced by another that had to read them all
// again.
TEST_CASE("a new leader that is busy is not replaced") {
  cell_of_three cell;
  cell.processes[0].reset();
  REQUIRE(cell.WaitUntilOtherLeads() < seconds{3});
  auto& new_leader = cell.processes[1]->Leads() ? cell.processes[1] : cell.processes[2];
  new_leader->BlockMainThread(milliseconds{1'800});
  std::this_thread::sleep_for(milliseconds{1'700});
  CHECK(cell.claims.From(0).size() == 2);
  CHECK(new_leader->Leads());
}

// The leader's main thread hangs while the thread that answers peers still runs. The cell would
// keep a leader that does nothing.
TEST_CASE("a leader that stands still is replaced") {
  cell_of_three cell;
  constexpr seconds kBlockedTime{10};
  cell.processes[0]->BlockMainThread(kBlockedTime);
  const auto elapsed = cell.WaitUntilOtherLeads(kBlockedTime);
  CHECK(elapsed > seconds{2});
  CHECK(elapsed < kBlockedTime - seconds{2});
}

// The leader's process is killed and its connections break at once. When only missing answers were
// detected, callers waited for half a second more.
TEST_CASE("a killed leader is detected by its broken connections") {
  cell_of_three cell;
  cell.processes[0].reset();
  CHECK(cell.WaitUntilOtherLeads() < seconds{3});
  CHECK((cell.processes[1]->Logged("leader_connection_broken") ||
         cell.processes[2]->Logged("leader_connection_broken")));
  CHECK((cell.processes[1]->Logged("leader_gone") || cell.processes[2]->Logged("leader_gone")));
}

// All processes restart, the former leader last. The others must not wait for the suspect timeout:
// the former leader's machine refuses connections, since no process listens there.
TEST_CASE("a process that starts after the leader ended leads at once") {
  claims_log claims;
  {
    process former{claims, "127.0.0.1:47311", {}, 1};
    cell_of_three::WaitUntil([&] { return former.Leads(); });
  }
  process next{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2};
  CHECK(cell_of_three::WaitUntil([&] { return next.Leads(); }) < seconds{3});
  CHECK(next.Logged("leader_gone"));
}

// The leader loses power while a request to it is in flight. The request must neither fail nor keep
// waiting for that answer once another process leads.
TEST_CASE("a request in flight to a lost leader goes to the next one") {
  cell_of_three cell;
  cell.processes[0]->Suspend();
  auto status = cell.processes[1]->Submit("a");
  REQUIRE(status.wait_for(seconds{3}) == std::future_status::ready);
  CHECK(status.get() == 200);
}

// The store is unavailable when the leader is lost. A small process must not have a claim in flight
// then: when the store is back, that claim would be as likely to win as a large process's, and the
// cell's load would exceed what the small process can handle.
TEST_CASE("a small process claims only while the store answers") {
  claims_log claims;
  auto leader = std::make_unique<process>(claims, "127.0.0.1:47311", std::vector<std::string>{}, 1);
  cell_of_three::WaitUntil([&] { return leader->Leads(); });
  constexpr std::uint32_t kSmall = 100;
  process small{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2, kSmall};
  cell_of_three::WaitUntil([&] { return small.IsReady(); });
  const int before = claims.AppendCount();
  SECTION("not while it is silent") {
    claims.Silence();
    std::this_thread::sleep_for(milliseconds{2'200});
    leader.reset();
    std::this_thread::sleep_for(milliseconds{1'500});
    CHECK(claims.AppendCount() == before);
  }
  SECTION("else it does") {
    leader.reset();
    CHECK(cell_of_three::WaitUntil([&] { return small.Leads(); }) < seconds{4});
  }
}

// All processes were killed, and a small one restarts first. It is overloaded by hundreds of
// workers and callers wait, so a larger process has to lead as soon as one is available.
TEST_CASE("a small process hands many workers over to a larger one") {
  claims_log claims;
  constexpr std::uint32_t kSmall = 100;
  constexpr int kManyWorkers = 200;
  const int workers = GENERATE_COPY(1, kManyWorkers);
  process small{claims, "127.0.0.1:47311", {}, 1, kSmall, workers};
  REQUIRE(cell_of_three::WaitUntil([&] { return small.Leads(); }) < seconds{5});
  process large{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2, 1'000, workers};
  constexpr seconds kMaxWait{3};
  const bool handed_over =
      cell_of_three::WaitUntil([&] { return large.Leads(); }, kMaxWait) < kMaxWait;
  CHECK(handed_over == (workers == kManyWorkers));
  const bool stays = workers != kManyWorkers;
  cell_of_three::WaitUntil([&] { return small.Leads() == stays; });
  CHECK(small.Leads() == stays);
  CHECK(small.Logged("leadership_offered") == (workers == kManyWorkers));
}

// As above, but the first process lacks a fast link rather than processor time.
TEST_CASE("a process with a slow link hands many workers over to one with a fast link") {
  constexpr std::uint32_t kProcessorMilli = 500;
  constexpr int kManyWorkers = 160;
  claims_log claims;
  process slow{claims, "127.0.0.1:47311", {}, 1, kProcessorMilli, kManyWorkers, 10};
  REQUIRE(cell_of_three::WaitUntil([&] { return slow.Leads(); }) < seconds{5});
  process fast{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2, kProcessorMilli, kManyWorkers,
               200};
  CHECK(cell_of_three::WaitUntil([&] { return fast.Leads(); }) < seconds{5});
  CHECK(slow.Logged("leadership_offered"));
}

// Most processes, the leader among them, lose power at once. They are still on the new leader's
// member list; as relays they would lose its requests to workers.
TEST_CASE("a new leader uses only processes that answered it as relays") {
  constexpr int kManyWorkers = 200;
  cell_of_three cell{kManyWorkers};
  REQUIRE(cell_of_three::WaitUntil([&] { return cell.processes[0]->HasRelays(); }) < seconds{5});
  cell.processes[0]->Suspend();
  cell.processes[2]->Suspend();
  REQUIRE(cell_of_three::WaitUntil([&] { return cell.processes[1]->Leads(); }) < seconds{5});
  std::this_thread::sleep_for(milliseconds{300});
  CHECK_FALSE(cell.processes[1]->HasRelays());
  cell.processes[2]->Resume();
  CHECK(cell_of_three::WaitUntil([&] { return cell.processes[1]->HasRelays(); }) < seconds{5});
}

// Guards against orders to workers that are lost with the process that relays them, although its
// stop was planned.
TEST_CASE("a process that stops is not used as a relay") {
  constexpr int kManyWorkers = 200;
  cell_of_three cell{kManyWorkers};
  REQUIRE(cell_of_three::WaitUntil([&] { return cell.processes[0]->HasRelays(); }) < seconds{5});
  cell.processes[1]->BeginStop();
  cell.processes[2]->BeginStop();
  // Sooner than a silent process would leave the cell.
  constexpr milliseconds kMaxWait{1'000};
  CHECK(cell_of_three::WaitUntil([&] { return !cell.processes[0]->HasRelays(); }, kMaxWait) <
        kMaxWait);
  CHECK(cell.processes[0]->Leads());
}

// A process that doesn't lead is paused for a while. It must then follow the current leader.
TEST_CASE("a process that was paused doesn't take over") {
  cell_of_three cell;
  cell.processes[1]->Suspend();
  std::this_thread::sleep_for(milliseconds{1'500});
  cell.processes[1]->Resume();
  std::this_thread::sleep_for(milliseconds{700});
  CHECK(cell.processes[0]->Leads());
  CHECK(cell.processes[1]->IsReady());
}

// Guards against a leader that refuses each call of a burst itself, and against an entry that
// refuses a job whose earlier try was accepted.
TEST_CASE("an entry refuses calls of a closed queue, except for known jobs") {
  claims_log claims;
  constexpr std::uint32_t kLarge = 1'000;
  process leader{claims, "127.0.0.1:47311", {}, 1, kLarge, 1, 0, fake_ports::kWithCustomers, true};
  REQUIRE(cell_of_three::WaitUntil([&] { return leader.Leads(); }) < seconds{3});
  process entry{
      claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2, kLarge, 1, 0, fake_ports::kWithCustomers,
      true};
  REQUIRE(cell_of_three::WaitUntil([&] { return entry.IsReady(); }) < seconds{3});
  const auto submit = [](process& to, const std::string& id) { return to.Submit(id, "/open/"); };
  constexpr int kRunning = 80;     // as many as fit
  constexpr int kWaiting = 1'700;  // 2 s of work
  std::vector<std::future<unsigned>> accepted;
  accepted.reserve(kRunning + kWaiting);
  for (int number = 0; number < kRunning; ++number) {
    accepted.push_back(submit(leader, "running" + std::to_string(number)));
  }
  std::this_thread::sleep_for(milliseconds{200});
  for (int number = 0; number < kWaiting; ++number) {
    accepted.push_back(submit(leader, "waiting" + std::to_string(number)));
  }
  std::this_thread::sleep_for(milliseconds{200});  // the leader measures its load again
  std::vector<std::future<unsigned>> refused;
  for (int number = 0; number < 300 && !leader.Logged("queue_closed"); ++number) {
    refused.push_back(submit(entry, "refused" + std::to_string(number)));
    std::this_thread::sleep_for(milliseconds{10});
  }
  REQUIRE(leader.Logged("queue_closed"));
  for (int number = 0; number < 100 && !entry.Logged("call_refused"); ++number) {
    refused.push_back(submit(entry, "shed" + std::to_string(number)));
    std::this_thread::sleep_for(milliseconds{10});
  }
  CHECK(entry.Logged("call_refused"));
  CHECK(submit(entry, "waiting7").get() == 200);
  for (auto& status : accepted) {
    REQUIRE(status.get() == 200);
  }
  for (auto& status : refused) {
    REQUIRE(status.get() == 429);
  }
  // The window expires with the link to the leader.
  leader.Suspend();
  std::this_thread::sleep_for(milliseconds{400});
  CHECK(submit(entry, "late").get() != 429);
}

}  // namespace rosearch::cell
