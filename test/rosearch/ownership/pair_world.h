#ifndef ROSEARCH_TEST_OWNERSHIP_PAIR_WORLD_H_
#define ROSEARCH_TEST_OWNERSHIP_PAIR_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/core/random_source.h"
#include "rosearch/ownership/assignment_chain.h"
#include "rosearch/ownership/shard_rights.h"

namespace rosearch::testing {

using namespace std::chrono_literals;

/// What a run found.
struct pair_report {
  std::string breach;  ///< empty: none
  bool alive_at_end{};
  std::map<right_change, int> events;
  std::map<wire::ruling, int> rulings;  ///< given by arbiters
  int acting_steps{};
  int steps{};
};

/// Several entries, one shard, one log, one VM list and the network between them, under faults
/// drawn from one seed. Real time is counted from zero; each process has a clock of its own.
template <typename Rules>
class pair_world {
 public:
  explicit pair_world(std::uint64_t seed) : random_{seed} {
    settings_.list_lag = 3s;
    const auto count = random_.Between(3, 5);
    for (std::int64_t i = 0; i < count; ++i) entries_.emplace_back();
    for (std::size_t i = 0; i < entries_.size(); ++i) Start(i);
  }

  /// Runs that many steps under faults, then mends everything and lets two minutes pass.
  pair_report Run(int steps) {
    for (int i = 0; i < steps && report_.breach.empty(); ++i) {
      Disturb();
      Step();
    }
    Mend();
    for (int i = 0; i < 2400 && report_.breach.empty(); ++i) Step();
    report_.alive_at_end = now_ - last_acted_ < 10s;
    if (!report_.alive_at_end && report_.breach.empty()) {
      report_.breach = "nobody acts at the end";
      for (const auto& one : entries_) {
        if (one.run) report_.breach += "\n  " + one.run->machine.Dump();
      }
    }
    return report_;
  }

 private:
  using rights = basic_shard_rights<Rules>;

  struct read {
    duration answer_at;
    duration asked_at;
    std::size_t upto;
  };
  struct list_read {
    duration answer_at;
    duration asked_at;
    std::vector<party> shown;
  };
  struct process {
    party self;
    double rate;
    duration offset;
    rights machine;
    assignment_chain chain{0};
    std::size_t cursor{};
    std::optional<read> log_read{};
    std::optional<list_read> vm_read{};
    duration next_read{};
    duration next_list{};
    duration frozen_until{};
    duration log_cut_until{};
    duration stop_at{duration::max()};
    std::map<party, time_point> absent_since{};
    bool fenced{};  // an acquired event came after the last moment without the right
  };
  struct listing {
    duration from;
    duration to{duration::max()};
  };
  struct entry {
    std::optional<process> run;
    duration start_at{};
  };
  struct letter {
    duration arrive_at;
    party from;
    party to;
    wire::pair_message message;
  };
  struct append {
    duration apply_at;
    assignment value;
  };

  [[nodiscard]] duration Upto(duration most) { return duration{random_.Between(0, most.count())}; }

  [[nodiscard]] time_point Local(const process& one, duration real) const {
    return time_point{one.offset + duration{static_cast<duration::rep>(
                                       static_cast<double>(real.count()) * one.rate)}};
  }

  void Start(std::size_t index) {
    const party self{NameOf(index), ++incarnations_};
    const auto rate = 1.0 + static_cast<double>(random_.Between(-49, 49)) / 10000.0;
    entries_[index].run.emplace(process{self, rate, Upto(1000s), rights{0, self, settings_}});
    listed_[self] = {now_};
  }

  void Kill(std::size_t index) {
    auto& one = entries_[index];
    if (!one.run) return;
    auto& shown = listed_[one.run->self];
    shown.to = std::min(shown.to, now_ + Upto(1s));
    one.run.reset();
    one.start_at = now_ + Upto(random_.Chance(0.5) ? duration{500ms} : duration{20s});
  }

  void Step() {
    now_ += 5ms + Upto(90ms);
    ++report_.steps;
    Check();
    ApplyAppends();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      auto& one = entries_[i];
      if (!one.run && now_ >= one.start_at) Start(i);
      if (one.run && now_ >= one.run->stop_at) Kill(i);
      if (one.run && now_ >= one.run->frozen_until) Live(*one.run);
    }
    Check();
    ClaimWhereNobodyActs();
  }

