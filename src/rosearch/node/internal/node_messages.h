#ifndef ROSEARCH_NODE_INTERNAL_NODE_MESSAGES_H_
#define ROSEARCH_NODE_INTERNAL_NODE_MESSAGES_H_

// Calls of this entry, messages between entries.

#include "rosearch/node/internal/node_constants.h"
#include "rosearch/node/node.h"

namespace rosearch {

template <node_ports Ports>
void basic_node<Ports>::SendTo(const party& to, wire::peer_message message) {
  const auto address = cell_.members.AddressOf(to.entry);
  if (!address) {
    return;
  }
  *message.mutable_from() = ToWire(settings_.self);
  message.set_to_incarnation(to.incarnation);
  ports_.SendPeer(*address, message);
}

template <node_ports Ports>
void basic_node<Ports>::Answer(const call_origin& to, wire::call_answer answer, time_point now) {
  answer.set_number(to.number);
  if (to.entry == settings_.self.entry.value()) {
    cell_.calls.OnAnswer(answer, now);
    return;
  }
  wire::peer_message message;
  *message.mutable_answer() = std::move(answer);
  SendTo({entry_id{to.entry}, to.incarnation}, std::move(message));
}

template <node_ports Ports>
std::optional<entry_id> basic_node<Ports>::ServerOf(shard_number shard) const {
  const auto newest = cell_.control.Newest(shard);
  const auto route = cell_.routes.find(shard);
  const auto assigned = newest ? TermNumber(newest->epoch) : 0;
  if (route != cell_.routes.end() && route->second.first >= assigned) {
    return route->second.second;
  }
  if (newest) {
    return newest->owner.entry;
  }
  return std::nullopt;
}

template <node_ports Ports>
void basic_node<Ports>::Route(const wire::capacity_message& message) {
  const auto server = ServerOf(message.to_shard());
  if (!server) {
    return;
  }
  if (*server == settings_.self.entry) {
    cell_.inbox.push_back({message.to_shard(), message});
    return;
  }
  const auto* const known = cell_.members.Find(*server);
  if (known == nullptr) {
    return;
  }
  wire::peer_message envelope;
  *envelope.mutable_capacity() = message;
  SendTo(known->who, std::move(envelope));
}

template <node_ports Ports>
void basic_node<Ports>::SendDueCalls(time_point now) {
  cell_.calls.Expire(now);
  for (const auto number : cell_.calls.TakeDue(now)) {
    SendCall(number, now);
  }
}

template <node_ports Ports>
void basic_node<Ports>::SendCall(std::uint64_t number, time_point now) {
  auto call = cell_.calls.Prepare(number, now);
  if (!call) {
    return;
  }
  const bool anywhere =
      call->has_request() && (call->request().idempotent() || call->request().delegated());
  if (anywhere) {
    // Nobody remembers the ids of such requests: sent again while the first one runs, it would run
    // twice. Only where the entry that has it is gone is an idempotent one sent to another.
    const auto awaited = cell_.calls.Awaited(number);
    if (awaited && cell_.members.IsLive(*awaited, now)) {
      return;
    }
    if (awaited && call->request().delegated()) {
      cell_.calls.Abandon(number);
      return;
    }
    // Any shard with a free slot will do; a delegated request goes to another shard than its own.
    std::set<shard_number> avoid;
    if (call->request().delegated()) {
      avoid.insert(call->shard());
    }
    const auto chosen = cell_.view.ChooseSlots(call->request().service(), avoid);
    if (!chosen) {
      cell_.calls.TryAgain(number, now);
      return;
    }
    call->set_shard(*chosen);
    cell_.view.OnSlotAsked(*chosen);
  }
  const auto server = ServerOf(call->shard());
  if (!server) {
    cell_.calls.TryAgain(number, now);
    return;
  }
  if (*server == settings_.self.entry) {
    cell_.calls.OnSent(number, call->shard(), settings_.self);
    const call_origin from{settings_.self.entry.value(), settings_.self.incarnation, number};
    cell_.inbox.push_back({call->shard(), std::pair{from, *call}});
    return;
  }
  const auto* const known = cell_.members.Find(*server);
  if (known == nullptr) {
    cell_.calls.TryAgain(number, now);
    return;
  }
  cell_.calls.OnSent(number, call->shard(), known->who);
  wire::peer_message message;
  *message.mutable_ask() = std::move(*call);
  SendTo(known->who, std::move(message));
}

template <node_ports Ports>
void basic_node<Ports>::DelegateLocked(shard_number from, const delegated_send& send,
                                       time_point now) {
  wire::call call;
  call.set_shard(from);
  *call.mutable_request() = send.request;
  call.mutable_request()->set_delegated(true);
  const auto ticket = send.ticket;
  cell_.calls.Add(std::move(call), send.answer_by, now,
                  [this, from, ticket](wire::call_answer answer) {
                    cell_.inbox.push_back({from, std::pair{ticket, std::move(answer)}});
                  });
}

template <node_ports Ports>
void basic_node<Ports>::Call(wire::call call, time_point deadline, const step_time& at,
                             call_done done) {
  {
    const std::scoped_lock lock{cell_.mutex};
    const auto number = cell_.calls.Add(std::move(call), deadline, at.now, std::move(done));
    for (const auto due : cell_.calls.TakeDue(at.now)) {
      SendCall(due, at.now);
    }
    (void)number;
  }
  DrainInbox(at);
}

template <node_ports Ports>
void basic_node<Ports>::OnPeer(const wire::peer_message& message, const step_time& at) {
  if (message.to_incarnation() != 0 && message.to_incarnation() != settings_.self.incarnation) {
    return;
  }
  const auto from = FromWire(message.from());
  switch (message.body_case()) {
    case wire::peer_message::kBeat:
      OnHeartbeat(message.beat(), at);
      break;
    case wire::peer_message::kPair:
      WithKnownShard(message.pair().shard(), at, [&](shard& value, shard_output& out) {
        value.OnPair(from, message.pair(), at, out);
      });
      break;
    case wire::peer_message::kRecords:
      WithKnownShard(message.records().shard(), at, [&](shard& value, shard_output& out) {
        value.OnReplicate(from, message.records(), at, out);
      });
      break;
    case wire::peer_message::kAcked:
      WithKnownShard(message.acked().shard(), at, [&](shard& value, shard_output& out) {
        value.OnReplicateAck(from, message.acked(), at, out);
      });
      break;
    case wire::peer_message::kFindReplica:
      WithKnownShard(message.find_replica().shard(), at, [&](shard& value, shard_output& out) {
        value.OnReplicaRequest(from, message.find_replica(), out);
      });
      break;
    case wire::peer_message::kReplica:
      WithKnownShard(message.replica().shard(), at, [&](shard& value, shard_output& out) {
        value.OnReplicaAnswer(from, message.replica(), at, out);
      });
      break;
    case wire::peer_message::kAsk:
      WithKnownShard(message.ask().shard(), at, [&](shard& value, shard_output& out) {
        value.OnCall({from.entry.value(), from.incarnation, message.ask().number()}, message.ask(),
                     at, out);
      });
      break;
    case wire::peer_message::kAnswer: {
      const std::scoped_lock lock{cell_.mutex};
      cell_.calls.OnAnswer(message.answer(), at.now);
      break;
    }
    case wire::peer_message::kCapacity:
      WithKnownShard(message.capacity().to_shard(), at, [&](shard& value, shard_output& out) {
        value.OnCapacity(message.capacity(), at, out);
      });
      break;
    case wire::peer_message::BODY_NOT_SET:
      break;
  }
  DrainInbox(at);
}

template <node_ports Ports>
void basic_node<Ports>::OnHeartbeat(const wire::heartbeat& beat, const step_time& at) {
  const entry_id from{beat.announcement().who().entry()};
  if (from == settings_.self.entry) {
    return;
  }
  const region_id region{beat.announcement().region()};
  std::vector<wire::drain_order> drains;
  std::vector<wire::customer_usage> usage;
  bool is_new_configuration = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (cell_.members.OnHeartbeat(beat, at.now)) {
      cell_.beat_at = at.now;
      cell_.usage_told.TellAll();
    }
    usage = cell_.usage_heard.Take(FromWire(beat.announcement().who()),
                                   {beat.usage().begin(), beat.usage().end()});
    if (beat.has_configuration()) {
      is_new_configuration = cell_.control.AdoptConfiguration(beat.configuration());
    }
    for (const auto& order : beat.drains()) {
      if (cell_.control.AdoptDrain(order)) {
        drains.push_back(order);
      }
    }
    for (const auto& summary : beat.owned()) {
      (void)cell_.view.OnSummary(summary, region);
      auto& route = cell_.routes[summary.shard()];
      const auto term = TermNumber(TermOf(summary));
      if (term >= route.first) {
        route = {term, from};
      }
    }
  }
  for (shard_number number = 0; number < slots_.size(); ++number) {
    WithShard(number, at, [&](shard& value, shard_output& out) {
      for (const auto& summary : beat.owned()) {
        value.OnSummary(summary, region, at);
      }
      value.OnUsage(from, usage);
      for (const auto& order : drains) {
        value.OnDrain(vm_id{order.vm()}, order.leaving(), at, out);
      }
    });
  }
  if (is_new_configuration) {
    TellQuotas(at);
  }
}

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_MESSAGES_H_
