#ifndef SOAK_TARGETS_H_
#define SOAK_TARGETS_H_

#include <functional>
#include <map>
#include <string>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/core/resources.h"
#include "rosearch/wire/platform.pb.h"
#include "soak/timeline.h"

namespace rosearch::soak {

/// A worker VM without a guard: starts whatever it is sent, under leases by its own clock.
class worker_fake {
 public:
  struct task {
    wire::task_start start;
    wire::task_phase phase{wire::TASK_RUNNING};
    time_point lease_until;
    time_point ends_at{kNever};
    std::uint64_t changed{0};
  };

  worker_fake(drifting_clock clock, resources holds) : clock_{clock}, holds_{holds} {}

  /// Called with each start, before it counts as running.
  std::function<void(const wire::task_start&)> on_start;

  [[nodiscard]] wire::worker_report Exchange(const wire::worker_command& command, moment now);
  /// Another VM of the same name takes its place; its reports begin above all former versions.
  void Replace(moment now);

  [[nodiscard]] resources Running(moment now) const;
  [[nodiscard]] bool Runs(const std::string& name, moment now) const;

  moment frozen_until{0};
  moment fails_until{0};    ///< fails everything that it starts
  moment refuses_until{0};  ///< starts nothing and says so
  moment mute_until{0};     ///< answers are lost
  bool gone{false};

 private:
  [[nodiscard]] bool Live(const task& held, moment now) const;
  void Advance(moment now);
  void Start(const wire::task_start& start, moment now);
  void End(task& held, wire::task_phase phase);

  drifting_clock clock_;
  resources holds_;
  std::uint64_t first_version_{1};
  std::uint64_t version_{1};
  std::map<attempt_key, task> tasks_;
};

/// An executor VM; runs what it is sent.
struct executor_fake {
  moment frozen_until{0};
  moment slow_until{0};
  moment refuses_until{0};
  moment mute_until{0};
  bool gone{false};
};

}  // namespace rosearch::soak

#endif  // SOAK_TARGETS_H_
