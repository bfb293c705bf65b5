#ifndef ROSEARCH_NODE_INTERNAL_NODE_SHARDS_H_
#define ROSEARCH_NODE_INTERNAL_NODE_SHARDS_H_

// Steps of one shard under its lock, and what they ask for.

#include "rosearch/node/internal/node_constants.h"
#include "rosearch/node/node.h"

namespace rosearch {

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
template <typename Step>
void basic_node<Ports>::WithKnownShard(shard_number number, const step_time& at, Step step) {
  if (number < slots_.size()) {
    WithShard(number, at, step);
  }
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

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_SHARDS_H_
