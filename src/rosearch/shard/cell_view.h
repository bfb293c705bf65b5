#ifndef ROSEARCH_SHARD_CELL_VIEW_H_
#define ROSEARCH_SHARD_CELL_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/core/shard_term.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// What one entry knows of all shards of the cell, from its peers' heartbeats: lagging, a hint for
/// where to ask and never a right to act.
class cell_view {
 public:
  /// Takes in what an owner says of its shard; a summary of an older term has no effect.
  /// @return whether the shard's term is new: its owner may not know what the one before was asked.
  bool OnSummary(const wire::shard_summary& summary, const region_id& region);

  /// Takes in what one entry's shards have committed for customers.
  void OnUsage(const entry_id& entry, const std::vector<wire::customer_usage>& usage);

  /// An entry is gone: its customers' usage no longer counts.
  void ForgetEntry(const entry_id& entry);

  /// A shard was asked for room: counts until its owner's next summary, so that a burst isn't all
  /// sent to one shard.
  void OnAsked(shard_number shard, const resources& needs);

  /// A shard had no room after all: counts until its owner's next summary.
  void OnRefused(shard_number shard);

  /// @param home    the asking shard, preferred where it has room.
  /// @param region  preferred over others.
  /// @return the shard to ask for room, or none where no shard is known to have any.
  [[nodiscard]] std::optional<shard_number> ChooseFor(const resources& needs, shard_number home,
                                                      const region_id& region,
                                                      const std::set<shard_number>& avoid) const;

  /// @param home    asked first, then those of the region.
  /// @return the shard to ask to preempt others' work, room or none, or none where all known shards
  ///   are to be avoided.
  [[nodiscard]] std::optional<shard_number> ChooseToPreempt(
      shard_number home, const region_id& region, const std::set<shard_number>& avoid) const;

  /// @return shards that may hold such tasks, in ascending order, with how many each.
  [[nodiscard]] std::vector<std::pair<shard_number, std::uint32_t>> RoomFor(
      const resources& needs, const region_id& region) const;

  /// @return the shard whose executors of a service have most free slots, or none that runs it.
  [[nodiscard]] std::optional<shard_number> ChooseSlots(const std::string& service,
                                                        const std::set<shard_number>& avoid) const;

  /// A request was sent to a shard: takes up a slot until its owner's next summary.
  void OnSlotAsked(shard_number shard);

  /// @return what all entries have committed for a customer, as far as known.
  [[nodiscard]] resources UsageOf(const std::string& customer) const;

  /// @param quotas  what each customer may have committed at once; a customer without a row has no
  ///   limit.
  void SetQuotas(std::map<std::string, resources> quotas) { quotas_ = std::move(quotas); }

  /// Usage lags by a heartbeat, so that a burst may pass the quota by what starts in that time.
  /// @return whether so much more would pass the customer's quota.
  [[nodiscard]] bool OverQuota(const std::string& customer, const resources& more) const;

  /// @return the newest term known of a shard; 0: none.
  [[nodiscard]] std::uint64_t TermOf(shard_number shard) const;

 private:
  struct known_shard {
    wire::shard_summary summary;
    region_id region;
    resources largest;
    resources total;
    std::int64_t free_slots{0};
    std::uint64_t term{0};
  };

  std::map<shard_number, known_shard> shards_;
  std::map<entry_id, std::map<std::string, resources>> usage_;
  std::map<std::string, resources> quotas_;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_CELL_VIEW_H_
