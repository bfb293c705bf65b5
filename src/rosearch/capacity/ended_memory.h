#ifndef ROSEARCH_CAPACITY_ENDED_MEMORY_H_
#define ROSEARCH_CAPACITY_ENDED_MEMORY_H_

#include <map>
#include <vector>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// How one attempt ended, kept so that a late duplicate never starts it again.
struct ended_attempt {
  wire::place_event event;
  bool journaled{};       ///< a `placement_ended` must follow the acknowledgement
  bool home_known{true};  ///< false: nobody to tell yet
  bool acknowledged{};
  time_point forget_after{};  ///< no duplicate of its start arrives later
  time_point send_at{};       ///< the event is sent again
  time_point drop_at{kNever};
};

/// The attempts that ended here: until acknowledged, then for a while.
class ended_memory {
 public:
  /// Keeps an end. The first word on an attempt stands: a second one is dropped.
  void Add(const attempt_key& key, ended_attempt&& added);
  /// @return the end, valid until the next change, or null.
  [[nodiscard]] ended_attempt* Find(const attempt_key& key);
  /// @return the events to send at `now`; each is due again after `retry`. Drops what is too old.
  [[nodiscard]] std::vector<wire::place_event> Due(time_point now, duration retry);
  void clear() noexcept { ended_.clear(); }
  [[nodiscard]] std::size_t size() const noexcept { return ended_.size(); }

 private:
  std::map<attempt_key, ended_attempt> ended_;
};

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_ENDED_MEMORY_H_
