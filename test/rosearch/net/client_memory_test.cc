#include "rosearch/net/client_memory.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <list>
#include <memory>

namespace rosearch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLimit = 1'000'000;

/// An account, and connections that note when they are shed.
class fixture {
 public:
  struct connection {
    bool shed{false};
    std::unique_ptr<client_memory::share> share;
  };

  connection& Connect(const void* server = nullptr) {
    auto& made = connections_.emplace_back();
    made.share =
        std::make_unique<client_memory::share>(account, server, [&made] { made.shed = true; });
    return made;
  }
  /// @return a connection whose request has been arriving for so long.
  connection& Arriving(std::size_t bytes, milliseconds age) {
    auto& made = Connect();
    (void)made.share->Hold(bytes, now - age, now);
    return made;
  }

  std::shared_ptr<client_memory> account{std::make_shared<client_memory>(kLimit)};
  client_memory::time_point now{seconds{1000}};

 private:
  std::list<connection> connections_;
};

// Clients within the limits of a connection exhaust the memory by their number.
TEST_CASE("connections that have held most for longest are shed when the memory is full") {
  fixture doors;
  auto& large_and_old = doors.Arriving(400'000, seconds{5});
  auto& large_and_new = doors.Arriving(400'000, milliseconds{10});
  auto& small_and_old = doors.Arriving(10'000, seconds{5});
  auto& newcomer = doors.Connect();
  CHECK(newcomer.share->Hold(200'000, doors.now, doors.now));
  CHECK(large_and_old.shed);
  CHECK_FALSE(large_and_new.shed);
  CHECK_FALSE(small_and_old.shed);
  CHECK_FALSE(newcomer.shed);
}

TEST_CASE("a small request that has just arrived is never shed for larger ones") {
  fixture doors;
  auto& small = doors.Arriving(4'000, milliseconds{1});
  for (int number = 0; number < 50; ++number) {
    doors.Arriving(100'000, milliseconds{50 + number});
    CHECK(doors.account->Figures().held_bytes <= kLimit + std::size_t{50} * 100'000);
  }
  CHECK_FALSE(small.shed);
  CHECK(doors.account->Figures().refused.at(0) > 0);
}

// A connection that has been told to go holds its bytes for a moment longer; others aren't shed for
// them a second time.
TEST_CASE("what is leaving is not counted twice") {
  fixture doors;
  auto& first = doors.Arriving(600'000, seconds{5});
  auto& second = doors.Arriving(500'000, seconds{4});
  CHECK(first.shed);
  auto& third = doors.Arriving(100'000, seconds{3});
  CHECK_FALSE(second.shed);
  CHECK_FALSE(third.shed);
  CHECK(doors.account->Figures().held_bytes == 1'200'000);
}

TEST_CASE("a connection that holds too much alone is told to go itself") {
  fixture doors;
  auto& greedy = doors.Connect();
  CHECK_FALSE(greedy.share->Hold(kLimit + 1, doors.now - seconds{1}, doors.now));
  CHECK(greedy.shed);
}

// A call may have had an effect, so its caller must get the true answer.
TEST_CASE("a call under way is never shed") {
  fixture doors;
  auto& call = doors.Connect();
  REQUIRE(call.share->BeginCall(700'000, doors.now));
  doors.Arriving(900'000, seconds{5});
  CHECK_FALSE(call.shed);
  call.share->HoldAnswer(900'000, doors.now + seconds{1}, doors.now);
  CHECK_FALSE(call.shed);
  // A second later its client still hasn't read the answer.
  doors.now += seconds{3};
  doors.Arriving(900'000, milliseconds{1});
  CHECK(call.shed);
}

TEST_CASE("small calls find room where large ones are refused") {
  fixture doors;
  REQUIRE(doors.Connect().share->BeginCall(450'000, doors.now));
  CHECK_FALSE(doors.Connect().share->BeginCall(100'000, doors.now));
  CHECK(doors.Connect().share->BeginCall(10'000, doors.now));
  CHECK(doors.account->Figures().call_bytes == 460'000);
}

TEST_CASE("the largest request is served in calm, however small the memory is") {
  fixture doors;
  CHECK(doors.Connect().share->BeginCall(2 * kLimit, doors.now));
}

TEST_CASE("a new connection takes the place of the worst of the same server") {
  fixture doors;
  const int one = 1;
  const int other = 2;
  auto& elsewhere = doors.Connect(&other);
  (void)elsewhere.share->Hold(500'000, doors.now - seconds{9}, doors.now);
  auto& idle = doors.Connect(&one);
  (void)idle.share->Hold(8'000, doors.now - seconds{9}, doors.now);
  auto& finished = doors.Connect(&one);
  finished.share->Finish(8'000, doors.now - milliseconds{1});
  CHECK(doors.account->ShedOne(&one, doors.now));
  CHECK(finished.shed);
  CHECK(doors.account->ShedOne(&one, doors.now));
  CHECK(idle.shed);
  CHECK_FALSE(doors.account->ShedOne(&one, doors.now));
  CHECK_FALSE(elsewhere.shed);
}

// Refused clients that stay count until they are gone, or as many as there are descriptors would.
TEST_CASE("a refused connection that lingers counts again, and goes first") {
  fixture doors;
  auto& refused = doors.Arriving(1'000'001, seconds{5});
  CHECK(refused.shed);
  refused.shed = false;
  refused.share->Finish(300'000, doors.now - milliseconds{1});
  auto& other = doors.Arriving(800'000, seconds{5});
  CHECK(refused.shed);
  CHECK_FALSE(other.shed);
}

// Answers of up to 64 KB found room always, so that clients that don't read held one each.
TEST_CASE("an answer of a middle size finds no room when the memory is full") {
  fixture doors;
  REQUIRE(doors.Connect().share->BeginCall(kLimit, doors.now));
  const auto& other = doors.Connect();
  CHECK_FALSE(other.share->HasRoomForAnswer(60'000));
  CHECK(other.share->HasRoomForAnswer(4'096));
}

TEST_CASE("a closed connection gives back all that it held") {
  fixture doors;
  {
    client_memory::share share{doors.account, nullptr, [] {}};
    REQUIRE(share.BeginCall(300'000, doors.now));
  }
  CHECK(doors.account->Figures().held_bytes == 0);
  CHECK(doors.account->Figures().call_bytes == 0);
  CHECK(doors.account->Figures().connections == 0);
}

}  // namespace
}  // namespace rosearch::test
