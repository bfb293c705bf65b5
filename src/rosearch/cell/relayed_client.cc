#include "rosearch/cell/relayed_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "rosearch/cell/peer_choice.h"
#include "rosearch/platform/clock.h"

namespace rosearch::cell {
namespace {

/// A direct way that failed is tried again after this, beside a peer's.
constexpr duration kTryDirectAgain = std::chrono::milliseconds{1'000};

/// A way that takes so many times as long as usual has probably failed. At four times, one answer
/// in a hundred of a sound store was asked for twice.
constexpr int kUnusual = 6;

/// Below this a busy process of our own is the likelier cause.
constexpr duration kLeastPatience = std::chrono::milliseconds{60};

/// What a target takes that was never asked: a guess, so that the first lost answer costs 0.24 s.
constexpr duration kFirstUsual = std::chrono::milliseconds{40};

/// Share of the newest answer in what is usual: a target that turns slow is known after five.
constexpr double kNewestShare = 0.2;

/// What was held up for longer, as after an outage, counts as this.
constexpr duration kSlowest = std::chrono::milliseconds{400};

/// An exchange that waits for another one's finding looks so often.
constexpr duration kLookAgain = std::chrono::milliseconds{20};

/// A relay that didn't answer is left alone for so long; by then it is gone, or sound again.
constexpr duration kRelayRests = std::chrono::milliseconds{2'000};

/// A relay that answered something within this lives. Were one that is only late left alone, all
/// its exchanges would go directly at once, and make the leader late, too.
constexpr duration kRelaySilent = std::chrono::milliseconds{300};

/// What a message between processes may take beyond the exchange itself.
constexpr duration kRelayMargin = std::chrono::milliseconds{40};

/// The same for a relay, which collects answers and has many others to make.
constexpr duration kBusyRelayMargin = std::chrono::milliseconds{150};

bool IsRefusal(const result<http_reply>& answer) {
  return answer.has_value() && (answer.value().status == 429 || answer.value().status == 503);
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
  return frame;
}

}  // namespace

struct relayed_client::exchange {
  http_request request;
  reach how;
  http_callback done;
  boost::asio::steady_timer next;  ///< when the next way is tried beside those under way
  std::deque<way> ways;            ///< left to try
  std::vector<std::string> peers_tried{};
  std::uint32_t under_way{0};
  time_point last_tried_at{};
  bool direct_tried{false};
  bool direct_answered{false};
  bool over{false};
  bool may_have_arrived{false};  ///< one try was sent, and nobody knows what became of it
  std::optional<result<http_reply>> last{};

  void Finish(result<http_reply> answer) {
    if (std::exchange(over, true)) {
      return;
    }
    next.cancel();
    done(std::move(answer));
  }

  [[nodiscard]] bool NothingTried() const { return !direct_tried && peers_tried.empty(); }

  /// @return whether a copy may be sent while another one is under way.
  [[nodiscard]] bool Repeatable() const { return how.by_peer && how.patience > duration{}; }

  /// Keeps a try that brought no good answer.
  void Keep(result<http_reply> answer) {
    may_have_arrived = may_have_arrived || (answer.has_error() && !WasNotSent(answer.error()));
    last = std::move(answer);
  }

  /// Ends without a good answer. One refusal doesn't make up for another try that may still be
  /// carried out: told as refused, a job would run that its caller was told never would.
  void FinishFailed() {
    if (may_have_arrived && (last->has_value() || WasNotSent(last->error()))) {
      Finish(error{error_kind::kTimeout, "one try may have arrived"});
      return;
    }
    Finish(std::move(*last));
  }
};

void relayed_client::Send(http_request request, const reach& how, http_callback done) {
  auto ways = WaysTo(request.address, how);
  auto sent = std::make_shared<exchange>(exchange{std::move(request), how, std::move(done),
                                                  boost::asio::steady_timer{io_}, std::move(ways)});
  TryNext(sent);
}

std::deque<relayed_client::way> relayed_client::WaysTo(const std::string& address,
                                                       const reach& how) {
  if (!how.by_peer) {
    return {way::kDirect};
  }
  if (how.by_relay && !relays_.empty()) {
    auto failed = unrelayed_.find(address);
    if (failed != unrelayed_.end() && SteadyNow() >= failed->second) {
      unrelayed_.erase(failed);
      failed = unrelayed_.end();
    }
    if (failed == unrelayed_.end()) {
      return {way::kRelay, way::kDirect, way::kPeer};
    }
  }
  const auto broken = broken_.find(address);
  if (broken == broken_.end()) {
    return {way::kDirect, way::kPeer, way::kPeer};
  }
  // Whether a broken way is whole again is found out by what may be sent twice.
  const auto now = SteadyNow();
  if (now < broken->second || how.patience == duration{}) {
    return {way::kPeer, way::kPeer, way::kDirect};
  }
  broken->second = now + kTryDirectAgain;
  return {way::kDirect, way::kPeer, way::kPeer};
}

duration relayed_client::Patience(const exchange& sent) const {
  if (sent.direct_tried && broken_.contains(sent.request.address)) {
    return {};  // the direct way is tried only to see whether it is whole again
  }
  auto patience = sent.how.patience;
  if (sent.how.learns) {
    const auto known = usual_.find(sent.request.address);
    const auto usual = known == usual_.end() ? kFirstUsual : known->second;
    patience = std::clamp(usual * kUnusual, std::min(kLeastPatience, patience), patience);
  }
  return sent.how.wait + patience;
}

void relayed_client::Learn(const exchange& sent, time_point sent_at) {
  if (!sent.how.learns || sent.how.wait > duration{}) {
    return;
  }
  const auto took = std::min<duration>(SteadyNow() - sent_at, kSlowest);
  auto& usual = usual_.try_emplace(sent.request.address, kFirstUsual).first->second;
  usual += std::chrono::duration_cast<duration>((took - usual) * kNewestShare);
}

void relayed_client::TryNext(const std::shared_ptr<exchange>& sent) {
  const auto broken = broken_.find(sent->request.address);
  const bool first = sent->NothingTried();
  sent->last_tried_at = SteadyNow();
  while (!sent->ways.empty()) {
    const auto chosen = sent->ways.front();
    sent->ways.pop_front();
    // Kept connections may be why the way before brought nothing.
    sent->request.fresh_connection = !first || (chosen == way::kDirect && broken != broken_.end());
    if (chosen == way::kDirect) {
      SendDirect(sent);
      TryNextAfter(sent, Patience(*sent));
      return;
    }
    if (chosen == way::kRelay) {
      if (const auto relay = RelayOf(sent->request.address); !relay.empty()) {
        SendByRelay(sent, relay);
        TryNextAfter(sent, Patience(*sent));
        return;
      }
      continue;
    }
    // Peers may have gone since the first way was tried.
    if (const auto peer = ChoosePeer(*sent); !peer.empty()) {
      SendByPeer(sent, peer);
      TryNextAfter(sent, Patience(*sent));
      return;
    }
  }
  if (sent->under_way == 0 && sent->last) {
    sent->FinishFailed();
  }
}

void relayed_client::TryNextAfter(const std::shared_ptr<exchange>& sent, duration patience) {
  if (!sent->Repeatable() || sent->ways.empty()) {
    return;
  }
  sent->next.expires_after(patience);
  sent->next.async_wait([this, sent](const boost::system::error_code& failed) {
    if (!failed && !sent->over) {
      TryNextUnlessSlow(sent);
    }
  });
}

// A target that just turned slow looks like connections that went silent. If all that wait for it
// were sent again, a store that takes 0.1 s for each append would never get through them. So one
// exchange finds out for all.
void relayed_client::TryNextUnlessSlow(const std::shared_ptr<exchange>& sent) {
  const auto& address = sent->request.address;
  if (broken_.contains(address)) {
    TryNext(sent);
    return;
  }
  const auto waited = SteadyNow() - sent->last_tried_at;
  const auto patience = Patience(*sent);
  auto& scout = scouts_[address];
  const auto other = scout.lock();
  if (waited < patience) {
    TryNextAfter(sent, patience - waited);  // the target was found to be slow meanwhile
  } else if (other && other != sent && !other->over) {
    TryNextAfter(sent, kLookAgain);
  } else {
    scout = sent;
    TryNext(sent);
  }
}

void relayed_client::OnFailure(const std::shared_ptr<exchange>& sent, result<http_reply> answer) {
  if (sent->over) {
    return;
  }
  sent->Keep(std::move(answer));
  if (!sent->ways.empty() && (sent->Repeatable() || !sent->may_have_arrived)) {
    TryNext(sent);
  } else if (sent->under_way == 0) {
    sent->FinishFailed();
  }
}

void relayed_client::SendDirect(const std::shared_ptr<exchange>& sent) {
  ++sent->under_way;
  sent->direct_tried = true;
  const auto sent_at = SteadyNow();
  direct_.Send(sent->request, [this, sent, sent_at](result<http_reply> answer) {
    --sent->under_way;
    sent->direct_answered = true;
    const auto& address = sent->request.address;
    const bool refused = sent->how.refusal_may_be_ours && IsRefusal(answer);
    if (answer.has_value() && !refused) {
      // Also where a peer was quicker: this way is slow, not broken.
      broken_.erase(address);
      Learn(*sent, sent_at);
      sent->Finish(std::move(answer));
      return;
    }
    broken_[address] = SteadyNow() + kTryDirectAgain;
    OnFailure(sent, std::move(answer));
  });
}

std::string relayed_client::RelayOf(const std::string& address) const {
  // The relay that ranks highest for an address: where one goes, only its addresses move.
  const auto now = SteadyNow();
  const std::string* best = nullptr;
  std::size_t best_rank = 0;
  for (const auto& relay : relays_) {
    const auto rests = resting_.find(relay);
    if (rests != resting_.end() && now < rests->second) {
      continue;
    }
    const auto rank = RankOf(relay, address);
    if (best == nullptr || rank > best_rank) {
      best = &relay;
      best_rank = rank;
    }
  }
  return best == nullptr ? std::string{} : *best;
}

// The load that this answers: a peer that carries exchanges with a hundred workers loses power.
// Each of them would wait for its own time-out, and what ended there meanwhile be seen late.
void relayed_client::RestRelay(const std::string& relay) {
  const auto now = SteadyNow();
  auto& until = resting_[relay];
  if (now < until) {
    return;
  }
  until = now + kRelayRests;
  if (log_ != nullptr) {
    log_->Write(event_line{"relay_silent", event_weight::kBelief}
                    .Add("relay", relay)
                    .Add("left_alone_ms", kRelayRests));
  }
  peers_.Abandon(relay);
}

void relayed_client::SendByRelay(const std::shared_ptr<exchange>& sent, const std::string& relay) {
  sent->peers_tried.push_back(relay);
  ++sent->under_way;
  ++relayed_;
  peers_.AskOnce(relay, ToWire(sent->request), sent->request.answer_by + kBusyRelayMargin,
                 [this, sent, relay](const wire::peer_frame* frame) {
                   --sent->under_way;
                   if (frame == nullptr) {
                     if (SteadyNow() - relay_heard_[relay] >= kRelaySilent) {
                       RestRelay(relay);
                     }
                     OnFailure(sent, error{error_kind::kTimeout, "no answer of the relay"});
                     return;
                   }
                   relay_heard_[relay] = SteadyNow();
                   auto answer = FromWire(frame->relayed());
                   if (answer.has_value()) {
                     sent->Finish(std::move(answer));
                     return;
                   }
                   // The relay may be cut off from this target alone.
                   unrelayed_[sent->request.address] = SteadyNow() + kRelayRests;
                   OnFailure(sent, std::move(answer));
                 });
}

std::string relayed_client::ChoosePeer(const exchange& sent) {
  const auto untried = [&](const std::string& peer) {
    return std::ranges::find(sent.peers_tried, peer) == sent.peers_tried.end();
  };
  const auto known = good_helper_.find(sent.request.address);
  if (known != good_helper_.end() && untried(known->second) &&
      std::ranges::find(helpers_, known->second) != helpers_.end()) {
    return known->second;
  }
  for (std::size_t looked_at = 0; looked_at < helpers_.size(); ++looked_at) {
    const auto& peer = helpers_[next_helper_++ % helpers_.size()];
    if (untried(peer)) {
      return peer;
    }
  }
  return {};
}

void relayed_client::SendByPeer(const std::shared_ptr<exchange>& sent, const std::string& peer) {
  sent->peers_tried.push_back(peer);
  ++sent->under_way;
  const auto sent_at = SteadyNow();
  SendFrom(peer, sent->request, [this, sent, peer, sent_at](result<http_reply> answer) {
    --sent->under_way;
    const auto& address = sent->request.address;
    const bool refused = sent->how.refusal_may_be_ours && IsRefusal(answer);
    if (answer.has_value() && !refused) {
      good_helper_[address] = peer;
      Learn(*sent, sent_at);
      const bool direct_silent = sent->direct_tried && !sent->direct_answered;
      if (direct_silent && !sent->over) {
        // Connections that went silent without a sign bring nothing more. Tried first for each
        // exchange, they would hold up every batch of records.
        broken_.try_emplace(address, SteadyNow() + kTryDirectAgain);
      }
      sent->Finish(std::move(answer));
      return;
    }
    const auto known = good_helper_.find(address);
    if (known != good_helper_.end() && known->second == peer) {
      good_helper_.erase(known);
    }
    OnFailure(sent, std::move(answer));
  });
}

void relayed_client::SendFrom(const std::string& peer, const http_request& request,
                              http_callback done) {
  ++relayed_;
  peers_.Ask(peer, ToWire(request), request.answer_by + kRelayMargin,
             [done = std::move(done)](const wire::peer_frame* frame) {
               if (frame == nullptr) {
                 done(error{error_kind::kTimeout, "no answer of the peer that was asked"});
                 return;
               }
               done(FromWire(frame->relayed()));
             });
}

void relayed_client::Serve(const wire::peer_frame& question) {
  const auto& call = question.relay();
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
  wire::peer_frame asker;
  asker.set_exchange(question.exchange());
  asker.set_from(question.from());
  asker.set_once(question.once());
  direct_.Send(std::move(request), [this, asker](result<http_reply> answer) {
    wire::peer_frame frame;
    auto& relayed = *frame.mutable_relayed();
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
