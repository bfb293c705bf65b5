#ifndef ROSEARCH_CELL_NODE_H_
#define ROSEARCH_CELL_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/cell/cell_settings.h"
#include "rosearch/cell/election.h"
#include "rosearch/cell/leader.h"
#include "rosearch/cell/peer_link.h"
#include "rosearch/cell/ports.h"
#include "rosearch/cell/relayed_client.h"
#include "rosearch/log/event_line.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/http_server.h"
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
        handover_timer_{io} {}

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

  /// Takes a message of a peer.
  void Receive(const wire::peer_frame& frame);

  /// @return the limits towards callers that the leader last told.
  [[nodiscard]] const sched::client_limits& limits() const { return limits_; }

  [[nodiscard]] std::string Dump() const;
  /// Puts what is counted elsewhere into the metrics.
  void FillMetrics();

 private:
  struct member {
    wire::cell_member facts;
    time_point seen_at{};
  };
  /// A caller's request on its way to the leader.
  struct forwarded {
    caller_request request;
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
  static constexpr duration kPingPatience = std::chrono::milliseconds{600};
  /// A member that said nothing for so long is not asked for help.
  static constexpr duration kMemberFresh = std::chrono::milliseconds{1'500};
  /// A leader that is to stop and finds no successor within this stops all the same.
  static constexpr duration kHandoverPatience = std::chrono::milliseconds{1'500};
  static constexpr duration kClaimsWait = std::chrono::milliseconds{1'000};
  static constexpr duration kClaimsRetry = std::chrono::milliseconds{200};
  static constexpr duration kQueryPatience = std::chrono::milliseconds{150};
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
  [[nodiscard]] bool Leading() const { return leader_ != nullptr; }

  void Tick();
  void Ping();
  void OnPong(const wire::peer_frame& frame);
  void Announce();
  void SayGoodbye(std::uint64_t epoch);
  void FindNewestClaim();
  void FollowClaims();
  void OnClaim(const std::string& bytes, std::uint64_t offset);
  void AdoptLeadership(const leadership& claimed);
  void ClaimIfNobodyLeads();
  void AskPeersForLeader();
  void Claim();
  void Lead(std::uint64_t epoch);
  void UpdatePeers();
  void AnswerPing(const wire::peer_frame& frame);
  void AnswerCall(const wire::peer_frame& frame);
  void Forward(const std::shared_ptr<forwarded>& call);
  void ForwardLater(const std::shared_ptr<forwarded>& call);
  void Finish(const std::shared_ptr<forwarded>& call, const caller_answer& answer);

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
  sched::client_limits limits_;
  bool limits_known_{false};
  bool stopping_{false};
  bool asking_peers_{false};
  bool claiming_{false};
  std::uint64_t claims_next_{0};
  time_point heard_at_{time_point::min() + std::chrono::hours{1}};
  time_point pinged_at_{};
  time_point asked_peers_at_{};
  time_point nobody_hears_at_{};  ///< when the peers last said that they hear no leader either
  std::size_t under_way_{0};
};

// Who leads.

template <typename Ports>
void node<Ports>::Tick() {
  const auto now = SteadyNow();
  if (!Leading() && now - pinged_at_ >= kPingEvery) {
    pinged_at_ = now;
    Ping();
  }
  if (Leading()) {
    if (leader_->Serving()) {
      heard_at_ = now;
      limits_ = leader_->configuration().limits;
      limits_known_ = leader_->configuration().version > 0;
    }
    election_.OnHeard(leader_->epoch(), now);
    if (!stopping_) {
      Announce();
    }
  } else if (!stopping_ && election_.Doubts(now)) {
    ClaimIfNobodyLeads();
  }
  UpdatePeers();
  tick_timer_.expires_after(!Leading() && election_.Doubts(now) ? kDoubtTick : kTick);
  tick_timer_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) {
      Tick();
    }
  });
}

template <typename Ports>
void node<Ports>::ClaimIfNobodyLeads() {
  const auto now = SteadyNow();
  if (!election_.Leaving()) {
    AskPeersForLeader();
  }
  const bool agreed =
      election_.Leaving() || (!asking_peers_ && now - nobody_hears_at_ < kMemberFresh);
  if (election_.ShouldClaim(now) && agreed) {
    Claim();
  }
}

