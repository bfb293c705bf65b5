#include "rosearch/cell/relayed_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "rosearch/cell/peer_choice.h"
#include "rosearch/platform/clock.h"

namespace rosearch::cell {
namespace {

/// Interval at which a failed direct route is tried again, together with a peer.
constexpr duration kDirectRetryInterval = std::chrono::milliseconds{1'000};

/// A route without an answer after this multiple of the usual answer time has probably failed. With
/// 4, one request in a hundred to a healthy store was sent twice.
constexpr int kAnswerTimeoutFactor = 6;

/// Lower bound of the adaptive timeout: below it, load on this process is the likelier cause.
constexpr duration kMinAnswerTimeout = std::chrono::milliseconds{60};

/// Assumed answer time of a target without measurements. Limits the timeout of a lost first answer
/// to 0.24 s.
constexpr duration kInitialAnswerTime = std::chrono::milliseconds{40};

/// Weight of the newest answer in the smoothed answer time. A target that turns slow is recognized
/// after five answers.
constexpr double kNewestAnswerWeight = 0.2;

/// Upper bound of a recorded answer time, so that answers delayed by an outage do not distort it.
constexpr duration kMaxAnswerTime = std::chrono::milliseconds{400};

/// Interval at which an exchange checks whether the exchange that tries another route has ended.
constexpr duration kProbeCheckInterval = std::chrono::milliseconds{20};

/// How long a relay that did not answer is excluded. By then it has left the cell or has recovered.
constexpr duration kRelayExclusion = std::chrono::milliseconds{2'000};

/// A relay that sent an answer within this time is alive and is not excluded. Excluding a relay
/// that is only slow would move all its exchanges to the direct route at once and overload the
/// leader.
constexpr duration kRelaySilenceTimeout = std::chrono::milliseconds{300};

/// Time for the messages between the processes, added to the timeout of a forwarded exchange.
constexpr duration kPeerForwardingMargin = std::chrono::milliseconds{40};

/// The same for a relay, which bundles its answers and makes many exchanges.
constexpr duration kRelayForwardingMargin = std::chrono::milliseconds{150};

bool IsRefusal(const result<http_reply>& answer) {
  return answer.has_value() && (answer.value().status == 429 || answer.value().status == 503);
}

/// Less than any process takes to end and start again.
constexpr duration kMinProcessStart = std::chrono::milliseconds{10};

/// @return whether another process than the one that answered may have received a message to the
///         same address, which was first sent at a given time and repeated since.
bool MayHaveReachedPredecessor(const wire::relay_answer& answer, time_point sent_at) {
  const auto elapsed = SteadyNow() - sent_at;
  return elapsed >= peer_link::kFirstRetryDelay &&
         std::chrono::milliseconds{answer.up_ms()} + kMinProcessStart < elapsed;
}

/// @return whether the target did nothing for the copy that it answered. A conflict or a failed
///         condition tells what became of the others, too.
bool ConcernsOneCopy(const result<http_reply>& answer) {
  constexpr unsigned kFirstFailure = 400;
  constexpr unsigned kConflict = 409;
  constexpr unsigned kConditionFailed = 412;
  const auto status = answer.has_value() ? answer.value().status : 0U;
  return status >= kFirstFailure && status != kConflict && status != kConditionFailed;
}

result<http_reply> FromWire(const wire::relay_answer& answer) {
  if (answer.error_kind() != 0) {
    return error{static_cast<error_kind>(answer.error_kind() - 1), answer.detail()};
  }
  return http_reply{answer.status(), answer.body(), {}};
}

wire::peer_frame ToWire(const http_request& request) {
  wire::peer_frame frame;
  auto& call = *frame.mutable_relay();
  call.set_address(request.address);
  call.set_method(request.method);
  call.set_target(request.target);
  call.set_body(request.body);
  call.set_content_type(request.content_type);
  call.set_fresh_connection(request.fresh_connection);
  for (const auto& header : request.headers) {
    auto& field = *call.add_headers();
    field.set_name(header.name);
    field.set_value(header.value);
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.answer_by - SteadyNow());
  call.set_time_left_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count())));
  if (request.valid_until < request.answer_by) {
    const auto until_invalid =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.valid_until - SteadyNow());
    call.set_send_within_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, until_invalid.count())));
  }
  return frame;
}

}  // namespace

