#ifndef ROSEARCH_ADMISSION_SHED_TABLE_H_
#define ROSEARCH_ADMISSION_SHED_TABLE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "rosearch/admission/id_filter.h"
#include "rosearch/admission/shed_window.h"
#include "rosearch/core/time.h"

namespace rosearch::admission {

/// A submission as an entry sees it before it forwards it.
struct shed_call {
  std::string_view host;  ///< in lower case, without a port
  std::string_view path;
  bool has_key{false};
};

/// The newest shed window that an entry has received. Addresses bursts in which every entry
/// forwards calls that the leader refuses. Times are readings of a clock that also runs while the
/// machine is suspended, because a window must not outlast the leader's promise.
class shed_table {
 public:
  /// Records the window of a ping reply. A window of a lower epoch, and one whose ping was sent
  /// before that of the current window, are ignored.
  /// @param filter    ids of the jobs that the leader knows; null if the reply had none, as the
  ///                  ping named the version of the filter that is held here.
  /// @param asked_at  when the ping was sent.
  void Apply(shed_window window, const id_filter* filter, time_point asked_at);

  /// @return the version of the filter of an epoch; 0 if there is none.
  [[nodiscard]] std::uint64_t FilterVersion(std::uint64_t epoch) const;
  /// @return whether a window with a closed queue is valid.
  [[nodiscard]] bool HasWindow(time_point now) const;
  /// @return how long the caller must wait before a retry, if a submission must be refused: its
  ///         queue is closed and the leader doesn't know its job. Differs between jobs, so that
  ///         their callers don't all retry together.
  [[nodiscard]] std::optional<duration> RetryTime(const shed_call& call, time_point now) const;

 private:
  [[nodiscard]] const shed_queue* Match(const shed_call& call) const;

  shed_window window_;
  time_point asked_at_{};
  std::optional<id_filter> filter_;
  std::uint64_t filter_version_{0};  ///< version of the window that `filter_` belongs to
};

}  // namespace rosearch::admission

#endif  // ROSEARCH_ADMISSION_SHED_TABLE_H_
