#include "rosearch/serve/entry_ports.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rosearch/platform/clock.h"

namespace rosearch {

step_time StepNow() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
  return {SteadyNow(), static_cast<std::uint64_t>(ms)};
}

namespace {

/// A command that was not written, because the right to act had lapsed or its time was up, did not
/// arrive; the pool knows one kind for that.
error NothingSent(const error& why) {
  const bool unsent = why.kind == error_kind::kNoOwner || why.kind == error_kind::kDeadlinePassed;
  return unsent ? error{error_kind::kTargetUnreachable, why.detail} : why;
}

}  // namespace

std::map<std::string, double> GaugesOf(const port_counters& counters) {
  const auto value = [](const std::atomic<std::uint64_t>& counter) {
    return static_cast<double>(counter.load());
  };
  return {{"rosearch_worker_exchanges_total", value(counters.exchanges)},
          {"rosearch_worker_exchange_bytes_total", value(counters.exchange_bytes)},
          {"rosearch_log_appends_total", value(counters.appends)},
          {"rosearch_log_append_bytes_total", value(counters.append_bytes)},
          {"rosearch_log_reads_total", value(counters.reads)},
          {"rosearch_log_read_records_total", value(counters.read_records)}};
}

entry_ports::entry_ports(const config::settings& settings, http_client& http)
    : settings_{settings},
      vm_list_{http, settings.platform.vm_list},
      workers_{http},
      executors_{http} {
  for (const auto& address : settings.platform.log) {
    logs_.emplace_back(http, address);
  }
}

void entry_ports::Connect(entry_node& target, peer_transport& transport) noexcept {
  node_ = &target;
  transport_ = &transport;
}

void entry_ports::WriteTraffic(metric_set& metrics) const {
  const auto write = [&metrics](const std::string& with, std::uint64_t messages, std::uint64_t sent,
                                std::uint64_t received) {
    const auto labels = "{with=\"" + with + "\",way=";
    metrics.SetTotal("rosearch_traffic_messages_total{with=\"" + with + "\"}", messages);
    metrics.SetTotal("rosearch_traffic_bytes_total" + labels + "\"sent\"}", sent);
    metrics.SetTotal("rosearch_traffic_bytes_total" + labels + "\"received\"}", received);
  };
  const auto write_http = [&write](const std::string& with, const http_traffic& traffic) {
    write(with, traffic.requests, traffic.bytes_sent, traffic.bytes_received);
  };
  const auto peers = transport_->Counters();
  write("peer", peers.messages_sent, peers.bytes_sent, peers.bytes_received);
  write_http("worker", workers_.traffic());
  write_http("executor", executors_.traffic());
  write_http("vm_list", vm_list_.traffic());
  for (std::size_t at = 0; at < logs_.size(); ++at) {
    write_http("log-" + std::to_string(at), logs_[at].traffic());
  }
}

void entry_ports::SendPeer(const std::string& address, const wire::peer_message& message) {
  transport_->Send(address, message.SerializeAsString());
}

void entry_ports::OnLogError(const error& why) noexcept {
  if (why.kind != error_kind::kInvalidRequest) {
    ++log_at_;
  }
}

void entry_ports::Append(const journal::append_request& request) {
  ++counters_.appends;
  for (const auto& record : request.records) {
    counters_.append_bytes += record.size();
  }
  Log().Append(request.stream.value(), request.records,
               SteadyNow() + settings_.platform.answer_timeout,
               [this, number = request.number](const result<std::uint64_t>& offset) {
                 if (offset.has_value()) {
                   node_->OnAppended(number, offset.value(), StepNow());
                   return;
                 }
                 OnLogError(offset.error());
                 const auto effect = AnswerFor(offset.error().kind).effect;
                 node_->OnAppendFailed(number, effect != outcome::kNotRun, StepNow());
               });
}

void entry_ports::Read(const log_question& question, const journal::read_request& request,
                       duration wait) {
  ++counters_.reads;
  const auto asked_at = SteadyNow();
  Log().Read(request.stream.value(), request.from, request.max_records, wait,
             [this, question, asked_at](const result<wire::log_read_answer>& answer) {
               if (answer.has_value()) {
                 counters_.read_records +=
                     static_cast<std::uint64_t>(answer.value().records_size());
                 node_->OnLogRead(question, answer.value(), asked_at, StepNow());
                 return;
               }
               OnLogError(answer.error());
               node_->OnLogReadFailed(question, StepNow());
             });
}

void entry_ports::GetVmList() {
  const auto asked_at = SteadyNow();
  vm_list_.Get([this, asked_at](const result<wire::vm_list_answer>& answer) {
    if (answer.has_value()) {
      node_->OnVmList(answer.value(), asked_at, StepNow());
    } else {
      node_->OnVmListFailed(StepNow());
    }
  });
}

void entry_ports::Exchange(shard_number shard, const worker_send& send) {
  ++counters_.exchanges;
  counters_.exchange_bytes += send.command.ByteSizeLong();
  const auto sent_at = SteadyNow();
  workers_.Exchange(
      send.address, send.command, send.valid_until, sent_at + settings_.platform.answer_timeout,
      [this, shard, vm = send.vm, sent_at](const result<wire::worker_report>& report) {
        if (report.has_value()) {
          counters_.exchange_bytes += report.value().ByteSizeLong();
          node_->OnWorkerReport(shard, vm, report.value(), sent_at, StepNow());
        } else {
          node_->OnWorkerFailed(shard, vm, NothingSent(report.error()), sent_at, StepNow());
        }
      });
}

void entry_ports::Run(shard_number shard, const executor_send& send) {
  executor_call call;
  call.address = send.address;
  call.path = send.request.path();
  call.request_id = send.request.request();
  call.body = send.request.body();
  call.valid_until = send.valid_until;
  call.answer_by = send.answer_by;
  call.idempotent = send.request.idempotent();
  executors_.Run(call, [this, shard, ticket = send.ticket, attempt = send.attempt,
                        vm = send.vm](const result<http_reply>& reply) {
    if (reply.has_error()) {
      node_->OnExecutorAnswer(shard, ticket, attempt, reply.error(), StepNow());
      return;
    }
    wire::call_answer answer;
    answer.set_http_status(reply.value().status);
    answer.set_body(reply.value().body);
    answer.set_vm(vm.value());
    node_->OnExecutorAnswer(shard, ticket, attempt, answer, StepNow());
  });
}

}  // namespace rosearch
