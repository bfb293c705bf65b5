#include "rosearch/placement/vm_health.h"

#include <algorithm>

namespace rosearch {

vm_health::job_record& vm_health::JobOf(const std::string& job) {
  const auto [found, added] = jobs_.try_emplace(job);
  if (added) {
    job_order_.push_back(job);
  }
  if (job_order_.size() > settings_.known_jobs) {
    jobs_.erase(job_order_.front());
    job_order_.pop_front();
  }
  return jobs_[job];
}

bool vm_health::IsJobsFault(const job_record& job) const {
  return !job.succeeded && job.failed_on.size() >= settings_.job_vms;
}

void vm_health::DropOldest(record& entry) {
  --samples_;
  failures_ -= entry.window.front().failed ? 1 : 0;
  entry.window.pop_front();
}

void vm_health::AddSample(record& entry, const std::string& job, bool failed) {
  entry.window.push_back({job, failed});
  ++samples_;
  failures_ += failed ? 1 : 0;
  if (entry.window.size() > settings_.window) {
    DropOldest(entry);
  }
}

bool vm_health::IsBad(const record& entry) const {
  std::set<std::string> jobs;
  std::uint64_t failed = 0;
  for (const auto& each : entry.window) {
    if (each.failed) {
      ++failed;
      jobs.insert(each.job);
    }
  }
  const auto total = entry.window.size();
  if (failed < settings_.least_failures || jobs.size() < settings_.least_jobs ||
      failed * 100 < total * settings_.failed_percent) {
    return false;
  }
  // Where peers fail as often, the cause is not this VM, and pausing it would only shift the work.
  const auto peers = samples_ - total;
  const auto peers_failed = failures_ - failed;
  return failed * peers >= settings_.times_peers * peers_failed * total;
}

void vm_health::Suspect(const vm_id& vm, record& entry, time_point now) {
  entry.pause = entry.pause == duration{} ? settings_.first_pause
                                          : std::min(entry.pause * 2, settings_.longest_pause);
  entry.condition = vm_condition::kSuspect;
  entry.probe_at = now + entry.pause;
  entry.running.reset();
  entry.successes = 0;
  changed_.insert(vm);
}

void vm_health::Trust(const vm_id& vm, record& entry) {
  entry.condition = vm_condition::kHealthy;
  entry.running.reset();
  entry.successes = 0;
  entry.pause = {};
  // The failures before the pause say nothing of the VM that passed its probes.
  while (!entry.window.empty()) {
    DropOldest(entry);
  }
  changed_.insert(vm);
}

void vm_health::OnProbeSucceeded(const vm_id& vm, record& entry) {
  entry.running.reset();
  if (++entry.successes >= settings_.probe_successes) {
    Trust(vm, entry);
  }
}

void vm_health::ExcuseJob(const std::string& job) {
  const auto is_of_job = [&job](const sample& each) { return each.job == job && each.failed; };
  for (auto& [vm, entry] : vms_) {
    const auto removed = std::erase_if(entry.window, is_of_job);
    samples_ -= removed;
    failures_ -= removed;
    if (removed > 0 && entry.condition != vm_condition::kHealthy && !IsBad(entry)) {
      Trust(vm, entry);
    }
  }
}

void vm_health::OnStarted(const vm_id& vm, const std::string& job, time_point now) {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || ConditionOf(vm, now) != vm_condition::kProbing) {
    return;
  }
  found->second.condition = vm_condition::kProbing;
  found->second.running = probe{job, now + settings_.probe_patience};
}

void vm_health::OnSucceeded(const vm_id& vm, const std::string& job, time_point now) {
  JobOf(job).succeeded = true;
  auto& entry = vms_[vm];
  AddSample(entry, job, false);
  const bool is_probe = entry.running && entry.running->job == job;
  if (is_probe && ConditionOf(vm, now) == vm_condition::kProbing) {
    OnProbeSucceeded(vm, entry);
  }
}

void vm_health::OnFailed(const vm_id& vm, const std::string& job, time_point now) {
  auto& record_of_job = JobOf(job);
  const bool was_known = IsJobsFault(record_of_job);
  // A few VMs are enough to tell; a job that fails everywhere must not list them all.
  if (record_of_job.failed_on.size() < settings_.job_vms) {
    record_of_job.failed_on.insert(vm);
  }
  const bool is_known = IsJobsFault(record_of_job);
  auto& entry = vms_[vm];
  const bool is_probe = entry.running && entry.running->job == job;
  if (is_known) {
    if (!was_known) {
      ExcuseJob(job);
    }
    if (is_probe) {
      entry.running.reset();
    }
    return;
  }
  AddSample(entry, job, true);
  if (is_probe || (entry.condition == vm_condition::kHealthy && IsBad(entry))) {
    Suspect(vm, entry, now);
  }
}

void vm_health::OnAbandoned(const vm_id& vm, const std::string& job) {
  const auto found = vms_.find(vm);
  if (found != vms_.end() && found->second.running && found->second.running->job == job) {
    found->second.running.reset();
  }
}

void vm_health::Remove(const vm_id& vm) {
  const auto found = vms_.find(vm);
  if (found == vms_.end()) {
    return;
  }
  while (!found->second.window.empty()) {
    DropOldest(found->second);
  }
  vms_.erase(found);
  changed_.erase(vm);
}

bool vm_health::MayTake(const vm_id& vm, time_point now) const {
  switch (ConditionOf(vm, now)) {
    case vm_condition::kHealthy:
      return true;
    case vm_condition::kSuspect:
      return false;
    case vm_condition::kProbing:
      return !vms_.at(vm).running;
  }
  return false;
}

vm_condition vm_health::ConditionOf(const vm_id& vm, time_point now) const {
  const auto found = vms_.find(vm);
  if (found == vms_.end()) {
    return vm_condition::kHealthy;
  }
  const bool is_due =
      found->second.condition == vm_condition::kSuspect && now >= found->second.probe_at;
  return is_due ? vm_condition::kProbing : found->second.condition;
}

std::optional<time_point> vm_health::ProbeAt(const vm_id& vm) const {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || found->second.condition == vm_condition::kHealthy) {
    return std::nullopt;
  }
  return found->second.probe_at;
}

std::vector<vm_id> vm_health::Tick(time_point now) {
  for (auto& [vm, entry] : vms_) {
    if (entry.condition == vm_condition::kSuspect && now >= entry.probe_at) {
      entry.condition = vm_condition::kProbing;
      changed_.insert(vm);
    }
    // A service that goes on running never reports an end: that it still runs is its success.
    if (entry.running && now >= entry.running->trusted_at) {
      OnProbeSucceeded(vm, entry);
    }
  }
  std::vector<vm_id> changed{changed_.begin(), changed_.end()};
  changed_.clear();
  return changed;
}

}  // namespace rosearch
