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

/// @return whether the pause before each repeat of a request grows. Pings and queries are small,
/// and a
///         leader that has just been elected must be heard before its peers replace it.
bool BacksOff(const wire::peer_frame& request) { return request.has_call() || request.has_relay(); }

std::string DeduplicationKey(const wire::peer_frame& request) {
  return request.from() + '#' + std::to_string(request.exchange());
}

}  // namespace

peer_link::peer_link(boost::asio::io_context& io, const std::string& address,
                     std::uint64_t incarnation, message_callback on_message,
                     connection_lost_callback on_connection_lost)
    : io_{io},
      on_message_{std::move(on_message)},
      on_connection_lost_{std::move(on_connection_lost)},
      next_exchange_{incarnation},
      bundle_timer_{io} {
  transport_ = std::make_unique<peer_transport>(
      address, [this](const std::string& bytes) { OnTransportMessage(bytes); }, kTransportOptions,
      [this, alive = std::weak_ptr<bool>{alive_}](const std::string& to) {
        boost::asio::post(io_, [this, alive, to] {
          if (!alive.expired() && on_connection_lost_) {
            on_connection_lost_(to);
          }
        });
      });
}

peer_link::~peer_link() = default;

const std::string& peer_link::address() const { return transport_->address(); }

void peer_link::SendMessage(const std::string& to, wire::peer_frame frame) {
  frame.set_from(address());
  transport_->Send(to, frame.SerializeAsString());
}

std::uint64_t peer_link::NextExchange() {
  next_exchange_ += next_exchange_ + 1 == 0 ? 2 : 1;  // 0 marks a message that expects no answer
  return next_exchange_;
}

void peer_link::AddToBundle(const std::string& to, wire::peer_frame frame) {
  if (bundles_.empty()) {
    bundle_timer_.expires_after(kBundleDelay);
    bundle_timer_.async_wait(
        [this, alive = std::weak_ptr<bool>{alive_}](const boost::system::error_code& failed) {
          if (!failed && !alive.expired()) {
            SendBundles();
          }
        });
  }
  *bundles_[to].mutable_bundle()->add_frames() = std::move(frame);
}

void peer_link::SendBundles() {
  for (auto& [to, bundle] : std::exchange(bundles_, {})) {
    SendMessage(to, std::move(bundle));
  }
}

std::uint64_t peer_link::NumberRequest(wire::peer_frame& request) {
  const auto exchange = NextExchange();
  request.set_exchange(exchange);
  request.set_from(address());
  return exchange;
}

void peer_link::SendRequestOnce(const std::string& to, wire::peer_frame frame, time_point deadline,
                                answer_callback done) {
  const auto exchange = NumberRequest(frame);
  frame.set_once(true);
  AddToBundle(to, std::move(frame));
  AddPendingRequest(exchange, to, {}, deadline, std::move(done));
}

void peer_link::SendPollingRequest(const std::string& to, wire::peer_frame frame,
                                   time_point deadline, answer_callback done) {
  const auto exchange = NumberRequest(frame);
  transport_->Send(to, frame.SerializeAsString());
  AddPendingRequest(exchange, to, {}, deadline, std::move(done));
}

void peer_link::SendRequest(const std::string& to, wire::peer_frame frame, time_point deadline,
                            answer_callback done) {
  const auto exchange = NumberRequest(frame);
  transport_->Send(to, frame.SerializeAsString());
  AddPendingRequest(exchange, to, std::move(frame), deadline, std::move(done));
}

void peer_link::AddPendingRequest(std::uint64_t exchange, const std::string& to,
                                  wire::peer_frame repeated, time_point deadline,
                                  answer_callback done) {
  pending_requests_[exchange] = std::make_unique<pending_request>(pending_request{
      to, std::move(repeated), deadline, std::move(done), boost::asio::steady_timer{io_}});
  ScheduleRetry(exchange);
}

void peer_link::ScheduleRetry(std::uint64_t exchange) {
  auto& pending = *pending_requests_[exchange];
  const bool repeats = pending.frame.exchange() != 0;
  const auto next =
      repeats ? std::min(pending.deadline, SteadyNow() + pending.retry_delay) : pending.deadline;
  if (BacksOff(pending.frame)) {
    pending.retry_delay *= 2;
  }
  pending.timer.expires_after(next - SteadyNow());
  pending.timer.async_wait([this, exchange, alive = std::weak_ptr<bool>{alive_}](
                               const boost::system::error_code& failed) {
    if (failed || alive.expired()) {
      return;
    }
    const auto found = pending_requests_.find(exchange);
    if (found == pending_requests_.end()) {
      return;
    }
    if (SteadyNow() >= found->second->deadline) {
      const auto ended = std::move(found->second);
      pending_requests_.erase(found);
      ended->done(nullptr);
      return;
    }
    transport_->Send(found->second->to, found->second->frame.SerializeAsString());
    ScheduleRetry(exchange);
  });
}

