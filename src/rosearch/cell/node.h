#ifndef ROSEARCH_CELL_NODE_H_
#define ROSEARCH_CELL_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/cell/cell_metrics.h"
#include "rosearch/cell/cell_settings.h"
#include "rosearch/cell/election.h"
#include "rosearch/cell/former_leaders.h"
#include "rosearch/cell/leader.h"
#include "rosearch/cell/leader_fitness.h"
#include "rosearch/cell/peer_choice.h"
#include "rosearch/cell/peer_link.h"
#include "rosearch/cell/ports.h"
#include "rosearch/cell/predecessor_watch.h"
#include "rosearch/cell/relayed_client.h"
#include "rosearch/cell/settling_period.h"
#include "rosearch/log/event_line.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/http_server.h"
#include "rosearch/platform/address.h"
#include "rosearch/platform/clock.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::cell {

/// One process of a cell: forwards callers' requests to the leader, takes part in leader election,
/// runs the leader when its claim wins, and relays requests to workers for its peers.
/// @tparam Ports  access to the store, the workers and the wire formats; see `cell_ports`.
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
        election_{settings_.electing, IsSmall(), jitter, SteadyNow()},
        former_leaders_{settings_.leading.proof.max_unconfirmed},
        tick_timer_{io},
        claims_timer_{io},
        handover_timer_{io} {
    DescribeCellMetrics(metrics_);
  }

  /// Starts reading the claims and pinging the seeds to find the leader.
  void Begin() {
    SetSeeds(settings_.seeds);
    FindNewestClaim();
    Tick();
  }

  /// Sets the addresses that are pinged while no leader is known; this process's own is ignored.
  void SetSeeds(const std::vector<std::string>& seeds) {
    seeds_.clear();
    for (const auto& seed : seeds) {
      if (seed != peers_.address()) {
        seeds_.push_back(seed);
      }
    }
  }

  /// Handles one request of a caller: serves it here if this process leads, else forwards it.
  void HandleCall(http_call call, http_respond respond);

  /// @return whether the load balancer should send callers' requests to this process.
  [[nodiscard]] bool IsReady() const {
    const auto now = SteadyNow();
    return !stopping_ && limits_known_ && now - last_leader_answer_at_ < kReadyTimeout;
  }

  /// Stops being ready and, on the leader, starts the handover. The leader keeps leading until a
  /// peer has claimed leadership, so callers wait only for the takeover, not for the election.
  void Stop() {
    stopping_ = true;
    if (!leader_) {
      return;
    }
    WithdrawPingReply();
    NotifyPeersOfResignation(leader_->epoch());
    handover_timer_.expires_after(kHandoverTimeout);
    handover_timer_.async_wait([this](const boost::system::error_code& failed) {
      if (!failed && leader_) {
        leader_->Resign();
      }
    });
  }
  /// @return whether this process doesn't lead and has no caller's request in flight.
  [[nodiscard]] bool IsIdle() const { return !leader_ && calls_in_flight_ == 0; }

  /// Handles the loss of the connection to a peer.
  void OnConnectionBroken(const std::string& peer);

  /// Handles a message of a peer.
  void Receive(const wire::peer_frame& frame);

  /// @return the limits on callers' connections and requests last received from the leader.
  [[nodiscard]] const sched::client_limits& limits() const { return limits_; }

  [[nodiscard]] std::string Dump() const;
  /// @return the state of a job and what it waits for; on a process that doesn't lead, `Dump()`,
  ///         which names the leader.
  [[nodiscard]] std::string Explain(std::string_view job) const;
  /// Copies values that are counted outside `metric_set` into the metrics.
  void FillMetrics();

 private:
  struct member {
    wire::cell_member facts;
    time_point seen_at{};      ///< last ping received here, or arrival of the leader's member list
    bool has_pinged{false};    ///< this process has received a ping from it since it began to lead
    duration ping_interval{};  ///< as its last ping told; zero: not told
  };
  /// A caller's request that is being forwarded to the leader.
  struct forwarded_call {
    caller_request request;
    time_point received_at{};
    time_point answer_deadline{};
    time_point refuse_at{};  ///< refused then with 503 unless a leader was found
    http_respond respond;
    bool maybe_processed{false};  ///< a leader may have processed it, so it can't be refused
  };

  /// A process without an answer of the leader for this long isn't ready. Load balancers probe once
  /// a second and tolerate two failed probes; a leader change alone takes less than this.
  static constexpr duration kReadyTimeout = std::chrono::milliseconds{2'500};
  static constexpr duration kTickInterval = std::chrono::milliseconds{100};
  /// Shorter interval while the leader is suspected to have failed, to speed up the takeover.
  static constexpr duration kSuspectTickInterval = std::chrono::milliseconds{30};
  static constexpr duration kPingInterval = std::chrono::milliseconds{200};
  /// Reserve candidates claim later anyway, so they need not detect a failed leader as fast. At
  /// `kPingInterval` the leader of a large cell would spend most of its time on their pings.
  static constexpr duration kReservePingInterval = std::chrono::milliseconds{500};
  /// Number of large processes that claim and ping without the delay of reserve candidates. Even if
  /// a fifth of all processes are lost at once, some of these remain.
  static constexpr std::size_t kMaxCandidates = 100;
  /// Number of peers asked whether they reach the leader before it is replaced. With a fifth of all
  /// peers cut off from the leader, all 16 that are asked are cut off once in 10^11 cases.
  static constexpr std::size_t kMaxQueriedPeers = 16;
  /// An offer of leadership that no larger process has accepted is repeated after this.
  static constexpr duration kOfferInterval = std::chrono::milliseconds{2'000};
  /// Pause between slices of watched workers while no relay is known. Live peers ping a new leader
  /// within 0.2 s; until then the pause leaves processor time and descriptors for other work.
  static constexpr duration kUnrelayedWatchDelay = std::chrono::milliseconds{20};
  /// Pause between slices of watched workers with relays. About twice as long as sending one slice
  /// takes, so that the thread that answers peers also gets its share of a small processor.
  static constexpr duration kRelayedWatchDelay = std::chrono::milliseconds{10};
  /// Minimum interval between updates of the member list that is sent to peers. Without it, when
  /// hundreds of processes join at once, each would receive the whole list with every ping.
  static constexpr duration kMemberListInterval = std::chrono::milliseconds{1'000};
  /// Validity of a prepared ping reply. The transport's thread sends it while the event loop is
  /// busy; after this time without a renewal the loop is considered stuck and pings get no prepared
  /// reply.
  static constexpr duration kPingReplyValidity = std::chrono::milliseconds{2'500};
  static constexpr duration kPingTimeout = std::chrono::milliseconds{600};
  /// A leader removes members that have not pinged it for this long, so it doesn't ask them for
  /// help.
  static constexpr duration kMemberTimeout = std::chrono::milliseconds{1'500};
  /// A refused connection is reported within one round trip.
  static constexpr duration kProbeTimeout = std::chrono::milliseconds{250};
  static constexpr duration kPredecessorProbeInterval = std::chrono::milliseconds{300};
  /// A stopping leader resigns after this even if no peer has claimed leadership.
  static constexpr duration kHandoverTimeout = std::chrono::milliseconds{1'500};
  static constexpr duration kClaimsPollTimeout = std::chrono::milliseconds{1'000};
  /// A store that responds completes a read of the claims within `kClaimsPollTimeout` plus its own
  /// latency; an older read means that the store doesn't respond.
  static constexpr duration kMaxClaimsReadAge = std::chrono::milliseconds{2'000};
  static constexpr duration kClaimsRetryInterval = std::chrono::milliseconds{200};
  /// Interval at which a settling leader renews its claim. Two renewals fit into the suspect
  /// timeout, and the store's budget of reads bears one read by each process per renewal.
  static constexpr duration kClaimRenewalInterval = std::chrono::milliseconds{250};
  static constexpr duration kQueryTimeout = std::chrono::milliseconds{150};
  /// For how long the peers' answers that none of them reaches the leader stay valid.
  static constexpr duration kMaxPeerAnswerAge = std::chrono::milliseconds{450};
  /// A request for which no leader is found is refused after this. It is about as long as a leader
  /// change after a resignation, and shorter than the 1 s after which a refused caller retries.
  static constexpr duration kLeaderTimeout = std::chrono::milliseconds{600};
  static constexpr duration kForwardRetryInterval = std::chrono::milliseconds{40};
  static constexpr duration kForwardTimeout = std::chrono::milliseconds{2'600};
  /// Answers are sent this long before the caller's timeout.
  static constexpr duration kAnswerMargin = std::chrono::milliseconds{60};
  static constexpr duration kDefaultCallerTimeout = std::chrono::seconds{3};

  [[nodiscard]] wire::cell_member Self() const {
    wire::cell_member self;
    self.set_address(peers_.address());
    self.set_name(settings_.name);
    // A stopping process is no candidate and no relay: requests through it would be lost with it.
    self.set_processor_milli(stopping_ ? 0 : settings_.processor_milli);
    self.set_link_mbps(settings_.link_mbps);
    return self;
  }
  [[nodiscard]] static std::uint32_t Millis(duration span) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
  }
  /// @return a reading of this process's clock, which peers return unread.
  [[nodiscard]] static std::uint64_t StampOf(time_point at) {
    return static_cast<std::uint64_t>(at.time_since_epoch().count());
  }
  [[nodiscard]] static time_point TimeOf(std::uint64_t stamp) {
    return time_point{duration{static_cast<duration::rep>(stamp)}};
  }
  [[nodiscard]] bool IsLeading() const { return leader_ != nullptr; }
  [[nodiscard]] bool IsSmall() const {
    return !leader_fitness{settings_.processor_milli, settings_.link_mbps}.IsFit();
  }
  [[nodiscard]] static bool IsSmall(const wire::cell_member& facts) {
    return !leader_fitness{facts.processor_milli(), facts.link_mbps()}.IsFit();
  }
  [[nodiscard]] static duration PingInterval(const member& peer) {
    if (peer.ping_interval > duration{}) {
      return peer.ping_interval;
    }
    return IsSmall(peer.facts) ? kReservePingInterval : kPingInterval;
  }
  [[nodiscard]] duration OwnPingInterval() const {
    return election_.IsReserve() ? kReservePingInterval : kPingInterval;
  }
  /// Decides by the member list whether this process is a reserve candidate.
  void UpdateCandidacy();

  /// @return the time since the leader last answered this process; negative: it never did.
  [[nodiscard]] duration HeardAgo(time_point now) const {
    const auto heard_at = election_.LastAnswerAt();
    return heard_at == time_point{} ? std::chrono::milliseconds{-1} : now - heard_at;
  }

  void Tick();
  void ScheduleTick(duration delay);
  void ProbeLeader();
  /// Calls back if nothing listens at the address: its process has ended.
  void ProbeAddress(const std::string& address, std::function<void()> on_refused);
  [[nodiscard]] wire::peer_frame MakePing() const;
  /// Pings the leader, or the seeds if none is known. While the leader isn't reachable, one ping at
  /// a time is repeated until it is answered. When hundreds of processes each had several pings in
  /// flight and repeated all of them, a new leader spent its processor time on answering copies.
  void Ping();
  void OnPingAnswered(time_point asked_at, const wire::peer_frame* answer);
  void OnPong(const wire::peer_frame& frame);
  void AnnounceLeadership();
  void NotifyPeersOfResignation(std::uint64_t epoch);
  void SendResignation(const std::string& address, std::uint64_t epoch);
  /// Offers leadership to larger processes if this one is small and leads many workers.
  void OfferLeadership();
  /// @return the large processes that have pinged this leader since it began to lead.
  [[nodiscard]] std::vector<std::string> LargeMembers() const;
  /// @return the addresses of the members for which the predicate of address and member holds.
  template <typename Predicate>
  [[nodiscard]] std::vector<std::string> MembersWhere(Predicate predicate) const;
  void FindNewestClaim();
  void FollowClaims();
  /// Handles a record of the claim log.
  /// @param asked_at  when the read that found the record was sent.
  void OnClaimRecord(const std::string& bytes, std::uint64_t offset, time_point asked_at);
  /// @param asked_at  when the claim, or the read that found it, was sent.
  void OnClaim(const wire::leader_claim& claim, std::uint64_t offset, time_point asked_at);
  void OnClaimRenewal(const wire::leader_claim& record);
  /// Records who led before a claim.
  /// @param epoch  of the claim, or of the claim that the record renews.
  void RecordFormerLeaders(const wire::leader_claim& record, std::uint64_t epoch);
  /// Names in a record of the claim log the leaders before an epoch that may still act.
  void NameFormerLeaders(wire::leader_claim& record, std::uint64_t epoch) const;
  /// Ends the known leadership if a former run of this process held it.
  void CheckFormerRun(const leadership& claimed);
  void AdoptLeadership(const leadership& claimed);
  void ClaimIfNoLeader();
  /// @return the peers that are asked whether they reach the leader. They are the same in each
  ///         round, because a message to a peer without an open connection is lost.
  [[nodiscard]] std::vector<std::string> PeersToQuery() const;
  void QueryPeers();
  void ClaimLeadership();
  /// Renews this leader's claim while it settles. After a restart of all processes, hundreds of
  /// peers ask a new leader for connections, and most of them hear nothing from it within the
  /// suspect timeout; without a sign of it they would replace it, and its successors in turn.
  void RenewClaim();
  /// Appends to the claim log, if it holds no record that this process hasn't read.
  /// @param on_stored  called with the record's offset.
  void AppendToClaims(const std::string& record, std::function<void(std::uint64_t)> on_stored);
  void StartLeading(std::uint64_t epoch, time_point claimed_at);
  /// Begins to find out when former leaders can't act any more.
  void WatchPredecessors(time_point now);
  /// Records that a process follows this leader or runs no more.
  void RecordFollower(const std::string& address);
  /// Checks whether the processes that don't follow this leader still run.
  void ProbePredecessors();
  void UpdatePeers();
  /// @return the peers that relay this leader's requests to workers.
  [[nodiscard]] std::vector<std::string> Relays() const;
  /// @return how long this leader waits before it watches the next slice of workers.
  [[nodiscard]] duration WatchDelay() const;
  void AnswerPing(const wire::peer_frame& frame);
  /// Records what a ping proves about newer leaders.
  void RecordVote(const wire::peer_frame& frame);
  /// @return the leader's reply to a ping, without the member list.
  [[nodiscard]] wire::peer_frame MakePong() const;
  /// @return the leader's reply to a ping, with the member list.
  [[nodiscard]] wire::peer_frame MakePongWithMembers() const;
  /// Renews the prepared ping reply, which is sent even while the event loop is busy.
  void PublishPingReply();
  void WithdrawPingReply() {
    peers_.SetPingReply(nullptr, {});
    peers_.SetPingMembers(nullptr);
    published_members_ = 0;
  }
  void AnswerCall(const wire::peer_frame& frame);
  void Forward(const std::shared_ptr<forwarded_call>& call);
  void RetryForward(const std::shared_ptr<forwarded_call>& call);
  void FinishCall(const std::shared_ptr<forwarded_call>& call, const caller_answer& answer);
  /// @return a log line about a caller's request, with the job's id if the path names one.
  [[nodiscard]] static event_line LineAbout(const forwarded_call& call, std::string_view event,
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
  former_leaders former_leaders_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer claims_timer_;
  boost::asio::steady_timer handover_timer_;
  std::shared_ptr<leader<Ports>> leader_;
  std::vector<std::string> seeds_;
  std::map<std::string, member> members_;  ///< by address, without this process
  std::uint64_t members_version_{0};
  std::uint64_t published_members_{0};  ///< version of the list in ping replies; 0: none
  time_point published_at_{};
  sched::client_limits limits_;
  bool limits_known_{false};
  bool stopping_{false};
  bool peer_query_in_flight_{false};
  bool claim_in_flight_{false};  ///< an append to the claim log is unanswered
  settling_period settling_;
  time_point claim_renewed_at_{};
  std::uint64_t next_claim_offset_{0};
  time_point last_leader_answer_at_{time_point::min() + std::chrono::hours{1}};
  time_point pinged_at_{};
  std::uint64_t first_ping_epoch_{0};     ///< known epoch when the pings below were sent
  std::size_t first_pings_in_flight_{0};  ///< unanswered, to a leader that isn't reachable yet
  time_point next_tick_at_{};
  time_point peers_queried_at_{};
  time_point claims_read_at_{};
  std::uint64_t leader_stamp_{0};   ///< newest received from the known leader; 0: none
  std::uint64_t claims_stamp_{0};   ///< `leader_stamp_` when the last read of the claims was sent
  duration claims_waited_{};        ///< how long after that the read was still true
  predecessor_watch predecessors_;  ///< of the present leadership
  time_point predecessors_probed_at_{};
  time_point offered_at_{};           ///< when leadership was last offered to larger processes
  std::uint64_t suspected_epoch_{0};  ///< the newest epoch for which `leader_doubted` was logged
  /// Start of the last completed query of peers, in which each has answered or timed out.
  time_point completed_peer_query_at_{};
  std::size_t peers_asked_{0};     ///< by the last query
  std::size_t peers_answered_{0};  ///< so far, of those asked by the last query
  std::size_t calls_in_flight_{0};
};

}  // namespace rosearch::cell

#include "rosearch/cell/internal/node_callers.h"
#include "rosearch/cell/internal/node_claims.h"
#include "rosearch/cell/internal/node_leadership.h"
#include "rosearch/cell/internal/node_pings.h"
#include "rosearch/cell/internal/node_views.h"

#endif  // ROSEARCH_CELL_NODE_H_
