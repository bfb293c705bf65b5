#ifndef ROSEARCH_DISPATCH_FAIR_QUEUE_H_
#define ROSEARCH_DISPATCH_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch::internal {

/// One ticket in its customer's queue.
struct queue_item {
  std::uint64_t ticket{};
  customer_id customer;
  std::uint32_t priority{};
  time_point deadline;

  friend bool operator==(const queue_item&, const queue_item&) = default;
};

/// Requests that wait. Customers get slots in proportion to their weights, whatever the length of
/// their queues; within a customer priority decides, then the order of arrival.
class fair_queue {
 public:
  /// @param weight  share against the other customers; 0 counts as 1.
  void SetWeight(const customer_id& customer, std::uint32_t weight);

  /// @param first  ahead of all others of its customer and priority: a retry has waited already.
  void Push(const queue_item& item, bool first = false);
  /// @return whether the ticket was in the queue.
  bool Erase(std::uint64_t ticket);
  /// @return the ticket whose turn it is.
  [[nodiscard]] std::optional<std::uint64_t> Next() const;
  /// Takes the ticket whose turn it is and counts it for its customer.
  void PopNext();
  /// @return the waiting ticket with the earliest deadline, where that is not after `now`.
  [[nodiscard]] std::optional<std::uint64_t> Expired(time_point now) const;

  [[nodiscard]] std::size_t size() const noexcept { return items_.size(); }
  [[nodiscard]] std::size_t SizeOf(const customer_id& customer) const;
  /// @return how many slots must become free before a new request of this customer has its turn.
  [[nodiscard]] std::uint64_t Ahead(const customer_id& customer, std::uint32_t priority) const;

 private:
  /// Ordered by falling priority, then arrival.
  using place = std::tuple<std::uint32_t, std::uint64_t, std::uint64_t>;
  struct line {
    std::set<place> places;
    std::uint64_t weight{1};
    std::uint64_t virtual_time{};
  };
  struct position {
    queue_item item;
    place where;
  };
  using turn = std::pair<std::uint64_t, customer_id>;

  /// @return how many places a new one of this priority has before it.
  [[nodiscard]] static std::uint64_t CountBefore(const std::set<place>& places,
                                                 std::uint32_t priority);
  void Remove(std::uint64_t ticket);

  std::map<customer_id, line> lines_;
  std::map<std::uint64_t, position> items_;
  std::set<turn> turns_;  ///< customers that wait, by their virtual time
  std::set<std::pair<time_point, std::uint64_t>> deadlines_;
  std::uint64_t virtual_time_{};
  std::uint64_t arrivals_{1};  ///< 0 is for those that go first
  std::uint64_t waiting_weight_{};
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_DISPATCH_FAIR_QUEUE_H_