struct relayed_client::exchange {
  http_request request;
  route_options options;
  http_callback done;
  boost::asio::steady_timer hedge_timer;  ///< fires when the next route is due
  std::deque<route> routes;               ///< not tried yet
  std::vector<std::string> peers_tried{};
  std::uint32_t in_flight{0};
  time_point last_tried_at{};
  bool direct_tried{false};
  bool direct_answered{false};
  bool ended{false};
  bool may_have_arrived{false};  ///< an attempt was sent and its outcome is unknown
  std::optional<result<http_reply>> last_failure{};

  void Finish(result<http_reply> answer) {
    if (std::exchange(ended, true)) {
      return;
    }
    hedge_timer.cancel();
    done(std::move(answer));
  }

  [[nodiscard]] bool HasTried(const std::string& peer) const {
    return std::ranges::find(peers_tried, peer) != peers_tried.end();
  }

  [[nodiscard]] bool IsFirstAttempt() const { return !direct_tried && peers_tried.empty(); }

  /// @return whether a copy may be sent while another one is in flight.
  [[nodiscard]] bool MayHedge() const {
    return options.allow_peer && options.answer_timeout > duration{};
  }

  /// @return whether the answer that has just arrived is a refusal that says nothing about the
  ///         other copies, of which one may still be executed.
  [[nodiscard]] bool LeavesOtherCopies(const result<http_reply>& answer) const {
    return options.retry_refusal_by_peer && !request.idempotent && ConcernsOneCopy(answer) &&
           (in_flight > 0 || may_have_arrived);
  }

  /// Records the answer of a failed attempt.
  void RecordFailedAttempt(result<http_reply> answer) {
    may_have_arrived = may_have_arrived || (answer.has_error() && !WasNotSent(answer.error()));
    last_failure = std::move(answer);
  }

  /// Ends the exchange after all attempts failed. A refusal is reported only if no other attempt
  /// may still be executed. Otherwise a job could run although its caller was told that it was
  /// refused.
  void FinishFailed() {
    if (may_have_arrived && (last_failure->has_value() || WasNotSent(last_failure->error()))) {
      Finish(error{error_kind::kTimeout, "no answer to an attempt that may have been executed"});
      return;
    }
    Finish(std::move(*last_failure));
  }
};

void relayed_client::Send(http_request request, const route_options& options, http_callback done) {
  auto routes = SelectRoutes(request.address, options);
  auto sent =
      std::make_shared<exchange>(exchange{std::move(request), options, std::move(done),
                                          boost::asio::steady_timer{io_}, std::move(routes)});
  TryNext(sent);
}

std::deque<relayed_client::route> relayed_client::SelectRoutes(const std::string& address,
                                                               const route_options& options) {
  if (!options.allow_peer) {
    return {route::kDirect};
  }
  if (options.allow_relay && !relays_.empty()) {
    // A second relay before the direct route: relays answer late when this process is overloaded,
    // and opening a connection of its own to each worker would overload it further.
    return {route::kRelay, route::kRelay, route::kDirect, route::kPeer};
  }
  const auto direct_retry = direct_retry_at_.find(address);
  if (direct_retry == direct_retry_at_.end()) {
    return {route::kDirect, route::kPeer, route::kPeer};
  }
  // Only requests that may be sent twice probe whether a failed direct route works again.
  const auto now = SteadyNow();
  if (now < direct_retry->second || options.answer_timeout == duration{}) {
    return {route::kPeer, route::kPeer, route::kDirect};
  }
  direct_retry->second = now + kDirectRetryInterval;
  return {route::kDirect, route::kPeer, route::kPeer};
}

duration relayed_client::AnswerTimeout(const exchange& sent) const {
  if (sent.direct_tried && direct_retry_at_.contains(sent.request.address)) {
    return {};  // a failed direct route is only probed; the next one is tried at once
  }
  auto answer_timeout = sent.options.answer_timeout;
  if (sent.options.adaptive_timeout) {
    const auto known = smoothed_answer_times_.find(sent.request.address);
    const auto answer_time =
        known == smoothed_answer_times_.end() ? kInitialAnswerTime : known->second;
    answer_timeout = std::clamp(answer_time * kAnswerTimeoutFactor,
                                std::min(kMinAnswerTimeout, answer_timeout), answer_timeout);
  }
  return sent.options.wait + answer_timeout;
}

