#include "rosearch/shard/replica_search.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosearch {
namespace {

/// An entry that doesn't answer is asked again after this.
constexpr duration kAskAgain = std::chrono::milliseconds{300};

/// An entry that is still listed but silent is waited for so long: it may be about to wake up, and
/// the shard pauses meanwhile.
constexpr duration kSearchWait = std::chrono::seconds{5};

/// Added while nobody at all answers: then this entry is probably cut off itself, and the others
/// have what it misses. Lost entries leave the list sooner.
constexpr duration kIsolatedWait = std::chrono::seconds{25};

}  // namespace

void replica_search::Start(std::uint64_t number, time_point now) {
  number_ = number;
  wait_until_ = now + kSearchWait;
  ask_at_ = now;
  answered_.clear();
  best_.reset();
}

std::vector<party> replica_search::TakeDue(time_point now) {
  std::vector<party> due;
  if (now < ask_at_ || IsDone(now)) {
    return due;
  }
  ask_at_ = now + kAskAgain;
  std::ranges::copy_if(sources_, std::back_inserter(due),
                       [this](const party& who) { return !answered_.contains(who); });
  return due;
}

void replica_search::OnAnswer(const party& from, const wire::replica_answer& answer,
                              time_point now) {
  if (answer.search() != number_) {
    return;
  }
  if (answered_.empty()) {
    wait_until_ = std::max(wait_until_, now + kSearchWait);
  }
  answered_.insert(from);
  const auto version = VersionOf(answer);
  if (!answer.has_state() || (best_ && version <= best_->version)) {
    return;
  }
  best_.emplace(found_replica{version, {}});
  best_->state.Load(answer.state());
  best_holder_ = from;
}

bool replica_search::IsDone(time_point now) const {
  const auto until = answered_.empty() ? wait_until_ + kIsolatedWait : wait_until_;
  return now >= until || Missing() == 0;
}

std::size_t replica_search::Missing() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      sources_, [this](const party& who) { return !answered_.contains(who); }));
}

}  // namespace rosearch