template <typename Ports>
void node<Ports>::UpdatePeers() {
  const auto now = SteadyNow();
  const auto before = members_.size();
  if (Leading()) {
    std::erase_if(members_,
                  [&](const auto& each) { return now - each.second.seen_at >= kMemberFresh; });
  }
  if (members_.size() != before) {
    ++members_version_;
  }
  std::vector<std::string> addresses;
  std::vector<std::string> helpers{std::string{}};
  for (const auto& [address, each] : members_) {
    addresses.push_back(address);
    helpers.push_back(address);
  }
  outside_.SetPeers(addresses);
  if (Leading()) {
    leader_->SetHelpers(helpers);
  }
}

template <typename Ports>
void node<Ports>::Ping() {
  std::vector<std::string> targets;
  if (election_.Known().epoch > 0) {
    targets.push_back(election_.Known().address);
  } else {
    targets = seeds_;
  }
  for (const auto& target : targets) {
    wire::peer_frame frame;
    frame.set_epoch(election_.Known().epoch);
    *frame.mutable_ping()->mutable_member() = Self();
    frame.mutable_ping()->set_members_version(members_version_);
    peers_.Ask(target, std::move(frame), SteadyNow() + kPingPatience,
               [this](const wire::peer_frame* answer) {
                 if (answer != nullptr) {
                   OnPong(*answer);
                 }
               });
  }
}

template <typename Ports>
void node<Ports>::OnPong(const wire::peer_frame& frame) {
  const auto& pong = frame.pong();
  const auto now = SteadyNow();
  if (Leading() || frame.epoch() != election_.Known().epoch) {
    return;
  }
  if (!pong.leading() || pong.resigning()) {
    if (frame.from() == election_.Known().address) {
      election_.OnLeaderLeaving(frame.epoch());
    }
    return;
  }
  election_.OnHeard(frame.epoch(), now);
  heard_at_ = now;
  if (pong.members_size() > 0) {
    members_.clear();
    for (const auto& each : pong.members()) {
      if (each.address() != peers_.address()) {
        members_[each.address()] = {each, now};
      }
    }
    members_version_ = pong.members_version();
  }
  if (pong.config_version() > 0) {
    limits_known_ = true;
    limits_.max_header_bytes = pong.max_header_bytes();
    limits_.max_body_bytes = pong.max_body_bytes();
    limits_.header_timeout = std::chrono::milliseconds{pong.header_timeout_ms()};
    limits_.idle_timeout = std::chrono::milliseconds{pong.idle_timeout_ms()};
  }
}

template <typename Ports>
void node<Ports>::AnswerPing(const wire::peer_frame& frame) {
  const auto& ping = frame.ping();
  wire::peer_frame answer;
  answer.set_epoch(election_.Known().epoch);
  auto& pong = *answer.mutable_pong();
  pong.set_leading(Leading());
  if (Leading()) {
    const auto [known, fresh] = members_.try_emplace(ping.member().address());
    known->second = {ping.member(), SteadyNow()};
    members_version_ += fresh ? 1 : 0;
    if (frame.epoch() == leader_->epoch()) {
      leader_->OnPeerSign();
    }
    pong.set_leading(leader_->Serving() || !stopping_);
    pong.set_resigning(stopping_);
    pong.set_members_version(members_version_);
    if (ping.members_version() != members_version_) {
      *pong.add_members() = Self();
      for (const auto& [address, each] : members_) {
        *pong.add_members() = each.facts;
      }
    }
    const auto& configuration = leader_->configuration();
    const auto millis = [](duration span) {
      return static_cast<std::uint32_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
    };
    pong.set_config_version(configuration.version);
    pong.set_max_header_bytes(configuration.limits.max_header_bytes);
    pong.set_max_body_bytes(configuration.limits.max_body_bytes);
    pong.set_header_timeout_ms(millis(configuration.limits.header_timeout));
    pong.set_idle_timeout_ms(millis(configuration.limits.idle_timeout));
  }
  peers_.Answer(frame, std::move(answer));
}

template <typename Ports>
void node<Ports>::SayGoodbye(std::uint64_t epoch) {
  for (const auto& [address, each] : members_) {
    wire::peer_frame frame;
    frame.set_epoch(epoch);
    frame.mutable_notice()->set_resigning(true);
    peers_.Tell(address, std::move(frame));
  }
}

