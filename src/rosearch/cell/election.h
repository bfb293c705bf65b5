#ifndef ROSEARCH_CELL_ELECTION_H_
#define ROSEARCH_CELL_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// A leadership as recorded in the store's claim log. Its epoch is the claim's offset in that log,
/// so it is unique and increases.
struct leadership {
  std::uint64_t epoch{0};  ///< 0: none
  std::string address;     ///< the leader's peer address
  std::string name;
  std::uint64_t incarnation{0};

  friend bool operator==(const leadership&, const leadership&) = default;
};

/// Timeouts and delays of an `election`.
struct election_settings {
  /// Timeout after which a silent leader is suspected of having failed. Three pings are missed by
  /// then; a leader at a fifth of its speed still answers in time, and peers are asked as well.
  duration suspect_timeout{std::chrono::milliseconds{600}};
  /// Silence after which the peers are asked, so that their answers arrive before
  /// `suspect_timeout`.
  duration ask_peers_timeout{std::chrono::milliseconds{350}};
  /// Timeout after which a leader is suspected when its connection was lost. A live leader answers
  /// a repeated ping within this time, and some peer reports it far sooner.
  duration connection_loss_timeout{std::chrono::milliseconds{150}};
  /// Delay of a reserve candidate, such as a process with little processor time, so that the others
  /// claim first.
  duration reserve_delay{std::chrono::milliseconds{500}};
  /// A process whose timers fire later than this also receives other processes' messages late.
  duration lateness_threshold{std::chrono::milliseconds{100}};
  /// Period after such a late timer in which this process delays its claim by `late_process_delay`.
  /// It might otherwise replace a live leader, and lead more slowly.
  duration late_period{std::chrono::milliseconds{2'000}};
  duration late_process_delay{std::chrono::milliseconds{1'200}};
  /// Maximum random delay, so that processes do not all claim at once.
  duration max_jitter{std::chrono::milliseconds{25}};
  /// Delay of a process that has run for about 15 minutes; a younger one waits less. In a rolling
  /// restart, the youngest process is the one least likely to be restarted again.
  duration max_age_delay{std::chrono::milliseconds{100}};
  /// Delay before an unanswered claim is looked up and retried.
  duration claim_retry_interval{std::chrono::milliseconds{400}};

  friend bool operator==(const election_settings&, const election_settings&) = default;
};

/// Decides when this process claims leadership. The store decides which claim wins: a claim is a
/// conditional append at the end of the claim log as last read, so one of two concurrent claims is
/// refused.
class election {
 public:
  /// @param reserve  whether other processes should be preferred as leader.
  /// @param jitter  from 0 to 1, drawn when the process starts.
  /// @param began   when the process started.
  election(const election_settings& settings, bool reserve, double jitter, time_point began)
      : settings_{settings}, reserve_{reserve}, jitter_{jitter}, began_{began} {}

  /// Sets whether other processes should be preferred as leader.
  void SetReserve(bool reserve) { reserve_ = reserve; }
  [[nodiscard]] bool IsReserve() const { return reserve_; }

  /// Records that the claim log was read to its end.
  void OnClaimsRead(time_point now) {
    claims_read_ = true;
    if (known_.epoch == 0 && silent_since_ == time_point{}) {
      silent_since_ = now;
    }
  }
  /// Records a claim that was read from the log or reported by a peer. Ignores a claim that is not
  /// newer than the known one.
  /// @return whether the claim is newer.
  bool OnLeadership(const leadership& claimed, time_point now);
  /// Records an answer of the leader.
  void OnLeaderAnswer(std::uint64_t epoch, time_point now);
  /// Records that the connection to the leader was lost, as happens when its process is killed.
  void OnConnectionBroken(time_point now);
  /// Records how late a timer of this process fired.
  void OnTimerDelay(duration delay, time_point now) {
    if (delay >= settings_.lateness_threshold) {
      late_until_ = now + settings_.late_period;
    }
  }
  /// Records that the leader announced its stop, or that its host refused the connection.
  void OnLeaderLeaving(std::uint64_t epoch);
  /// @return whether the leader is known to be stopping, so that peers need not be asked.
  [[nodiscard]] bool Leaving() const { return leaving_; }
  /// Records that a claim was sent.
  void OnClaimSent(time_point now) { claim_retry_at_ = now + settings_.claim_retry_interval; }
  /// Records that a peer received an answer of the leader and has not lost the connection since.
  /// @param at  when the peer last received one. Using the time of the peer's report instead would
  ///            delay the detection of a failed leader.
  void OnPeerReport(time_point at);

  /// Records that a leader renewed its claim in the claim log. It is alive, although this process
  /// may not have received an answer from it yet.
  void OnClaimRenewed(std::uint64_t epoch, time_point now) {
    if (epoch == known_.epoch) {
      OnPeerReport(now);
    }
  }

  /// @return whether the leader has been silent for long enough to ask the peers.
  [[nodiscard]] bool ShouldAskPeers(time_point now) const;
  /// @return whether this process should claim leadership now.
  [[nodiscard]] bool ShouldClaim(time_point now) const;
  /// @return why this process may claim at `now`, as a word for the log line of its claim.
  [[nodiscard]] std::string_view ClaimCause(time_point now) const;
  /// @return the time since the last sign of the known leader: its claim or a renewal of it, its
  ///         own answer or a peer's report.
  [[nodiscard]] duration SilentFor(time_point now) const { return now - silent_since_; }
  /// @return whether the leader's last answer is recent and the leader is not stopping.
  [[nodiscard]] bool HasActiveLeader(time_point now) const;
  /// @return whether the leader's last answer is recent and its connection intact. A stopping
  /// leader counts, since it leads until another process has claimed.
  [[nodiscard]] bool LeaderReachable(time_point now) const;

  [[nodiscard]] const leadership& KnownLeader() const { return known_; }
  /// @return when the leader last answered.
  [[nodiscard]] time_point LastAnswerAt() const { return last_answer_at_; }

 private:
  [[nodiscard]] duration ClaimDelay(time_point now) const;
  /// @return whether the connection to the leader has been lost for long enough to claim.
  [[nodiscard]] bool IsConnectionTimeoutOver(time_point now) const;
  /// @return the additional delay of a reserve candidate before it asks peers or claims.
  [[nodiscard]] duration ReserveDelay() const {
    return reserve_ ? settings_.reserve_delay : duration{};
  }

  election_settings settings_;
  bool reserve_;
  double jitter_;
  time_point began_;
  leadership known_;
  bool claims_read_{false};
  bool leaving_{false};
  time_point last_answer_at_{};
  time_point silent_since_{};
  time_point connection_lost_at_{};  ///< unset while the connection to the leader is intact
  time_point claim_retry_at_{};
  time_point late_until_{};  ///< this process counts as slow until then
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_ELECTION_H_
