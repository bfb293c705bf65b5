#ifndef ROSEARCH_NODE_INTERNAL_NODE_PLATFORM_H_
#define ROSEARCH_NODE_INTERNAL_NODE_PLATFORM_H_

// The control stream, appends and the VM list.

#include "rosearch/node/internal/node_constants.h"
#include "rosearch/node/node.h"

namespace rosearch {

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

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_PLATFORM_H_
