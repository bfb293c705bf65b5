#ifndef ROSEARCH_NODE_INTERNAL_NODE_IMPL_H_
#define ROSEARCH_NODE_INTERNAL_NODE_IMPL_H_

#include "rosearch/node/node.h"

namespace rosearch {
namespace internal {

inline const journal::stream_id kControlStream{"control"};

inline journal::stream_id ShardStream(shard_number shard) {
  return journal::stream_id{"shard-" + std::to_string(shard)};
}

/// The log counts as up while the control stream was read so lately, besides the time that one read
/// may wait.
inline constexpr duration kLogUpFor = std::chrono::seconds{2};

/// A claim that has not led to a right by then is tried again.
inline constexpr duration kClaimAgain = std::chrono::seconds{5};

/// A shard that nobody says it serves for so long is claimed although its owner or witness lives: a
/// witness that was never activated can't take over, and a claimant may die before it acts. Longer
/// than a takeover takes, because a claim makes the witness give its copy of the state up.
inline constexpr duration kUnservedFor = std::chrono::seconds{8};

/// A cell that starts waits so long for its members to be heard before any of them claims.
inline constexpr duration kSettleFirst = std::chrono::milliseconds{1500};

/// An owner that stops waits so long for a witness to hand its shard to. Without one, the shard is
/// claimed through the log once this entry is gone.
inline constexpr duration kWaitForWitness = std::chrono::seconds{5};

/// A published version is on the way to a peer by the log for no longer than this.
inline constexpr duration kLogTells = std::chrono::seconds{2};

/// Until a peer that is still behind is sent the configuration again.
inline constexpr duration kOfferAgain = std::chrono::seconds{3};

/// Farewell messages are repeated so often: one that is lost costs its peers a lapse.
inline constexpr std::uint32_t kFarewells = 3;

}  // namespace internal

template <node_ports Ports>
basic_node<Ports>::basic_node(node_settings settings, Ports& ports)
    : settings_{std::move(settings)},
      ports_{ports},
      cell_{{},
            member_table{settings_.self, settings_.silent_after},
            control_state{static_cast<shard_number>(settings_.region_of_shard.size())},
            journal::appender{settings_.journal, settings_.self.entry, settings_.self.incarnation},
            journal::stream_reader{internal::kControlStream},
            call_table{1},
            cell_view{},
            {},
            {},
            {},
            {},
            {}} {
  for (shard_number number = 0; number < settings_.region_of_shard.size(); ++number) {
    slots_.push_back(std::make_unique<slot>(number, settings_));
  }
  cell_.members.OnAnnouncement(Announcement());
}

// ---- shards

template <node_ports Ports>
template <typename Step>
void basic_node<Ports>::WithShard(shard_number number, const step_time& at, Step step) {
  auto& item = *slots_.at(number);
  const std::scoped_lock lock{item.mutex};
  shard_output out;
  step(item.value, out);
  Emit(item, out, at);
  AppendForShard(item, at);
  ReadForShard(item);
}

template <node_ports Ports>
void basic_node<Ports>::Emit(slot& from, shard_output& out, const step_time& at) {
  const auto number = from.value.number();
  for (const auto& send : out.workers) {
    ports_.Exchange(number, send);
  }
  for (const auto& send : out.executors) {
    ports_.Run(number, send);
  }
  const bool serves = from.value.Serving(at.now);
  const std::scoped_lock lock{cell_.mutex};
  if (std::exchange(from.served, serves) != serves) {
    // Everybody who looks for this shard learns at once where it is served now.
    cell_.beat_at = at.now;
  }
  for (auto& send : out.peers) {
    SendTo(send.to, std::move(send.message));
  }
  for (const auto& message : out.capacity) {
    Route(message);
  }
  for (auto& item : out.answers) {
    Answer(item.to, std::move(item.answer), at.now);
  }
  for (const auto& send : out.delegated) {
    DelegateLocked(number, send, at.now);
  }
  for (const auto& claim : out.claims) {
    wire::control_record record;
    *record.mutable_assignment() = ToWire(claim);
    AppendControl(std::move(record), at.now);
  }
}

template <node_ports Ports>
void basic_node<Ports>::AppendForShard(slot& from, const step_time& at) {
  if (from.append_under_way) {
    return;
  }
  auto batch = from.value.TakeForLog();
  if (!batch) {
    return;
  }
  const auto count = static_cast<std::uint64_t>(batch->records_size());
  const auto last = batch->first_sequence() + count - 1;
  wire::log_entry entry;
  *entry.mutable_batch() = std::move(*batch);
  const std::scoped_lock lock{cell_.mutex};
  const auto ticket =
      cell_.appender.Add(internal::ShardStream(from.value.number()), std::move(entry), at.now);
  if (ticket.has_error()) {
    LOG(ERROR) << "event=append_refused shard=" << from.value.number()
               << " detail=" << ticket.error().detail;
    // The batch was taken out and is not on the log. Without a snapshot after it a later reader
    // would see a gap and take the shard's state for older than it is.
    from.value.RequestLogSnapshot();
    return;
  }
  cell_.tickets[ticket.value()] = {from.value.number(), last};
  from.append_under_way = true;
}

template <node_ports Ports>
void basic_node<Ports>::ReadForShard(slot& from) {
  if (!from.value.WantsStream()) {
    from.reader.reset();
    return;
  }
  if (std::exchange(from.reading, from.value.Reading()) != from.value.Reading()) {
    // The right was lost and got again while the stream was read: the shard has forgotten what it
    // was given. Read on from the middle, it would serve without its jobs and requests, and run
    // what ran before.
    from.reader.reset();
  }
  if (from.read_under_way) {
    return;
  }
  if (!from.reader) {
    from.reader.emplace(internal::ShardStream(from.value.number()));
  }
  from.read_under_way = true;
  ports_.Read({log_question::use::kShard, from.value.number()}, from.reader->Next(), duration{});
}

template <node_ports Ports>
void basic_node<Ports>::DrainInbox(const step_time& at) {
  for (;;) {
    std::optional<local_message> next;
    {
      const std::scoped_lock lock{cell_.mutex};
      if (cell_.inbox.empty()) {
        return;
      }
      next = std::move(cell_.inbox.front());
      cell_.inbox.pop_front();
    }
    Deliver(*next, at);
  }
}

template <node_ports Ports>
void basic_node<Ports>::Deliver(const local_message& message, const step_time& at) {
  WithShard(message.shard, at, [&](shard& value, shard_output& out) {
    if (const auto* const capacity = std::get_if<wire::capacity_message>(&message.what)) {
      value.OnCapacity(*capacity, at, out);
    } else if (const auto* const delegated =
                   std::get_if<std::pair<std::uint64_t, wire::call_answer>>(&message.what)) {
      value.OnDelegated(delegated->first, delegated->second, at, out);
    } else if (const auto* const call =
                   std::get_if<std::pair<call_origin, wire::call>>(&message.what)) {
      value.OnCall(call->first, call->second, at, out);
    } else {
      slots_.at(message.shard)->append_under_way = false;
      value.OnLogDurable(std::get<std::uint64_t>(message.what), at, out);
    }
  });
}

// ---- messages

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
  const auto assigned = newest ? TermNumber(newest->epoch, false) : 0;
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
      if (message.pair().shard() < slots_.size()) {
        WithShard(message.pair().shard(), at, [&](shard& value, shard_output& out) {
          value.OnPair(from, message.pair(), at, out);
        });
      }
      break;
    case wire::peer_message::kRecords:
      if (message.records().shard() < slots_.size()) {
        WithShard(message.records().shard(), at, [&](shard& value, shard_output& out) {
          value.OnReplicate(from, message.records(), at, out);
        });
      }
      break;
    case wire::peer_message::kAcked:
      if (message.acked().shard() < slots_.size()) {
        WithShard(message.acked().shard(), at, [&](shard& value, shard_output& out) {
          value.OnReplicateAck(from, message.acked(), at, out);
        });
      }
      break;
    case wire::peer_message::kAsk:
      if (message.ask().shard() < slots_.size()) {
        WithShard(message.ask().shard(), at, [&](shard& value, shard_output& out) {
          value.OnCall({from.entry.value(), from.incarnation, message.ask().number()},
                       message.ask(), at, out);
        });
      }
      break;
    case wire::peer_message::kAnswer: {
      const std::scoped_lock lock{cell_.mutex};
      cell_.calls.OnAnswer(message.answer(), at.now);
      break;
    }
    case wire::peer_message::kCapacity:
      if (message.capacity().to_shard() < slots_.size()) {
        WithShard(message.capacity().to_shard(), at, [&](shard& value, shard_output& out) {
          value.OnCapacity(message.capacity(), at, out);
        });
      }
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
      const auto term = TermNumber(summary.epoch(), summary.taken_over());
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

// ---- the log

template <node_ports Ports>
void basic_node<Ports>::AppendControl(wire::control_record record, time_point now) {
  wire::log_entry entry;
  *entry.mutable_control() = std::move(record);
  const auto ticket = cell_.appender.Add(internal::kControlStream, std::move(entry), now);
  if (ticket.has_error()) {
    LOG(ERROR) << "event=append_refused stream=control detail=" << ticket.error().detail;
  }
}

template <node_ports Ports>
void basic_node<Ports>::PumpAppender(time_point now) {
  if (now < cell_.appender.NextAt()) {
    return;
  }
  journal::appender_output out;
  cell_.appender.Tick(now, out);
  TakeAppenderOutput(out);
}

template <node_ports Ports>
void basic_node<Ports>::TakeAppenderOutput(journal::appender_output& out) {
  for (const auto& append : out.appends) {
    ports_.Append(append);
  }
  for (const auto& question : out.read_backs) {
    ports_.Read({log_question::use::kReadBack, question.number},
                {question.stream, question.from, journal::reader_options{}.max_records},
                duration{});
  }
  for (const auto& durable : out.durable) {
    const auto found = cell_.tickets.find(durable.number);
    if (found != cell_.tickets.end()) {
      cell_.inbox.push_back({found->second.first, found->second.second});
      cell_.tickets.erase(found);
    }
  }
}

template <node_ports Ports>
void basic_node<Ports>::OnAppended(std::uint64_t number, std::uint64_t first_offset,
                                   const step_time& at) {
  {
    const std::scoped_lock lock{cell_.mutex};
    journal::appender_output out;
    cell_.appender.OnAppended(number, first_offset, at.now, out);
    TakeAppenderOutput(out);
    PumpAppender(at.now);
  }
  DrainInbox(at);
}

template <node_ports Ports>
void basic_node<Ports>::OnAppendFailed(std::uint64_t number, bool maybe_took_effect,
                                       const step_time& at) {
  const std::scoped_lock lock{cell_.mutex};
  cell_.appender.OnFailed(number, maybe_took_effect, at.now);
}

template <node_ports Ports>
void basic_node<Ports>::OnLogRead(const log_question& question, const wire::log_read_answer& answer,
                                  time_point asked_at, const step_time& at) {
  std::vector<journal::stream_event> events;
  switch (question.what) {
    case log_question::use::kReadBack: {
      const std::scoped_lock lock{cell_.mutex};
      journal::appender_output out;
      cell_.appender.OnReadBack(question.number, answer, at.now, out);
      TakeAppenderOutput(out);
      break;
    }
    case log_question::use::kShard: {
      const auto number = static_cast<shard_number>(question.number);
      WithShard(number, at, [&](shard& value, shard_output& out) {
        auto& item = *slots_[number];
        item.read_under_way = false;
        if (!item.reader) {
          return;
        }
        item.reader->OnRead(answer, asked_at, events);
        for (const auto& event : events) {
          if (const auto* const record = std::get_if<journal::stream_entry>(&event)) {
            value.OnStreamBatch(ToText(FromWire(record->entry.author())), record->entry.batch());
          }
        }
        if (const auto end = item.reader->ReadToEndAt()) {
          value.OnStreamEnd(*end, at, out);
        }
      });
      break;
    }
    case log_question::use::kControl: {
      {
        const std::scoped_lock lock{cell_.mutex};
        cell_.control_read_under_way = false;
        cell_.control_read_at = at.now;
        cell_.log_read_at = at.now;
        cell_.reader.OnRead(answer, asked_at, events);
      }
      OnControlEvents(events, at);
      std::optional<time_point> end;
      {
        const std::scoped_lock lock{cell_.mutex};
        end = cell_.reader.ReadToEndAt();
        if (end == cell_.told_log_end) {
          end.reset();
        } else {
          cell_.told_log_end = end;
          cell_.config_known = cell_.config_known || end.has_value();
        }
        AskLog(at.now);
      }
      if (end) {
        for (shard_number number = 0; number < slots_.size(); ++number) {
          WithShard(number, at,
                    [&](shard& value, shard_output& out) { value.OnLogEnd(*end, at, out); });
        }
      }
      break;
    }
  }
  DrainInbox(at);
}

template <node_ports Ports>
void basic_node<Ports>::OnLogReadFailed(const log_question& question, const step_time& at) {
  switch (question.what) {
    case log_question::use::kReadBack: {
      const std::scoped_lock lock{cell_.mutex};
      cell_.appender.OnFailed(question.number, true, at.now);
      return;
    }
    case log_question::use::kShard: {
      auto& item = *slots_.at(question.number);
      const std::scoped_lock lock{item.mutex};
      item.read_under_way = false;
      return;
    }
    case log_question::use::kControl: {
      const std::scoped_lock lock{cell_.mutex};
      cell_.control_read_under_way = false;
      cell_.control_read_at = at.now + settings_.log_retry;
      return;
    }
  }
}

template <node_ports Ports>
void basic_node<Ports>::OnControlEvents(const std::vector<journal::stream_event>& events,
                                        const step_time& at) {
  for (const auto& event : events) {
    control_change change;
    {
      const std::scoped_lock lock{cell_.mutex};
      if (const auto* const restart = std::get_if<journal::stream_restarted>(&event)) {
        // Mid-way, assignments that were forgotten may have been missed: this run of the process
        // can't tell what it may still hold, and only a new one can begin afresh.
        const bool first = !cell_.told_log_end.has_value();
        cell_.history_lost = cell_.history_lost || (!first && restart->at > 0);
        continue;
      }
      const auto& entry = std::get<journal::stream_entry>(event).entry;
      change = cell_.control.Apply(entry.control());
      if (change.announcement) {
        cell_.members.OnAnnouncement(*change.announcement);
      }
      for (const auto& next : change.assignments) {
        cell_.members.Watch(next.owner);
        if (next.witness) {
          cell_.members.Watch(*next.witness);
        }
      }
      EndPublishes(change, at.now);
    }
    TellShards(change, at);
  }
}

template <node_ports Ports>
void basic_node<Ports>::TellShards(const control_change& change, const step_time& at) {
  for (const auto& next : change.assignments) {
    WithShard(next.shard, at,
              [&](shard& value, shard_output& out) { value.OnAssignment(next, at, out); });
  }
  for (const auto& order : change.drains) {
    for (shard_number number = 0; number < slots_.size(); ++number) {
      WithShard(number, at, [&](shard& value, shard_output& out) {
        value.OnDrain(vm_id{order.vm()}, order.leaving(), at, out);
      });
    }
  }
  if (change.configuration && change.configuration->effect == config::change_effect::kAccepted) {
    TellQuotas(at);
  }
}

template <node_ports Ports>
void basic_node<Ports>::TellQuotas(const step_time& at) {
  std::map<std::string, resources> quotas;
  std::map<std::string, std::uint32_t> weights;
  for (const auto& each : Configuration()->customers()) {
    quotas[each.name.value()] = each.quota.most;
    weights[each.name.value()] = each.weight;
  }
  LOG(INFO) << "event=configuration_in_force version=" << ConfigurationRecord().version();
  for (shard_number number = 0; number < slots_.size(); ++number) {
    WithShard(number, at, [&](shard& value, shard_output&) {
      value.SetQuotas(quotas);
      value.SetWeights(weights);
    });
  }
}

template <node_ports Ports>
void basic_node<Ports>::Publish(wire::configuration_record record, time_point deadline,
                                const step_time& at, publish_done done) {
  const std::scoped_lock lock{cell_.mutex};
  const auto verdict = cell_.control.configuration().Check(record);
  if (verdict.effect == config::change_effect::kVoid) {
    done(verdict.cause.value_or(error{error_kind::kInternal, "void"}));
    return;
  }
  if (verdict.effect == config::change_effect::kRepeated) {
    done(verdict.version);
    return;
  }
  // An operator who repeats a publish may have both under way; each of them is answered.
  const bool under_way = cell_.publishes.contains(record.change_id());
  cell_.publishes.emplace(record.change_id(), pending_publish{std::move(done), deadline});
  if (under_way) {
    return;
  }
  wire::control_record control;
  *control.mutable_configuration() = std::move(record);
  AppendControl(std::move(control), at.now);
}

template <node_ports Ports>
void basic_node<Ports>::EndPublishes(const control_change& change, time_point /*now*/) {
  if (!change.configuration) {
    return;
  }
  const auto [first, last] = cell_.publishes.equal_range(change.configuration->change_id);
  for (auto item = first; item != last; ++item) {
    if (change.configuration->effect == config::change_effect::kVoid) {
      item->second.done(
          change.configuration->cause.value_or(error{error_kind::kVersionConflict, "void"}));
    } else {
      item->second.done(change.configuration->version);
    }
  }
  cell_.publishes.erase(first, last);
}

template <node_ports Ports>
result<void> basic_node<Ports>::Drain(const vm_id& vm, bool leaving, const step_time& at) {
  wire::drain_order order;
  order.set_vm(vm.value());
  order.set_leaving(leaving);
  {
    const std::scoped_lock lock{cell_.mutex};
    (void)cell_.control.AdoptDrain(order);
    wire::control_record record;
    *record.mutable_drain() = order;
    AppendControl(std::move(record), at.now);
    cell_.beat_at = at.now;
  }
  control_change change;
  change.drains.push_back(order);
  TellShards(change, at);
  DrainInbox(at);
  return boost::outcome_v2::success();
}

template <node_ports Ports>
bool basic_node<Ports>::LogUp(time_point now) const {
  return cell_.log_read_at != time_point::min() &&
         now - cell_.log_read_at <= internal::kLogUpFor + settings_.log_wait;
}

template <node_ports Ports>
void basic_node<Ports>::AskLog(time_point now) {
  if (cell_.control_read_under_way || now < cell_.control_read_at) {
    return;
  }
  cell_.control_read_under_way = true;
  ports_.Read({log_question::use::kControl, 0}, cell_.reader.Next(), settings_.log_wait);
}

// ---- the VM list

template <node_ports Ports>
void basic_node<Ports>::AskVmList(time_point now) {
  if (cell_.list_under_way || now < cell_.list_at) {
    return;
  }
  cell_.list_under_way = true;
  ports_.GetVmList();
}

template <node_ports Ports>
void basic_node<Ports>::OnVmListFailed(const step_time& at) {
  const std::scoped_lock lock{cell_.mutex};
  cell_.list_under_way = false;
  cell_.list_at = at.now + settings_.list_interval;
}

template <node_ports Ports>
shard_number basic_node<Ports>::ShardOfVm(const wire::vm_record& vm) const {
  std::vector<shard_number> of_region;
  for (shard_number number = 0; number < settings_.region_of_shard.size(); ++number) {
    if (settings_.region_of_shard[number].value() == vm.region()) {
      of_region.push_back(number);
    }
  }
  if (of_region.empty()) {
    return static_cast<shard_number>(slots_.size());
  }
  const auto at = HomeShard("vm", vm.vm(), static_cast<shard_number>(of_region.size()));
  return of_region[at];
}

template <node_ports Ports>
void basic_node<Ports>::OnVmList(const wire::vm_list_answer& answer, time_point asked_at,
                                 const step_time& at) {
  std::vector<wire::vm_list_answer> by_shard(slots_.size());
  std::vector<wire::vm_record> entries;
  for (const auto& vm : answer.vms()) {
    if (vm.kind() == wire::VM_ENTRY) {
      entries.push_back(vm);
      continue;
    }
    const auto number = ShardOfVm(vm);
    if (number < by_shard.size()) {
      *by_shard[number].add_vms() = vm;
    }
  }
  std::vector<resources> sizes;
  for (const auto& vm : answer.vms()) {
    if (vm.kind() == wire::VM_WORKER) {
      sizes.push_back(internal::FromWire(vm.holds()));
    }
  }
  std::vector<absence> absent;
  std::set<party> listed;
  bool shown = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    cell_.list_under_way = false;
    cell_.list_at = at.now + settings_.list_interval;
    cell_.vms.assign(answer.vms().begin(), answer.vms().end());
    cell_.members.OnVmList(entries, asked_at, at.now);
    absent = cell_.members.Absent();
    shown = cell_.members.IsListed(settings_.self);
    for (const auto& item : cell_.members.all()) {
      if (cell_.members.IsListed(item.second.who)) {
        listed.insert(item.second.who);
      }
    }
  }
  for (shard_number number = 0; number < slots_.size(); ++number) {
    WithShard(number, at, [&](shard& value, shard_output& out) {
      value.SetWorkerSizes(sizes);
      auto text = by_shard[number].SerializeAsString();
      if (text != slots_[number]->listed) {
        slots_[number]->listed = std::move(text);
        value.OnVmList({by_shard[number].vms().begin(), by_shard[number].vms().end()}, at, out);
      }
      for (const auto& who : listed) {
        value.OnPartySeen(who);
      }
      for (const auto& item : absent) {
        value.OnPartyGone(item.who, item.since, item.asked_at, at, out);
        value.OnEntryGone(item.who.entry);
      }
      if (shown) {
        value.OnListProof(asked_at, at, out);
      }
    });
  }
  DrainInbox(at);
}

