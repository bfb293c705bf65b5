#include "rosearch/cell/former_leaders.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rosearch/cell/cell_of_three.h"

// A leader that was replaced may still keep leases and start tasks on workers that a new leader
// doesn't reach. The new leader may count on its stop only if it asked every such leader: else the
// tasks of those workers are run twice.

namespace rosearch::cell {
namespace {

constexpr const char* kClaimer = "127.0.0.1:47312";

/// A log of claims, beside a process that accepts connections and says nothing.
class claims_of_others {
 public:
  void Add(const std::string& address, std::optional<std::vector<std::string>> former) {
    wire::leader_claim claim;
    claim.mutable_member()->set_address(address);
    claim.set_incarnation(99);
    if (former) {
      claim.mutable_former()->mutable_addresses()->Assign(former->begin(), former->end());
    }
    Append(claim);
  }
  void AddRenewal(const std::string& address, const std::vector<std::string>& former) {
    wire::leader_claim record;
    record.set_incarnation(99);
    record.mutable_renewal()->set_epoch(log.From(0).size());
    record.mutable_renewal()->mutable_leader()->set_address(address);
    record.mutable_former()->mutable_addresses()->Assign(former.begin(), former.end());
    Append(record);
  }

  claims_log log;

 private:
  void Append(const wire::leader_claim& claim) {
    (void)log.Append(JoinKeyed({"leader", claim.SerializeAsString()}), log.From(0).size());
  }

  using tcp = boost::asio::ip::tcp;
  [[nodiscard]] static std::string AddressOf(const tcp::acceptor& listening) {
    return "127.0.0.1:" + std::to_string(listening.local_endpoint().port());
  }
  [[nodiscard]] tcp::acceptor Listen() {
    return {io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  }

  boost::asio::io_context io_;
  tcp::acceptor silent_{Listen()};

 public:
  const std::string silent{AddressOf(silent_)};  ///< runs, but answers nobody
  const std::string gone{AddressOf(Listen())};   ///< its process has ended
  const std::string also_gone{AddressOf(Listen())};
};

/// @return whether a process that leads takes all former leaders for stopped within a second.
bool TakesAllForStopped(process& claimer, const claims_log& claims, std::size_t own_claim) {
  REQUIRE(cell_of_three::WaitUntil(
              [&] { return claims.From(0).size() >= own_claim && claimer.Leads(); }) < seconds{5});
  constexpr seconds kMaxWait{1};
  return cell_of_three::WaitUntil(
             [&] {
               return claimer.Logged("predecessors_stopped epoch=" + std::to_string(own_claim));
             },
             kMaxWait) < kMaxWait;
}

}  // namespace

TEST_CASE("a process that has just started asks the leaders before the newest one, too") {
  claims_of_others claims;
  claims.Add(claims.silent, std::vector<std::string>{});
  bool all_stopped = false;
  std::size_t own_claim = 3;
  SECTION("where the newest claim names one") {
    claims.Add(claims.gone, std::vector<std::string>{claims.silent});
  }
  SECTION("where a renewal of it names one") {
    claims.Add(claims.gone, std::vector<std::string>{});
    claims.AddRenewal(claims.gone, {claims.silent});
    own_claim = 4;
  }
  SECTION("where the newest claim is one of an older build") {
    claims.Add(claims.gone, std::nullopt);
  }
  SECTION("unless the newest claim names none") {
    claims.Add(claims.gone, std::vector<std::string>{});
    all_stopped = true;
  }
  SECTION("unless that one has ended") {
    claims.Add(claims.gone, std::vector<std::string>{claims.also_gone});
    all_stopped = true;
  }
  process claimer{claims.log, kClaimer, {}, 2};
  CHECK(TakesAllForStopped(claimer, claims.log, own_claim) == all_stopped);
}

TEST_CASE("a leader whose claim is read after a newer one is asked, too") {
  claims_of_others claims;
  process claimer{claims.log, kClaimer, {}, 2};
  REQUIRE(cell_of_three::WaitUntil([&] { return claimer.Leads(); }) < seconds{5});
  wire::peer_frame notice;
  notice.set_epoch(3);
  notice.mutable_notice()->set_address(claims.gone);
  claimer.Deliver(notice);
  claims.Add(claims.silent, std::vector<std::string>{});
  claims.Add(claims.gone, std::vector<std::string>{});
  CHECK_FALSE(TakesAllForStopped(claimer, claims.log, 4));
}

// The claimer after it ended before it fenced the store, so it acts for longer than a fenced one.
TEST_CASE("a leader that nobody has fenced is asked however long ago it was replaced") {
  claims_of_others claims;
  leadership_proof_settings proof;
  proof.max_unconfirmed = milliseconds{300};
  process claimer{claims.log, kClaimer, {}, 2, 1'000, 1, 0, proof};
  REQUIRE(cell_of_three::WaitUntil([&] { return claimer.Leads(); }) < seconds{5});
  claims.Add(claims.silent, std::vector<std::string>{});
  claims.Add(claims.gone, std::vector<std::string>{});
  CHECK_FALSE(TakesAllForStopped(claimer, claims.log, 4));
}

TEST_CASE("a former leader may act until some time after a newer one has fenced it") {
  constexpr time_point kStart{seconds{100}};
  former_leaders known{seconds{10}};
  known.OnClaim(1, "a");
  known.OnClaim(2, "b");
  CHECK(known.Before(3, kStart + seconds{60}) == std::vector<std::string>{"a", "b"});
  known.OnFenced(2, kStart);
  known.OnFenced(2, kStart + seconds{5});
  CHECK(known.Before(3, kStart + seconds{9}) == std::vector<std::string>{"a", "b"});
  CHECK(known.Before(2, kStart + seconds{9}) == std::vector<std::string>{"a"});
  CHECK(known.Before(3, kStart + seconds{10}) == std::vector<std::string>{"b"});
  known.OnClaim(4, "a");
  CHECK(known.Before(5, kStart + seconds{10}) == std::vector<std::string>{"a", "b"});
}

}  // namespace rosearch::cell
