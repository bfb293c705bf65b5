#ifndef TEST_ROSEARCH_SHARD_SHARD_CELL_H_
#define TEST_ROSEARCH_SHARD_SHARD_CELL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/shard/shard.h"

namespace rosearch::test {

inline const party kOwner{entry_id{"a"}, 1};
inline const party kWitness{entry_id{"b"}, 2};
inline const party kArbiter{entry_id{"c"}, 3};

/// One shard at several entries with one clock and instant messages, a log that may go down and a
/// list that shows entries while they run.
class shard_cell {
 public:
  /// @param members  the first owns the shard, the second is its witness, the third its arbiter.
  explicit shard_cell(const std::vector<party>& members) {
    for (const auto& who : members) {
      entries_.try_emplace(who, 0, region_id{"south"}, who, shard_settings{}, 1);
    }
    SetLog(true);
    control_.push_back({0, 1, 0, members.at(0), members.at(1), members.at(2)});
    Run(std::chrono::seconds{1});
  }

  [[nodiscard]] shard& At(const party& who) { return entries_.at(who); }
  [[nodiscard]] bool IsThere(const party& who) const { return entries_.contains(who); }
  [[nodiscard]] bool Serves(const party& who) { return IsThere(who) && At(who).Serving(now_); }

  /// Ends a process at once.
  void Lose(const party& who) {
    entries_.erase(who);
    stopping_.erase(who);
    lost_at_[who] = now_;
  }

  /// Begins a planned stop; the process ends once it has left.
  void Stop(const party& who) { stopping_.insert(who); }

  /// Starts another process, which knows nothing.
  void Join(const party& who) {
    auto& entry =
        entries_.try_emplace(who, 0, region_id{"south"}, who, shard_settings{}, 1).first->second;
    entry.SetLogUp(log_up_);
    shard_output out;
    for (const auto& each : history_) entry.OnAssignment(each, Now(), out);
    Take(who, out);
  }

  void SetLog(bool up) {
    log_up_ = up;
    for (auto& [who, entry] : entries_) entry.SetLogUp(up);
  }

  /// Whether the log takes records of the shard; reads and claims go on.
  void SetAppends(bool taken) { appends_taken_ = taken; }

  /// Whether messages between entries wait; none is lost.
  void HoldMessages(bool held) { held_ = held; }

  /// Whether entries hear of one another beyond the messages of the shard's pair.
  void SetStandbys(bool there) { standbys_there_ = there; }

  void Run(duration span) {
    for (const auto end = now_ + span; now_ < end; now_ += kTick) Step();
  }

  /// Runs until something holds.
  /// @return whether it did within the span.
  template <typename Condition>
  [[nodiscard]] bool RunUntil(duration span, Condition condition) {
    for (const auto end = now_ + span; now_ < end && !condition();) Run(kTick);
    return condition();
  }

  /// The entry claims the shard through the log.
  void Claim(const party& who) {
    shard_output out;
    At(who).BeginClaim(Now(), out);
    Take(who, out);
    Deliver();
  }

  /// Submits a job of one task that ends, as no worker has room, when its deadline has passed.
  void Submit(const party& owner, const std::string& job, std::uint32_t deadline_ms) {
    wire::call call;
    auto& spec = *call.mutable_submit()->mutable_job()->mutable_spec();
    spec.set_customer("trinacria");
    spec.set_job(job);
    spec.set_count(1);
    spec.set_deadline_ms(deadline_ms);
    (void)Ask(owner, call);
  }

  /// Asks how a job stands.
  /// @return the answer that came at once, or none.
  [[nodiscard]] std::optional<wire::call_answer> Status(const party& owner,
                                                        const std::string& job) {
    wire::call call;
    call.mutable_status()->set_customer("trinacria");
    call.mutable_status()->set_job(job);
    return Ask(owner, call);
  }

  /// @return whether a caller is told that the job has ended.
  [[nodiscard]] bool TellsEnd(const party& owner, const std::string& job) {
    const auto answer = Status(owner, job);
    return answer && answer->job().tasks_size() == 1 &&
           answer->job().tasks(0).state() == wire::TASK_ENDED;
  }

  /// @return whether the entry's own state has the job as ended.
  [[nodiscard]] bool KnowsEnd(const party& who, const std::string& job) {
    const auto* const found = At(who).state().FindJob({"trinacria", job});
    return found != nullptr && found->Ended();
  }

  [[nodiscard]] bool MoveToWitness(const party& owner) {
    shard_output out;
    const bool begun = At(owner).BeginTransfer(owner, Now(), out);
    Take(owner, out);
    Deliver();
    return begun;
  }

 private:
  static constexpr duration kTick = std::chrono::milliseconds{50};

  [[nodiscard]] step_time Now() const { return {now_, 1}; }

