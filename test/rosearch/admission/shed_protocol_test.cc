// Leaders, their store and entries with the decisions of this module and without any transport.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rosearch/admission/id_filter.h"
#include "rosearch/admission/shed_lease.h"
#include "rosearch/admission/shed_table.h"

namespace rosearch::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kConfig = 1;

/// What the store keeps of a cell.
struct model_store {
  std::uint64_t fence{0};
  std::set<std::string> jobs;
  std::vector<shed_record> record;
};

/// The clock of a process: it runs at its own rate and starts anywhere.
struct model_clock {
  double rate{1.0};
  duration offset{};
  [[nodiscard]] time_point At(duration now) const {
    return time_point{
        offset + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>{
                     static_cast<double>(now.count()) * rate})};
  }
};

struct model_reply {
  shed_window window;
  std::optional<id_filter> filter;
};

/// A leader of one queue. It doesn't notice its successor until the store refuses an append.
class model_leader {
 public:
  model_leader(model_store& store, std::uint64_t epoch, model_clock clock, duration now)
      : store_{store}, epoch_{epoch}, clock_{clock} {
    store_.fence = epoch;
    lease_.Restore(store_.record, clock_.At(now));
    known_ = store_.jobs;
  }
  void Close() { lease_.Close("q", kConfig); }
  void Reopen() { lease_.Reopen("q"); }
  /// Sends an append, with the record if it has changed.
  void Append(duration now) {
    const bool has_record = lease_.HasRecord(clock_.At(now));
    const auto batch = ++batch_;
    const auto taken = has_record ? lease_.TakeRecord(batch) : std::vector<shed_record>{};
    appends_.push_back([this, now, has_record, batch, taken] {
      if (store_.fence == epoch_) {
        store_.record = has_record ? taken : store_.record;
        lease_.OnStored(batch);
        lease_.OnStoreConfirmed(clock_.At(now));
      }
    });
  }
  /// Lets the store handle the oldest append.
  void StoreNext() {
    appends_.front()();
    appends_.pop_front();
  }
  void Tick(duration now) {
    grant_ = lease_.Grant(clock_.At(now));
    lease_.OnReplaced(clock_.At(now));
    if (grant_.version != 0 && grant_.version != filter_version_) {
      filter_version_ = grant_.version;
      filter_ = std::make_unique<id_filter>(known_.size(), filter_version_);
      for (const auto& id : known_) {
        filter_->Add(id);
      }
    }
  }
  [[nodiscard]] model_reply Reply(std::uint64_t held_version, duration now) const {
    if (grant_.version == 0 || clock_.At(now) >= grant_.send_until) {
      return {{epoch_, 0, {}}, std::nullopt};
    }
    model_reply reply{{epoch_, grant_.version, {{"host", "/q/", seconds{1}, false}}}, std::nullopt};
    if (held_version != grant_.version) {
      reply.filter = *filter_;
    }
    return reply;
  }
  /// @return whether the job is accepted, now or earlier.
  bool Submit(const std::string& id, duration now) {
    const bool held = lease_.IsHeld("q", kConfig, clock_.At(now));
    if (known_.contains(id)) {
      return true;
    }
    if (held || store_.fence != epoch_) {
      return false;
    }
    known_.insert(id);
    store_.jobs.insert(id);
    return true;
  }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

 private:
  model_store& store_;
  std::uint64_t epoch_;
  model_clock clock_;
  shed_lease lease_;
  std::set<std::string> known_;
  shed_grant grant_;
  std::unique_ptr<id_filter> filter_;
  std::uint64_t filter_version_{0};
  std::uint64_t batch_{0};
  std::deque<std::function<void()>> appends_;
};

struct model_entry {
  shed_table table;
  model_clock clock;

  /// @return the delivery of the reply.
  std::function<void()> Ping(const model_leader& leader, duration sent, duration handled) {
    return [this, sent, reply = leader.Reply(table.FilterVersion(leader.epoch()), handled)] {
      table.Apply(reply.window, reply.filter ? &*reply.filter : nullptr, clock.At(sent));
    };
  }
  [[nodiscard]] bool Refuses(const std::string& id, duration now) const {
    return table.RetryTime({"host", "/q/" + id, true}, clock.At(now)).has_value();
  }
};

enum class event : std::uint8_t { kClose, kAccept, kRetry, kReopen, kChangeLeader };

}  // namespace

