#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/cell/leadership_proof.h"
#include "rosearch/cell/predecessor_watch.h"
#include "rosearch/core/random_source.h"

// A model of up to four processes and the log of claims, played through all cuts of their paths. It
// uses the classes that decide in the product; messages, claims and timeouts are those of the
// product in steps of 50 ms.

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxProcesses = 4;
constexpr duration kStep = milliseconds{50};
constexpr duration kPing = milliseconds{200};
constexpr duration kPoll = milliseconds{1'000};
constexpr duration kSuspect = milliseconds{600};
constexpr duration kLength = milliseconds{14'000};
constexpr time_point kStart{milliseconds{100'000}};
constexpr time_point kCutAt = kStart + milliseconds{2'000};

/// Which paths are open. A path is cut one way only where just one of two entries is false.
struct paths {
  std::array<std::array<bool, kMaxProcesses>, kMaxProcesses> peers{};
  std::array<bool, kMaxProcesses> store{};
};

paths AllOpen() {
  paths open;
  for (auto& row : open.peers) {
    row.fill(true);
  }
  open.store.fill(true);
  return open;
}

/// One play: paths that are cut, for how long, and what becomes of messages that are under way.
struct scenario {
  std::size_t processes{2};
  paths cut = AllOpen();
  time_point heals_at{};
  std::optional<paths> later{};  ///< replaces `cut` from `changes_at` on
  time_point changes_at{};
  bool keeps_messages{false};           ///< messages on a cut path arrive once it is open
  std::optional<std::size_t> frozen{};  ///< process that stands still until `thaws_at`
  time_point thaws_at{};
};

/// The rule before: any ping that names the leadership confirms it on arrival, and a successor
/// counts on a silent predecessor.
struct any_ping_proof {
  void OnNoNewerClaim(time_point at) { confirmed_at = std::max(confirmed_at, at); }
  void OnPing(const std::string&, time_point, time_point now) { confirmed_at = now; }
  void Expect(const std::string&, time_point) {}
  [[nodiscard]] bool Holds(time_point now) const {
    return now - confirmed_at < milliseconds{1'500};
  }
  [[nodiscard]] time_point ProvenAt() const { return time_point::max(); }

  time_point confirmed_at{};
};
struct no_watch {
  no_watch() = default;
  no_watch(const std::vector<std::string>&, const std::vector<std::string>&, bool) {}
  void OnFollows(const std::string&) {}
  [[nodiscard]] bool HaveStopped() const { return true; }
};

struct ping {
  std::size_t from{0};
  std::size_t epoch{0};
  time_point heard_at{};
  time_point no_newer_claim_at{};
};

template <typename Proof, typename Watch>
class model {
 public:
  explicit model(const scenario& played) : played_{played} {
    claims_.push_back({0, kStart});
    for (std::size_t id = 0; id < played.processes; ++id) {
      processes_[id].epoch = 1;
      processes_[id].heard_at = kStart;
      processes_[id].read_sent_at = kStart - milliseconds{250} * static_cast<int>(id);
    }
    processes_[0].leads = true;
    processes_[0].stopped_at = kStart;
  }

  /// @return how often an old leader acted, or could have concluded that a lease ended, beside a
  ///         newer one that counts on the opposite.
  int Play() {
    for (now_ = kStart; now_ < kStart + kLength; now_ += kStep) {
      for (std::size_t id = 0; id < played_.processes; ++id) {
        if (!played_.frozen || id != *played_.frozen || !Cut() || now_ >= played_.thaws_at) {
          Step(id);
        }
      }
      Judge();
    }
    return violations_;
  }
  [[nodiscard]] bool FirstLeaderAlwaysActed() const { return always_acted_; }
  [[nodiscard]] std::size_t Claims() const { return claims_.size(); }
  /// @return the longest time for which no leader could act.
  [[nodiscard]] duration LongestPause() const { return longest_pause_; }

 private:
  struct claim {
    std::size_t owner{0};
    time_point at{};
  };
  struct process {
    std::size_t epoch{0};
    bool leads{false};
    time_point heard_at{};  ///< when the leader's last answer arrived
    time_point stamp{};     ///< of that answer
    time_point read_sent_at{};
    time_point read_stamp{};
    time_point claims_date{};
    std::size_t read_epoch{1};
    Proof proof;
    Watch watch;
    std::optional<time_point> stopped_at{};  ///< leader: when its predecessors had stopped
    std::vector<ping> waiting{};             ///< pings that are under way on cut paths
  };

  [[nodiscard]] bool Cut() const { return now_ >= kCutAt && now_ < played_.heals_at; }
  [[nodiscard]] bool Passes(std::size_t from, std::size_t to) const {
    return !Cut() || Paths().peers[from][to];
  }
  [[nodiscard]] bool ReachesStore(std::size_t id) const { return !Cut() || Paths().store[id]; }
  [[nodiscard]] const paths& Paths() const {
    return played_.later && now_ >= played_.changes_at ? *played_.later : played_.cut;
  }
  static std::string Name(std::size_t id) { return std::to_string(id); }

  void Step(std::size_t id) {
    auto& self = processes_[id];
    ReadClaims(id);
    if (self.leads) {
      Lead(id);
    } else {
      Follow(id);
    }
  }

  void Adopt(process& self, std::size_t epoch) {
    if (epoch > self.epoch) {
      self.epoch = epoch;
      self.leads = false;
      self.heard_at = now_;
      self.stamp = self.claims_date = self.read_stamp = {};
    }
  }

  void ReadClaims(std::size_t id) {
    auto& self = processes_[id];
    if (!ReachesStore(id)) {
      self.read_sent_at = now_;
      self.read_stamp = self.leads ? now_ : self.stamp;
      self.read_epoch = self.epoch;
      return;
    }
    if (claims_.size() > self.epoch) {
      Adopt(self, claims_.size());
    } else if (now_ - self.read_sent_at < kPoll) {
      return;
    } else if (self.leads) {
      self.proof.OnNoNewerClaim(self.read_sent_at + kPoll);
    } else if (self.read_epoch == self.epoch && self.read_stamp != time_point{}) {
      self.claims_date = self.read_stamp + kPoll;
    }
    self.read_sent_at = now_;
    self.read_stamp = self.stamp;
    self.read_epoch = self.epoch;
  }

  void Lead(std::size_t id) {
    auto& self = processes_[id];
    for (std::size_t other = 0; other < played_.processes; ++other) {
      // A notice: a process that follows nobody newer learns of this leader.
      if (other != id && Passes(id, other) && Due(kPing, id)) {
        Adopt(processes_[other], self.epoch);
      }
    }
    if (ReachesStore(id) && Due(milliseconds{100}, id)) {
      if (claims_.size() > self.epoch) {
        self.leads = false;
        return;
      }
      self.proof.OnNoNewerClaim(now_);
    }
    std::vector<ping> still_waiting;
    for (const auto& each : self.waiting) {
      if (Passes(each.from, id)) {
        Receive(self, each);
      } else {
        still_waiting.push_back(each);
      }
    }
    self.waiting = still_waiting;
  }

  void Receive(process& self, const ping& from) {
    const bool follows = from.epoch == self.epoch;
    self.proof.OnPing(Name(from.from), follows ? from.heard_at : time_point{}, now_);
    if (follows) {
      self.proof.OnNoNewerClaim(from.no_newer_claim_at);
      self.watch.OnFollows(Name(from.from));
    }
    NoteStop(self);
  }
  void NoteStop(process& self) {
    if (!self.stopped_at && self.watch.HaveStopped()) {
      self.stopped_at = now_;
    }
  }

  void Follow(std::size_t id) {
    auto& self = processes_[id];
    const auto leader = claims_[self.epoch - 1].owner;
    auto& other = processes_[leader];
    if (leader != id && Due(kPing, id)) {
      const ping sent{id, self.epoch, self.stamp, self.claims_date};
      if (Passes(id, leader)) {
        other.waiting.push_back(sent);
        const bool thawed =
            !played_.frozen || *played_.frozen != leader || !Cut() || now_ >= played_.thaws_at;
        if (Passes(leader, id) && thawed && other.leads && other.epoch == self.epoch) {
          self.heard_at = self.stamp = now_;
        }
      } else if (played_.keeps_messages) {
        other.waiting.push_back(sent);
      }
    }
    if (now_ - self.heard_at >= kSuspect + milliseconds{50} * static_cast<int>(id) &&
        ReachesStore(id) && claims_.size() == self.epoch && !PeerHearsLeader(id)) {
      Claim(id);
    }
  }

  [[nodiscard]] bool PeerHearsLeader(std::size_t id) const {
    for (std::size_t other = 0; other < played_.processes; ++other) {
      const auto& peer = processes_[other];
      if (other != id && Passes(id, other) && Passes(other, id) &&
          peer.epoch == processes_[id].epoch && (peer.leads || now_ - peer.heard_at < kSuspect)) {
        return true;
      }
    }
    return false;
  }

  void Claim(std::size_t id) {
    auto& self = processes_[id];
    const bool is_current = now_ - self.heard_at < milliseconds{5'000};
    claims_.push_back({id, now_});
    self.epoch = claims_.size();
    self.leads = true;
    self.proof = Proof{};
    self.proof.OnNoNewerClaim(now_);
    std::vector<std::string> predecessors;
    for (const auto& each : claims_) {
      if (each.owner != id && now_ - each.at < kLength) {
        predecessors.push_back(Name(each.owner));
      }
    }
    std::vector<std::string> others;
    for (std::size_t other = 0; other < played_.processes; ++other) {
      if (other != id) {
        others.push_back(Name(other));
        self.proof.Expect(Name(other), now_);
      }
    }
    self.watch = Watch{predecessors, others, is_current};
    self.stopped_at.reset();
    self.waiting.clear();
    NoteStop(self);
  }

  void Judge() {
    const auto& first = processes_[0];
    always_acted_ = always_acted_ && first.leads && first.proof.Holds(now_);
    bool anyone_acts = false;
    for (std::size_t id = 0; id < played_.processes; ++id) {
      const auto& old = processes_[id];
      anyone_acts = anyone_acts || (old.leads && old.proof.Holds(now_));
      if (old.leads && old.epoch < claims_.size()) {
        JudgeReplaced(old, claims_[old.epoch].at);
      }
    }
    acted_at_ = anyone_acts ? now_ : acted_at_;
    longest_pause_ = std::max(longest_pause_, now_ - acted_at_);
  }

  void JudgeReplaced(const process& old, time_point claimed_at) {
    if (old.proof.Holds(now_) && old.proof.ProvenAt() > claimed_at) {
      ++violations_;  // it could start tasks again whose workers the newer leader has reached
    }
    for (std::size_t epoch = old.epoch + 1; epoch <= claims_.size(); ++epoch) {
      const auto& newer = processes_[claims_[epoch - 1].owner];
      if (!newer.leads || newer.epoch != epoch) {
        continue;
      }
      const auto at = claims_[epoch - 1].at;
      const auto stopped_by =
          newer.stopped_at ? std::max(at, *newer.stopped_at) + leadership_proof_settings{}.timeout
                           : at + leadership_proof_settings{}.max_unconfirmed;
      if (old.proof.Holds(now_) && now_ >= stopped_by) {
        ++violations_;  // it could extend leases that the newer leader takes for expired
      }
    }
  }

  /// @return whether a periodic action of a process is due in this step.
  [[nodiscard]] bool Due(duration interval, std::size_t id) const {
    return (now_ - kStart + kStep * static_cast<int>(id)) % interval == duration{};
  }

  scenario played_;
  time_point now_{};
  std::vector<claim> claims_;
  std::array<process, kMaxProcesses> processes_;
  int violations_{0};
  bool always_acted_{true};
  time_point acted_at_{kStart};
  duration longest_pause_{};
};

using present_rule = model<leadership_proof, predecessor_watch>;
using former_rule = model<any_ping_proof, no_watch>;

/// @return the paths whose bits are set: those of the store first, then those between processes.
/// @param one_way  whether each direction of a path has a bit of its own.
paths FromBits(std::uint32_t bits, std::size_t processes, bool one_way) {
  auto open = AllOpen();
  const auto next = [&bits] {
    const bool set = (bits & 1U) != 0;
    bits >>= 1U;
    return set;
  };
  for (std::size_t id = 0; id < processes; ++id) {
    open.store[id] = next();
  }
  for (std::size_t from = 0; from < processes; ++from) {
    for (std::size_t to = from + 1; to < processes; ++to) {
      open.peers[from][to] = next();
      open.peers[to][from] = one_way ? next() : open.peers[from][to];
    }
  }
  return open;
}

template <typename Model>
int PlayAll(std::size_t processes, bool one_way) {
  const auto pairs = processes * (processes - 1) / 2;
  const auto bits = processes + (one_way ? 2 * pairs : pairs);
  int violations = 0;
  for (std::uint32_t pattern = 0; pattern < (1U << bits); ++pattern) {
    for (const bool keeps_messages : {false, true}) {
      scenario played;
      played.processes = processes;
      played.cut = FromBits(pattern, processes, one_way);
      played.heals_at = kCutAt + milliseconds{keeps_messages ? 9'000 : 11'500};
      played.keeps_messages = keeps_messages;
      violations += Model{played}.Play();
    }
  }
  return violations;
}

scenario Island() {
  scenario played;
  played.processes = 4;
  played.heals_at = kCutAt + milliseconds{7'000};
  for (std::size_t id = 0; id < 2; ++id) {
    played.cut.store[id] = false;
    for (std::size_t other = 2; other < 4; ++other) {
      played.cut.peers[id][other] = played.cut.peers[other][id] = false;
    }
  }
  return played;
}

}  // namespace

TEST_CASE("no two leaders act against one another, whatever paths are cut") {
  CHECK(PlayAll<present_rule>(1, true) == 0);
  CHECK(PlayAll<present_rule>(2, true) == 0);
  CHECK(PlayAll<present_rule>(3, true) == 0);
  CHECK(PlayAll<present_rule>(4, false) == 0);
}

// The model shows the fault of the former rule: a leader that is cut off with one follower.
TEST_CASE("a leader that any ping confirms acts beside its successor") {
  CHECK(former_rule{Island()}.Play() > 0);
  CHECK(present_rule{Island()}.Play() == 0);
  CHECK(PlayAll<former_rule>(3, false) > 0);
}

// Guards against a leader that counts only processes that it has heard. Its predecessor is lost, it
// claims, and is cut off from the store with one follower before it has heard the others.
TEST_CASE(
    "a new leader that is cut off before all have joined it doesn't act beside its successor") {
  scenario played;
  played.processes = 4;
  played.heals_at = kCutAt + milliseconds{11'500};
  played.cut.store[0] = false;
  for (std::size_t other = 1; other < 4; ++other) {
    played.cut.peers[0][other] = played.cut.peers[other][0] = false;
  }
  for (std::size_t other = 1; other < 3; ++other) {
    played.cut.peers[3][other] = played.cut.peers[other][3] = false;
  }
  played.later = played.cut;
  played.later->store[1] = played.later->store[2] = false;
  for (const int after : {900, 1'000, 1'200, 1'500}) {
    played.changes_at = kCutAt + milliseconds{after};
    present_rule cell{played};
    CHECK(cell.Play() == 0);
    CHECK(cell.Claims() == 3);
  }
}

// Guards against a leader that is cut off from the store and acts again once it has forgotten the
// process that replaced it.
TEST_CASE(
    "a process that fell silent counts until the store has shown for long that it leads not") {
  const leadership_proof_settings settings;
  leadership_proof proof{settings};
  proof.OnNoNewerClaim(kStart);
  proof.OnPing("successor", kStart, kStart);
  const auto late = kStart + settings.voter_timeout + milliseconds{1'000};
  proof.OnPing("follower", late, late);
  CHECK_FALSE(proof.Holds(late));
  CHECK(proof.ProvenAt() == kStart);
  proof.OnNoNewerClaim(late);
  proof.OnPing("follower", late + milliseconds{3'000}, late + milliseconds{3'000});
  CHECK(proof.Holds(late + milliseconds{3'000}));
}

// Guards against a process that was frozen just after its proof, and goes on with what it knew.
TEST_CASE("a leader that was frozen while it was replaced doesn't act") {
  for (std::uint32_t pattern = 0; pattern < (1U << 6U); ++pattern) {
    for (std::size_t frozen = 0; frozen < 3; ++frozen) {
      for (const int span : {500, 900, 3'000, 8'000}) {
        scenario played;
        played.processes = 3;
        played.cut = FromBits(pattern, 3, false);
        played.heals_at = kCutAt + milliseconds{10'000};
        played.keeps_messages = true;
        played.frozen = frozen;
        played.thaws_at = kCutAt + milliseconds{span};
        CHECK(present_rule{played}.Play() == 0);
      }
    }
  }
}

TEST_CASE("random cuts in four processes that follow one another show no second leader") {
  random_source random{7};
  for (int play = 0; play < 3'000; ++play) {
    scenario played;
    played.processes = 4;
    played.cut = FromBits(static_cast<std::uint32_t>(random.Between(0, (1 << 16) - 1)), 4, true);
    played.heals_at = kCutAt + milliseconds{random.Between(300, 11'900)};
    played.keeps_messages = random.Chance(0.5);
    INFO("play " << play);
    REQUIRE(present_rule{played}.Play() == 0);
  }
}

// Guards against a cell that stands while the store is unavailable to all processes.
TEST_CASE("a leader goes on while the store is away for all") {
  for (std::size_t processes = 2; processes <= 4; ++processes) {
    scenario played;
    played.processes = processes;
    played.cut.store.fill(false);
    played.heals_at = kCutAt + milliseconds{11'500};
    present_rule cell{played};
    CHECK(cell.Play() == 0);
    CHECK(cell.FirstLeaderAlwaysActed());
  }
}

TEST_CASE("a leader whose process is the last one that runs goes on") {
  scenario played;
  played.processes = 4;
  played.heals_at = kStart + kLength;
  for (std::size_t id = 1; id < 4; ++id) {
    played.cut.store[id] = false;
    for (auto& path : played.cut.peers[id]) {
      path = false;
    }
    played.cut.peers[0][id] = false;
  }
  present_rule cell{played};
  CHECK(cell.Play() == 0);
  CHECK(cell.FirstLeaderAlwaysActed());
}

// Guards against a proof that costs time where a leader is cut off and the others replace it.
TEST_CASE("a leader that is cut off is replaced as fast as before") {
  former_rule before{Island()};
  present_rule now{Island()};
  (void)before.Play();
  (void)now.Play();
  CHECK(now.LongestPause() <= before.LongestPause() + kStep);
  CHECK(now.Claims() == 2);
}

}  // namespace rosearch::cell
