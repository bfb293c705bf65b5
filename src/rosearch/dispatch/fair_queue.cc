#include "rosearch/dispatch/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace rosearch::internal {
namespace {

/// What one slot costs a customer of weight 1.
constexpr std::uint64_t kCost = 1U << 20U;

constexpr std::uint32_t Rank(std::uint32_t priority) {
  return std::numeric_limits<std::uint32_t>::max() - priority;
}

}  // namespace

void fair_queue::SetWeight(const customer_id& customer, std::uint32_t weight) {
  auto& line = lines_[customer];
  const auto changed = std::max<std::uint64_t>(1, weight);
  if (!line.places.empty()) {
    waiting_weight_ += changed - line.weight;
  }
  line.weight = changed;
}

void fair_queue::Push(const queue_item& item, bool first) {
  auto& line = lines_[item.customer];
  if (line.places.empty()) {
    // A customer that was idle has no claim to what it did not use meanwhile.
    line.virtual_time = std::max(line.virtual_time, virtual_time_);
    turns_.emplace(line.virtual_time, item.customer);
    waiting_weight_ += line.weight;
  }
  const place where{Rank(item.priority), first ? 0 : arrivals_++, item.ticket};
  line.places.insert(where);
  items_.emplace(item.ticket, position{item, where});
  deadlines_.emplace(item.deadline, item.ticket);
}

void fair_queue::Remove(std::uint64_t ticket) {
  const auto found = items_.find(ticket);
  const auto& item = found->second.item;
  auto& line = lines_[item.customer];
  line.places.erase(found->second.where);
  if (line.places.empty()) {
    turns_.erase({line.virtual_time, item.customer});
    waiting_weight_ -= line.weight;
  }
  deadlines_.erase({item.deadline, ticket});
  items_.erase(found);
}

bool fair_queue::Erase(std::uint64_t ticket) {
  if (!items_.contains(ticket)) {
    return false;
  }
  Remove(ticket);
  return true;
}

std::optional<std::uint64_t> fair_queue::Next() const {
  if (turns_.empty()) {
    return std::nullopt;
  }
  return std::get<2>(*lines_.at(turns_.begin()->second).places.begin());
}

void fair_queue::PopNext() {
  const auto [time, customer] = *turns_.begin();
  auto& line = lines_[customer];
  const auto ticket = std::get<2>(*line.places.begin());
  virtual_time_ = std::max(virtual_time_, time);
  Remove(ticket);
  turns_.erase({time, customer});
  line.virtual_time = time + kCost / line.weight;
  if (!line.places.empty()) {
    turns_.emplace(line.virtual_time, customer);
  }
}

std::optional<std::uint64_t> fair_queue::Expired(time_point now) const {
  if (deadlines_.empty() || deadlines_.begin()->first > now) {
    return std::nullopt;
  }
  return deadlines_.begin()->second;
}

std::size_t fair_queue::SizeOf(const customer_id& customer) const {
  const auto found = lines_.find(customer);
  return found == lines_.end() ? 0 : found->second.places.size();
}

std::uint64_t fair_queue::CountBefore(const std::set<place>& places, std::uint32_t priority) {
  const auto after =
      places.lower_bound({Rank(priority), std::numeric_limits<std::uint64_t>::max(), 0});
  // Nearly all requests of a customer have one priority, and counting them costs time in overload.
  return after == places.end() ? places.size()
                               : static_cast<std::uint64_t>(std::distance(places.begin(), after));
}

std::uint64_t fair_queue::Ahead(const customer_id& customer, std::uint32_t priority) const {
  const auto found = lines_.find(customer);
  const auto weight = found == lines_.end() ? 1 : found->second.weight;
  const bool waits = found != lines_.end() && !found->second.places.empty();
  const auto all_weights = waiting_weight_ + (waits ? 0 : weight);
  const auto own = waits ? CountBefore(found->second.places, priority) : 0;
  // The others take their shares in between, but no more than they have waiting.
  const auto others = items_.size() - (waits ? found->second.places.size() : 0);
  const auto shares = (own + 1) * (all_weights - weight) / weight;
  return own + std::min<std::uint64_t>(others, shares);
}

}  // namespace rosearch::internal