  // The invariant. A frozen process is asked too: its deadline alone has to keep the others out.
  void Check() {
    int acting = 0;
    for (auto& one : entries_) {
      if (!one.run) continue;
      auto& run = *one.run;
      if (!run.machine.MayAct(Local(run, now_))) {
        run.fenced = false;
        continue;
      }
      ++acting;
      if (!run.fenced && report_.breach.empty()) {
        // Held now, and not before its last input: that input had to say so.
        report_.breach = "right without an event: " + run.machine.Dump();
      }
    }
    if (acting > 0) last_acted_ = now_;
    report_.acting_steps += acting > 0 ? 1 : 0;
    if (acting < 2 || !report_.breach.empty()) return;
    report_.breach = "two holders at step " + std::to_string(report_.steps);
    for (const auto& one : entries_) {
      if (one.run) report_.breach += "\n  " + one.run->machine.Dump();
    }
  }

  void ApplyAppends() {
    std::stable_sort(appends_.begin(), appends_.end(),
                     [](const auto& a, const auto& b) { return a.apply_at < b.apply_at; });
    while (!appends_.empty() && appends_.front().apply_at <= now_) {
      log_.push_back(appends_.front().value);
      appends_.erase(appends_.begin());
    }
  }

  void Live(process& run) {
    rights_output out;
    const auto local = Local(run, now_);
    // What it held when it woke up; an event has to come between losing and regaining it.
    if (!run.machine.MayAct(local)) run.fenced = false;
    FinishRead(run, local, out);
    FinishList(run, local, out);
    Receive(run, local, out);
    if (run.machine.newest() && random_.Chance(0.05)) run.machine.SetWitnessReady(true);
    if (random_.Chance(0.02)) run.machine.SetCandidates(Candidates(run));
    run.machine.Tick(local, out);
    Emit(run, out);
  }

  void Emit(process& run, const rights_output& out) {
    for (const auto& event : out.events) {
      ++report_.events[event.change];
      run.fenced = event.change != right_change::kLost;
    }
    for (const auto& given : out.rulings) {
      if (given.as_arbiter) ++report_.rulings[given.ruling];
    }
    for (const auto& claim : out.appends) {
      if (run.log_cut_until > now_) continue;
      if (log_down_until_ > now_ && !random_.Chance(0.1)) continue;
      const auto slow = random_.Chance(0.1) ? Upto(8s) : Upto(100ms);
      appends_.push_back({now_ + slow, claim});
      // A lost answer: the appender writes the same record once more.
      if (random_.Chance(0.1)) appends_.push_back({now_ + Upto(3s), claim});
    }
    for (const auto& envelope : out.messages) Post(run.self, envelope);
  }

  void Post(const party& from, const pair_envelope& envelope) {
    const auto cut = cuts_.find({from.entry, envelope.to.entry});
    if (cut != cuts_.end() && cut->second > now_) return;
    if (random_.Chance(loss_)) return;
    const int copies = random_.Chance(loss_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto delay = random_.Chance(loss_) ? Upto(10s) : Upto(40ms);
      letters_.push_back({now_ + delay, from, envelope.to, envelope.message});
    }
  }

  void Receive(process& run, time_point local, rights_output& out) {
    std::vector<letter> due;
    const auto mine = [&](const letter& one) {
      return one.to.entry == run.self.entry && one.arrive_at <= now_;
    };
    std::copy_if(letters_.begin(), letters_.end(), std::back_inserter(due), mine);
    std::erase_if(letters_, mine);
    std::stable_sort(due.begin(), due.end(),
                     [](const auto& a, const auto& b) { return a.arrive_at < b.arrive_at; });
    for (const auto& one : due) run.machine.OnMessage(one.from, one.message, local, out);
  }

  void FinishRead(process& run, time_point local, rights_output& out) {
    if (run.log_read && now_ >= run.log_read->answer_at) {
      const auto done = *std::exchange(run.log_read, std::nullopt);
      for (; run.cursor < done.upto; ++run.cursor) {
        if (run.chain.Apply(log_[run.cursor])) {
          run.machine.OnAssignment(log_[run.cursor], local, out);
        }
      }
      run.machine.OnLogEnd(Local(run, done.asked_at), local, out);
    }
    if (run.log_read || now_ < run.next_read || std::max(log_down_until_, run.log_cut_until) > now_)
      return;
    const auto slow = random_.Chance(0.03) ? Upto(5s) : Upto(60ms);
    run.log_read = read{now_ + slow, now_, log_.size()};
    run.next_read = now_ + 50ms + Upto(300ms);
  }

