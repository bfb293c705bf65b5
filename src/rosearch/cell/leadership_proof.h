#ifndef ROSEARCH_CELL_LEADERSHIP_PROOF_H_
#define ROSEARCH_CELL_LEADERSHIP_PROOF_H_

#include <map>
#include <string>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// Timeouts of a `leadership_proof`.
struct leadership_proof_settings {
  /// Max age of a proof. Shorter than `former_leader_send_margin` by the time that an order may
  /// take to arrive.
  duration timeout{std::chrono::milliseconds{1'500}};
  /// Max time for which a majority of the processes stands in for news of the claims, as while the
  /// store is unavailable to all of them.
  duration max_unconfirmed{std::chrono::seconds{10}};
  /// A process that has been silent for this long is no longer expected to vouch, if the store
  /// held no newer claim after that time. A silent process may have claimed instead.
  duration voter_timeout{std::chrono::seconds{60}};

  friend bool operator==(const leadership_proof_settings&,
                         const leadership_proof_settings&) = default;
};

/// Tells a leader whether a newer one may have begun to act.
///
/// Every fact is dated by the moment at which it was certainly true, on the leader's clock, and not
/// by its arrival. A follower that reaches neither the store nor the other processes goes on
/// following a leader that was replaced long ago, so its pings alone prove little.
///
/// A newer leader exists only if its claim is stored. That none was stored up to a date is proven
/// by the store's answers, passed on by peers or not, and by all processes together: none of them
/// had claimed. A majority of the processes doesn't prove it, but a claimer that can't rule out
/// that a majority follows its predecessor waits for longer than `max_unconfirmed`, see
/// `predecessor_watch`. All processes are those that the leader knew when it began and those that
/// it has heard since.
class leadership_proof {
 public:
  explicit leadership_proof(const leadership_proof_settings& settings = {}) : settings_{settings} {}

  /// Records that the store held no newer claim at a date.
  void OnNoNewerClaim(time_point at);
  /// Records a ping of a process that follows this leader or none.
  /// @param heard_at  date of the leader's newest answer that it had received and that it follows;
  ///                  zero: none.
  void OnPing(const std::string& process, time_point heard_at, time_point now);
  /// Records a process that may claim leadership and that the leader hasn't heard yet.
  void Expect(const std::string& process, time_point now);
  /// Forgets all dates, as after a time in which the leader's clock may have stood still.
  void Discard();

  /// @return whether the leader may act.
  [[nodiscard]] bool Holds(time_point now) const;
  /// @return the date up to which no newer claim was stored.
  [[nodiscard]] time_point ProvenAt() const;
  /// @return the date up to which the store is known to have held no newer claim.
  [[nodiscard]] time_point NoNewerClaimAt() const { return no_newer_claim_at_; }

 private:
  /// A process that could claim leadership.
  struct voter {
    time_point heard_at{};  ///< it had not claimed when it received the leader's answer of then
    time_point seen_at{};   ///< arrival of its last ping
  };

  [[nodiscard]] bool IsExpected(const voter& process) const {
    return no_newer_claim_at_ - process.seen_at < settings_.voter_timeout;
  }
  /// @return whether more than half of the processes, the leader included, vouch for the leader.
  [[nodiscard]] bool HasMajority(time_point now) const;

  leadership_proof_settings settings_;
  time_point no_newer_claim_at_{};
  std::map<std::string, voter> voters_;  ///< by address, without the leader
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_LEADERSHIP_PROOF_H_