// ---- targets

template <node_ports Ports>
void basic_node<Ports>::OnWorkerReport(shard_number shard, const vm_id& vm,
                                       const wire::worker_report& report, time_point sent_at,
                                       const step_time& at) {
  WithShard(shard, at, [&](auto& value, shard_output& out) {
    value.OnWorkerReport(vm, report, sent_at, at, out);
  });
  DrainInbox(at);
}

template <node_ports Ports>
void basic_node<Ports>::OnWorkerFailed(shard_number shard, const vm_id& vm, const error& failure,
                                       time_point sent_at, const step_time& at) {
  WithShard(shard, at, [&](auto& value, shard_output& out) {
    value.OnWorkerFailed(vm, failure, sent_at, at, out);
  });
  DrainInbox(at);
}

template <node_ports Ports>
void basic_node<Ports>::OnExecutorAnswer(shard_number shard, std::uint64_t ticket,
                                         std::uint32_t attempt,
                                         const result<wire::call_answer>& answer,
                                         const step_time& at) {
  WithShard(shard, at, [&](auto& value, shard_output& out) {
    value.OnExecutorAnswer(ticket, attempt, answer, at, out);
  });
  DrainInbox(at);
}

// ---- what is due

template <node_ports Ports>
void basic_node<Ports>::Tick(const step_time& at) {
  bool log_up = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (cell_.started_at == time_point::min()) {
      cell_.started_at = at.now;
      cell_.balance_at = at.now + internal::kSettleFirst;
      cell_.snapshot_at = at.now + settings_.snapshot_interval;
    }
    SendDueCalls(at.now);
    AskLog(at.now);
    AskVmList(at.now);
    LearnConfigurationFromPeers(at.now);
    if (!cell_.announced && cell_.told_log_end) {
      cell_.announced = true;
      wire::control_record record;
      *record.mutable_announcement() = Announcement();
      AppendControl(std::move(record), at.now);
    }
    if (at.now >= cell_.snapshot_at && LogUp(at.now)) {
      cell_.snapshot_at = at.now + settings_.snapshot_interval;
      const auto live = cell_.members.Live(at.now);
      const bool first = !live.empty() && live.front()->who == settings_.self;
      if (first) {
        for (shard_number number = 0; number < slots_.size(); ++number) {
          cell_.control.Settle(number, cell_.settled[number]);
        }
        wire::control_record record;
        *record.mutable_snapshot() = cell_.control.Snapshot(cell_.reader.next_offset());
        AppendControl(std::move(record), at.now);
      }
    }
    std::erase_if(cell_.publishes, [&](auto& item) {
      if (at.now < item.second.deadline) {
        return false;
      }
      item.second.done(error{error_kind::kLogUnavailable, "not seen on the log in time"});
      return true;
    });
    PumpAppender(at.now);
    log_up = LogUp(at.now);
  }
  for (shard_number number = 0; number < slots_.size(); ++number) {
    WithShard(number, at, [&](shard& value, shard_output& out) {
      value.SetLogUp(log_up);
      KeepSnapshot(*slots_[number], at);
      value.Tick(at, out);
      {
        const std::scoped_lock lock{cell_.mutex};
        cell_.settled[number] = value.rights().settled_epoch();
      }
      ContinueMove(*slots_[number], at, out);
      StopShard(*slots_[number], at, out);
    });
  }
  Balance(at);
  Beat(at.now);
  {
    const std::scoped_lock lock{cell_.mutex};
    PumpAppender(at.now);
  }
  DrainInbox(at);
}

