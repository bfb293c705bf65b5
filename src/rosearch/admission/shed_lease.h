#ifndef ROSEARCH_ADMISSION_SHED_LEASE_H_
#define ROSEARCH_ADMISSION_SHED_LEASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/admission/shed_window.h"
#include "rosearch/core/time.h"

namespace rosearch::admission {

/// A queue of which windows may be valid, as the store keeps it for the next leader.
struct shed_record {
  std::string queue;
  std::uint64_t config_version{0};  ///< of the configuration that defines the queue

  friend bool operator==(const shed_record&, const shed_record&) = default;
};

/// Permission to send a window to entries.
struct shed_grant {
  std::uint64_t version{0};           ///< 0: no window may be sent
  std::vector<std::string> queues{};  ///< the closed queues
  time_point send_until{};            ///< the window may be attached only to replies before this

  friend bool operator==(const shed_grant&, const shed_grant&) = default;
};

/// Tells which windows a leader may send, and how long it must accept no new job of a queue: until
/// the last window with this queue has certainly expired at every entry. Addresses refusals by
/// entries, which must be true for the job although the leader is not asked.
///
/// The bounds hold without synchronized clocks. An entry counts the validity of a window from when
/// it sent the ping, which precedes the leader's reply. A leader sends windows only for
/// `kConfirmationValidity` after it sent an append that the store accepted. The store accepts none
/// of them after the fence of a successor, so the windows expire within `kTakeoverHold` of that
/// fence. All times are readings of a clock that also runs while the machine is suspended.
class shed_lease {
 public:
  /// Closes a queue: from now on the leader must accept no new job of it. Ignored while windows of
  /// another version of the configuration may be valid.
  /// @param config_version  version of the configuration that defines the queue.
  void Close(const std::string& queue, std::uint64_t config_version);
  /// Sends no more windows with a queue.
  void Reopen(const std::string& queue);
  /// Sends no more windows.
  void ReopenAll();
  /// Restores the stored record of an earlier leader.
  /// @param now  a time after the store has fenced the earlier leaders.
  void Restore(const std::vector<shed_record>& queues, time_point now);

  /// @param config_version  version of the configuration that assigns the job to the queue. Under
  ///                        another version an id may have belonged to another queue, so then any
  ///                        held queue holds the job.
  /// @return whether a new job of a queue must not be accepted.
  [[nodiscard]] bool IsHeld(std::string_view queue, std::uint64_t config_version,
                            time_point now) const;
  [[nodiscard]] bool IsClosed(std::string_view queue) const;
  [[nodiscard]] bool HasClosedQueues() const;

  /// @return whether the record in the store has to be replaced.
  [[nodiscard]] bool HasRecord(time_point now);
  /// @param batch  number of the batch that contains the record; higher than all earlier ones.
  /// @return the queues that the record must name.
  [[nodiscard]] std::vector<shed_record> TakeRecord(std::uint64_t batch);
  void OnStored(std::uint64_t batch);
  /// Records that a batch is certainly not stored.
  void OnNotStored(std::uint64_t batch);
  /// Records that the store accepted an append of this leadership.
  /// @param asked_at  when the append was sent for the first time.
  void OnStoreConfirmed(time_point asked_at);
  /// @return whether the store should be asked to accept an append soon, so that windows can be
  ///         sent without a gap.
  [[nodiscard]] bool NeedsConfirmation(time_point now) const;

  /// Grants the window to send from now on, in place of the former one.
  [[nodiscard]] shed_grant Grant(time_point now);
  /// Records that no window granted before the newest one can be sent any more.
  void OnReplaced(time_point now);

  /// A granted window may be sent for this long; it spans a few ticks of a leader's event loop.
  static constexpr duration kSendValidity = std::chrono::milliseconds{400};
  /// Longer than a slow append takes, so that each append still permits windows for a while.
  static constexpr duration kConfirmationValidity = std::chrono::milliseconds{600};
  /// Allows for clocks of different processes that run at slightly different rates.
  static constexpr duration kClockMargin = std::chrono::milliseconds{50};
  static constexpr duration kTakeoverHold = kConfirmationValidity + kWindowValidity + kClockMargin;

 private:
  struct held_queue {
    std::uint64_t config_version{0};
    bool closed{false};
    bool recorded{false};     ///< the store has a record that names it
    std::uint64_t batch{0};   ///< the first batch with a record that names it; 0: none yet
    time_point held_until{};  ///< expiry of the last window that may have been sent
    bool restored{false};     ///< an earlier leader may have sent windows
    bool granted{false};      ///< the newest grant names it
  };
  [[nodiscard]] static bool Holds(const held_queue& queue, time_point now) {
    return queue.closed || now < queue.held_until;
  }

  std::map<std::string, held_queue, std::less<>> queues_;
  bool dirty_{false};              ///< the newest record does not name exactly these queues
  std::uint64_t record_batch_{0};  ///< batch with the newest record
  std::uint64_t version_{1};
  time_point confirmed_at_{};
};

}  // namespace rosearch::admission

#endif  // ROSEARCH_ADMISSION_SHED_LEASE_H_