  void FinishList(process& run, time_point local, rights_output& out) {
    if (run.vm_read && now_ >= run.vm_read->answer_at) {
      const auto done = *std::exchange(run.vm_read, std::nullopt);
      TakeList(run, done, local, out);
    }
    if (run.vm_read || now_ < run.next_list || list_down_until_ > now_) return;
    // The list shows the state of some moment within its lag.
    const auto seen_at = now_ - Upto(settings_.list_lag);
    list_read next{now_ + Upto(random_.Chance(0.05) ? duration{3s} : duration{50ms}), now_, {}};
    for (const auto& [who, shown] : listed_) {
      if (shown.from <= seen_at && seen_at < shown.to) next.shown.push_back(who);
    }
    run.vm_read = std::move(next);
    run.next_list = now_ + 200ms + Upto(400ms);
  }

  void TakeList(process& run, const list_read& done, time_point local, rights_output& out) {
    const auto asked = Local(run, done.asked_at);
    for (const auto& [who, shown] : listed_) {
      const bool here = std::find(done.shown.begin(), done.shown.end(), who) != done.shown.end();
      if (who == run.self) {
        if (here) run.machine.OnListProof(asked, local, out);
      } else if (here) {
        run.absent_since.erase(who);
        run.machine.OnPartySeen(who);
      } else if (IsNamed(who)) {
        const auto since = run.absent_since.emplace(who, local).first->second;
        run.machine.OnPartyGone(who, since, asked, local, out);
      }
    }
  }

  [[nodiscard]] bool IsNamed(const party& who) const {
    return std::any_of(log_.begin(), log_.end(), [&who](const auto& one) {
      return one.owner == who || one.witness == who || one.arbiter == who;
    });
  }

  [[nodiscard]] std::vector<party> Candidates(const process& run) {
    std::vector<party> all;
    for (const auto& one : entries_) {
      if (one.run && one.run->self != run.self) all.push_back(one.run->self);
    }
    if (all.empty()) return all;
    const auto first = random_.Between(0, static_cast<std::int64_t>(all.size()) - 1);
    std::rotate(all.begin(), all.begin() + first, all.end());
    return all;
  }

  [[nodiscard]] std::optional<party> AnyOther(const process& run) {
    const auto all = Candidates(run);
    if (all.empty() || random_.Chance(0.1)) return std::nullopt;
    return all.front();
  }

  [[nodiscard]] process* AnyAwake() {
    auto& one = entries_[static_cast<std::size_t>(
        random_.Between(0, static_cast<std::int64_t>(entries_.size()) - 1))];
    return one.run && one.run->frozen_until <= now_ ? &*one.run : nullptr;
  }

  void Claim(process& run) {
    rights_output out;
    const auto newest = run.machine.newest();
    if (newest) {
      run.machine.BeginClaim(*newest, AnyOther(run), Local(run, now_), out);
    } else {
      run.machine.BeginFirstClaim(AnyOther(run), Local(run, now_), out);
    }
    Emit(run, out);
  }

  // Stands for the node, which claims a shard that nobody serves.
  void ClaimWhereNobodyActs() {
    if (now_ - last_acted_ < 6s || now_ - last_claim_ < 5s) return;
    auto* const run = AnyAwake();
    if (run == nullptr || !run->machine.IsClaimable(Local(*run, now_))) return;
    last_claim_ = now_;
    Claim(*run);
  }

  void Disturb() {
    const auto index = static_cast<std::size_t>(
        random_.Between(0, static_cast<std::int64_t>(entries_.size()) - 1));
    auto& one = entries_[index];
    if (random_.Chance(0.002)) Kill(index);
    if (random_.Chance(0.008) && one.run) Freeze(*one.run);
    if (random_.Chance(0.006)) Cut(index);
    if (random_.Chance(0.001)) log_down_until_ = now_ + Upto(40s);
    if (random_.Chance(0.001)) list_down_until_ = now_ + Upto(20s);
    if (random_.Chance(0.005)) loss_ = random_.Chance(0.5) ? 0.01 : 0.2;
    if (random_.Chance(0.0015) && one.run) Stop(*one.run);
    if (random_.Chance(0.006)) Transfer();
    if (random_.Chance(0.003)) {
      if (auto* const run = AnyAwake()) Claim(*run);
    }
    if (random_.Chance(0.001)) ClaimTwice();
    if (random_.Chance(0.002)) CutPairOff(index);
  }