template <node_ports Ports>
wire::entry_announcement basic_node<Ports>::Announcement() const {
  wire::entry_announcement announcement;
  *announcement.mutable_who() = ToWire(settings_.self);
  announcement.set_region(settings_.region.value());
  announcement.set_failure_domain(settings_.failure_domain.value());
  announcement.set_peer_address(settings_.peer_address);
  announcement.set_http_address(settings_.http_address);
  announcement.set_leaving(cell_.stopping);
  return announcement;
}

template <node_ports Ports>
void basic_node<Ports>::LearnConfigurationFromPeers(time_point now) {
  // The log is down since this process began. Whatever the highest of its peers has is in force:
  // the log took it, and no peer forgets it.
  const bool waited = now - cell_.started_at >= settings_.peer_config_wait;
  if (!cell_.config_known && waited && cell_.control.configuration().version() > 0) {
    cell_.config_known = true;
  }
}

/// A peer that reads the log learns of a version there within a moment. Only one that says it is
/// still behind after that is sent the document: sent to everybody with every publish, 690 changes
/// a day of 690 rules each would alone use up a node's bytes.
template <node_ports Ports>
bool basic_node<Ports>::OffersConfiguration(const entry_id& entry, const member& known,
                                            time_point now) {
  const auto version = cell_.control.configuration().version();
  if (std::exchange(cell_.offered_version, version) != version) {
    cell_.offered_since = now;
    cell_.offered_at.clear();
  }
  auto& offered_at = cell_.offered_at[entry];
  const bool behind =
      known.version < version && known.last_heard >= cell_.offered_since + internal::kLogTells;
  if (!behind || now < offered_at + internal::kOfferAgain) {
    return false;
  }
  offered_at = now;
  return true;
}