template <typename Ports>
void node<Ports>::Announce() {
  // Peers that still follow another leader, or none, learn of this one without the store.
  const auto now = SteadyNow();
  for (const auto& [address, each] : members_) {
    if (now - each.seen_at > kPingEvery * 2) {
      wire::peer_frame frame;
      frame.set_epoch(leader_->epoch());
      frame.mutable_notice()->set_address(peers_.address());
      peers_.Tell(address, std::move(frame));
    }
  }
}

template <typename Ports>
void node<Ports>::Receive(const wire::peer_frame& frame) {
  if (frame.has_ping()) {
    AnswerPing(frame);
  } else if (frame.has_relay()) {
    outside_.Serve(frame);
  } else if (frame.has_call()) {
    AnswerCall(frame);
  } else if (frame.has_query()) {
    wire::peer_frame answer;
    answer.set_epoch(election_.Known().epoch);
    const bool hears = election_.Hears(SteadyNow()) || Leading();
    answer.mutable_view()->set_heard(hears && !stopping_);
    answer.mutable_view()->set_leader(election_.Known().address);
    peers_.Answer(frame, std::move(answer));
  } else if (frame.has_notice()) {
    if (frame.notice().resigning()) {
      election_.OnLeaderLeaving(frame.epoch());
      if (!Leading() && !stopping_ && election_.Leaving()) {
        ClaimIfNobodyLeads();
      }
    } else {
      AdoptLeadership({frame.epoch(), frame.notice().address(), {}, 0});
    }
  }
}

template <typename Ports>
void node<Ports>::AdoptLeadership(const leadership& claimed) {
  if (!election_.OnLeadership(claimed, SteadyNow())) {
    return;
  }
  log_.Write(event_line{"leader_known", event_weight::kBelief}
                 .Add("epoch", claimed.epoch)
                 .Add("leader", claimed.address)
                 .Add("name", claimed.name));
  if (leader_ && leader_->epoch() < claimed.epoch) {
    leader_->End("newer_claim");
    leader_.reset();
  }
  pinged_at_ = time_point{};
  members_version_ = 0;
}

template <typename Ports>
void node<Ports>::FindNewestClaim() {
  ports_.Newest(stream::kClaims, {}, [this](result<newest_page> page) {
    if (page.has_error()) {
      claims_timer_.expires_after(kClaimsRetry);
      claims_timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed) {
          FindNewestClaim();
        }
      });
      return;
    }
    claims_next_ = page.value().end;
    for (const auto& record : page.value().records) {
      OnClaim(record.value, claims_next_ - 1);
    }
    election_.OnClaimsRead(SteadyNow());
    FollowClaims();
  });
}

template <typename Ports>
void node<Ports>::FollowClaims() {
  const auto asked_at = SteadyNow();
  ports_.Read(stream::kClaims, claims_next_, kClaimsWait, [this, asked_at](result<log_page> page) {
    if (page.has_error() || page.value().trimmed) {
      claims_timer_.expires_after(kClaimsRetry);
      const bool trimmed = page.has_value();
      claims_timer_.async_wait([this, trimmed](const boost::system::error_code& failed) {
        if (!failed) {
          trimmed ? FindNewestClaim() : FollowClaims();
        }
      });
      return;
    }
    auto offset = page.value().next - page.value().records.size();
    for (const auto& bytes : page.value().records) {
      if (const auto record = SplitKeyed(bytes)) {
        OnClaim(record->value, offset);
      }
      ++offset;
    }
    claims_next_ = page.value().next;
    if (leader_ && leader_->epoch() == election_.Known().epoch) {
      leader_->OnProof(asked_at);
    }
    FollowClaims();
  });
}

template <typename Ports>
void node<Ports>::OnClaim(const std::string& bytes, std::uint64_t offset) {
  wire::leader_claim claim;
  if (!claim.ParseFromString(bytes) || claim.member().address().empty()) {
    log_.Write(event_line{"claim_unreadable", event_weight::kFailure}.Add("offset", offset));
    return;
  }
  const leadership claimed{offset + 1, claim.member().address(), claim.member().name(),
                           claim.incarnation()};
  const bool mine = claim.incarnation() == incarnation_ && claimed.address == peers_.address();
  const bool news = claimed.epoch > election_.Known().epoch;
  AdoptLeadership(claimed);
  if (mine && news && !stopping_) {
    Lead(claimed.epoch);
  } else if (claimed.address == peers_.address() && claim.incarnation() != incarnation_) {
    // An earlier life of this process led: nobody does now.
    election_.OnLeaderLeaving(claimed.epoch);
  }
}

