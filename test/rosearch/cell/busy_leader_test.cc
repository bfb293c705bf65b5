#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "rosearch/cell/cell_of_three.h"

// A leader that lives but answers its peers late or not at all, as after a restart of a large cell.

namespace rosearch::cell {
namespace {

/// A leader of the claim log alone: its host accepts connections, but no message is ever answered.
class unheard_leader {
 public:
  explicit unheard_leader(claims_log& claims) : claims_{claims} {
    wire::leader_claim claim;
    *claim.mutable_member() = Member();
    claim.set_incarnation(kIncarnation);
    Append(claim);
  }
  void Renew() {
    wire::leader_claim record;
    record.set_incarnation(kIncarnation);
    record.mutable_renewal()->set_epoch(1);
    *record.mutable_renewal()->mutable_leader() = Member();
    Append(record);
  }

 private:
  static constexpr std::uint64_t kIncarnation = 99;

  [[nodiscard]] wire::cell_member Member() const {
    wire::cell_member member;
    member.set_address("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    return member;
  }
  void Append(const wire::leader_claim& record) {
    claims_.Append(JoinKeyed({"leader", record.SerializeAsString()}), claims_.From(0).size());
  }

  claims_log& claims_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

/// A leader that receives pings and answers none.
class mute_leader {
 public:
  explicit mute_leader(claims_log& claims) {
    wire::leader_claim claim;
    claim.mutable_member()->set_address(link_.address());
    claim.set_incarnation(99);
    claims.Append(JoinKeyed({"leader", claim.SerializeAsString()}), 0);
  }
  /// Handles the messages that arrive within this time.
  void ReceiveFor(milliseconds span) {
    std::this_thread::sleep_for(span);
    io_.poll();
  }
  [[nodiscard]] std::size_t DifferentPings() const { return exchanges_.size(); }

 private:
  boost::asio::io_context io_;
  std::set<std::uint64_t> exchanges_;
  peer_link link_{io_, "127.0.0.1:0", 99,
                  [this](const wire::peer_frame& frame) { exchanges_.insert(frame.exchange()); }};
};

/// Peers of a leader in name only: each pings it until it has answered.
class pinging_peers {
 public:
  pinging_peers(const std::string& leader, std::uint64_t epoch, int count) : unanswered_{count} {
    constexpr seconds kMaxWait{1};
    const auto deadline = SteadyNow() + kMaxWait;
    for (int number = 0; number < count; ++number) {
      wire::peer_frame frame;
      frame.set_epoch(epoch);
      frame.mutable_ping()->mutable_member()->set_address("peer-" + std::to_string(number));
      link_.SendRequest(leader, std::move(frame), deadline, [this](const wire::peer_frame* answer) {
        unanswered_ -= answer != nullptr ? 1 : 0;
      });
    }
    io_.run_for(kMaxWait);  // returns once all are answered
  }

  [[nodiscard]] bool AllAnswered() const { return unanswered_ == 0; }

 private:
  int unanswered_;
  port_claim ports_claimed_;
  boost::asio::io_context io_;
  peer_link link_{io_, "127.0.0.1:47313", 77, [](const wire::peer_frame&) {}};
};

}  // namespace

// Guards against a storm of takeovers after a restart of a large cell: each new leader lived, but
// could not answer its peers in time.
TEST_CASE("a leader that is known by its renewals alone is kept while it renews") {
  claims_log claims;
  unheard_leader leader{claims};
  process follower{claims, "127.0.0.1:47312", {}, 2};
  for (int number = 0; number < 8; ++number) {
    std::this_thread::sleep_for(milliseconds{250});
    leader.Renew();
  }
  CHECK_FALSE(follower.Logged("leadership_claimed"));
  // The leader died after its last renewal: it is replaced as fast as one that fell silent.
  CHECK(cell_of_three::WaitUntil([&] { return follower.Leads(); }) < seconds{3});
}

// Guards against a new leader that hundreds of peers keep busy with copies of pings.
TEST_CASE("a leader that has not answered yet gets one ping at a time") {
  claims_log claims;
  mute_leader leader{claims};
  const process follower{claims, "127.0.0.1:47312", {}, 2};
  leader.ReceiveFor(milliseconds{550});
  CHECK(leader.DifferentPings() == 1);
}

// Guards against a claimed leadership whose process died right after the claim.
TEST_CASE("a leader that died right after its claim is replaced") {
  claims_log claims;
  const unheard_leader leader{claims};
  process follower{claims, "127.0.0.1:47312", {}, 2};
  CHECK(cell_of_three::WaitUntil([&] { return follower.Leads(); }) < seconds{3});
}

TEST_CASE("a leader that many peers join renews its claim") {
  claims_log claims;
  process leader{claims, "127.0.0.1:47311", {}, 1};
  REQUIRE(cell_of_three::WaitUntil([&] { return leader.Leads(); }) < seconds{3});
  const int peers = GENERATE(5, 40);
  const pinging_peers joining{"127.0.0.1:47311", 1, peers};
  REQUIRE(joining.AllAnswered());
  constexpr milliseconds kMaxWait{500};
  cell_of_three::WaitUntil([&] { return leader.Logged("claim_renewed"); }, kMaxWait);
  CHECK(leader.Logged("claim_renewed") == (peers == 40));
  CHECK((claims.From(0).size() > 1) == (peers == 40));
}

}  // namespace rosearch::cell