template <node_ports Ports>
void basic_node<Ports>::Beat(time_point now) {
  {
    const std::scoped_lock lock{cell_.mutex};
    if (now < cell_.beat_at) {
      return;
    }
    cell_.beat_at = now + settings_.heartbeat;
  }
  wire::heartbeat beat;
  std::map<std::string, resources> usage;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    if (const auto summary = item->value.Summary(now)) {
      *beat.add_owned() = *summary;
      for (const auto& [customer, amount] : item->value.Usage()) {
        auto& sum = usage[customer.value()];
        sum = sum + amount;
      }
    }
  }
  std::vector<wire::customer_usage> own_usage;
  for (const auto& [customer, amount] : usage) {
    auto& row = own_usage.emplace_back();
    row.set_customer(customer);
    *row.mutable_committed() = internal::ToWire(amount);
  }
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    for (const auto& summary : beat.owned()) {
      item->value.OnSummary(summary, settings_.region, {now, 0});
    }
    item->value.OnUsage(settings_.self.entry, own_usage);
  }
  const std::scoped_lock lock{cell_.mutex};
  for (auto& row : cell_.usage_told.Next(usage, now)) {
    *beat.add_usage() = std::move(row);
  }
  *beat.mutable_announcement() = Announcement();
  const auto& record = cell_.control.configuration().record();
  beat.set_ready(cell_.config_known && !cell_.stopping);
  beat.set_config_version(record.version());
  beat.set_control_offset(cell_.reader.next_offset());
  for (const auto& item : cell_.control.drains()) {
    *beat.add_drains() = item.second;
  }
  for (const auto& summary : beat.owned()) {
    (void)cell_.view.OnSummary(summary, settings_.region);
    auto& route = cell_.routes[summary.shard()];
    const auto term = TermNumber(summary.epoch(), summary.taken_over());
    if (term >= route.first) {
      route = {term, settings_.self.entry};
    }
  }
  cell_.farewells += cell_.stopping ? 1 : 0;
  for (const auto& [entry, known] : cell_.members.all()) {
    if (entry == settings_.self.entry || known.peer_address.empty()) {
      continue;
    }
    wire::peer_message message;
    *message.mutable_beat() = beat;
    if (OffersConfiguration(entry, known, now)) {
      *message.mutable_beat()->mutable_configuration() = record;
    }
    *message.mutable_from() = ToWire(settings_.self);
    ports_.SendPeer(known.peer_address, message);
  }
}