void peer_link::EndRequests(const std::string& to) {
  std::vector<answer_callback> ended;
  for (auto each = pending_requests_.begin(); each != pending_requests_.end();) {
    if (each->second->to == to) {
      ended.push_back(std::move(each->second->done));
      each = pending_requests_.erase(each);
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
    AddToBundle(request.from(), std::move(answer));
    return;
  }
  auto bytes = answer.SerializeAsString();
  const auto stored = stored_answers_.find(DeduplicationKey(request));
  if (stored != stored_answers_.end()) {
    stored->second = bytes;
  }
  transport_->Send(request.from(), std::move(bytes));
}

bool peer_link::CheckDuplicate(const wire::peer_frame& request) {
  const auto now = SteadyNow();
  while (!received_requests_.empty() && received_requests_.front().expires_at <= now) {
    stored_answers_.erase(received_requests_.front().key);
    received_requests_.pop_front();
  }
  auto key = DeduplicationKey(request);
  const auto [stored, is_new] = stored_answers_.try_emplace(key);
  if (is_new) {
    received_requests_.push_back({std::move(key), now + kDeduplicationRetention});
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

bool peer_link::CanReplyTo(const wire::peer_frame& ping) const {
  const std::scoped_lock lock{reply_mutex_};
  return CanReplyToLocked(ping);
}

bool peer_link::CanReplyToLocked(const wire::peer_frame& ping) const {
  return ping_reply_ && ping_members_ && SteadyNow() < ping_reply_until_ &&
         ping.epoch() == ping_reply_->epoch();
}

void peer_link::SetPingMembers(const wire::peer_frame* members) {
  std::optional<serialized_members> serialized;
  if (members != nullptr) {
    wire::peer_frame list;
    *list.mutable_pong()->mutable_members() = members->pong().members();
    serialized = {members->pong().members_version(), list.SerializeAsString()};
  }
  const std::scoped_lock lock{reply_mutex_};
  ping_members_ = std::move(serialized);
}

void peer_link::ReplyToPing(const wire::peer_frame& ping) {
  const std::scoped_lock lock{reply_mutex_};
  if (!CanReplyToLocked(ping)) {
    return;
  }
  auto reply = *ping_reply_;
  reply.set_exchange(ping.exchange());
  reply.mutable_pong()->set_members_version(ping_members_->version);
  auto bytes = reply.SerializeAsString();
  if (ping.ping().members_version() != ping_members_->version) {
    bytes += ping_members_->bytes;  // a parser merges serialized messages that follow each other
  }
  transport_->Send(ping.from(), std::move(bytes));
}

void peer_link::OnTransportMessage(const std::string& bytes) {
  auto frame = std::make_unique<wire::peer_frame>();
  if (!frame->ParseFromString(bytes)) {
    return;  // malformed, not from a peer; no exchange depends on a single message
  }
  if (frame->has_ping()) {
    ReplyToPing(*frame);
  }
  {
    const std::scoped_lock lock{received_mutex_};
    if (frame->has_call() && received_bytes_ + bytes.size() > kMaxWaitingBytes) {
      ++dropped_;
      return;
    }
    received_bytes_ += bytes.size();
    received_.push_back(std::move(frame));
    if (received_.size() > 1) {
      return;  // the event loop has been woken for those before it
    }
  }
  boost::asio::post(io_, [this, alive = std::weak_ptr<bool>{alive_}] {
    if (!alive.expired()) {
      HandleReceived(alive);
    }
  });
}

void peer_link::HandleReceived(const std::weak_ptr<bool>& alive) {
  std::vector<std::unique_ptr<wire::peer_frame>> frames;
  {
    const std::scoped_lock lock{received_mutex_};
    frames.swap(received_);
    received_bytes_ = 0;
  }
  for (const auto& frame : frames) {
    if (alive.expired()) {
      return;  // a callback has destroyed this object
    }
    HandleFrame(*frame);
  }
}

void peer_link::HandleFrame(const wire::peer_frame& frame) {
  if (frame.has_bundle()) {
    for (const auto& each : frame.bundle().frames()) {
      HandleFrame(each);
    }
    return;
  }
  const bool is_answer =
      frame.has_pong() || frame.has_view() || frame.has_answer() || frame.has_relayed();
  if (!is_answer) {
    const bool is_duplicate = NeedsDeduplication(frame) && CheckDuplicate(frame);
    if (!is_duplicate) {
      on_message_(frame);
    }
    return;
  }
  const auto found = pending_requests_.find(frame.exchange());
  if (found == pending_requests_.end()) {
    return;
  }
  const auto pending = std::move(found->second);
  pending_requests_.erase(found);
  pending->done(&frame);
}

}  // namespace rosearch::cell