void relayed_client::RecordAnswerTime(const exchange& sent, time_point sent_at) {
  if (!sent.options.adaptive_timeout || sent.options.wait > duration{}) {
    return;
  }
  const auto took = std::min<duration>(SteadyNow() - sent_at, kMaxAnswerTime);
  auto& answer_time =
      smoothed_answer_times_.try_emplace(sent.request.address, kInitialAnswerTime).first->second;
  answer_time += std::chrono::duration_cast<duration>((took - answer_time) * kNewestAnswerWeight);
}

void relayed_client::TryNext(const std::shared_ptr<exchange>& sent) {
  const auto direct_retry = direct_retry_at_.find(sent->request.address);
  const bool first = sent->IsFirstAttempt();
  sent->last_tried_at = SteadyNow();
  if (!first && sent->last_tried_at >= sent->request.valid_until) {
    sent->routes.clear();
  }
  while (!sent->routes.empty()) {
    const auto chosen = sent->routes.front();
    sent->routes.pop_front();
    // A stale persistent connection may be the reason why the route before failed.
    sent->request.fresh_connection =
        !first || (chosen == route::kDirect && direct_retry != direct_retry_at_.end());
    if (chosen == route::kDirect) {
      TryDirect(sent);
      TryNextAfter(sent, AnswerTimeout(*sent));
      return;
    }
    if (chosen == route::kRelay) {
      if (const auto relay = SelectRelay(*sent); !relay.empty()) {
        TryRelay(sent, relay);
        TryNextAfter(sent, AnswerTimeout(*sent));
        return;
      }
      continue;
    }
    // Peers may have left since the first route was tried.
    if (const auto peer = ChoosePeer(*sent); !peer.empty()) {
      TryPeer(sent, peer);
      TryNextAfter(sent, AnswerTimeout(*sent));
      return;
    }
  }
  if (sent->in_flight == 0 && sent->last_failure) {
    sent->FinishFailed();
  }
}

void relayed_client::TryNextAfter(const std::shared_ptr<exchange>& sent, duration answer_timeout) {
  if (!sent->MayHedge() || sent->routes.empty()) {
    return;
  }
  sent->hedge_timer.expires_after(answer_timeout);
  sent->hedge_timer.async_wait([this, sent](const boost::system::error_code& failed) {
    if (!failed && !sent->ended) {
      TryNextUnlessSlow(sent);
    }
  });
}

// A target that has just turned slow can't be told from a silent connection. Only one exchange per
// target tries another route; the others wait for its result. If all were sent again, a store that
// takes 0.1 s for each append would never catch up.
void relayed_client::TryNextUnlessSlow(const std::shared_ptr<exchange>& sent) {
  const auto& address = sent->request.address;
  if (direct_retry_at_.contains(address)) {
    TryNext(sent);
    return;
  }
  const auto waited = SteadyNow() - sent->last_tried_at;
  const auto answer_timeout = AnswerTimeout(*sent);
  auto& probe = probes_[address];
  const auto other = probe.lock();
  if (waited < answer_timeout) {
    TryNextAfter(sent, answer_timeout - waited);  // the timeout for this target grew meanwhile
  } else if (other && other != sent && !other->ended) {
    TryNextAfter(sent, kProbeCheckInterval);
  } else {
    probe = sent;
    TryNext(sent);
  }
}

void relayed_client::OnAnswer(const std::shared_ptr<exchange>& sent, result<http_reply> answer) {
  if (sent->ended || !sent->LeavesOtherCopies(answer)) {
    sent->Finish(std::move(answer));
    return;
  }
  sent->RecordFailedAttempt(std::move(answer));
  if (sent->in_flight == 0) {
    sent->FinishFailed();
  }
}

void relayed_client::OnFailure(const std::shared_ptr<exchange>& sent, result<http_reply> answer) {
  if (sent->ended) {
    return;
  }
  sent->RecordFailedAttempt(std::move(answer));
  if (!sent->routes.empty() && (sent->MayHedge() || !sent->may_have_arrived)) {
    TryNext(sent);
  } else if (sent->in_flight == 0) {
    sent->FinishFailed();
  }
}