/// A shard's records are forgotten after the log's retention: whoever reads the stream later needs
/// a snapshot that is younger. Shards are spread over the interval so that they don't write
/// together.
template <node_ports Ports>
void basic_node<Ports>::KeepSnapshot(slot& item, const step_time& at) {
  if (item.snapshot_at == time_point{}) {
    const auto share = settings_.snapshot_interval / static_cast<duration::rep>(slots_.size());
    item.snapshot_at = at.now + settings_.snapshot_interval + share * item.value.number();
  }
  if (at.now >= item.snapshot_at) {
    item.snapshot_at = at.now + settings_.snapshot_interval;
    item.value.RequestLogSnapshot();
  }
}

// ---- who owns what

template <node_ports Ports>
void basic_node<Ports>::Balance(const step_time& at) {
  std::vector<member> copies;
  bool claims = false;
  bool moves = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (at.now < cell_.balance_at || cell_.stopping) {
      return;
    }
    cell_.balance_at = at.now + settings_.balance;
    for (const auto* const each : cell_.members.Live(at.now)) {
      if (each->region == settings_.region) {
        copies.push_back(*each);
      }
    }
    claims = cell_.config_known && LogUp(at.now);
    moves = claims;
  }
  std::vector<const member*> live;
  std::map<party, std::vector<shard_number>> owned;
  for (const auto& each : copies) {
    live.push_back(&each);
    auto& row = owned[each.who];
    for (const auto& summary : each.owned) {
      row.push_back(summary.shard());
    }
  }
  if (live.empty()) {
    return;
  }
  const auto self = std::ranges::find(copies, settings_.self, &member::who);
  if (self == copies.end()) {
    return;
  }
  bool moving = false;
  auto& mine = owned[settings_.self];
  mine.clear();
  for (shard_number number = 0; number < slots_.size(); ++number) {
    if (settings_.region_of_shard[number] != settings_.region) {
      continue;
    }
    BalanceShard(number, live, WitnessCandidates(number, *self, live), claims, at);
    const std::scoped_lock lock{slots_[number]->mutex};
    if (slots_[number]->value.Serving(at.now)) {
      mine.push_back(number);
    }
    moving = moving || slots_[number]->moving_to.has_value();
  }
  const auto move = moves && !moving ? NextMove(settings_.self, owned) : std::nullopt;
  if (!move) {
    return;
  }
  BeginMove(mine, move->to, at);
}

