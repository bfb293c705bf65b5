#include "rosearch/cell/relayed_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "rosearch/platform/clock.h"

namespace rosearch::cell {
namespace {

/// A direct way that failed is not tried again for so long.
constexpr duration kBrokenFor = std::chrono::milliseconds{3'000};

/// Peers asked for one exchange; where two can't reach the target, it is the target that is away.
constexpr std::uint32_t kMostPeers = 2;

/// What a message between processes may take beyond the exchange itself.
constexpr duration kRelayMargin = std::chrono::milliseconds{40};

/// @return whether a failure is certain to have reached nobody.
bool WasNotSent(const result<http_reply>& answer) {
  return answer.has_error() && (answer.error().kind == error_kind::kTargetUnreachable ||
                                answer.error().kind == error_kind::kDeadlinePassed ||
                                answer.error().kind == error_kind::kNoOwner);
}

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
  boost::asio::steady_timer hedge;
  std::uint32_t peers_tried{0};
  std::uint32_t under_way{0};
  bool over{false};
  bool may_have_arrived{false};  ///< one try was sent, and nobody knows what became of it
  std::optional<result<http_reply>> last{};

  void Finish(result<http_reply> answer) {
    if (std::exchange(over, true)) {
      return;
    }
    hedge.cancel();
    done(std::move(answer));
  }

  /// @return whether another copy of the request may be sent.
  [[nodiscard]] bool MayTryPeer() const {
    return how.by_peer && (how.direct_patience > duration{} || !may_have_arrived);
  }

  /// Keeps a try that brought no good answer.
  void Keep(result<http_reply> answer) {
    may_have_arrived = may_have_arrived || (answer.has_error() && !WasNotSent(answer));
    last = std::move(answer);
  }

  /// Ends without a good answer. One refusal doesn't make up for another try that may still be
  /// carried out: told as refused, a job would run that its caller was told never would.
  void FinishFailed() {
    if (may_have_arrived && (last->has_value() || WasNotSent(*last))) {
      Finish(error{error_kind::kTimeout, "one try may have arrived"});
      return;
    }
    Finish(std::move(*last));
  }
};

void relayed_client::Send(http_request request, const reach& how, http_callback done) {
  auto sent = std::make_shared<exchange>(
      exchange{std::move(request), how, std::move(done), boost::asio::steady_timer{io_}});
  const auto broken = broken_until_.find(sent->request.address);
  const bool skip = broken != broken_until_.end() && SteadyNow() < broken->second;
  if (how.by_peer && skip && !helpers_.empty()) {
    SendByPeer(sent);
    return;
  }
  SendDirect(sent);
  if (!how.by_peer || helpers_.empty() || how.direct_patience == duration{}) {
    return;
  }
  sent->hedge.expires_after(how.direct_patience);
  sent->hedge.async_wait([this, sent](const boost::system::error_code& failed) {
    if (!failed && !sent->over) {
      SendByPeer(sent);
    }
  });
}

void relayed_client::SendDirect(const std::shared_ptr<exchange>& sent) {
  ++sent->under_way;
  direct_.Send(sent->request, [this, sent](result<http_reply> answer) {
    --sent->under_way;
    const auto& address = sent->request.address;
    const bool refused = sent->how.refusal_may_be_ours && IsRefusal(answer);
    if (answer.has_value() && !refused) {
      broken_until_.erase(address);
      sent->Finish(std::move(answer));
      return;
    }
    if (sent->over) {
      return;
    }
    broken_until_[address] = SteadyNow() + kBrokenFor;
    sent->Keep(std::move(answer));
    if (sent->MayTryPeer() && !helpers_.empty() && sent->peers_tried == 0) {
      SendByPeer(sent);
    } else if (sent->under_way == 0) {
      sent->FinishFailed();
    }
  });
}

std::string relayed_client::ChoosePeer(const std::string& address) {
  const auto known = good_helper_.find(address);
  if (known != good_helper_.end() && std::ranges::find(helpers_, known->second) != helpers_.end()) {
    return known->second;
  }
  return helpers_[next_helper_++ % helpers_.size()];
}

void relayed_client::SendByPeer(const std::shared_ptr<exchange>& sent) {
  if (helpers_.empty()) {
    // The last peer may have gone since the direct way was tried.
    if (sent->under_way == 0 && sent->last) {
      sent->FinishFailed();
    }
    return;
  }
  const auto peer = ChoosePeer(sent->request.address);
  ++sent->peers_tried;
  ++sent->under_way;
  SendFrom(peer, sent->request, [this, sent, peer](result<http_reply> answer) {
    --sent->under_way;
    const bool refused = sent->how.refusal_may_be_ours && IsRefusal(answer);
    if (answer.has_value() && !refused) {
      good_helper_[sent->request.address] = peer;
      sent->Finish(std::move(answer));
      return;
    }
    good_helper_.erase(sent->request.address);
    if (sent->over) {
      return;
    }
    sent->Keep(std::move(answer));
    const auto most = std::min<std::size_t>(kMostPeers, helpers_.size());
    if (sent->MayTryPeer() && sent->peers_tried < most && SteadyNow() < sent->request.answer_by) {
      SendByPeer(sent);
    } else if (sent->under_way == 0) {
      sent->FinishFailed();
    }
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
  for (const auto& header : call.headers()) {
    request.headers.push_back({header.name(), header.value()});
  }
  request.answer_by = SteadyNow() + std::chrono::milliseconds{call.time_left_ms()};
  request.valid_until = request.answer_by;
  wire::peer_frame asker;
  asker.set_exchange(question.exchange());
  asker.set_from(question.from());
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
