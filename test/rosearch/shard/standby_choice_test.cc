#include "rosearch/shard/standby_choice.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace rosearch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds{100}};
const party kFirst{entry_id{"a"}, 1};
const party kSecond{entry_id{"b"}, 2};

}  // namespace

// Guards against a holder that waits for ever for a standby that is cut off.
TEST_CASE("a standby that acknowledges nothing is replaced by the next", "[truthful-not-run]") {
  standby_choice choice;
  REQUIRE(choice.Choose({kFirst, kSecond}, true, kStart));
  CHECK(choice.current() == kFirst);
  CHECK_FALSE(choice.Choose({kFirst, kSecond}, true, kStart + milliseconds{600}));
  CHECK(choice.Choose({kFirst, kSecond}, true, kStart + milliseconds{700}));
  CHECK(choice.current() == kSecond);
  // A slow network: the next one is given twice the time.
  CHECK_FALSE(choice.Choose({kFirst, kSecond}, true, kStart + milliseconds{2000}));
  CHECK(choice.Choose({kFirst, kSecond}, true, kStart + milliseconds{2100}));
  CHECK(choice.current() == kFirst);
}

// Guards against copies that go to and fro: each new standby costs a snapshot.
TEST_CASE("a standby that has everything is kept while it lives", "[truthful-not-run]") {
  standby_choice choice;
  REQUIRE(choice.Choose({kFirst}, true, kStart));
  CHECK_FALSE(choice.Choose({kSecond, kFirst}, false, kStart + milliseconds{5000}));
  CHECK(choice.current() == kFirst);
  CHECK(choice.Choose({kSecond}, false, kStart + milliseconds{5100}));
  CHECK(choice.current() == kSecond);
  CHECK(choice.Choose({}, false, kStart + milliseconds{5200}));
  CHECK_FALSE(choice.current().has_value());
}

}  // namespace rosearch
