#ifndef ROSEARCH_CELL_ELECTION_H_
#define ROSEARCH_CELL_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// A leadership as the store's log of claims has it. Its epoch is unique and rises, since it is the
/// claim's place in that log.
struct leadership {
  std::uint64_t epoch{0};  ///< 0: none
  std::string address;     ///< of the leader, for messages between processes
  std::string name;
  std::uint64_t incarnation{0};

  friend bool operator==(const leadership&, const leadership&) = default;
};

/// Bounds of an `election`.
struct election_settings {
  /// A leader that answered nothing for so long is suspected. Three pings are missed by then; a
  /// leader at a fifth of its speed still answers in time, and the peers are asked besides.
  duration suspect_after{std::chrono::milliseconds{600}};
  /// After this silence the peers are asked, so that their answers are there in time.
  duration doubt_after{std::chrono::milliseconds{350}};
  /// A leader whose connection broke is suspected after this: a sound one is heard again within a
  /// repeated question, and by some peer far sooner.
  duration broken_after{std::chrono::milliseconds{150}};
  /// A process with little processor time lets larger ones claim first.
  duration small_waits{std::chrono::milliseconds{500}};
  /// A process whose own timers come later than this hears others late, too.
  duration late_after{std::chrono::milliseconds{100}};
  /// For so long after that it lets others claim first, and by so much: it would take a sound
  /// leader for dead, and lead worse.
  duration late_for{std::chrono::milliseconds{2'000}};
  duration late_waits{std::chrono::milliseconds{1'200}};
  /// Each process waits up to so long more, so that not all claim at once.
  duration spread{std::chrono::milliseconds{25}};
  /// A process that has run for about a quarter of an hour waits so long more, a younger one less:
  /// where all are restarted in turn, the youngest is the one that isn't about to go again.
  duration old_waits{std::chrono::milliseconds{100}};
  /// A claim that wasn't answered is looked up, and made again after this.
  duration claim_again{std::chrono::milliseconds{400}};

  friend bool operator==(const election_settings&, const election_settings&) = default;
};

/// Decides when this process claims leadership. Whether it gets it, the store decides: a claim is
/// an append at the end of the log of claims as this process has read it, so of two claims one is
/// refused.
class election {
 public:
  /// @param small   whether larger processes should rather lead.
  /// @param jitter  from 0 to 1, drawn at the start of the process.
  /// @param began   when the process began.
  election(const election_settings& settings, bool small, double jitter, time_point began)
      : settings_{settings}, small_{small}, jitter_{jitter}, began_{began} {}

  /// The log of claims was read to its end.
  void OnClaimsRead(time_point now) {
    read_ = true;
    if (known_.epoch == 0 && quiet_since_ == time_point{}) {
      quiet_since_ = now;
    }
  }
  /// A claim was read, or a peer told of one. An older one than that known is ignored.
  /// @return whether it is news.
  bool OnLeadership(const leadership& claimed, time_point now);
  /// The leader answered.
  void OnHeard(std::uint64_t epoch, time_point now);
  /// The connection to the leader broke, as it does at once where its process is killed.
  void OnConnectionBroken(time_point now);
  /// Something that was due here came late.
  void OnOwnDelay(duration delay, time_point now) {
    if (delay >= settings_.late_after) {
      late_until_ = now + settings_.late_for;
    }
  }
  /// The leader said that it is about to stop, or its machine that nobody listens there.
  void OnLeaderLeaving(std::uint64_t epoch);
  /// @return whether the leader itself said that it stops; the peers need not be asked.
  [[nodiscard]] bool Leaving() const { return leaving_; }
  /// A claim was sent.
  void OnClaimSent(time_point now) { claim_again_at_ = now + settings_.claim_again; }
  /// A peer heard the leader, and that connection hasn't broken since.
  /// @param at  when it heard it last. Were the moment of its word taken instead, a dead leader
  ///            would be suspected later: all peers have heard it a moment ago.
  void OnPeerHeard(time_point at);

  /// @return whether nothing was heard of the leader for long enough to ask the peers.
  [[nodiscard]] bool Doubts(time_point now) const;
  /// @return whether this process should claim leadership now.
  [[nodiscard]] bool ShouldClaim(time_point now) const;
  /// @return whether the leader's answer is fresh, and it is neither about to stop nor cut off.
  [[nodiscard]] bool Hears(time_point now) const;
  /// @return whether the leader's answer is fresh. One that is about to stop leads on until another
  /// has claimed, so it is still asked.
  [[nodiscard]] bool Reaches(time_point now) const;

  [[nodiscard]] const leadership& Known() const { return known_; }
  /// @return when the leader last answered.
  [[nodiscard]] time_point HeardAt() const { return heard_at_; }

 private:
  [[nodiscard]] duration OwnDelay(time_point now) const;
  /// @return how much longer than a large process this one waits before it doubts or claims: small
  ///         ones ask less often, and let large ones claim first.
  [[nodiscard]] duration Patience() const { return small_ ? settings_.small_waits : duration{}; }

  election_settings settings_;
  bool small_;
  double jitter_;
  time_point began_;
  leadership known_;
  bool read_{false};
  bool leaving_{false};
  time_point heard_at_{};
  time_point quiet_since_{};
  time_point broken_at_{};  ///< unset: the connection to the leader is whole, as far as is known
  time_point claim_again_at_{};
  time_point late_until_{};  ///< this process is taken for slow until then
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_ELECTION_H_