/// How near a shard is to an entry that it should move to; the nearest is moved.
template <node_ports Ports>
typename basic_node<Ports>::move_step basic_node<Ports>::StepTowards(const shard& value,
                                                                     const party& to) {
  if (value.rights().WitnessActive()) {
    return value.rights().witness() == to ? move_step::kGive : move_step::kGiveToWitness;
  }
  return move_step::kPair;
}

template <node_ports Ports>
void basic_node<Ports>::BeginMove(const std::vector<shard_number>& mine, const party& to,
                                  const step_time& at) {
  std::optional<std::pair<move_step, shard_number>> best;
  for (const auto number : mine) {
    const std::scoped_lock lock{slots_[number]->mutex};
    const std::pair found{StepTowards(slots_[number]->value, to), number};
    best = best ? std::min(*best, found) : found;
  }
  if (!best) {
    return;
  }
  WithShard(best->second, at, [&](shard& value, shard_output& out) {
    auto& item = *slots_[best->second];
    // Replacing an active witness would stop the shard until that witness's promise has run out. By
    // way of the present witness, which then takes the one with few shards as its own, nothing
    // stops.
    const bool by_witness = best->first == move_step::kGiveToWitness;
    item.moving_to = by_witness ? value.rights().witness() : to;
    item.move_until = at.now + settings_.move_limit;
    LOG(INFO) << "event=shard_move shard=" << best->second << " to=" << *item.moving_to;
    if (best->first == move_step::kPair) {
      value.BeginClaimWith(to, at, out);
    }
  });
}