template <typename Ports>
void node<Ports>::AskPeersForLeader() {
  const auto now = SteadyNow();
  if (asking_peers_ || now - asked_peers_at_ < kQueryPatience * 2) {
    return;
  }
  asked_peers_at_ = now;
  std::vector<std::string> asked;
  for (const auto& [address, each] : members_) {
    if (address != election_.Known().address) {
      asked.push_back(address);
    }
  }
  if (asked.empty()) {
    nobody_hears_at_ = now;
    return;
  }
  asking_peers_ = true;
  auto open = std::make_shared<std::size_t>(asked.size());
  auto heard = std::make_shared<bool>(false);
  for (const auto& address : asked) {
    wire::peer_frame frame;
    frame.set_epoch(election_.Known().epoch);
    frame.mutable_query();
    peers_.Ask(address, std::move(frame), now + kQueryPatience,
               [this, open, heard](const wire::peer_frame* answer) {
                 const bool hears = answer != nullptr && answer->view().heard() &&
                                    answer->epoch() >= election_.Known().epoch;
                 *heard = *heard || hears;
                 if (--*open > 0) {
                   return;
                 }
                 asking_peers_ = false;
                 if (*heard) {
                   election_.OnPeerHears(SteadyNow());
                 } else {
                   nobody_hears_at_ = SteadyNow();
                 }
               });
  }
}

template <typename Ports>
void node<Ports>::Claim() {
  if (claiming_) {
    return;
  }
  claiming_ = true;
  election_.OnClaimSent(SteadyNow());
  wire::leader_claim claim;
  *claim.mutable_member() = Self();
  claim.set_incarnation(incarnation_);
  const auto bytes = claim.SerializeAsString();
  log_.Write(event_line{"leadership_claimed", event_weight::kBelief}
                 .Add("at", claims_next_)
                 .Add("known_epoch", election_.Known().epoch)
                 .Add("peers", members_.size()));
  ports_.Append(stream::kClaims, {JoinKeyed({"leader", bytes})}, std::nullopt, claims_next_,
                [this, bytes](const append_answer& answer) {
                  claiming_ = false;
                  // Without an answer, reading the log of claims tells who won.
                  if (answer.outcome == append_outcome::kStored) {
                    OnClaim(bytes, answer.offset);
                  }
                });
}

template <typename Ports>
void node<Ports>::Lead(std::uint64_t epoch) {
  if (leader_) {
    return;
  }
  leader_ = std::make_shared<leader<Ports>>(io_, ports_, settings_.leading, epoch, log_, metrics_,
                                            [this, epoch] {
                                              if (!leader_ || leader_->epoch() != epoch) {
                                                return;
                                              }
                                              leader_.reset();
                                              SayGoodbye(epoch);
                                              election_.OnLeaderLeaving(epoch);
                                            });
  for (auto& [address, each] : members_) {
    each.seen_at = SteadyNow();
  }
  leader_->Begin();
}

// Callers.

template <typename Ports>
void node<Ports>::Take(http_call call, http_respond respond) {
  const auto patience = Ports::CallerPatience(call.headers).value_or(kDefaultPatience);
  const auto now = SteadyNow();
  auto made = std::make_shared<forwarded>();
  auto host = call.headers["host"];
  host = host.substr(0, host.rfind(':'));
  for (auto& letter : host) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  made->request = {std::move(call.method), std::move(host), std::move(call.path),
                   std::move(call.body)};
  made->answer_by = now + std::min(patience - kAnswerMargin, kForwardPatience);
  made->refuse_at = now + kLeaderPatience;
  made->respond = std::move(respond);
  ++under_way_;
  Forward(made);
}

template <typename Ports>
void node<Ports>::Finish(const std::shared_ptr<forwarded>& call, const caller_answer& answer) {
  --under_way_;
  http_response response;
  response.status = answer.status;
  response.body = answer.body;
  if (answer.retry_after_s > 0) {
    response.headers["Retry-After"] = std::to_string(answer.retry_after_s);
  }
  metrics_.Count("rosearch_answers_total{status=\"" + std::to_string(answer.status) + "\"}");
  call->respond(std::move(response));
}

