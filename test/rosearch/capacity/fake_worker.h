#ifndef ROSEARCH_TEST_CAPACITY_FAKE_WORKER_H_
#define ROSEARCH_TEST_CAPACITY_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "rosearch/capacity/amounts.h"
#include "rosearch/capacity/attempt_key.h"
#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch::test {

/// A worker without a guard: starts whatever it is sent, under leases by its own clock.
class fake_worker {
 public:
  struct task {
    wire::task_report report;
    time_point lease_until;
    time_point ends_at{kNever};
    std::uint64_t changed{};
  };

  /// @param rate  how fast its clock goes.
  fake_worker(resources holds, double rate, std::uint64_t version)
      : holds_{holds}, rate_{rate}, version_{version} {}

  /// Called with each attempt that it starts.
  std::function<void(const attempt_key&)> on_start;

  wire::worker_report Exchange(const wire::worker_command& command, time_point now) {
    Advance(now);
    for (const auto& ref : command.stops()) End(KeyOf(ref), wire::TASK_STOPPED);
    for (const auto& ref : command.checkpoints()) {
      if (!never_checkpoints) End(KeyOf(ref), wire::TASK_CHECKPOINTED);
    }
    for (const auto& ref : command.forgets()) tasks_.erase(KeyOf(ref));
    for (auto& [key, held] : tasks_) {
      if (command.renew_ms() > 0) held.lease_until = Own(now) + Ms(command.renew_ms());
    }
    for (const auto& start : command.starts()) Start(start, now);
    wire::worker_report report;
    report.set_version(version_);
    report.set_whole(command.since() == 0);
    for (const auto& [key, held] : tasks_) {
      if (command.since() == 0 || held.changed > command.since()) {
        *report.add_tasks() = held.report;
      }
    }
    return report;
  }

  /// Ends what lapsed or finished by `now`.
  void Advance(time_point now) {
    for (auto& [key, held] : tasks_) {
      if (Own(now) >= held.lease_until) End(key, wire::TASK_LAPSED);
      if (Own(now) >= held.ends_at) End(key, broken ? wire::TASK_FAILED : wire::TASK_DONE);
    }
  }

  [[nodiscard]] resources Running() const {
    resources sum;
    for (const auto& [key, held] : tasks_) {
      if (Runs(held)) sum = sum + internal::FromWire(held.report.needs());
    }
    return sum;
  }
  /// @return how many attempts of the task run.
  [[nodiscard]] int RunningOf(const std::string& name) const {
    int count = 0;
    for (const auto& [key, held] : tasks_) count += key.task == name && Runs(held) ? 1 : 0;
    return count;
  }
  [[nodiscard]] const resources& holds() const noexcept { return holds_; }

  bool broken{};             ///< fails what it runs
  bool refuses{};            ///< starts nothing
  bool never_checkpoints{};  ///< goes on until it is stopped
  int stretch{1};            ///< tasks run so many times as long as declared

 private:
  static duration Ms(std::uint32_t count) { return std::chrono::milliseconds{count}; }
  static bool Runs(const task& held) { return held.report.phase() == wire::TASK_RUNNING; }
  [[nodiscard]] time_point Own(time_point now) const {
    return time_point{duration{
        static_cast<duration::rep>(static_cast<double>(now.time_since_epoch().count()) * rate_)}};
  }

  void Start(const wire::task_start& start, time_point now) {
    const auto key = KeyOf(start.ref());
    if (tasks_.contains(key)) return;
    auto& held = tasks_[key];
    *held.report.mutable_ref() = start.ref();
    *held.report.mutable_needs() = start.needs();
    held.report.set_phase(refuses ? wire::TASK_REFUSED : wire::TASK_RUNNING);
    held.changed = ++version_;
    held.lease_until = Own(now) + Ms(start.lease_ms());
    if (start.run_ms() > 0) held.ends_at = Own(now) + Ms(start.run_ms()) * stretch;
    if (!refuses && on_start) on_start(key);
  }

  void End(const attempt_key& key, wire::task_phase phase) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || !Runs(found->second)) return;
    found->second.report.set_phase(phase);
    found->second.changed = ++version_;
  }

  resources holds_;
  double rate_;
  std::uint64_t version_;
  std::map<attempt_key, task> tasks_;
};

}  // namespace rosearch::test

#endif  // ROSEARCH_TEST_CAPACITY_FAKE_WORKER_H_