template <node_ports Ports>
void basic_node<Ports>::BalanceShard(shard_number number, const std::vector<const member*>& live,
                                     const std::vector<party>& candidates, bool claims,
                                     const step_time& at) {
  bool orphaned = false;
  bool served = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    const auto newest = cell_.control.Newest(number);
    const auto lists = [number](const member* each) {
      return std::ranges::find(each->owned, number, &wire::shard_summary::shard) !=
             each->owned.end();
    };
    served = std::ranges::any_of(live, lists);
    const auto gone = [&](const party& who) {
      return who != settings_.self && !cell_.members.IsListed(who) &&
             !cell_.members.IsLive(who, at.now);
    };
    orphaned = !newest || (gone(newest->owner) && (!newest->witness || gone(*newest->witness)));
  }
  const bool claimant = Claimant(number, live).who == settings_.self;
  WithShard(number, at, [&](shard& value, shard_output& out) {
    auto& item = *slots_[number];
    value.SetCandidates(candidates);
    if (served || value.Serving(at.now) || item.served_at == time_point{}) {
      item.served_at = at.now;
    }
    const bool due = orphaned || at.now - item.served_at >= internal::kUnservedFor;
    const bool wanted = claims && claimant && due && at.now >= item.next_claim;
    if (!wanted || value.Serving(at.now) || !value.rights().IsClaimable(at.now)) {
      return;
    }
    item.next_claim = at.now + internal::kClaimAgain;
    value.BeginClaim(at, out);
  });
}

/// A shard moves to its witness, which has its state. Calls are refused only while the last
/// requests in flight end.
template <node_ports Ports>
void basic_node<Ports>::ContinueMove(slot& item, const step_time& at, shard_output& out) {
  if (!item.moving_to) {
    return;
  }
  auto& value = item.value;
  if (at.now >= item.move_until || !value.Serving(at.now)) {
    value.EndDrain();
    item.moving_to.reset();
    return;
  }
  if (value.rights().witness() != item.moving_to || !value.rights().WitnessActive()) {
    return;
  }
  value.BeginDrain();
  if (value.OpenRequests() == 0 && value.WitnessHasAll()) {
    item.moving_to.reset();
    value.GiveUp(at, out);
    value.EndDrain();
  }
}

// ---- planned stop

template <node_ports Ports>
void basic_node<Ports>::BeginStop(const step_time& at) {
  const std::scoped_lock lock{cell_.mutex};
  if (cell_.stopping) {
    return;
  }
  LOG(INFO) << "event=stopping";
  cell_.stopping = true;
  cell_.stop_at = at.now;
  cell_.beat_at = at.now;
  cell_.members.OnAnnouncement(Announcement());
  wire::control_record record;
  *record.mutable_announcement() = Announcement();
  AppendControl(std::move(record), at.now);
}

template <node_ports Ports>
void basic_node<Ports>::StopShard(slot& item, const step_time& at, shard_output& out) {
  bool alone = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (!cell_.stopping) {
      return;
    }
    alone =
        cell_.members.Live(at.now).empty() || at.now >= cell_.stop_at + internal::kWaitForWitness;
  }
  auto& value = item.value;
  const auto role = value.rights().role();
  if (role == rights_role::kWitness) {
    value.Resign(at, out);
    return;
  }
  if (role == rights_role::kNone) {
    return;
  }
  value.BeginDrain();
  const bool paired = value.WitnessHasAll() && value.rights().WitnessActive();
  if (value.OpenRequests() == 0 && (paired || alone)) {
    value.HandOver(at, out);
  }
}

template <node_ports Ports>
bool basic_node<Ports>::Stopped() const {
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    if (item->value.OpenRequests() > 0 || item->value.rights().ActDeadline() != time_point::min()) {
      return false;
    }
  }
  const std::scoped_lock lock{cell_.mutex};
  return cell_.stopping && cell_.calls.size() == 0 && cell_.farewells >= internal::kFarewells;
}

// ---- what others may look at

template <node_ports Ports>
bool basic_node<Ports>::Ready() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.config_known && !cell_.history_lost;
}

