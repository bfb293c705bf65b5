#include "rosearch/cell/peer_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "rosearch/platform/clock.h"

namespace rosearch::cell {
namespace {

/// How long received requests are kept for deduplication. Longer than any request is repeated.
constexpr duration kDeduplicationRetention = std::chrono::seconds{4};

/// A process that has just started must connect to its leader well before it suspects the leader.
/// With the kernel's default connection timeout, the loss of a first packet made two restarted
/// processes claim leadership although the leader was healthy.
constexpr peer_transport_options kTransportOptions{std::chrono::milliseconds{1'000},
                                                   std::chrono::milliseconds{250},
                                                   std::chrono::milliseconds{100}};

/// @return whether a request must not be executed twice. Read-only requests are executed again:
///         keeping the answers to pings of hundreds of peers for seconds exhausted the memory.
bool NeedsDeduplication(const wire::peer_frame& request) {
  const bool read_only = request.has_ping() || request.has_query();
  return request.exchange() != 0 && !request.once() && !read_only;
}

std::string DeduplicationKey(const wire::peer_frame& request) {
  return request.from() + '#' + std::to_string(request.exchange());
}

}  // namespace

peer_link::peer_link(boost::asio::io_context& io, const std::string& address,
                     std::uint64_t incarnation, receive on_message, broken on_broken)
    : io_{io},
      on_message_{std::move(on_message)},
      on_broken_{std::move(on_broken)},
      next_exchange_{incarnation},
      collect_timer_{io} {
  transport_ = std::make_unique<peer_transport>(
      address, [this](const std::string& bytes) { HandOver(bytes); }, kTransportOptions,
      [this, alive = std::weak_ptr<bool>{alive_}](const std::string& to) {
        boost::asio::post(io_, [this, alive, to] {
          if (!alive.expired() && on_broken_) {
            on_broken_(to);
          }
        });
      });
}

peer_link::~peer_link() = default;

const std::string& peer_link::address() const { return transport_->address(); }

void peer_link::Tell(const std::string& to, wire::peer_frame frame) {
  frame.set_from(address());
  transport_->Send(to, frame.SerializeAsString());
}

std::uint64_t peer_link::NextExchange() {
  next_exchange_ += next_exchange_ + 1 == 0 ? 2 : 1;  // 0 marks a message that expects no answer
  return next_exchange_;
}

void peer_link::Collect(const std::string& to, wire::peer_frame frame) {
  if (collected_.empty()) {
    collect_timer_.expires_after(kCollect);
    collect_timer_.async_wait(
        [this, alive = std::weak_ptr<bool>{alive_}](const boost::system::error_code& failed) {
          if (!failed && !alive.expired()) {
            SendCollected();
          }
        });
  }
  *collected_[to].mutable_bundle()->add_frames() = std::move(frame);
}

void peer_link::SendCollected() {
  for (auto& [to, bundle] : std::exchange(collected_, {})) {
    Tell(to, std::move(bundle));
  }
}

void peer_link::AskOnce(const std::string& to, wire::peer_frame frame, time_point answer_by,
                        answer_callback done) {
  const auto exchange = NextExchange();
  frame.set_exchange(exchange);
  frame.set_from(address());
  frame.set_once(true);
  Collect(to, std::move(frame));
  questions_[exchange] = std::make_unique<question>(
      question{to, {}, answer_by, std::move(done), boost::asio::steady_timer{io_}});
  Wait(exchange);
}

void peer_link::Ask(const std::string& to, wire::peer_frame frame, time_point answer_by,
                    answer_callback done) {
  const auto exchange = NextExchange();
  frame.set_exchange(exchange);
  frame.set_from(address());
  transport_->Send(to, frame.SerializeAsString());
  questions_[exchange] = std::make_unique<question>(
      question{to, std::move(frame), answer_by, std::move(done), boost::asio::steady_timer{io_}});
  Wait(exchange);
}

void peer_link::Wait(std::uint64_t exchange) {
  auto& pending = *questions_[exchange];
  const bool repeats = pending.frame.exchange() != 0;
  const auto next =
      repeats ? std::min(pending.answer_by, SteadyNow() + kRepeat) : pending.answer_by;
  pending.timer.expires_after(next - SteadyNow());
  pending.timer.async_wait([this, exchange, alive = std::weak_ptr<bool>{alive_}](
                               const boost::system::error_code& failed) {
    if (failed || alive.expired()) {
      return;
    }
    const auto found = questions_.find(exchange);
    if (found == questions_.end()) {
      return;
    }
    if (SteadyNow() >= found->second->answer_by) {
      const auto ended = std::move(found->second);
      questions_.erase(found);
      ended->done(nullptr);
      return;
    }
    transport_->Send(found->second->to, found->second->frame.SerializeAsString());
    Wait(exchange);
  });
}

void peer_link::Abandon(const std::string& to) {
  std::vector<answer_callback> ended;
  for (auto each = questions_.begin(); each != questions_.end();) {
    if (each->second->to == to) {
      ended.push_back(std::move(each->second->done));
      each = questions_.erase(each);
    } else {
      ++each;
    }
  }
  for (const auto& done : ended) {
    done(nullptr);
  }
}

void peer_link::Answer(const wire::peer_frame& request, wire::peer_frame answer) {
  answer.set_exchange(request.exchange());
  answer.set_from(address());
  if (request.once()) {
    Collect(request.from(), std::move(answer));
    return;
  }
  auto bytes = answer.SerializeAsString();
  const auto stored = answers_.find(DeduplicationKey(request));
  if (stored != answers_.end()) {
    stored->second = bytes;
  }
  transport_->Send(request.from(), std::move(bytes));
}

bool peer_link::IsRepeat(const wire::peer_frame& request) {
  const auto now = SteadyNow();
  while (!received_.empty() && received_.front().forget_at <= now) {
    answers_.erase(received_.front().key);
    received_.pop_front();
  }
  auto key = DeduplicationKey(request);
  const auto [stored, is_new] = answers_.try_emplace(key);
  if (is_new) {
    received_.push_back({std::move(key), now + kDeduplicationRetention});
  } else if (!stored->second.empty()) {
    transport_->Send(request.from(), stored->second);
  }
  return !is_new;
}

void peer_link::SetPingReply(std::unique_ptr<wire::peer_frame> reply, time_point until) {
  if (reply) {
    reply->set_from(address());
  }
  const std::scoped_lock lock{reply_mutex_};
  ping_reply_ = std::move(reply);
  ping_reply_until_ = until;
}

bool peer_link::RepliesTo(const wire::peer_frame& ping) const {
  const std::scoped_lock lock{reply_mutex_};
  return RepliesToLocked(ping);
}

bool peer_link::RepliesToLocked(const wire::peer_frame& ping) const {
  return ping_reply_ && ping_members_ && SteadyNow() < ping_reply_until_ &&
         ping.epoch() == ping_reply_->epoch();
}

void peer_link::SetPingMembers(std::unique_ptr<wire::peer_frame> members) {
  const std::scoped_lock lock{reply_mutex_};
  ping_members_ = std::move(members);
}

void peer_link::ReplyToPing(const wire::peer_frame& ping) {
  const std::scoped_lock lock{reply_mutex_};
  if (!RepliesToLocked(ping)) {
    return;
  }
  auto reply = *ping_reply_;
  reply.set_exchange(ping.exchange());
  reply.mutable_pong()->set_members_version(ping_members_->pong().members_version());
  if (ping.ping().members_version() != ping_members_->pong().members_version()) {
    *reply.mutable_pong()->mutable_members() = ping_members_->pong().members();
  }
  transport_->Send(ping.from(), reply.SerializeAsString());
}

void peer_link::HandOver(const std::string& bytes) {
  auto frame = std::make_shared<wire::peer_frame>();
  if (!frame->ParseFromString(bytes)) {
    return;  // malformed, not from a peer; no exchange depends on a single message
  }
  if (frame->has_ping()) {
    ReplyToPing(*frame);
  }
  boost::asio::post(io_, [this, alive = std::weak_ptr<bool>{alive_}, frame] {
    if (!alive.expired()) {
      Receive(*frame);
    }
  });
}

void peer_link::Receive(const wire::peer_frame& frame) {
  if (frame.has_bundle()) {
    for (const auto& each : frame.bundle().frames()) {
      Receive(each);
    }
    return;
  }
  const bool is_answer =
      frame.has_pong() || frame.has_view() || frame.has_answer() || frame.has_relayed();
  if (!is_answer) {
    const bool is_duplicate = NeedsDeduplication(frame) && IsRepeat(frame);
    if (!is_duplicate) {
      on_message_(frame);
    }
    return;
  }
  const auto found = questions_.find(frame.exchange());
  if (found == questions_.end()) {
    return;
  }
  const auto pending = std::move(found->second);
  questions_.erase(found);
  pending->done(&frame);
}

}  // namespace rosearch::cell
