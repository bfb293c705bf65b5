#ifndef ROSEARCH_CELL_INTERNAL_LEADER_INPUTS_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_INPUTS_H_

// Follows the configuration and the worker registry. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
void leader<Ports>::ApplyConfiguration(const sched::stored_record& record) {
  if (record.key != Ports::ConfigurationKey() || record.value.empty()) {
    return;
  }
  auto read = Ports::DecodeConfiguration(record.value);
  if (read.has_error()) {
    log_.Write(event_line{"configuration_unreadable", event_weight::kFailure}
                   .Add("bytes", record.value.size())
                   .Add("detail", read.error().detail));
    return;
  }
  scheduler_.Configure(std::move(read).value(), Now());
  metrics_.Set("rosearch_configuration_version",
               static_cast<double>(scheduler_.configuration().version));
  PostPump();
}

template <typename Ports>
void leader<Ports>::FollowConfiguration() {
  ports_.Read(stream::kConfiguration, configuration_next_, settings_.configuration_poll_timeout,
              Bind([](leader& self, result<log_page> page) {
                if (page.has_error()) {
                  self.RecordStoreAnswer(false);
                  self.After(self.configuration_timer_, self.settings_.store_retry_interval,
                             [](leader& retrying) { retrying.FollowConfiguration(); });
                  return;
                }
                self.RecordStoreAnswer(true);
                if (page.value().trimmed) {
                  self.ReadConfiguration({});
                  return;
                }
                for (const auto& bytes : page.value().records) {
                  if (const auto record = SplitKeyed(bytes)) {
                    self.ApplyConfiguration(*record);
                  }
                }
                self.configuration_next_ = page.value().next;
                self.FollowConfiguration();
              }));
}

template <typename Ports>
void leader<Ports>::ApplyWorkerRecord(const sched::stored_record& record,
                                      std::set<std::string>* seen) {
  if (record.value.empty()) {
    RemoveWorker(record.key);
    return;
  }
  if (seen != nullptr) {
    seen->insert(record.key);
  }
  const auto facts = Ports::DecodeWorker(record.key, record.value);
  if (facts.has_error()) {
    ReportUnusableRecord(record, facts.error().detail);
    return;
  }
  // Would shut out the worker's real records, which are of an earlier time. The platform's clocks
  // may differ from this one by seconds.
  constexpr std::chrono::milliseconds kMaxClockDifference = std::chrono::hours{1};
  if (facts.value().born > Now().wall_ms + kMaxClockDifference.count()) {
    ReportUnusableRecord(record, "born");
    return;
  }
  const auto& pools = scheduler_.configuration().pools;
  if (std::ranges::find(pools, facts.value().pool, &sched::pool_rules::name) == pools.end()) {
    ReportUnusableRecord(record, "pool");
    return;
  }
  pending_removals_.erase(record.key);
  scheduler_.ObserveWorker(facts.value(), Now());
}

// A record of another writer says nothing about a worker that a valid one has named under the same
// key, so the worker keeps its facts.
template <typename Ports>
void leader<Ports>::ReportUnusableRecord(const sched::stored_record& record,
                                         const std::string& cause) {
  constexpr std::size_t kMaxKnownRecords = 10'000;
  if (unusable_records_.size() >= kMaxKnownRecords) {
    unusable_records_.clear();
  }
  if (!unusable_records_.emplace(record.key, std::hash<std::string>{}(record.value)).second) {
    return;
  }
  metrics_.Count("rosearch_worker_records_unusable_total");
  log_.Write(event_line{"worker_record_unusable", event_weight::kFailure}
                 .Add("worker", record.key)
                 .Add("cause", cause)
                 .Add("bytes", record.value.size()));
}

template <typename Ports>
void leader<Ports>::RemoveWorker(const std::string& id) {
  const bool store_was_away =
      store_failed_at_ != time_point{} &&
      SteadyNow() - store_failed_at_ < settings_.registry_grace_period + std::chrono::seconds{4};
  if (store_was_away) {
    pending_removals_.try_emplace(id, SteadyNow() + settings_.registry_grace_period);
  } else {
    scheduler_.UnlistWorker(id, Now());
  }
}

template <typename Ports>
void leader<Ports>::RemoveOverdueWorkers() {
  std::erase_if(pending_removals_, [this](const auto& each) {
    const bool overdue = store_reached_ && SteadyNow() >= each.second;
    if (overdue) {
      scheduler_.UnlistWorker(each.first, Now());
    }
    return overdue;
  });
}

template <typename Ports>
void leader<Ports>::FollowRegistry() {
  After(registry_timer_, settings_.registry_read_interval, [](leader& self) {
    self.ports_.Read(stream::kWorkers, self.registry_next_, duration{},
                     self.Bind([](leader& following, result<log_page> page) {
                       if (page.has_error()) {
                         following.RecordStoreAnswer(false);
                         following.FollowRegistry();
                         return;
                       }
                       following.RecordStoreAnswer(true);
                       if (page.value().trimmed) {
                         following.ReadWorkers({}, false);
                         return;
                       }
                       for (const auto& bytes : page.value().records) {
                         if (const auto record = SplitKeyed(bytes)) {
                           following.ApplyWorkerRecord(*record, nullptr);
                         }
                       }
                       following.registry_next_ = page.value().next;
                       following.WatchNewWorkers();
                       following.PostPump();
                       following.FollowRegistry();
                     }));
  });
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_INPUTS_H_