template <node_ports Ports>
std::shared_ptr<const config::configuration> basic_node<Ports>::Configuration() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.control.configuration().current();
}

template <node_ports Ports>
wire::configuration_record basic_node<Ports>::ConfigurationRecord() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.control.configuration().record();
}

template <node_ports Ports>
std::vector<config::change_verdict> basic_node<Ports>::History() const {
  const std::scoped_lock lock{cell_.mutex};
  const auto& history = cell_.control.configuration().history();
  return {history.begin(), history.end()};
}

template <node_ports Ports>
config_version basic_node<Ports>::LowestVersion(time_point now) const {
  const std::scoped_lock lock{cell_.mutex};
  auto lowest = cell_.control.configuration().version();
  for (const auto* const each : cell_.members.Live(now)) {
    if (each->who != settings_.self) {
      lowest = std::min(lowest, each->version);
    }
  }
  return lowest;
}

template <node_ports Ports>
bool basic_node<Ports>::HistoryLost() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.history_lost;
}

template <node_ports Ports>
std::vector<wire::vm_record> basic_node<Ports>::Vms() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.vms;
}

template <node_ports Ports>
std::map<std::string, wire::drain_order> basic_node<Ports>::Drains() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.control.drains();
}

template <node_ports Ports>
bool basic_node<Ports>::FitsSomewhere(const resources& needs) const {
  const std::scoped_lock lock{cell_.mutex};
  // Nothing is known of the VMs before the list was read: the owner will tell.
  return cell_.vms.empty() || std::ranges::any_of(cell_.vms, [&](const wire::vm_record& vm) {
           return vm.kind() == wire::VM_WORKER && needs.FitsIn(internal::FromWire(vm.holds()));
         });
}

template <node_ports Ports>
std::optional<closest_vm> basic_node<Ports>::ClosestWorker(const resources& needs) const {
  const std::scoped_lock lock{cell_.mutex};
  ledger listed;
  for (const auto& vm : cell_.vms) {
    if (vm.kind() == wire::VM_WORKER) {
      listed.SetVm({.vm = vm_id{vm.vm()},
                    .region = region_id{vm.region()},
                    .failure_domain = failure_domain_id{vm.failure_domain()},
                    .rack = rack_id{vm.rack()},
                    .holds = internal::FromWire(vm.holds())});
    }
  }
  return ClosestVm(listed, needs);
}

template <node_ports Ports>
std::optional<job_entry> basic_node<Ports>::JobHere(const std::string& customer,
                                                    const std::string& job) {
  auto& item = *slots_.at(HomeOf(customer, job));
  const std::scoped_lock lock{item.mutex};
  const auto* const found = item.value.state().FindJob({customer, job});
  return found == nullptr ? std::nullopt : std::optional{*found};
}

template <node_ports Ports>
boost::json::value basic_node<Ports>::Dump(const step_time& at) {
  boost::json::object dump;
  boost::json::array shards;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    shards.push_back(item->value.Dump(at.now));
  }
  const std::scoped_lock lock{cell_.mutex};
  dump["entry"] = settings_.self.entry.value();
  dump["incarnation"] = settings_.self.incarnation;
  dump["region"] = settings_.region.value();
  dump["failure_domain"] = settings_.failure_domain.value();
  dump["ready"] = cell_.config_known && !cell_.stopping;
  dump["stopping"] = cell_.stopping;
  dump["log_up"] = LogUp(at.now);
  dump["config_version"] = cell_.control.configuration().version();
  dump["control_offset"] = cell_.reader.next_offset();
  dump["open_calls"] = cell_.calls.size();
  const auto status = cell_.appender.Status();
  dump["log_waiting_records"] = status.waiting_records;
  dump["log_waiting_bytes"] = status.waiting_bytes;
  boost::json::array members;
  for (const auto& [entry, known] : cell_.members.all()) {
    boost::json::object row;
    row["entry"] = entry.value();
    row["incarnation"] = known.who.incarnation;
    row["live"] = cell_.members.IsLive(known.who, at.now);
    row["listed"] = cell_.members.IsListed(known.who);
    row["leaving"] = known.leaving;
    row["config_version"] = known.version;
    row["http"] = known.http_address;
    row["peer"] = known.peer_address;
    members.push_back(std::move(row));
  }
  dump["members"] = std::move(members);
  dump["shards"] = std::move(shards);
  return dump;
}

template <node_ports Ports>
node_figures basic_node<Ports>::Figures(time_point now) const {
  node_figures figures;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    figures.shards_served += item->value.Serving(now) ? 1 : 0;
  }
  const std::scoped_lock lock{cell_.mutex};
  const auto status = cell_.appender.Status();
  figures.open_calls = cell_.calls.size();
  figures.live_members = cell_.members.Live(now).size();
  figures.log_waiting_records = status.waiting_records;
  figures.log_waiting_bytes = status.waiting_bytes;
  figures.version = cell_.control.configuration().version();
  figures.ready = cell_.config_known && !cell_.stopping;
  figures.log_up = LogUp(now);
  return figures;
}

template <node_ports Ports>
std::vector<vm_explanation> basic_node<Ports>::Explain(const placement_request& request,
                                                       const step_time& at) {
  std::vector<vm_explanation> all;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    if (item->value.Serving(at.now)) {
      const auto part = item->value.Explain(request);
      all.insert(all.end(), part.begin(), part.end());
    }
  }
  return all;
}

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_IMPL_H_
