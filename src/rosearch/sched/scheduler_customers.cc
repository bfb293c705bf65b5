// Customers of `scheduler`: whose limit a run counts against, and what a former leader may have
// started for a customer.
#include <algorithm>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Room assumed at a worker that isn't in the registry yet; more than any worker has.
constexpr resources kMaxRoom{1'000'000'000, 1'000'000'000, 1'000'000};

/// @return the smaller amount of each resource.
resources Least(const resources& a, const resources& b) {
  return {std::min(a.processors_milli, b.processors_milli), std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

}  // namespace

void scheduler::AssignCustomer(job_state& job) {
  if (!job.spec->customer.empty()) {
    job.customer = &customers_.Open(job.spec->customer);
  }
}

void scheduler::ChargeCustomer(live_run& run, customer_account* customer, const resources& amount) {
  if (customer != nullptr) {
    run.customer = customer;
    run.customer_charge = amount;
    customer->Charge(amount);
  }
}

std::uint32_t scheduler::CountStartsWithinLimit(const step_state& step) {
  const auto* const customer = step.job->customer;
  return customer == nullptr ? static_cast<std::uint32_t>(step.tasks.size())
                             : customer->CountStartable(step.spec->need);
}

bool scheduler::FitsCustomerLimit(const job_spec& job) {
  if (job.customer.empty()) {
    return true;
  }
  const auto& account = customers_.Open(job.customer);
  return std::ranges::all_of(job.steps, [&](const auto& step) {
    return !step.gang || account.CouldEverStartTogether(step.need, step.count);
  });
}

std::optional<resources> scheduler::UnreadRoom() const {
  std::optional<resources> room;
  for (const auto& [id, worker] : workers_) {
    if (unsettled_.contains(id) || !worker->held_tasks.empty() || worker->unknown_runs > 0) {
      const bool listed = worker->facts.capacity != resources{};
      room = room.value_or(resources{}) + (listed ? worker->Free() : kMaxRoom);
    }
  }
  return room;
}

resources scheduler::UnreadUsage(const job_state& job, const instant& now) const {
  resources sum;
  if (!job.restored) {
    return sum;
  }
  for (const auto& occurrence : job.occurrences) {
    for (const auto& step : occurrence->steps) {
      const bool settled = !MayRunOnUnsettledWorker(*step);
      const auto count = std::ranges::count_if(step->tasks, [&](const task_state& task) {
        return !task.done && task.live == 0 && (!settled || !IsDue(task, now));
      });
      sum = sum + step->spec->need * count;
    }
  }
  return sum;
}

// A successor that knew nothing of such runs would start new jobs on top of them, and a customer
// would have twice its limit running until all workers have answered.
void scheduler::EstimateUnreadUsage(const instant& now) {
  const auto room = UnreadRoom();
  if (!room && !has_unread_usage_) {
    return;
  }
  has_unread_usage_ = room.has_value();
  if (!room) {
    for (auto& [id, ended] : ended_) {
      ended.stopping = resources{};
    }
    for (auto& [name, account] : customers_) {
      account.SetUnread({});
    }
    return;
  }
  std::map<std::string, resources> unread;  // by customer
  for (const auto& [id, job] : jobs_) {
    auto& amount = unread[job->spec->customer];
    amount = amount + UnreadUsage(*job, now);
  }
  for (const auto& [id, ended] : ended_) {
    auto& amount = unread[ended.customer];
    amount = amount + ended.stopping;
  }
  for (auto& [name, account] : customers_) {
    account.SetUnread(Least(unread[name], *room));
  }
}

}  // namespace rosearch::sched