void relayed_client::TryDirect(const std::shared_ptr<exchange>& sent) {
  ++sent->in_flight;
  sent->direct_tried = true;
  const auto sent_at = SteadyNow();
  direct_.Send(sent->request, [this, sent, sent_at](result<http_reply> answer) {
    --sent->in_flight;
    sent->direct_answered = true;
    const auto& address = sent->request.address;
    const bool refused = sent->options.retry_refusal_by_peer && IsRefusal(answer);
    if (answer.has_value() && !refused) {
      // Also if a peer answered first: the direct route is slow, but works.
      direct_retry_at_.erase(address);
      RecordAnswerTime(*sent, sent_at);
      OnAnswer(sent, std::move(answer));
      return;
    }
    direct_retry_at_[address] = SteadyNow() + kDirectRetryInterval;
    OnFailure(sent, std::move(answer));
  });
}

std::string relayed_client::SelectRelay(const exchange& sent) const {
  // The relay that ranks highest for an address (rendezvous hashing): when a relay leaves, only its
  // addresses move.
  const auto now = SteadyNow();
  const auto failed = failed_relays_.find(sent.request.address);
  const bool has_failed = failed != failed_relays_.end() && now < failed->second.until;
  const std::string* best = nullptr;
  std::size_t best_rank = 0;
  for (const auto& relay : relays_) {
    const auto excluded = excluded_relays_.find(relay);
    if (excluded != excluded_relays_.end() && now < excluded->second) {
      continue;
    }
    if (sent.HasTried(relay) || (has_failed && relay == failed->second.relay)) {
      continue;
    }
    const auto rank = RankOf(relay, sent.request.address);
    if (best == nullptr || rank > best_rank) {
      best = &relay;
      best_rank = rank;
    }
  }
  return best == nullptr ? std::string{} : *best;
}

// Handles the power loss of a relay that makes exchanges with a hundred workers. Ends all of them
// at once; otherwise each would wait for its own timeout, and ends of tasks would be noticed late.
void relayed_client::ExcludeRelay(const std::string& relay) {
  const auto now = SteadyNow();
  auto& until = excluded_relays_[relay];
  if (now < until) {
    return;
  }
  until = now + kRelayExclusion;
  if (log_ != nullptr) {
    log_->Write(event_line{"relay_silent", event_weight::kStateChange}
                    .Add("relay", relay)
                    .Add("left_alone_ms", kRelayExclusion));
  }
  peers_.EndRequests(relay);
}

void relayed_client::TryRelay(const std::shared_ptr<exchange>& sent, const std::string& relay) {
  sent->peers_tried.push_back(relay);
  ++sent->in_flight;
  ++relayed_;
  peers_.SendRequestOnce(
      relay, ToWire(sent->request), sent->request.answer_by + kRelayForwardingMargin,
      [this, sent, relay](const wire::peer_frame* frame) {
        --sent->in_flight;
        if (frame == nullptr) {
          if (SteadyNow() - relay_answered_at_[relay] >= kRelaySilenceTimeout) {
            ExcludeRelay(relay);
          }
          OnFailure(sent, error{error_kind::kTimeout, "relay did not answer"});
          return;
        }
        relay_answered_at_[relay] = SteadyNow();
        auto answer = FromWire(frame->relayed());
        if (answer.has_value()) {
          sent->Finish(std::move(answer));
          return;
        }
        // The relay may be cut off from this target only, or late. Where the target refused it, a
        // second relay would not do better.
        failed_relays_[sent->request.address] = {relay, SteadyNow() + kRelayExclusion};
        if (answer.error().kind != error_kind::kTimeout) {
          std::erase(sent->routes, route::kRelay);
        }
        OnFailure(sent, std::move(answer));
      });
}

// Handles a leader that is cut off from the store beside peers of unequal size. Through a peer with
// a link of 10 Mbit/s its batches of 100 KB took 0.3 s each, and jobs waited for their acceptance.
std::string relayed_client::ChoosePeer(const exchange& sent) {
  if (sent.options.prefer_large_peer) {
    if (auto large = ChooseAmong(large_peers_, sent); !large.empty()) {
      return large;
    }
  }
  return ChooseAmong(forwarding_peers_, sent);
}

std::string relayed_client::ChooseAmong(const std::vector<std::string>& peers,
                                        const exchange& sent) {
  const auto untried = [&](const std::string& peer) { return !sent.HasTried(peer); };
  const auto known = preferred_peer_.find(sent.request.address);
  if (known != preferred_peer_.end() && untried(known->second) &&
      std::ranges::find(peers, known->second) != peers.end()) {
    return known->second;
  }
  for (std::size_t checked = 0; checked < peers.size(); ++checked) {
    const auto& peer = peers[next_peer_++ % peers.size()];
    if (untried(peer)) {
      return peer;
    }
  }
  return {};
}

