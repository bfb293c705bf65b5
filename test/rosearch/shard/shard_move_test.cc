#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <utility>

#include "rosearch/shard/shard.h"

namespace rosearch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const party kOwner{entry_id{"a"}, 1};
const party kWitness{entry_id{"b"}, 2};
const party kArbiter{entry_id{"c"}, 3};
constexpr milliseconds kTick{50};

/// One shard at three entries with one clock and instant messages, among them a control log that
/// may go down.
class moving_shard {
 public:
  moving_shard() {
    for (const auto& who : {kOwner, kWitness, kArbiter}) {
      entries_.try_emplace(who, 0, region_id{"south"}, who, shard_settings{}, 1);
    }
    SetLog(true);
    log_.push_back({0, 1, 0, kOwner, kWitness, kArbiter});
    Run(seconds{1});
  }

  [[nodiscard]] shard& At(const party& who) { return entries_.at(who); }
  [[nodiscard]] bool Serves(const party& who) { return At(who).Serving(now_); }

  void Lose(const party& who) { entries_.erase(who); }

  void SetLog(bool up) {
    log_up_ = up;
    for (auto& [who, entry] : entries_) entry.SetLogUp(up);
  }

  void Run(duration span) {
    for (const auto end = now_ + span; now_ < end; now_ += kTick) {
      for (auto& [who, entry] : entries_) {
        shard_output out;
        entry.OnListProof(now_, Now(), out);
        if (log_up_) entry.OnLogEnd(now_, Now(), out);
        if (log_up_ && entry.WantsStream()) entry.OnStreamEnd(now_, Now(), out);
        entry.Tick(Now(), out);
        Take(who, out);
      }
      Deliver();
    }
  }

  void Submit(const party& owner) {
    wire::call call;
    auto& spec = *call.mutable_submit()->mutable_job()->mutable_spec();
    spec.set_customer("trinacria");
    spec.set_job("swap");
    spec.set_count(1);
    shard_output out;
    At(owner).OnCall({"a", 1, 1}, call, Now(), out);
    Take(owner, out);
    Deliver();
  }

  [[nodiscard]] bool MoveToWitness() {
    shard_output out;
    const bool begun = At(kOwner).BeginTransfer(kOwner, Now(), out);
    Take(kOwner, out);
    Deliver();
    return begun;
  }

 private:
  [[nodiscard]] step_time Now() const { return {now_, 1}; }

  void Take(const party& from, shard_output& out) {
    for (auto& send : out.peers) sent_.emplace_back(from, std::move(send));
    for (const auto& claim : out.claims) log_.push_back(claim);
  }

  void Deliver() {
    while (!sent_.empty() || (log_up_ && !log_.empty())) {
      if (log_up_ && !log_.empty()) {
        const auto next = log_.front();
        log_.pop_front();
        for (auto& [who, entry] : entries_) {
          shard_output out;
          entry.OnAssignment(next, Now(), out);
          Take(who, out);
        }
        continue;
      }
      const auto [from, send] = std::move(sent_.front());
      sent_.pop_front();
      const auto to = entries_.find(send.to);
      if (to == entries_.end()) continue;
      shard_output out;
      if (send.message.has_pair()) {
        to->second.OnPair(from, send.message.pair(), Now(), out);
      } else if (send.message.has_records()) {
        to->second.OnReplicate(from, send.message.records(), Now(), out);
      } else if (send.message.has_acked()) {
        to->second.OnReplicateAck(from, send.message.acked(), Now(), out);
      }
      Take(to->first, out);
    }
  }

  std::map<party, shard> entries_;
  std::deque<assignment> log_;
  std::deque<std::pair<party, peer_send>> sent_;
  bool log_up_{false};
  time_point now_{seconds{1000}};
};

}  // namespace

// Guards against a shard that is lost with its new owner because it moved in the moment in which
// the log went down: the new owner had no witness before its own claim was on the log.
TEST_CASE("a shard that moved has a second holder while the log is down",
          "[single-run][at-most-once]") {
  moving_shard cell;
  REQUIRE(cell.Serves(kOwner));
  REQUIRE(cell.At(kOwner).rights().WitnessActive());
  cell.Submit(kOwner);
  cell.Run(milliseconds{200});
  REQUIRE(cell.MoveToWitness());
  cell.SetLog(false);
  cell.Run(seconds{1});
  CHECK(cell.Serves(kWitness));
  CHECK_FALSE(cell.Serves(kOwner));
  CHECK(cell.At(kWitness).rights().WitnessActive());
  CHECK(cell.At(kWitness).state().jobs().size() == 1);
  cell.Lose(kWitness);
  cell.Run(seconds{5});
  CHECK(cell.Serves(kOwner));
  CHECK(cell.At(kOwner).state().jobs().size() == 1);
}

// Guards against an owner that gives its right up although the record that names the next one can't
// reach the log.
TEST_CASE("no shard moves while the log is down", "[single-run]") {
  moving_shard cell;
  cell.SetLog(false);
  CHECK_FALSE(cell.MoveToWitness());
  cell.Run(seconds{5});
  CHECK(cell.Serves(kOwner));
  CHECK(cell.At(kOwner).rights().WitnessActive());
}

}  // namespace rosearch
