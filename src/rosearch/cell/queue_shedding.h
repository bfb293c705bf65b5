#ifndef ROSEARCH_CELL_QUEUE_SHEDDING_H_
#define ROSEARCH_CELL_QUEUE_SHEDDING_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/admission/shed_lease.h"
#include "rosearch/admission/shed_policy.h"
#include "rosearch/cell/shed_offer.h"
#include "rosearch/core/time.h"
#include "rosearch/log/event_line.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::cell {

/// Closes queues whose submissions are all refused, so that the other processes refuse their calls.
/// Connects the decisions of `admission` with the scheduler, the stored state and the ping replies.
/// Times other than those in `sched::instant` are readings of `SuspendAwareNow`.
class queue_shedding {
 public:
  /// @param may_close  whether queues may be closed; records of earlier leaders count in any case.
  /// @param scheduler  of the same leadership; must outlive this object, as must the others.
  queue_shedding(bool may_close, sched::scheduler& scheduler, event_sink& log, metric_set& metrics)
      : may_close_{may_close}, scheduler_{scheduler}, log_{log}, metrics_{metrics} {}

  /// Restores the record of an earlier leader, which the store has fenced before it was read.
  /// @return whether the record belongs here.
  [[nodiscard]] bool Restore(const sched::stored_record& record, time_point now);

  /// @return when the caller may retry, if a new job of a queue must not be accepted now, because
  ///         a process may be refusing calls for the same job.
  [[nodiscard]] std::optional<duration> RefuseNew(std::string_view queue, time_point now) const;
  /// Records how a submission was decided.
  void OnVerdict(const std::string& queue, const sched::submit_answer& verdict, time_point now);
  /// Closes and reopens queues; call with each tick.
  void Update(const sched::instant& now, time_point suspend_aware_now);

  /// @return whether there is a record to store.
  [[nodiscard]] bool HasRecord(time_point now) { return lease_.HasRecord(now); }
  /// Appends the record to a batch, if there is one to store.
  void AddRecord(sched::state_batch& batch, time_point now);
  void OnStored(std::uint64_t batch) { lease_.OnStored(batch); }
  void OnNotStored(std::uint64_t batch) { lease_.OnNotStored(batch); }
  /// Records that the store accepted an append of this leadership.
  void OnStoreConfirmed(time_point asked_at) { lease_.OnStoreConfirmed(asked_at); }
  [[nodiscard]] bool NeedsConfirmation(time_point now) const {
    return lease_.NeedsConfirmation(now);
  }

  /// @return the window to append to ping replies from now on, in place of the former one.
  [[nodiscard]] shed_offer MakeOffer(time_point now);
  /// Records that no window made before the newest one can be sent any more.
  void OnOfferReplaced(time_point now) { lease_.OnReplaced(now); }

 private:
  void Apply(const admission::shed_decision& decision);
  [[nodiscard]] std::string EncodeWindow(const admission::shed_grant& grant) const;
  [[nodiscard]] std::string EncodeFilter(const admission::shed_grant& grant) const;
  [[nodiscard]] duration RetryAfter(const std::string& queue) const;

  bool may_close_;
  sched::scheduler& scheduler_;
  event_sink& log_;
  metric_set& metrics_;
  admission::shed_policy policy_;
  admission::shed_lease lease_;
  std::map<std::string, duration> waits_;  ///< of closed queues: wait until jobs are admitted
  std::uint64_t config_version_{0};        ///< the decisions of `policy_` are based on it
  std::uint64_t filter_version_{0};
  std::shared_ptr<const std::string> filter_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_QUEUE_SHEDDING_H_