void relayed_client::TryPeer(const std::shared_ptr<exchange>& sent, const std::string& peer) {
  sent->peers_tried.push_back(peer);
  ++sent->in_flight;
  const auto sent_at = SteadyNow();
  const auto on_answer = [this, sent, peer, sent_at](result<http_reply> answer) {
    --sent->in_flight;
    const auto& address = sent->request.address;
    const bool refused = sent->options.retry_refusal_by_peer && IsRefusal(answer);
    if (answer.has_value() && !refused) {
      preferred_peer_[address] = peer;
      RecordAnswerTime(*sent, sent_at);
      const bool direct_silent = sent->direct_tried && !sent->direct_answered;
      if (direct_silent && !sent->ended) {
        // The connections were lost without an error. If they were still tried first, they would
        // delay every batch of records.
        direct_retry_at_.try_emplace(address, SteadyNow() + kDirectRetryInterval);
      }
      OnAnswer(sent, std::move(answer));
      return;
    }
    const auto known = preferred_peer_.find(address);
    if (known != preferred_peer_.end() && known->second == peer) {
      preferred_peer_.erase(known);
    }
    OnFailure(sent, std::move(answer));
  };
  Forward(peer, sent->request, !sent->MayHedge(), on_answer);
}

void relayed_client::SendThroughPeer(const std::string& peer, const http_request& request,
                                     http_callback done) {
  Forward(peer, request, false, std::move(done));
}

void relayed_client::Forward(const std::string& peer, const http_request& request, bool once,
                             http_callback done) {
  ++relayed_;
  const auto deadline = request.answer_by + kPeerForwardingMargin;
  auto on_answer = [sent_at = SteadyNow(), once,
                    done = std::move(done)](const wire::peer_frame* frame) {
    if (frame == nullptr) {
      done(error{error_kind::kTimeout, "peer did not answer a forwarded request"});
      return;
    }
    auto answer = FromWire(frame->relayed());
    const bool nothing_done =
        answer.has_error() ? WasNotSent(answer.error()) : ConcernsOneCopy(answer);
    if (!once && nothing_done && MayHaveReachedPredecessor(frame->relayed(), sent_at)) {
      done(error{error_kind::kTimeout, "a predecessor of the peer may have made the exchange"});
      return;
    }
    done(std::move(answer));
  };
  if (once) {
    peers_.SendRequestOnce(peer, ToWire(request), deadline, std::move(on_answer));
  } else {
    peers_.SendRequest(peer, ToWire(request), deadline, std::move(on_answer));
  }
}

void relayed_client::ServeRelayCall(const wire::peer_frame& relay_request) {
  const auto& call = relay_request.relay();
  http_request request;
  request.address = call.address();
  request.method = call.method();
  request.target = call.target();
  request.body = call.body();
  request.content_type = call.content_type();
  request.fresh_connection = call.fresh_connection();
  for (const auto& header : call.headers()) {
    request.headers.push_back({header.name(), header.value()});
  }
  request.answer_by = SteadyNow() + std::chrono::milliseconds{call.time_left_ms()};
  request.valid_until = request.answer_by;
  if (call.send_within_ms() > 0) {
    request.valid_until = SteadyNow() + std::chrono::milliseconds{call.send_within_ms()};
  }
  wire::peer_frame asker;
  asker.set_exchange(relay_request.exchange());
  asker.set_from(relay_request.from());
  asker.set_once(relay_request.once());
  direct_.Send(std::move(request), [this, asker](result<http_reply> answer) {
    wire::peer_frame frame;
    auto& relayed = *frame.mutable_relayed();
    const auto up = SteadyNow() - peers_.began_at();
    relayed.set_up_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(up).count()));
    if (answer.has_error()) {
      relayed.set_error_kind(static_cast<std::uint32_t>(answer.error().kind) + 1);
      relayed.set_detail(answer.error().detail);
    } else {
      relayed.set_status(answer.value().status);
      relayed.set_body(answer.value().body);
    }
    peers_.Answer(asker, std::move(frame));
  });
}

}  // namespace rosearch::cell
