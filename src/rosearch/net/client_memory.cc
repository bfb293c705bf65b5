#include "rosearch/net/client_memory.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rosearch {
namespace {

/// Of the limit, what is freed at once when it is reached: each search visits all connections.
constexpr std::size_t kFreedShare = 8;
/// Requests whose calls cost no more find room when those of larger ones don't.
constexpr std::size_t kSmallCallBytes = 64U << 10U;
/// Answers that find room always: they cost no more than their connection.
constexpr std::size_t kSmallAnswerBytes = 4096;

void CallAll(const std::vector<std::function<void()>>& calls) {
  for (const auto& each : calls) {
    each();
  }
}

}  // namespace

std::string_view ToText(client_refusal reason) noexcept {
  constexpr std::array<std::string_view, kClientRefusals> kNames{
      "memory", "calls", "gave_way", "head_too_large", "body_too_large", "framing", "malformed"};
  return kNames.at(static_cast<std::size_t>(reason));
}

bool client_memory::ShedOne(const void* server, time_point now) {
  std::function<void()> shed;
  {
    const std::scoped_lock lock{mutex_};
    const auto candidates = CandidatesLocked(server, now);
    const auto worst = std::ranges::max_element(candidates, {}, &candidate::weight);
    if (worst == candidates.end()) {
      return false;
    }
    shed = LeaveLocked(*worst->which);
    ++refused_[static_cast<std::size_t>(client_refusal::kConnections)];
  }
  shed();
  return true;
}

void client_memory::Count(client_refusal reason) {
  const std::scoped_lock lock{mutex_};
  ++refused_[static_cast<std::size_t>(reason)];
}

client_memory_figures client_memory::Figures() const {
  const std::scoped_lock lock{mutex_};
  return {limit_, held_, calls_, shares_.size(), refused_};
}

std::vector<client_memory::candidate> client_memory::CandidatesLocked(const void* server,
                                                                      time_point now) const {
  std::vector<candidate> found;
  for (auto* const each : shares_) {
    if (each->is_call_ || each->leaving_ || each->since_ > now ||
        (server != nullptr && each->server_ != server)) {
      continue;
    }
    const std::chrono::duration<double> age = now - each->since_;
    const double weight = static_cast<double>(each->bytes_) * age.count();
    found.push_back({each->finished_ ? std::numeric_limits<double>::max() : weight, each});
  }
  return found;
}

std::function<void()> client_memory::LeaveLocked(share& which) {
  which.leaving_ = true;
  leaving_ += which.bytes_;
  return which.shed_;
}

std::vector<std::function<void()>> client_memory::MakeRoomLocked(time_point now) {
  std::vector<std::function<void()>> shed;
  if (!IsFullLocked()) {
    return shed;
  }
  auto candidates = CandidatesLocked(nullptr, now);
  std::ranges::sort(candidates, std::greater{}, &candidate::weight);
  for (const auto& each : candidates) {
    if (held_ - leaving_ <= limit_ - limit_ / kFreedShare) {
      break;
    }
    shed.push_back(LeaveLocked(*each.which));
    ++refused_[static_cast<std::size_t>(client_refusal::kMemory)];
  }
  return shed;
}

client_memory::share::share(std::shared_ptr<client_memory> account, const void* server,
                            std::function<void()> shed)
    : account_{std::move(account)}, server_{server}, shed_{std::move(shed)} {
  const std::scoped_lock lock{account_->mutex_};
  account_->shares_.insert(this);
}

client_memory::share::~share() {
  const std::scoped_lock lock{account_->mutex_};
  EnterLocked(0, false);
  account_->shares_.erase(this);
}

void client_memory::share::EnterLocked(std::size_t bytes, bool is_call) {
  account_->held_ += bytes - bytes_;
  account_->leaving_ += leaving_ ? bytes - bytes_ : 0;
  account_->calls_ -= is_call_ ? bytes_ : 0;
  account_->calls_ += is_call ? bytes : 0;
  bytes_ = bytes;
  is_call_ = is_call;
}

bool client_memory::share::Hold(std::size_t bytes, time_point since, time_point now) {
  std::vector<std::function<void()>> shed;
  bool stays = false;
  {
    const std::scoped_lock lock{account_->mutex_};
    EnterLocked(bytes, false);
    since_ = since;
    shed = account_->MakeRoomLocked(now);
    stays = !leaving_;
  }
  CallAll(shed);
  return stays;
}

bool client_memory::share::BeginCall(std::size_t bytes, time_point now) {
  std::vector<std::function<void()>> shed;
  {
    const std::scoped_lock lock{account_->mutex_};
    const auto room =
        bytes <= kSmallCallBytes ? account_->limit_ - account_->limit_ / 4 : account_->limit_ / 2;
    // The largest request is served in calm, however small the memory is.
    if (leaving_ || (account_->calls_ > 0 && account_->calls_ + bytes > room)) {
      return false;
    }
    EnterLocked(bytes, true);
    shed = account_->MakeRoomLocked(now);
  }
  CallAll(shed);
  return true;
}

void client_memory::share::HoldAnswer(std::size_t bytes, time_point shed_from, time_point now) {
  std::vector<std::function<void()>> shed;
  {
    const std::scoped_lock lock{account_->mutex_};
    EnterLocked(bytes, false);
    since_ = shed_from;
    shed = account_->MakeRoomLocked(now);
  }
  CallAll(shed);
}

bool client_memory::share::HasRoomForAnswer(std::size_t bytes) const {
  const std::scoped_lock lock{account_->mutex_};
  return bytes <= kSmallAnswerBytes ||
         account_->held_ - account_->leaving_ + bytes <= account_->limit_;
}

void client_memory::share::Finish(std::size_t bytes, time_point now) {
  const std::scoped_lock lock{account_->mutex_};
  EnterLocked(bytes, false);
  // It was told to go, and stays until its client has read that: its bytes count again.
  account_->leaving_ -= std::exchange(leaving_, false) ? bytes_ : 0;
  since_ = now;
  finished_ = true;
}

}  // namespace rosearch