template <typename Ports>
void node<Ports>::ForwardLater(const std::shared_ptr<forwarded>& call) {
  const auto now = SteadyNow();
  if (!call->unsure && now >= call->refuse_at) {
    log_.Write(event_line{"call_refused", event_weight::kFailure}
                   .Add("path", call->request.path)
                   .Add("reason", "no_leader")
                   .Add("known_epoch", election_.Known().epoch));
    Finish(call, {503, {}, 1, false});
    return;
  }
  if (now >= call->answer_by) {
    // A leader may have taken the job in: only the caller's next try will tell.
    log_.Write(event_line{"call_unanswered", event_weight::kFailure}
                   .Add("path", call->request.path)
                   .Add("known_epoch", election_.Known().epoch));
    Finish(call, {504, {}, 0, false});
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kForwardAgain);
  timer->async_wait([this, call, timer](const boost::system::error_code&) { Forward(call); });
}

template <typename Ports>
void node<Ports>::Forward(const std::shared_ptr<forwarded>& call) {
  const auto now = SteadyNow();
  const auto left = call->answer_by - now;
  const auto take = [this, call](const caller_answer& answer) {
    if (answer.not_leading) {
      call->unsure = call->unsure || answer.status == kMayBeStored;
      ForwardLater(call);
    } else {
      Finish(call, answer);
    }
  };
  if (leader_ && leader_->Serving()) {
    leader_->Handle(call->request, left, take);
    return;
  }
  if (leader_ || election_.Known().epoch == 0 || left <= duration{} || !election_.Hears(now)) {
    ForwardLater(call);
    return;
  }
  wire::peer_frame frame;
  frame.set_epoch(election_.Known().epoch);
  auto& sent = *frame.mutable_call();
  sent.set_method(call->request.method);
  sent.set_host(call->request.host);
  sent.set_path(call->request.path);
  sent.set_body(call->request.body);
  sent.set_time_left_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  constexpr duration kOneTry = std::chrono::milliseconds{1'000};
  peers_.Ask(election_.Known().address, std::move(frame), std::min(call->answer_by, now + kOneTry),
             [this, call, take](const wire::peer_frame* answer) {
               if (answer == nullptr) {
                 call->unsure = true;
                 ForwardLater(call);
                 return;
               }
               const auto& said = answer->answer();
               take({said.status(), said.body(), said.retry_after_s(), said.not_leading()});
             });
}

template <typename Ports>
void node<Ports>::AnswerCall(const wire::peer_frame& frame) {
  wire::peer_frame asker;
  asker.set_exchange(frame.exchange());
  asker.set_from(frame.from());
  const auto reply = [this, asker](const caller_answer& answer) {
    wire::peer_frame sent;
    sent.set_epoch(election_.Known().epoch);
    auto& body = *sent.mutable_answer();
    body.set_status(answer.status);
    body.set_body(answer.body);
    body.set_retry_after_s(answer.retry_after_s);
    body.set_not_leading(answer.not_leading);
    peers_.Answer(asker, std::move(sent));
  };
  if (!leader_) {
    reply({503, {}, 0, true});
    return;
  }
  const auto& call = frame.call();
  leader_->Handle({call.method(), call.host(), call.path(), call.body()},
                  std::chrono::milliseconds{call.time_left_ms()}, reply);
}

// For people.

template <typename Ports>
std::string node<Ports>::Dump() const {
  std::string text = "name=" + settings_.name + " leading=" + (leader_ ? "1" : "0") +
                     " epoch=" + std::to_string(election_.Known().epoch) +
                     " leader=" + election_.Known().address +
                     " peers=" + std::to_string(members_.size()) + '\n';
  return leader_ ? text + leader_->Dump() : text;
}

template <typename Ports>
void node<Ports>::FillMetrics() {
  metrics_.Set("rosearch_leading", leader_ ? 1 : 0);
  metrics_.Set("rosearch_peers", static_cast<double>(members_.size()));
  metrics_.SetTotal("rosearch_relayed_total", outside_.Relayed());
  if (leader_) {
    const auto counts = leader_->Counts();
    metrics_.Set("rosearch_jobs", static_cast<double>(counts.jobs));
    metrics_.Set("rosearch_waiting_tasks", static_cast<double>(counts.waiting_tasks));
    metrics_.Set("rosearch_runs", static_cast<double>(counts.runs));
    metrics_.Set("rosearch_workers_live", static_cast<double>(counts.workers_live));
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_NODE_H_
