#include <chrono>
#include <memory>

#include "soak/world.h"

namespace rosearch::soak {
namespace {

/// An adapter gives an answer of the platform or of a worker up after this.
constexpr moment kAnswerLimit = 2 * kSecond;
constexpr moment kPollLog = 25 * kMillisecond;

}  // namespace

void fake_ports::SendPeer(const std::string& address, const wire::peer_message& message) {
  auto& time = world_.time;
  for (const auto& record : message.records().records()) {
    world_.checks.OnRecord(record);
  }
  if (message.has_capacity()) {
    time.Trace("capacity " + message.capacity().ShortDebugString());
  }
  const auto bytes = message.SerializeAsString();
  time.TraceBytes("peer " + std::to_string(entry_) + " to " + address, bytes);
  const auto found = std::ranges::find(world_.entries, address, &entry_host::address);
  if (found == world_.entries.end()) {
    return;
  }
  const auto to = static_cast<std::size_t>(found - world_.entries.begin());
  const std::pair pair{entry_, to};
  if (time.now() < world_.cut_until[pair]) {
    return;
  }
  // One connection keeps its order, and what is on it is lost with the process that reads it.
  auto& last = world_.last_arrival_[pair];
  last = std::max(last + 1, time.now() + world_.PeerDelay());
  world_.Deliver(to, found->run, last,
                 [message](soak_node& node, const step_time& at) { node.OnPeer(message, at); });
}

void fake_ports::Append(const journal::append_request& request) {
  auto& time = world_.time;
  const bool slow = time.now() < world_.log_slow_until;
  const auto arrival = time.now() + world_.Soon(slow ? 4 * kSecond : 10 * kMillisecond);
  const auto give_up = time.now() + kAnswerLimit;
  auto* const world = &world_;
  const auto fail = [=, entry = entry_, run = run_, number = request.number](bool maybe,
                                                                             moment when) {
    world->Deliver(entry, run, when, [=](soak_node& node, const step_time& at) {
      node.OnAppendFailed(number, maybe, at);
    });
  };
  const bool refused =
      time.now() < std::max(world_.log_down_until, world_.entries[entry_].cut_until);
  if (refused) {
    const bool maybe = time.random.Chance(0.5);
    fail(maybe, maybe ? give_up : arrival);
    return;
  }
  time.At(arrival, [=, entry = entry_, run = run_, request = request] {
    auto& now = world->time;
    const auto first = world->log.Append(request.stream.value(), request.records);
    world->OnLogAppend(request.stream.value(), request.records);
    const auto answered = now.now() + world->Soon(10 * kMillisecond);
    if (answered >= give_up || now.now() < world->log_mute_until) {
      fail(true, give_up);
      return;
    }
    world->Deliver(entry, run, answered, [=](soak_node& node, const step_time& at) {
      node.OnAppended(request.number, *first, at);
    });
  });
}

void fake_ports::Read(const log_question& question, const journal::read_request& request,
                      duration wait) {
  auto& time = world_.time;
  auto* const world = &world_;
  const auto asked_at = world_.entries[entry_].clock.At(time.now());
  const bool slow = time.now() < world_.log_slow_until;
  const auto arrival = time.now() + world_.Soon(slow ? kSecond : 10 * kMillisecond);
  const auto wait_until = arrival + wait.count();
  const auto give_up = time.now() + wait.count() + kAnswerLimit;
  const auto poll = std::make_shared<std::function<void()>>();
  *poll = [=, entry = entry_, run = run_, self = std::weak_ptr{poll}] {
    auto& now = world->time;
    if (now.now() < std::max(world->log_down_until, world->entries[entry].cut_until)) {
      world->Deliver(
          entry, run, now.random.Chance(0.5) ? give_up : now.now(),
          [=](soak_node& node, const step_time& at) { node.OnLogReadFailed(question, at); });
      return;
    }
    const auto answer = world->log.Read(request.stream.value(), request.from, request.max_records);
    if (answer->records_size() == 0 && now.now() < wait_until) {
      now.After(kPollLog, [again = self.lock()] { (*again)(); });
      return;
    }
    world->Deliver(entry, run, now.now() + world->Soon(10 * kMillisecond),
                   [=](soak_node& node, const step_time& at) {
                     node.OnLogRead(question, *answer, asked_at, at);
                   });
  };
  time.At(arrival, [poll] { (*poll)(); });
}

void fake_ports::GetVmList() {
  auto& time = world_.time;
  auto* const world = &world_;
  const auto asked = time.now();
  const auto asked_at = world_.entries[entry_].clock.At(asked);
  if (asked < std::max(world_.list_down_until, world_.entries[entry_].cut_until)) {
    world_.Deliver(entry_, run_, asked + kAnswerLimit,
                   [](soak_node& node, const step_time& at) { node.OnVmListFailed(at); });
    return;
  }
  const auto shown = asked - time.random.Between(0, 2900 * kMillisecond);
  world_.Deliver(entry_, run_, asked + world_.Soon(20 * kMillisecond),
                 [=](soak_node& node, const step_time& at) {
                   node.OnVmList(world->ListAt(shown), asked_at, at);
                 });
}

void fake_ports::Exchange(shard_number shard, const worker_send& send) {
  auto& time = world_.time;
  auto* const world = &world_;
  const auto sent_at = world_.entries[entry_].clock.At(time.now());
  const auto answer = [=, entry = entry_, run = run_, vm = send.vm](
                          result<wire::worker_report> report, moment when) {
    world->Deliver(entry, run, when,
                   [=, report = std::move(report)](soak_node& node, const step_time& at) {
                     if (report.has_value()) {
                       node.OnWorkerReport(shard, vm, report.value(), sent_at, at);
                     } else {
                       node.OnWorkerFailed(shard, vm, report.error(), sent_at, at);
                     }
                   });
  };
  // The command is written a little later, and then only while the right to act lasts.
  world_.Deliver(
      entry_, run_, time.now() + world_.Soon(kMillisecond),
      [=, send = send](soak_node&, const step_time& at) {
        auto& now = world->time;
        if (at.now >= send.valid_until) {
          answer(error{error_kind::kTargetUnreachable, "the right has lapsed"}, now.now());
          return;
        }
        now.TraceBytes("exchange " + send.address, send.command.SerializeAsString());
        const auto give_up = now.now() + kAnswerLimit;
        auto& worker = world->workers.at(send.address);
        const auto arrival =
            std::max(now.now() + world->Soon(3 * kMillisecond), worker.frozen_until);
        if (worker.gone) {
          answer(error{error_kind::kTargetUnreachable, "refused"}, arrival);
          return;
        }
        if (arrival >= give_up) {
          answer(error{error_kind::kTimeout, "no answer"}, give_up);
          return;
        }
        now.At(arrival, [=] {
          auto& target = world->workers.at(send.address);
          if (target.gone || world->time.now() < target.frozen_until) {
            answer(error{error_kind::kTargetLost, "connection lost"}, give_up);
            return;
          }
          auto report = target.Exchange(send.command, world->time.now());
          if (world->time.now() < target.mute_until && world->time.random.Chance(0.5)) {
            answer(error{error_kind::kTimeout, "no answer"}, give_up);
            return;
          }
          answer(std::move(report), world->time.now() + world->Soon(3 * kMillisecond));
        });
      });
}

void fake_ports::Run(shard_number shard, const executor_send& send) {
  auto* const world = &world_;
  const auto answer = [=, entry = entry_, run = run_, ticket = send.ticket, attempt = send.attempt](
                          const result<wire::call_answer>& value, moment when) {
    world->Deliver(entry, run, when, [=](soak_node& node, const step_time& at) {
      node.OnExecutorAnswer(shard, ticket, attempt, value, at);
    });
  };
  world_.Deliver(
      entry_, run_, world_.time.now() + world_.Soon(kMillisecond),
      [=, entry = entry_, send = send](soak_node&, const step_time& at) {
        auto& now = world->time;
        if (at.now >= send.valid_until) {
          answer(error{error_kind::kNoOwner, "the right has lapsed"}, now.now());
          return;
        }
        const auto give_up = std::max(now.now(), world->entries[entry].clock.When(send.answer_by));
        const auto arrival = std::max(now.now() + world->Soon(3 * kMillisecond),
                                      world->executors.at(send.address).frozen_until);
        const bool late = arrival >= give_up;
        if (late) {
          answer(error{error_kind::kTimeout, "no answer"}, give_up);
        }
        now.At(arrival, [=] {
          auto& time = world->time;
          auto& target = world->executors.at(send.address);
          if (target.gone || time.now() < target.refuses_until) {
            const auto why =
                target.gone ? error_kind::kTargetUnreachable : error_kind::kTargetRefused;
            if (!late) {
              answer(error{why, "not run"}, time.now() + kMillisecond);
            }
            return;
          }
          time.Trace("run " + send.request.body() + " at " + send.address);
          world->CheckLeaving(send.address);
          world->checks.OnRequestRun(send.request.request(), send.request.body());
          const auto most = time.now() < target.slow_until ? 4 * kSecond : 60 * kMillisecond;
          const auto done = time.now() + world->Soon(most);
          if (late) {
            return;
          }
          if (done >= give_up || time.now() < target.mute_until) {
            answer(error{error_kind::kTimeout, "no answer"}, give_up);
            return;
          }
          wire::call_answer value;
          value.set_http_status(200);
          value.set_body(promises::AnswerTo(send.request.body()));
          value.set_vm(send.address);
          answer(value, done);
        });
      });
}

}  // namespace rosearch::soak
