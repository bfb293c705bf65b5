#include "soak/targets.h"

#include <chrono>

#include "rosearch/capacity/amounts.h"

namespace rosearch::soak {
namespace {

duration Ms(std::uint32_t count) { return std::chrono::milliseconds{count}; }

}  // namespace

bool worker_fake::Live(const task& held, moment now) const {
  return !gone && held.phase == wire::TASK_RUNNING &&
         clock_.At(now) < std::min(held.lease_until, held.ends_at);
}

void worker_fake::Advance(moment now) {
  for (auto& [key, held] : tasks_) {
    if (held.phase == wire::TASK_RUNNING && !Live(held, now)) {
      End(held, held.lease_until < held.ends_at ? wire::TASK_LAPSED : wire::TASK_DONE);
    }
  }
}

void worker_fake::End(task& held, wire::task_phase phase) {
  if (held.phase == wire::TASK_RUNNING) {
    held.phase = phase;
    held.changed = ++version_;
  }
}

void worker_fake::Start(const wire::task_start& start, moment now) {
  const auto key = KeyOf(start.ref());
  auto& held = tasks_[key];
  held = {};
  held.start = start;
  held.changed = ++version_;
  if (now < refuses_until) {
    held.phase = wire::TASK_REFUSED;
    return;
  }
  on_start(start);
  held.lease_until = clock_.At(now) + Ms(start.lease_ms());
  held.ends_at = start.run_ms() == 0 ? kNever : clock_.At(now) + Ms(start.run_ms());
  if (now < fails_until) {
    End(held, wire::TASK_FAILED);
  }
}

wire::worker_report worker_fake::Exchange(const wire::worker_command& command, moment now) {
  Advance(now);
  const auto end_all = [&](const auto& refs, wire::task_phase phase) {
    for (const auto& ref : refs) {
      const auto found = tasks_.find(KeyOf(ref));
      if (found != tasks_.end()) {
        End(found->second, phase);
      }
    }
  };
  end_all(command.stops(), wire::TASK_STOPPED);
  end_all(command.checkpoints(), wire::TASK_CHECKPOINTED);
  for (const auto& ref : command.forgets()) {
    const auto found = tasks_.find(KeyOf(ref));
    if (found != tasks_.end() && found->second.phase != wire::TASK_RUNNING) {
      tasks_.erase(found);
    }
  }
  for (auto& [key, held] : tasks_) {
    if (command.renew_ms() > 0 && held.phase == wire::TASK_RUNNING) {
      held.lease_until = clock_.At(now) + Ms(command.renew_ms());
    }
  }
  for (const auto& start : command.starts()) {
    Start(start, now);
  }
  wire::worker_report report;
  report.set_version(version_);
  report.set_whole(command.since() < first_version_ || command.since() > version_);
  for (const auto& [key, held] : tasks_) {
    if (!report.whole() && held.changed <= command.since()) {
      continue;
    }
    auto& line = *report.add_tasks();
    *line.mutable_ref() = held.start.ref();
    *line.mutable_needs() = held.start.needs();
    line.set_phase(held.phase);
    line.set_started_times(1);
    if (held.phase == wire::TASK_RUNNING) {
      const auto left = held.lease_until - clock_.At(now);
      line.set_lease_left_ms(static_cast<std::uint32_t>(left.count() / kMillisecond));
      line.set_used_memory_mb(held.start.needs().memory_mb() / 2);
    }
  }
  return report;
}

void worker_fake::Replace(moment now) {
  tasks_.clear();
  first_version_ = version_ = std::max(version_, static_cast<std::uint64_t>(now)) + 1;
  frozen_until = fails_until = refuses_until = mute_until = 0;
  gone = false;
}

resources worker_fake::Running(moment now) const {
  resources sum;
  for (const auto& [key, held] : tasks_) {
    sum = Live(held, now) ? sum + internal::FromWire(held.start.needs()) : sum;
  }
  return sum;
}

bool worker_fake::Runs(const std::string& name, moment now) const {
  for (auto at = tasks_.lower_bound({name, 0}); at != tasks_.end() && at->first.task == name;
       ++at) {
    if (Live(at->second, now)) {
      return true;
    }
  }
  return false;
}

}  // namespace rosearch::soak