// Guards against the refusal of a job whose earlier try was accepted through another entry, with
// the answer lost. A caller who believes the refusal would submit the work again under another id.
TEST_CASE("a retry of an accepted job is not refused in any order of events") {
  std::array order{event::kClose, event::kAccept, event::kRetry, event::kReopen,
                   event::kChangeLeader};
  int refused = 0;
  do {
    for (const duration gap : {milliseconds{20}, milliseconds{300}, milliseconds{1'000}}) {
      for (const bool follows_former : {false, true}) {
        model_store store;
        std::vector<std::unique_ptr<model_leader>> leaders;
        model_entry entry;
        duration now{};
        leaders.push_back(std::make_unique<model_leader>(store, 1, model_clock{}, now));
        const auto live = [&](duration span) {
          for (const auto end = now + span; now < end; now += milliseconds{10}) {
            for (const auto& each : leaders) {
              each->Append(now);
              each->StoreNext();
              each->Tick(now);
            }
            entry.Ping(follows_former ? *leaders.front() : *leaders.back(), now, now)();
          }
        };
        for (const auto next : order) {
          live(gap);
          auto& leader = *leaders.back();
          if (next == event::kClose) {
            leader.Close();
          } else if (next == event::kAccept) {
            leader.Submit("a", now);
          } else if (next == event::kReopen) {
            leader.Reopen();
          } else if (next == event::kChangeLeader) {
            leaders.push_back(std::make_unique<model_leader>(store, 2, model_clock{}, now));
          } else if (entry.Refuses("a", now)) {
            ++refused;
            CHECK_FALSE(store.jobs.contains("a"));
          }
        }
        for (const auto& each : leaders) {
          each->Reopen();
        }
        live(seconds{2});
        CHECK_FALSE(entry.Refuses("b", now));
        CHECK(leaders.back()->Submit("b", now));
      }
    }
  } while (std::ranges::next_permutation(order).found);
  CHECK(refused > 20);
}

// Guards against delays that let an entry refuse a job that some leader has accepted: of calls,
// pings, replies and appends, with leaders that go on after they were replaced and clocks that run
// at different rates.
TEST_CASE("no refused job was accepted before its refusal") {
  constexpr duration kStep = milliseconds{5};
  constexpr duration kLength = seconds{60};
  constexpr double kMaxDrift = 0.02;
  int refused = 0;
  std::size_t accepted = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random{seed};
    const auto draw = [&](int below) {
      return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    const auto clock = [&] {
      return model_clock{1.0 + kMaxDrift * (draw(201) - 100) / 100.0, seconds{1 + draw(1'000)}};
    };
    model_store store;
    std::vector<std::unique_ptr<model_leader>> leaders;
    std::array<model_entry, 4> entries;
    for (auto& entry : entries) {
      entry.clock = clock();
    }
    std::multimap<duration, std::function<void()>> events;
    duration now{};
    const auto later = [&](int max_ms, std::function<void()> action) {
      events.emplace(now + milliseconds{draw(max_ms)}, std::move(action));
    };
    leaders.push_back(std::make_unique<model_leader>(store, 1, clock(), now));
    int next_id = 0;
    for (; now < kLength; now += kStep) {
      while (!events.empty() && events.begin()->first <= now) {
        const auto action = events.extract(events.begin());
        action.mapped()();
      }
      if (draw(800) == 0) {
        leaders.push_back(std::make_unique<model_leader>(store, leaders.size() + 1, clock(), now));
      }
      // The newest leader, or the one before it, which may not have noticed yet.
      auto* const leader = leaders[leaders.size() - 1 - (leaders.size() > 1 ? draw(2) : 0)].get();
      if (draw(150) == 0) {
        leader->Close();
      } else if (draw(300) == 0) {
        leader->Reopen();
      }
      if (draw(20) == 0) {
        leader->Append(now);
        later(300, [leader] { leader->StoreNext(); });
      }
      if (draw(10) == 0) {
        leader->Tick(now);
      }
      auto& entry = entries[draw(4)];
      if (draw(5) == 0) {
        later(200, [&, leader, sent = now, entry = &entry] {
          later(200, entry->Ping(*leader, sent, now));
        });
      }
      // Two attempts out of three are for a job that was submitted lately.
      next_id += draw(3) == 0 ? 1 : 0;
      const auto id = std::to_string(std::max(0, next_id - draw(8)));
      if (entry.Refuses(id, now)) {
        ++refused;
        REQUIRE_FALSE(store.jobs.contains(id));
      } else {
        later(500, [&, leader, id] { leader->Submit(id, now); });
      }
    }
    accepted += store.jobs.size();
  }
  CHECK(refused > 1'000);
  CHECK(accepted > 1'000);
}

}  // namespace rosearch::admission
