#include "soak/callers.h"

#include <algorithm>

#include "rosearch/capacity/amounts.h"

namespace rosearch::soak {
namespace {

constexpr double kRequestsPerStep = 0.25;
constexpr double kJobsPerStep = 0.02;
constexpr moment kJobLimit = 10 * kSecond;

/// A call's answer that is later than its deadline by this is counted as lost with its entry.
constexpr moment kAnswerSlack = 20 * kSecond;

const std::string kCustomer{"calandria"};

std::string Document(std::uint64_t weight) {
  return R"({"customers":[{"name":"calandria","weight":)" + std::to_string(1 + weight % 9) +
         R"(,"quota":{"processors_milli":640000,"memory_mb":1280000}}],)"
         R"("rules":[{"name":"all","match":{"customer":"calandria"},"treat":{"retries":2}}]})";
}

}  // namespace

void callers::Step() {
  auto& random = world_.time.random;
  if (random.Chance(kRequestsPerStep)) {
    NewRequest();
  }
  if (random.Chance(kJobsPerStep)) {
    NewJob();
  }
}

void callers::CallAt(std::size_t index, wire::call call, moment limit,
                     std::function<void(const wire::call_answer*)> done) {
  struct open_call {
    std::function<void(const wire::call_answer*)> done;
    std::uint32_t answers{0};
  };
  const auto open = std::make_shared<open_call>(open_call{std::move(done)});
  ++open_calls_;
  const auto run = world_.entries[index].run;
  auto* const all = &world_;
  // Nodes answer while they hold their locks: what the caller does of it comes as an event.
  const auto finish = [this, open, all](const wire::call_answer* answer) {
    if (++open->answers > 1) {
      return;
    }
    --open_calls_;
    open->done(answer);
  };
  world_.Deliver(
      index, run, world_.time.now() + world_.Soon(3 * kMillisecond),
      [=, call = std::move(call)](soak_node& node, const step_time& at) mutable {
        if (call.has_request()) {
          call.set_shard(node.HomeOf(call.request().customer(), call.request().request()));
        }
        const auto answered = std::make_shared<bool>(false);
        node.Call(std::move(call), at.now + duration{limit}, at,
                  [=](const wire::call_answer& answer) {
                    if (std::exchange(*answered, true)) {
                      all->time.Breach("whole-answer", "a call was answered twice");
                    }
                    all->time.At(all->time.now(), [=] { finish(&answer); });
                  });
      });
  // The caller's connection tells it that the entry is lost.
  const auto watch = std::make_shared<std::function<void()>>();
  const auto end = world_.time.now() + limit + kAnswerSlack;
  *watch = [=, self = std::weak_ptr{watch}] {
    if (open->answers > 0) {
      return;
    }
    const auto& host = all->entries[index];
    if (!host.node || host.run != run) {
      finish(nullptr);
      return;
    }
    if (all->time.now() > std::max(end, host.frozen_until + kSecond)) {
      all->time.Breach("whole-answer", "a call at " + host.name + " was never answered");
    }
    all->time.After(100 * kMillisecond, [again = self.lock()] { (*again)(); });
  };
  world_.time.After(100 * kMillisecond, [watch] { (*watch)(); });
}

// ---- requests

void callers::NewRequest() {
  auto& time = world_.time;
  request_plan plan;
  plan.id = "r" + std::to_string(++next_);
  plan.body = plan.id;
  plan.idempotent = time.random.Chance(0.5);
  plan.patience = time.random.Between(kSecond, 8 * kSecond);
  plan.tries_left = static_cast<int>(time.random.Between(0, 3));
  plan.issued_ms = static_cast<std::uint64_t>(1'700'000'000'000 + time.now() / kMillisecond +
                                              time.random.Between(-1000, 1000));
  if (!plan.idempotent && time.random.Chance(0.2)) {
    // The caller's own retry, at another entry while the first may be under way.
    time.After(time.random.Between(0, 3 * kSecond), [this, plan] { Retry(plan); });
  }
  Send(plan);
}

void callers::Retry(request_plan plan) {
  if (plan.tries_left > 0) {
    --plan.tries_left;
    Send(std::move(plan));
  }
}

void callers::Send(request_plan plan) {
  auto& time = world_.time;
  const auto entry = world_.AnyReady();
  if (!entry) {
    return;
  }
  if (plan.idempotent) {
    plan.body = plan.id + '.' + std::to_string(plan.tries_left);
  }
  wire::call call;
  auto& request = *call.mutable_request();
  request.set_customer(kCustomer);
  request.set_request(plan.id);
  request.set_service("fuel");
  request.set_path("/order");
  request.set_body(plan.body);
  request.set_idempotent(plan.idempotent);
  request.set_issued_ms(plan.issued_ms);
  request.set_policy("quick");
  request.set_rule("all");
  request.set_retries(2);
  world_.checks.OnAsked(plan.body, plan.idempotent);
  CallAt(*entry, std::move(call), plan.patience, [this, plan](const wire::call_answer* answer) {
    auto& now = world_.time;
    now.Trace("answered " + plan.body + ' ' +
              (answer == nullptr ? "lost" : answer->error().kind() + ' ' + answer->body()));
    if (answer != nullptr) {
      world_.checks.OnRequestAnswered(plan.body, *answer);
      if (answer->error().kind().empty()) {
        return;
      }
    }
    now.After(now.random.Between(0, 2 * kSecond), [this, plan] { Retry(plan); });
  });
  time.Trace("request " + plan.body + " at " + world_.entries[*entry].name);
}

// ---- jobs

void callers::NewJob() {
  auto& random = world_.time.random;
  wire::job_spec spec;
  spec.set_customer(kCustomer);
  spec.set_job("j" + std::to_string(++next_));
  spec.mutable_needs()->set_processors_milli(
      static_cast<std::uint32_t>(random.Between(2, 30) * 100));
  spec.mutable_needs()->set_memory_mb(static_cast<std::uint32_t>(random.Between(100, 4000)));
  spec.set_count(static_cast<std::uint32_t>(random.Between(1, 4)));
  spec.set_run_ms(static_cast<std::uint32_t>(random.Between(100, 8000)));
  const auto kind = random.Between(0, 9);
  if (kind <= 1) {
    spec.set_kind(wire::JOB_GANG);
  } else if (kind == 2) {
    spec.set_kind(wire::JOB_SERVICE);
    spec.set_run_ms(0);
    spec.mutable_needs()->set_processors_milli(300);
  } else if (kind == 3) {
    spec.set_at_most_once(true);
  } else if (kind == 4) {
    spec.set_urgent(true);
  } else if (kind == 5 && random.Chance(0.3)) {
    spec.mutable_needs()->set_processors_milli(9000);
  }
  if (random.Chance(0.1)) {
    spec.set_deadline_ms(static_cast<std::uint32_t>(random.Between(500, 20000)));
  }
  world_.checks.OnSubmitted(spec);
  const auto name = promises::Name(spec);
  Submit(name, 4);
  if (spec.kind() == wire::JOB_SERVICE || random.Chance(0.1)) {
    world_.time.After(random.Between(kSecond, 40 * kSecond), [this, name] { Cancel(name, 4); });
  }
}

void callers::Submit(const std::string& name, int tries_left) {
  const auto entry = world_.AnyReady();
  if (!entry) {
    return;
  }
  auto& node = *world_.entries[*entry].node;
  const auto& spec = world_.checks.jobs().at(name).spec;
  if (!node.FitsSomewhere(internal::FromWire(spec.needs()))) {
    return;
  }
  wire::call call;
  call.set_shard(node.HomeOf(spec.customer(), spec.job()));
  auto& job = *call.mutable_submit()->mutable_job();
  *job.mutable_spec() = spec;
  job.mutable_treatment()->set_rule("all");
  job.mutable_treatment()->set_policy(spec.kind() == wire::JOB_SERVICE ? "spread" : "pack");
  job.mutable_treatment()->set_retries(5);
  job.mutable_treatment()->set_preemptible(spec.job().back() % 2 == 0);
  world_.time.Trace("submit " + name + " " + spec.ShortDebugString());
  CallAt(*entry, std::move(call), kJobLimit,
         [this, name, tries_left](const wire::call_answer* answer) {
           const bool taken = answer != nullptr && answer->error().kind().empty();
           world_.time.Trace("submitted " + name + (taken ? " yes" : " no"));
           if (taken) {
             world_.checks.jobs().at(name).accepted = true;
           } else if (tries_left > 0) {
             world_.time.After(kSecond, [=, this] { Submit(name, tries_left - 1); });
           }
         });
}

void callers::Cancel(const std::string& name, int tries_left) {
  auto& job = world_.checks.jobs().at(name);
  const auto entry = world_.AnyReady();
  if (!entry || !job.accepted) {
    return;
  }
  job.cancelled = true;
  wire::call call;
  call.set_shard(world_.entries[*entry].node->HomeOf(job.spec.customer(), job.spec.job()));
  call.mutable_cancel()->set_customer(job.spec.customer());
  call.mutable_cancel()->set_job(job.spec.job());
  world_.time.Trace("cancel " + name);
  CallAt(*entry, std::move(call), kJobLimit,
         [this, name, tries_left](const wire::call_answer* answer) {
           if (answer != nullptr && answer->error().kind().empty()) {
             OnStatus(name, *answer);
           } else if (tries_left > 0) {
             world_.time.After(kSecond, [=, this] { Cancel(name, tries_left - 1); });
           }
         });
}

void callers::CancelWave() {
  for (const auto& [name, job] : world_.checks.jobs()) {
    if (job.accepted && !job.over && world_.time.random.Chance(0.5)) {
      Cancel(name, 2);
    }
  }
}

void callers::Ask(const std::string& name) {
  const auto entry = world_.AnyReady();
  if (!entry) {
    return;
  }
  const auto& spec = world_.checks.jobs().at(name).spec;
  wire::call call;
  call.set_shard(world_.entries[*entry].node->HomeOf(spec.customer(), spec.job()));
  call.mutable_status()->set_customer(spec.customer());
  call.mutable_status()->set_job(spec.job());
  CallAt(*entry, std::move(call), kJobLimit, [this, name](const wire::call_answer* answer) {
    if (answer != nullptr) {
      OnStatus(name, *answer);
    }
  });
}

void callers::OnStatus(const std::string& name, const wire::call_answer& answer) {
  auto& job = world_.checks.jobs().at(name);
  const auto& kind = answer.error().kind();
  if (kind == AnswerFor(error_kind::kNotFound).name) {
    if (world_.time.options().faults != fault_mode::kMany) {
      world_.time.Breach("single-run", "an accepted job was forgotten: " + name);
    }
    job.over = true;  // both holders were lost before the log had it
    return;
  }
  if (!kind.empty()) {
    return;
  }
  bool ended = true;
  std::string states;
  for (const auto& task : answer.job().tasks()) {
    states += ' ' + wire::task_state_Name(task.state()) + '#' +
              std::to_string(task.ref().attempt()) + '@' + std::to_string(task.target_shard()) +
              task.how().error().kind();
  }
  world_.time.Trace("status " + name + states);
  for (const auto& task : answer.job().tasks()) {
    world_.checks.OnTaskSeen(task);
    ended = ended && task.state() == wire::TASK_ENDED;
  }
  job.over = ended || ServiceStands(job);
  if (ended && job.spec.kind() == wire::JOB_SERVICE && !job.cancelled &&
      job.spec.deadline_ms() == 0) {
    world_.time.Breach("single-run", "a service ended that nobody cancelled: " + name);
  }
}

bool callers::ServiceStands(const job_facts& job) const {
  if (job.spec.kind() != wire::JOB_SERVICE || job.cancelled) {
    return false;
  }
  std::uint32_t running = 0;
  for (std::uint32_t index = 0; index < job.spec.count(); ++index) {
    const auto task = promises::Name(job.spec) + '#' + std::to_string(index);
    running += std::ranges::any_of(world_.workers, [&](const auto& each) {
      return each.second.Runs(task, world_.time.now());
    });
  }
  return running == job.spec.count();
}

void callers::AskForJobs() {
  for (const auto& [name, job] : world_.checks.jobs()) {
    if (job.accepted && !job.over) {
      Ask(name);
    }
  }
}

std::size_t callers::Unfinished() const {
  const auto& jobs = world_.checks.jobs();
  return open_calls_ + static_cast<std::size_t>(std::ranges::count_if(jobs, [](const auto& item) {
           return item.second.accepted && !item.second.over;
         }));
}

std::string callers::UnfinishedNames() const {
  std::string names = "open_calls=" + std::to_string(open_calls_) + " jobs=";
  for (const auto& [name, job] : world_.checks.jobs()) {
    names += job.accepted && !job.over ? name + (job.cancelled ? "(cancelled) " : " ") : "";
  }
  return names;
}

// ---- operators

void callers::Publish() {
  const auto replaces = world_.checks.newest();
  for (int racing = 0; racing < 2; ++racing) {
    const auto entry = world_.AnyReady();
    if (!entry) {
      return;
    }
    wire::configuration_record record;
    record.set_change_id("c" + std::to_string(++changes_));
    record.set_replaces(replaces);
    record.set_version(replaces + 1);
    record.set_document(Document(changes_));
    record.set_author("operator");
    auto* const all = &world_;
    world_.Deliver(*entry, world_.entries[*entry].run, world_.time.now() + world_.Soon(kSecond),
                   [=](soak_node& node, const step_time& at) {
                     node.Publish(
                         record, at.now + duration{10 * kSecond}, at,
                         [=](const result<config_version>& version) {
                           if (version.has_value() &&
                               all->checks.ChangeOf(version.value()) != record.change_id()) {
                             all->time.Breach(
                                 "config-in-force",
                                 "told in force but isn't the log's: " + record.change_id());
                           }
                         });
                   });
  }
}

}  // namespace rosearch::soak
