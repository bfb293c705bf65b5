#include "testbed/worker_stand_in.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "rosearch/platform/clock.h"
#include "rosearch/platform/json.h"
#include "testbed/stand_in.h"

namespace rosearch::testbed {
namespace {

namespace json = boost::json;

/// Usage reports lag: a task shows none until it has run so long.
constexpr duration kUsageLag = std::chrono::seconds{1};

/// A throttled task needs so many times its remaining run time.
constexpr int kThrottleFactor = 2;

resources ToResources(const wire::resource_amounts& amounts) {
  return {amounts.processors_milli(), amounts.memory_mb(), amounts.accelerators()};
}

json::object ToObject(const resources& amounts) {
  return {{"processors_milli", amounts.processors_milli},
          {"memory_mb", amounts.memory_mb},
          {"accelerators", amounts.accelerators}};
}

resources Most(const resources& a, const resources& b) {
  return {std::max(a.processors_milli, b.processors_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

/// Versions of a restarted worker exceed all those of its predecessor, so that a reader's old
/// version can't pass for one of the new process.
std::uint64_t FirstVersion() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

std::uint32_t Share(std::uint32_t whole, std::uint64_t percent) {
  return static_cast<std::uint32_t>(whole * percent / 100);
}

duration Milliseconds(std::uint32_t count) { return std::chrono::milliseconds{count}; }

}  // namespace

worker_stand_in::worker_stand_in(boost::asio::io_context& /*io*/, const fault_settings& fault,
                                 const resources& holds)
    : fault_{fault}, holds_{holds}, first_version_{FirstVersion()}, version_{first_version_} {}

void worker_stand_in::Handle(const server_request& request, const respond_function& respond) {
  const auto now = SteadyNow();
  Advance(now);
  if (request.path == "/starts") {
    respond({.body = Starts()});
    return;
  }
  if (request.path != "/v1/exchange") {
    respond(NotFound());
    return;
  }
  const auto parsed = FromJson<wire::worker_command>(request.body);
  if (parsed.has_error()) {
    respond(BadRequest(parsed.error().detail));
    return;
  }
  const auto& command = parsed.value();
  EndAll(command.stops(), wire::TASK_STOPPED);
  EndAll(command.checkpoints(), wire::TASK_CHECKPOINTED);
  Throttle(command, now);
  for (const auto& ref : command.forgets()) {
    const auto found = tasks_.find({ref.task(), ref.attempt()});
    if (found != tasks_.end() && found->second.phase != wire::TASK_RUNNING) {
      tasks_.erase(found);
    }
  }
  for (auto& [key, task] : tasks_) {
    if (command.renew_ms() > 0 && task.phase == wire::TASK_RUNNING) {
      task.lease_until = now + Milliseconds(command.renew_ms());
    }
  }
  for (const auto& start : command.starts()) {
    Start(start, now);
  }
  respond({.body = ToJson(Report(command.since(), now))});
}

void worker_stand_in::Advance(time_point now) {
  for (auto& [key, task] : tasks_) {
    if (task.phase != wire::TASK_RUNNING || std::min(task.ends_at, task.lease_until) > now) {
      continue;
    }
    if (task.lease_until < task.ends_at) {
      End(task, wire::TASK_LAPSED);
    } else {
      End(task, task.start.payload() == kFailPayload ? wire::TASK_FAILED : wire::TASK_DONE);
    }
  }
}

void worker_stand_in::Start(const wire::task_start& start, time_point now) {
  const bool runs_already = std::ranges::any_of(tasks_, [&](const auto& held) {
    return held.first.task == start.ref().task() && held.second.phase == wire::TASK_RUNNING;
  });
  doubled_ += runs_already ? 1 : 0;
  const task_key key{start.ref().task(), start.ref().attempt()};
  journal_.push_back({key, now});
  auto& task = tasks_[key];
  task.start = start;
  task.phase = wire::TASK_RUNNING;
  task.started = now;
  task.ends_at = start.run_ms() == 0 ? kNever : now + Milliseconds(start.run_ms());
  task.lease_until = now + Milliseconds(start.lease_ms());
  task.changed = ++version_;
  ++task.started_times;
  CountUse();
  if (fault_.fail_all) {
    End(task, wire::TASK_FAILED);
  }
}

void worker_stand_in::End(held_task& task, wire::task_phase phase) {
  task.phase = phase;
  task.changed = ++version_;
}

void worker_stand_in::EndAll(const google::protobuf::RepeatedPtrField<wire::task_ref>& refs,
                             wire::task_phase phase) {
  for (const auto& ref : refs) {
    const auto found = tasks_.find({ref.task(), ref.attempt()});
    if (found != tasks_.end() && found->second.phase == wire::TASK_RUNNING) {
      End(found->second, phase);
    }
  }
}

void worker_stand_in::Throttle(const wire::worker_command& command, time_point now) {
  for (const auto& ref : command.throttles()) {
    const auto found = tasks_.find({ref.task(), ref.attempt()});
    if (found != tasks_.end() && found->second.ends_at != kNever) {
      auto& task = found->second;
      task.ends_at = now + (task.ends_at - now) * kThrottleFactor;
    }
  }
}

void worker_stand_in::CountUse() {
  const auto used = Used();
  used_peak_ = Most(used_peak_, used);
  overcommitted_starts_ += used.FitsIn(holds_) ? 0 : 1;
}

resources worker_stand_in::Used() const {
  resources used;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == wire::TASK_RUNNING) {
      used = used + ToResources(task.start.needs());
    }
  }
  return used;
}

std::uint64_t worker_stand_in::Running() const {
  return static_cast<std::uint64_t>(std::ranges::count_if(
      tasks_, [](const auto& held) { return held.second.phase == wire::TASK_RUNNING; }));
}

wire::worker_report worker_stand_in::Report(std::uint64_t since, time_point now) const {
  wire::worker_report report;
  report.set_version(version_);
  report.set_whole(since < first_version_ || since > version_);
  for (const auto& [key, task] : tasks_) {
    if (!report.whole() && task.changed <= since) {
      continue;
    }
    auto& line = *report.add_tasks();
    *line.mutable_ref() = task.start.ref();
    line.set_phase(task.phase);
    *line.mutable_needs() = task.start.needs();
    line.set_started_times(task.started_times);
    if (task.phase == wire::TASK_DONE) {
      line.set_result(task.start.payload());
    }
    if (task.phase != wire::TASK_RUNNING) {
      continue;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(task.lease_until - now);
    line.set_lease_left_ms(static_cast<std::uint32_t>(left.count()));
    if (now - task.started >= kUsageLag) {
      line.set_used_memory_mb(Share(task.start.needs().memory_mb(), fault_.usage_percent));
      line.set_used_processors_milli(
          Share(task.start.needs().processors_milli(), fault_.usage_percent));
    }
  }
  return report;
}

std::string worker_stand_in::Starts() const {
  json::array starts;
  for (const auto& entry : journal_) {
    starts.push_back(json::object{{"task", entry.key.task},
                                  {"attempt", entry.key.attempt},
                                  {"at_us", entry.at.time_since_epoch().count()}});
  }
  return json::serialize(json::object{{"starts", std::move(starts)}});
}

std::string worker_stand_in::Stats() {
  Advance(SteadyNow());
  const auto beyond = Most(used_peak_ - holds_, resources{});
  return json::serialize(json::object{
      {"starts", journal_.size()},
      {"doubled", doubled_},
      {"overcommitted_starts", overcommitted_starts_},
      {"overcommitted_peak", ToObject(beyond)},
      {"used_peak", ToObject(used_peak_)},
      {"running", Running()},
  });
}

}  // namespace rosearch::testbed