  void Freeze(process& run) {
    run.frozen_until = now_ + Upto(random_.Chance(0.5) ? duration{5s} : duration{40s});
    // The platform may take a VM that doesn't answer for gone while its process still runs.
    if (random_.Chance(0.3)) Delist(run);
  }

  void Delist(process& run) {
    auto& shown = listed_[run.self];
    shown.to = std::min(shown.to, now_ + Upto(5s));
    run.stop_at = std::min(run.stop_at, now_ + 20s + Upto(60s));
  }

  void Cut(std::size_t index) {
    const auto other = static_cast<std::size_t>(
        random_.Between(0, static_cast<std::int64_t>(entries_.size()) - 1));
    const auto until = now_ + Upto(random_.Chance(0.5) ? duration{4s} : duration{30s});
    const auto one = NameOf(index);
    const auto two = NameOf(other);
    cuts_[{one, two}] = until;
    if (random_.Chance(0.5)) cuts_[{two, one}] = until;
    if (random_.Chance(0.1) && entries_[index].run) Delist(*entries_[index].run);
  }

  // Two entries lose everybody else and sometimes the log, and the platform takes their VMs for
  // gone, but they run on and hear each other.
  void CutPairOff(std::size_t index) {
    const auto other = (index + 1) % entries_.size();
    const auto until = now_ + 10s + Upto(50s);
    const bool without_log = random_.Chance(0.7);
    for (const auto one : {index, other}) {
      auto& run = entries_[one].run;
      if (!run) continue;
      Delist(*run);
      if (without_log) run->log_cut_until = until;
      for (std::size_t far = 0; far < entries_.size(); ++far) {
        if (far == index || far == other) continue;
        cuts_[{NameOf(one), NameOf(far)}] = until;
        cuts_[{NameOf(far), NameOf(one)}] = until;
      }
    }
  }

  [[nodiscard]] static entry_id NameOf(std::size_t index) {
    return entry_id{"e" + std::to_string(index)};
  }

  void Stop(process& run) {
    if (run.frozen_until > now_) return;
    rights_output out;
    run.machine.HandOver(Local(run, now_), out);
    run.machine.Resign(Local(run, now_), out);
    run.stop_at = std::min(run.stop_at, now_ + Upto(8s));
    Emit(run, out);
  }

  void Transfer() {
    for (auto& one : entries_) {
      if (!one.run || one.run->frozen_until > now_) continue;
      auto& run = *one.run;
      const auto all = Candidates(run);
      if (all.empty() || !run.machine.MayAct(Local(run, now_))) continue;
      rights_output out;
      run.machine.BeginTransferTo(all.front(),
                                  random_.Chance(0.5) ? std::optional{run.self} : std::nullopt,
                                  Local(run, now_), out);
      Emit(run, out);
    }
  }

  void ClaimTwice() {
    for (auto& one : entries_) {
      if (one.run && one.run->frozen_until <= now_ && random_.Chance(0.6)) Claim(*one.run);
    }
  }

  void Mend() {
    cuts_.clear();
    loss_ = 0;
    log_down_until_ = list_down_until_ = now_;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      auto& one = entries_[i];
      if (!one.run) continue;
      one.run->frozen_until = std::min(one.run->frozen_until, now_);
      one.run->log_cut_until = now_;
      if (one.run->stop_at != duration::max() || listed_[one.run->self].to != duration::max()) {
        Kill(i);
      }
    }
  }

  random_source random_;
  rights_settings settings_;
  pair_report report_;
  duration now_{};
  duration last_acted_{};
  duration last_claim_{-10s};
  incarnation_number incarnations_{};
  double loss_{0.02};
  duration log_down_until_{};
  duration list_down_until_{};
  std::vector<entry> entries_;
  std::map<party, listing> listed_;
  std::map<std::pair<entry_id, entry_id>, duration> cuts_;
  std::vector<letter> letters_;
  std::vector<append> appends_;
  std::vector<assignment> log_;
};

}  // namespace rosearch::testing

#endif  // ROSEARCH_TEST_OWNERSHIP_PAIR_WORLD_H_
