#include "rosearch/shard/replica_feed.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosearch {
namespace {

/// After this long without an acknowledgement the receiver is sent the same records again.
constexpr duration kResendAfter = std::chrono::milliseconds{300};

}  // namespace

void replica_feed::Start(time_point now) {
  running_ = true;
  in_step_ = false;
  send_snapshot_ = true;
  acked_ = 0;
  resend_at_ = now;
}

void replica_feed::Stop() {
  running_ = false;
  in_step_ = false;
  send_snapshot_ = false;
  resend_at_ = kNever;
}

replica_feed::step replica_feed::Next(std::uint64_t sequence, time_point now) {
  if (!running_) {
    return {};
  }
  if (now >= resend_at_ && (!in_step_ || acked_ < sent_)) {
    // The records or their acknowledgement were lost: without this the shard would accept no more
    // work until its next epoch.
    sent_ = acked_;
    send_snapshot_ = !in_step_;
  }
  step due{.snapshot = std::exchange(send_snapshot_, false)};
  if (due.snapshot) {
    snapshot_at_ = sent_ = sequence;
  }
  due.first = sent_ + 1;
  due.last = sequence;
  if (due.snapshot || due.HasRecords()) {
    resend_at_ = now + kResendAfter;
  }
  sent_ = std::max(sent_, sequence);
  return due;
}

void replica_feed::OnAck(const wire::replicate_ack& ack, std::uint64_t sequence, time_point now) {
  if (!running_ || ack.superseded()) {
    return;
  }
  if (ack.send_snapshot()) {
    in_step_ = false;
    send_snapshot_ = true;
    return;
  }
  if (ack.last_sequence() > sequence) {
    return;
  }
  in_step_ = in_step_ || ack.last_sequence() >= snapshot_at_;
  acked_ = std::max(acked_, ack.last_sequence());
  resend_at_ = acked_ < sent_ ? now + kResendAfter : kNever;
}

}  // namespace rosearch