  void Step() {
    std::vector<party> left;
    for (auto& [who, entry] : entries_) {
      shard_output out;
      entry.SetPeers(PeersOf(who));
      entry.SetCandidates(PeersOf(who).standbys);
      entry.OnListProof(now_, Now(), out);
      for (const auto& [gone, since] : lost_at_) entry.OnPartyGone(gone, since, now_, Now(), out);
      if (log_up_) {
        entry.OnLogEnd(now_, Now(), out);
        ReadStream(entry, out);
      }
      entry.Tick(Now(), out);
      if (stopping_.contains(who)) entry.Leave(true, Now(), out);
      Take(who, out);
      Append(who, entry);
      if (stopping_.contains(who) && entry.HasLeft()) left.push_back(who);
    }
    Deliver();
    for (const auto& who : left) Lose(who);
  }

  [[nodiscard]] shard_peers PeersOf(const party& self) {
    shard_peers peers;
    if (!standbys_there_) return peers;
    for (auto& [who, entry] : entries_) {
      if (who == self) continue;
      peers.sources.push_back(who);
      if (!stopping_.contains(who)) peers.standbys.push_back(who);
      peers.served_elsewhere = peers.served_elsewhere || entry.Serving(now_);
    }
    return peers;
  }

  void ReadStream(shard& entry, shard_output& out) {
    if (!entry.WantsStream()) return;
    for (const auto& [author, batch] : stream_) entry.OnStreamBatch(author, batch);
    entry.OnStreamEnd(now_, Now(), out);
  }

  void Append(const party& who, shard& entry) {
    if (!log_up_ || !appends_taken_) return;
    auto batch = entry.TakeForLog();
    if (!batch) return;
    const auto last =
        batch->first_sequence() + static_cast<std::uint64_t>(batch->records_size()) - 1;
    stream_.emplace_back(ToText(who), std::move(*batch));
    shard_output out;
    entry.OnLogDurable(last, Now(), out);
    Take(who, out);
  }

  std::optional<wire::call_answer> Ask(const party& owner, const wire::call& call) {
    answers_.clear();
    shard_output out;
    At(owner).OnCall({"caller", 1, ++calls_}, call, Now(), out);
    Take(owner, out);
    Deliver();
    return answers_.empty() ? std::nullopt : std::optional{answers_.front()};
  }

  void Take(const party& from, shard_output& out) {
    for (auto& send : out.peers) sent_.emplace_back(from, std::move(send));
    for (const auto& claim : out.claims) control_.push_back(claim);
    for (auto& each : out.answers) answers_.push_back(std::move(each.answer));
  }

  void Deliver() {
    while ((!sent_.empty() && !held_) || (log_up_ && !control_.empty())) {
      if (log_up_ && !control_.empty()) {
        TakeClaim(control_.front());
        control_.pop_front();
        continue;
      }
      const auto [from, send] = std::move(sent_.front());
      sent_.pop_front();
      const auto to = entries_.find(send.to);
      if (to == entries_.end()) continue;
      shard_output out;
      Receive(to->second, from, send.message, out);
      Take(to->first, out);
    }
  }

  void TakeClaim(const assignment& next) {
    const auto newest = history_.empty() ? 0 : history_.back().epoch;
    if (next.previous_epoch != newest) return;
    history_.push_back(next);
    for (auto& [who, entry] : entries_) {
      shard_output out;
      entry.OnAssignment(next, Now(), out);
      Take(who, out);
    }
  }

  void Receive(shard& entry, const party& from, const wire::peer_message& message,
               shard_output& out) {
    if (message.has_pair()) {
      entry.OnPair(from, message.pair(), Now(), out);
    } else if (message.has_records()) {
      entry.OnReplicate(from, message.records(), Now(), out);
    } else if (message.has_acked()) {
      entry.OnReplicateAck(from, message.acked(), Now(), out);
    } else if (message.has_find_replica()) {
      entry.OnReplicaRequest(from, message.find_replica(), out);
    } else if (message.has_replica()) {
      entry.OnReplicaAnswer(from, message.replica(), Now(), out);
    }
  }

  std::map<party, shard> entries_;
  std::set<party> stopping_;
  std::map<party, time_point> lost_at_;
  std::deque<assignment> control_;  ///< on their way to the log
  std::vector<assignment> history_;
  std::vector<std::pair<std::string, wire::shard_batch>> stream_;
  std::deque<std::pair<party, peer_send>> sent_;
  std::vector<wire::call_answer> answers_;
  std::uint64_t calls_{0};
  bool log_up_{false};
  bool appends_taken_{true};
  bool held_{false};
  bool standbys_there_{true};
  time_point now_{std::chrono::seconds{1000}};
};

}  // namespace rosearch::test

#endif  // TEST_ROSEARCH_SHARD_SHARD_CELL_H_
