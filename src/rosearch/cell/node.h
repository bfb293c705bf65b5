#ifndef ROSEARCH_CELL_NODE_H_
#define ROSEARCH_CELL_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/cell/cell_metrics.h"
#include "rosearch/cell/cell_settings.h"
#include "rosearch/cell/election.h"
#include "rosearch/cell/leader.h"
#include "rosearch/cell/peer_choice.h"
#include "rosearch/cell/peer_link.h"
#include "rosearch/cell/ports.h"
#include "rosearch/cell/relayed_client.h"
#include "rosearch/log/event_line.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/http_server.h"
#include "rosearch/platform/address.h"
#include "rosearch/platform/clock.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::cell {

/// One process of a cell: takes callers' requests to the leader, takes part in choosing it, leads
/// when its claim wins, and makes exchanges for peers that can't.
/// @tparam Ports  what is outside; see `cell_ports`.
template <typename Ports>
class node {
 public:
  node(boost::asio::io_context& io, cell_settings settings, Ports& ports, peer_link& peers,
       relayed_client& outside, std::uint64_t incarnation, double jitter, event_sink& log,
       metric_set& metrics)
      : io_{io},
        settings_{std::move(settings)},
        ports_{ports},
        peers_{peers},
        outside_{outside},
        incarnation_{incarnation},
        log_{log},
        metrics_{metrics},
        election_{settings_.electing, settings_.processor_milli < kLargeProcess, jitter,
                  SteadyNow()},
        tick_timer_{io},
        claims_timer_{io},
        handover_timer_{io} {
    DescribeCellMetrics(metrics_);
  }

  /// Begins to look for the leader.
  void Begin() {
    SetSeeds(settings_.seeds);
    FindNewestClaim();
    Tick();
  }

  /// Names processes that may know the leader.
  void SetSeeds(const std::vector<std::string>& seeds) {
    seeds_.clear();
    for (const auto& seed : seeds) {
      if (seed != peers_.address()) {
        seeds_.push_back(seed);
      }
    }
  }

  /// Takes one request of a caller.
  void Take(http_call call, http_respond respond);

  /// @return whether the balancer should send callers here.
  [[nodiscard]] bool Ready() const {
    const auto now = SteadyNow();
    return !stopping_ && limits_known_ && now - heard_at_ < kReadyFor;
  }

  /// Stops being ready, and hands leadership over: this process leads on until another has claimed,
  /// so that callers wait for the takeover only, not for the election before it.
  void Stop() {
    stopping_ = true;
    if (!leader_) {
      return;
    }
    WithdrawPingReply();
    SayGoodbye(leader_->epoch());
    handover_timer_.expires_after(kHandoverPatience);
    handover_timer_.async_wait([this](const boost::system::error_code& failed) {
      if (!failed && leader_) {
        leader_->Resign();
      }
    });
  }
  /// @return whether nothing here is still owed to anybody.
  [[nodiscard]] bool Idle() const { return !leader_ && under_way_ == 0; }

  /// The connection to a peer broke.
  void OnConnectionBroken(const std::string& peer);

  /// Takes a message of a peer.
  void Receive(const wire::peer_frame& frame);

  /// @return the limits towards callers that the leader last told.
  [[nodiscard]] const sched::client_limits& limits() const { return limits_; }

  [[nodiscard]] std::string Dump() const;
  /// @return where a job stands and what it waits for; at a process that doesn't lead, who does.
  [[nodiscard]] std::string Explain(std::string_view job) const;
  /// Puts what is counted elsewhere into the metrics.
  void FillMetrics();

 private:
  struct member {
    wire::cell_member facts;
    time_point seen_at{};  ///< by this process or, as a list that was told says, by its leader
    bool heard{false};     ///< by this process since it leads
  };
  /// A caller's request on its way to the leader.
  struct forwarded {
    caller_request request;
    time_point taken_at{};
    time_point answer_by{};
    time_point refuse_at{};  ///< without a leader until then it is refused
    http_respond respond;
    bool unsure{false};  ///< a leader may have acted on it
  };

  /// Processes with less, in thousandths of a processor, let others lead: a leader of 350 workers
  /// needs about a fifth of a processor.
  static constexpr std::uint32_t kLargeProcess = 200;
  /// Balancers ask once a second and take two misses; a change of leader alone takes less.
  static constexpr duration kReadyFor = std::chrono::milliseconds{2'500};
  static constexpr duration kTick = std::chrono::milliseconds{100};
  /// While the leader is in doubt, when every moment counts.
  static constexpr duration kDoubtTick = std::chrono::milliseconds{30};
  static constexpr duration kPingEvery = std::chrono::milliseconds{200};
  /// Small processes claim later anyway, and most processes are small: pinged by each of them as
  /// often, the leader of a large cell would be busy with little else.
  static constexpr duration kSmallPingEvery = std::chrono::milliseconds{500};
  /// Peers that a process in doubt asks whether they hear the leader. With a fifth of them cut off
  /// from the leader in the same way, all of so many are once in 10^11 times.
  static constexpr std::size_t kPeersAsked = 16;
  /// An offer of leadership that nobody took up is made again after this.
  static constexpr duration kOfferAgain = std::chrono::milliseconds{2'000};
  /// Peers that live are heard of within 0.2 s of a change of leader; until then workers are read
  /// at a pace that leaves time and descriptors for everything else.
  static constexpr duration kUnrelayedPause = std::chrono::milliseconds{20};
  /// About twice what asking some workers takes, so that the thread that answers peers gets its
  /// share of a small processor, too.
  static constexpr duration kRelayedPause = std::chrono::milliseconds{10};
  /// Between two lists of members that peers are told. Where hundreds of processes join at once,
  /// each of them would otherwise get all others anew with every ping.
  static constexpr duration kPublishEvery = std::chrono::milliseconds{1'000};
  /// A leader whose loop hasn't turned for so long stands still, whatever its other thread says.
  static constexpr duration kPingReplyLife = std::chrono::milliseconds{2'500};
  static constexpr duration kPingPatience = std::chrono::milliseconds{600};
  /// A member that said nothing for so long is not asked for help.
  static constexpr duration kMemberFresh = std::chrono::milliseconds{1'500};
  /// A refusal of a connection comes within a round trip.
  static constexpr duration kKnockPatience = std::chrono::milliseconds{250};
  /// A leader that is to stop and finds no successor within this stops all the same.
  static constexpr duration kHandoverPatience = std::chrono::milliseconds{1'500};
  static constexpr duration kClaimsWait = std::chrono::milliseconds{1'000};
  /// A store that answers brings a read of the claims within `kClaimsWait` and what it takes
  /// itself.
  static constexpr duration kClaimsFresh = std::chrono::milliseconds{2'000};
  static constexpr duration kClaimsRetry = std::chrono::milliseconds{200};
  static constexpr duration kQueryPatience = std::chrono::milliseconds{150};
  /// So long the peers' word counts that none of them hears the leader.
  static constexpr duration kWordFresh = std::chrono::milliseconds{450};
  /// A request that finds no leader is refused after this: about what a change of leader takes
  /// where the old one said goodbye, and less than the second after which a refused caller comes
  /// back.
  static constexpr duration kLeaderPatience = std::chrono::milliseconds{600};
  static constexpr duration kForwardAgain = std::chrono::milliseconds{40};
  static constexpr duration kForwardPatience = std::chrono::milliseconds{2'600};
  /// Answers are given a little before the caller stops waiting.
  static constexpr duration kAnswerMargin = std::chrono::milliseconds{60};
  static constexpr duration kDefaultPatience = std::chrono::seconds{3};

  [[nodiscard]] wire::cell_member Self() const {
    wire::cell_member self;
    self.set_address(peers_.address());
    self.set_name(settings_.name);
    self.set_processor_milli(settings_.processor_milli);
    return self;
  }
  [[nodiscard]] static std::uint32_t Millis(duration span) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
  }
  [[nodiscard]] bool Leading() const { return leader_ != nullptr; }
  [[nodiscard]] static duration PingEvery(std::uint32_t processor_milli) {
    return processor_milli < kLargeProcess ? kSmallPingEvery : kPingEvery;
  }

  void Tick();
  void TickAfter(duration pause);
  void Knock();
  void Ping();
  void OnPong(const wire::peer_frame& frame);
  void Announce();
  void SayGoodbye(std::uint64_t epoch);
  void TellGoodbye(const std::string& address, std::uint64_t epoch);
  /// Hands the leadership of many workers over to a larger process, once there is one.
  void OfferToLarger();
  /// @return large processes that this leader has heard.
  [[nodiscard]] std::vector<std::string> LargeMembers() const;
  void FindNewestClaim();
  void FollowClaims();
  void OnClaim(const std::string& bytes, std::uint64_t offset);
  void AdoptLeadership(const leadership& claimed);
  void ClaimIfNobodyLeads();
  /// @return the peers that are asked whether they hear the leader, the same in each round: a
  ///         message to a peer without a connection yet is lost.
  [[nodiscard]] std::vector<std::string> PeersToAsk() const;
  void AskPeersForLeader();
  void Claim();
  void Lead(std::uint64_t epoch);
  void UpdatePeers();
  /// @return the peers that carry this leader's exchanges with workers.
  [[nodiscard]] std::vector<std::string> Relays() const;
  /// @return how long this leader waits before it watches some more workers.
  [[nodiscard]] duration WatchPause() const;
  void AnswerPing(const wire::peer_frame& frame);
  /// @return what this process, which leads, says to a ping; without the members.
  [[nodiscard]] wire::peer_frame Pong() const;
  /// @return the same with them.
  [[nodiscard]] wire::peer_frame PongWithMembers() const;
  /// Renews the reply to pings by which peers see that this process leads, also while it is busy.
  void PublishPingReply();
  void WithdrawPingReply() {
    peers_.SetPingReply(nullptr, {});
    peers_.SetPingMembers(nullptr);
    published_members_ = 0;
  }
  void AnswerCall(const wire::peer_frame& frame);
  void Forward(const std::shared_ptr<forwarded>& call);
  void ForwardLater(const std::shared_ptr<forwarded>& call);
  void Finish(const std::shared_ptr<forwarded>& call, const caller_answer& answer);
  /// @return a line about a caller's request, with the job's id where it has one.
  [[nodiscard]] static event_line LineAbout(const forwarded& call, std::string_view event,
                                            event_weight weight);

  boost::asio::io_context& io_;
  cell_settings settings_;
  Ports& ports_;
  peer_link& peers_;
  relayed_client& outside_;
  std::uint64_t incarnation_;
  event_sink& log_;
  metric_set& metrics_;
  election election_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer claims_timer_;
  boost::asio::steady_timer handover_timer_;
  std::shared_ptr<leader<Ports>> leader_;
  std::vector<std::string> seeds_;
  std::map<std::string, member> members_;  ///< by address, without this process
  std::uint64_t members_version_{0};
  std::uint64_t published_members_{0};  ///< version that replies to pings list; 0: none
  time_point published_at_{};
  sched::client_limits limits_;
  bool limits_known_{false};
  bool stopping_{false};
  bool asking_peers_{false};
  bool claiming_{false};
  std::uint64_t claims_next_{0};
  time_point heard_at_{time_point::min() + std::chrono::hours{1}};
  time_point pinged_at_{};
  time_point tick_due_{};
  time_point asked_peers_at_{};
  time_point claims_read_at_{};
  time_point offered_at_{};         ///< when a larger process was last asked to lead
  std::uint64_t doubted_epoch_{0};  ///< the newest leadership in doubt of which a line was written
  time_point asked_all_at_{};  ///< when the peers were asked who have all answered since, or not
  std::size_t under_way_{0};
};

}  // namespace rosearch::cell

#include "rosearch/cell/internal/node_callers.h"
#include "rosearch/cell/internal/node_leadership.h"
#include "rosearch/cell/internal/node_pings.h"
#include "rosearch/cell/internal/node_views.h"

#endif  // ROSEARCH_CELL_NODE_H_
