#ifndef ROSEARCH_OWNERSHIP_SHARD_RIGHTS_H_
#define ROSEARCH_OWNERSHIP_SHARD_RIGHTS_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/assignment.h"
#include "rosearch/ownership/fwd.h"
#include "rosearch/ownership/internal/rights_failure.h"
#include "rosearch/ownership/internal/rights_part.h"
#include "rosearch/ownership/party.h"
#include "rosearch/ownership/rights_output.h"
#include "rosearch/ownership/rights_rules.h"
#include "rosearch/ownership/rights_settings.h"
#include "rosearch/wire/pair.pb.h"

namespace rosearch {

/// What a process is to a shard. An arbiter has no part in acting for it and counts as none.
enum class rights_role { kNone, kOwner, kWitness, kActingWitness };

/// Decides whether this process may act for one shard at a given moment. It reads no clock and no
/// socket: each input carries `now` by this process's monotonic clock, which must not go back, and
/// appends to `out` what follows from it. Not for use by two threads at a time.
/// @tparam Rules  `full_rules` but in tests that show what a rule is for.
template <typename Rules>
class basic_shard_rights {
 public:
  /// @param shard  the shard.
  /// @param self  this very run of this process.
  /// @param settings  must be sound, and the same for all parties.
  basic_shard_rights(shard_number shard, party self, const rights_settings& settings)
      : shard_{shard}, self_{std::move(self)}, settings_{settings} {
    if (!settings_.IsSound()) {
      internal::FailRights("the times of the right to act for shard " + std::to_string(shard_) +
                           " don't fit each other");
    }
  }

  /// @return whether this process may act at `now`. Ask again immediately before each effect.
  [[nodiscard]] bool MayAct(time_point now) const noexcept { return now < ActDeadline(); }

  /// @return the first moment at which it may no longer act, `time_point::min()` where it may not.
  [[nodiscard]] time_point ActDeadline() const noexcept {
    auto last = time_point::min();
    for (const auto& [epoch, mine] : parts_) last = std::max(last, DeadlineOf(mine));
    return last;
  }

  /// @return the epoch at which this process acts or acted last, for the batches that it writes.
  [[nodiscard]] epoch_number act_epoch() const noexcept { return held_epoch_; }

  /// @return what this process is at the newest epoch at which it is anything.
  [[nodiscard]] rights_role role() const noexcept {
    using internal::rights_stage;
    for (auto at = parts_.rbegin(); at != parts_.rend(); ++at) {
      const auto& mine = at->second;
      if (mine.stage == rights_stage::kStopped) continue;
      if (mine.is_owner) return rights_role::kOwner;
      if (mine.stage == rights_stage::kActing) return rights_role::kActingWitness;
      if (!mine.resigned) return rights_role::kWitness;
    }
    return rights_role::kNone;
  }

  /// @return whether this process acts by its witness's renewals, so that the witness may take
  /// over.
  [[nodiscard]] bool WitnessActive() const noexcept {
    const auto at = parts_.find(held_epoch_);
    return at != parts_.end() && at->second.is_owner &&
           at->second.stage == internal::rights_stage::kGranted;
  }

  /// @return whether this owner asked its witness a moment ago to resign, so that the next epoch
  ///     can have another arbiter. The answer may still be on its way.
  [[nodiscard]] bool IsReleasingWitness(time_point now) const noexcept { return now < release_at_; }

  /// @return whether this process acts, or acted last, as the witness of its epoch.
  [[nodiscard]] bool ActsAsWitness() const noexcept {
    const auto at = parts_.find(held_epoch_);
    return at != parts_.end() && !at->second.is_owner;
  }

  /// @return the newest epoch known, zero for none.
  [[nodiscard]] epoch_number epoch() const noexcept {
    return history_.empty() ? 0 : history_.rbegin()->first;
  }
  /// @return the newest assignment known.
  [[nodiscard]] std::optional<assignment> newest() const {
    if (history_.empty()) return std::nullopt;
    return history_.rbegin()->second;
  }
  /// @return the owner that the newest assignment names.
  [[nodiscard]] std::optional<party> owner() const {
    if (history_.empty()) return std::nullopt;
    return history_.rbegin()->second.owner;
  }
  /// @return the witness that the newest assignment names.
  [[nodiscard]] std::optional<party> witness() const {
    if (history_.empty()) return std::nullopt;
    return history_.rbegin()->second.witness;
  }
  /// @return an epoch at which somebody certainly held the right: `assignment_chain::Settle` may
  ///     forget what is below.
  [[nodiscard]] epoch_number settled_epoch() const noexcept { return settled_; }

  /// @return whether a claim by this process could help where nobody serves the shard: the newest
  ///     claimant is gone, or has had the time to replace consents by the VM list. Claims that come
  ///     sooner supersede each other for ever, none living long enough to wait for its consents.
  [[nodiscard]] bool IsClaimable(time_point now) const {
    if (leaving_ || claim_epoch_ != 0 || !log_read_) return false;
    if (history_.empty() || absent_.count(history_.rbegin()->second.owner) != 0) return true;
    const auto patience = settings_.list_lag + settings_.longest_lease;
    return now - newest_seen_ >= settings_.Widened(2 * patience);
  }

  /// Takes the next assignment in log order, checked by an `assignment_chain`.
  void OnAssignment(const assignment& next, time_point now, rights_output& out) {
    Begin(now, out);
    TakeAssignment(next, now);
    End(now, out);
  }

  /// Takes a message.
  /// @param from  the very run of a process that sent it.
  void OnMessage(const party& from, const wire::pair_message& message, time_point now,
                 rights_output& out) {
    if (message.shard() != shard_) return;
    Begin(now, out);
    Dispatch(from, message, now, out);
    End(now, out);
  }

  /// The control stream was read to its end, and every assignment in it was passed in.
  /// @param asked_at  when that read began.
  void OnLogEnd(time_point asked_at, time_point now, rights_output& out) {
    Begin(now, out);
    log_asked_ = std::max(log_asked_, asked_at);
    log_read_ = true;
    End(now, out);
  }

  /// The VM list shows this very run of this process.
  /// @param asked_at  when the list was asked for.
  void OnListProof(time_point asked_at, time_point now, rights_output& out) {
    Begin(now, out);
    list_asked_ = std::max(list_asked_, asked_at);
    End(now, out);
  }

  /// The VM list does not show `who`; to be repeated with every list that doesn't.
  /// @param since  when the answer arrived from which on no list has shown it.
  /// @param asked_at  when the newest of these lists was asked for.
  void OnPartyGone(const party& who, time_point since, time_point asked_at, time_point now,
                   rights_output& out) {
    Begin(now, out);
    absent_[who] = {since, asked_at};
    End(now, out);
  }

  /// The VM list shows `who` again.
  void OnPartySeen(const party& who) { absent_.erase(who); }

  /// Says whether the witness of this owner's epoch holds the shard's replicated state. False again
  /// whenever this process becomes owner at another epoch.
  void SetWitnessReady(bool ready) noexcept { witness_ready_ = ready; }

  /// Sets who may become a witness or an arbiter, the best first: another failure domain before the
  /// same one.
  void SetCandidates(std::vector<party> candidates) { candidates_ = std::move(candidates); }

  /// Lets time pass; to be called several times within each renew interval.
  void Tick(time_point now, rights_output& out) {
    Begin(now, out);
    Renew(now, out);
    AskRulings(now, out);
    ReplaceArbiter(now, out);
    AskConsents(now, out);
    RepeatFarewells(now, out);
    End(now, out);
  }

  /// Planned stop of a holder: it never acts at its epochs again, and the witness may at once.
  void HandOver(time_point now, rights_output& out) {
    leaving_ = true;
    GiveUp(now, out);
  }

  /// Gives the right to the witness and stays: this process never acts at its epochs again, but may
  /// be named at a later one.
  void GiveUp(time_point now, rights_output& out) {
    using internal::rights_stage;
    Begin(now, out);
    claim_epoch_ = 0;
    for (auto& [epoch, mine] : parts_) {
      if (!mine.is_owner && mine.stage != rights_stage::kActing) continue;
      const auto able = mine.stage == rights_stage::kGranted ||
                        (mine.stage == rights_stage::kOwn && witness_ready_);
      mine.handed_over = able && mine.what.witness && !mine.resigned;
      mine.stage = rights_stage::kStopped;
    }
    farewell_at_ = now;
    RepeatFarewells(now, out);
    End(now, out);
  }

  /// Planned stop of a witness: it neither renews nor takes over again, and tells its owner.
  void Resign(time_point now, rights_output& out) {
    Begin(now, out);
    leaving_ = true;
    ResignParts();
    farewell_at_ = now;
    RepeatFarewells(now, out);
    End(now, out);
  }

  /// Asks for the epoch after `previous`. Once that record is on the log this process collects the
  /// consents it needs, by `Tick`, and acts when it has them.
  void BeginClaim(const assignment& previous, const std::optional<party>& new_witness,
                  time_point now, rights_output& out) {
    if (leaving_) return;
    Begin(now, out);
    Append(WithArbiter({shard_, previous.epoch + 1, previous.epoch, self_, new_witness}), now, out);
    End(now, out);
  }

  /// Asks for the first epoch of a shard that was never assigned.
  void BeginFirstClaim(const std::optional<party>& new_witness, time_point now,
                       rights_output& out) {
    BeginClaim(assignment{shard_, 0, 0, {}, {}}, new_witness, now, out);
  }

  /// Gives the shard to `new_owner` by a record for the next epoch. This process acts on until the
  /// new owner, which has then seen the record, asks for its consent; the witness consents at once
  /// because this process tells it that the promise is void. No consent is skipped, so a transfer
  /// is safe whoever writes it, and one to a party that dies leaves the shard with its old pair.
  /// @return false, and nothing happens, where this process may not act now.
  bool BeginTransferTo(const party& new_owner, const std::optional<party>& new_witness,
                       time_point now, rights_output& out) {
    if (!MayAct(now) || new_owner == self_) return false;
    Begin(now, out);
    out.appends.push_back(WithArbiter({shard_, epoch() + 1, epoch(), new_owner, new_witness}));
    next_claim_ = now + settings_.claim_interval;
    End(now, out);
    return true;
  }

  /// @return one line on everything that decides whether this process may act.
  [[nodiscard]] std::string Dump() const {
    std::ostringstream text;
    text << "shard " << shard_ << " self " << self_ << " epoch " << epoch() << " held "
         << held_epoch_ << (holding_ ? " holding" : "") << " settled " << settled_
         << " closed below " << closed_below_ << " claim " << claim_epoch_ << " consent "
         << consent_epoch_ << " log read " << log_read_ << " log asked " << Micros(log_asked_)
         << " list asked " << Micros(list_asked_);
    for (const auto& [epoch, mine] : parts_) {
      text << " [" << epoch << (mine.is_owner ? " owner " : " witness ") << StageName(mine.stage)
           << (mine.resigned ? " resigned" : "") << (mine.may_take_over ? " may take over" : "")
           << (mine.what.arbiter ? " arbiter " + ToText(*mine.what.arbiter) : "")
           << " granted until " << Micros(mine.granted_until) << " promise until "
           << Micros(mine.promise_until) << " acts until " << Micros(DeadlineOf(mine)) << "]";
    }
    for (const auto& [epoch, decided] : rulings_) {
      text << " [" << epoch << " arbiter " << wire::ruling_Name(decided) << "]";
    }
    return text.str();
  }

 private:
  using part = internal::rights_part;
  using stage = internal::rights_stage;

  [[nodiscard]] static auto Micros(time_point at) noexcept { return at.time_since_epoch().count(); }

  [[nodiscard]] static bool Same(const party& one, const party& other) noexcept {
    if constexpr (!Rules::kNewIncarnation) return one.entry == other.entry;
    return one == other;
  }
  [[nodiscard]] bool IsSelf(const party& who) const noexcept { return Same(who, self_); }

  // ---- rule 6: proofs

  // A foreign claim above `epoch` that was seen ends the log's proof: its claimant may replace our
  // consent by the VM list. The list's own proof still holds then, because while the list shows us
  // nobody can.
  [[nodiscard]] bool IsOvertaken(epoch_number epoch) const noexcept {
    return std::any_of(history_.upper_bound(epoch), history_.end(),
                       [this](const auto& entry) { return !IsSelf(entry.second.owner); });
  }

  [[nodiscard]] time_point ProvedUntil(epoch_number epoch, duration length) const noexcept {
    const auto after = [this, length](time_point asked) {
      return asked == time_point::min() ? asked : asked + settings_.Shortened(length);
    };
    return std::max(after(list_asked_), IsOvertaken(epoch) ? time_point::min() : after(log_asked_));
  }

  [[nodiscard]] time_point DeadlineOf(const part& mine) const noexcept {
    const auto own = [&] {
      if constexpr (!Rules::kProof) return kNever - settings_.right_length;
      return ProvedUntil(mine.what.epoch, settings_.proof_length);
    };
    switch (mine.stage) {
      case stage::kOwn:
      case stage::kActing:
        return own();
      case stage::kGranted:
        if constexpr (!Rules::kGiveUpOwnRight) return std::max(own(), mine.granted_until);
        return mine.granted_until;
      default:
        return time_point::min();
    }
  }

  // ---- around each input

  void Begin(time_point now, rights_output& out) {
    if (!holding_ || MayAct(now)) return;
    holding_ = false;
    out.events.push_back({right_change::kLost, held_epoch_});
  }

  void End(time_point now, rights_output& out) {
    ProgressConsent(now, out);
    CompleteClaim(now);
    TakeOver(now);
    ClaimAgain(now, out);
    ReportHolding(now, out);
  }

  void ReportHolding(time_point now, rights_output& out) {
    const auto held = HeldEpoch(now);
    if (holding_ && !held) {
      holding_ = false;
      out.events.push_back({right_change::kLost, held_epoch_});
    }
    if (!held || (holding_ && *held == held_epoch_)) return;
    // Without this the caller would act on a state that misses what happened in the gap.
    auto event = std::exchange(next_event_, std::nullopt);
    if (!event) event = right_event{right_change::kResumed};
    event->epoch = *held;
    const bool told = Rules::kReportResumed || event->change != right_change::kResumed;
    if (told) out.events.push_back(*event);
    holding_ = true;
    held_epoch_ = *held;
  }

  [[nodiscard]] std::optional<epoch_number> HeldEpoch(time_point now) const {
    std::optional<epoch_number> held;
    for (const auto& [epoch, mine] : parts_) {
      if (now >= DeadlineOf(mine)) continue;
      if constexpr (std::is_same_v<Rules, full_rules>) {
        if (held) internal::FailRights("the right at two epochs of one shard: " + Dump());
      }
      held = epoch;
    }
    return held;
  }

  // ---- assignments

  void TakeAssignment(const assignment& next, time_point now) {
    if constexpr (!Rules::kFirstClaimOnly) {
      if (next.epoch <= epoch() || IsBlocked(next.epoch)) return;
    }
    const bool follows = history_.empty() || next.epoch == epoch() + 1;
    if (Rules::kFirstClaimOnly && (next.shard != shard_ || !follows)) {
      internal::FailRights("assignment of epoch " + std::to_string(next.epoch) + " of shard " +
                           std::to_string(next.shard) + " out of log order: " + Dump());
    }
    history_.emplace(next.epoch, next);
    newest_seen_ = now;
    StopClaim();
    if (IsSelf(next.owner)) {
      StartClaim(next, now);
    } else if (next.witness && IsSelf(*next.witness)) {
      parts_[next.epoch] = {next, false, stage::kIdle, leaving_};
      if (leaving_) resigned_epoch_ = next.epoch;
    } else if (next.arbiter && IsSelf(*next.arbiter)) {
      rulings_.emplace(next.epoch, wire::RULING_NONE);
    }
  }

  // Rule 2: consent goes to the newest claim, so that an older one can't get all it needs.
  void StopClaim() {
    if (claim_epoch_ == 0) return;
    const auto at = parts_.find(claim_epoch_);
    if (at != parts_.end()) at->second.stage = stage::kStopped;
    claim_epoch_ = 0;
  }

  void StartClaim(const assignment& next, time_point now) {
    auto& mine = parts_[next.epoch] = {next, true, stage::kClaiming};
    witness_ready_ = false;
    consents_.clear();
    if (leaving_) {
      mine.stage = stage::kStopped;
      return;
    }
    claim_epoch_ = next.epoch;
    claim_seen_ = now;
    ask_at_ = now;
  }

  // ---- claims

  void Append(const assignment& claim, time_point now, rights_output& out) {
    appended_ = claim.epoch;
    next_claim_ = now + settings_.claim_interval;
    out.appends.push_back(claim);
    if constexpr (!Rules::kFirstClaimOnly) TakeAssignment(claim, now);
  }

  void CompleteClaim(time_point now) {
    std::set<party> missing;
    if (claim_epoch_ == 0 || !IsClosedBelow(claim_epoch_, now, missing)) return;
    const auto epoch = std::exchange(claim_epoch_, 0);
    const auto copied = ReceivedUnused(epoch - 1) ? epoch - 1 : 0;
    CloseBelow(epoch);
    parts_.at(epoch).stage = stage::kOwn;
    const auto how = appended_ == epoch ? right_change::kClaimed : right_change::kTransferred;
    next_event_ = right_event{how, epoch, copied};
    Settle(epoch);
  }

  // Whether the owner of that epoch gave the right to this process, which never acted on it.
  [[nodiscard]] bool ReceivedUnused(epoch_number epoch) const {
    const auto at = parts_.find(epoch);
    if (at == parts_.end() || at->second.is_owner) return false;
    return at->second.handed_over && at->second.stage == stage::kRenewing;
  }

  // Rules 2 and 7: whether nobody can act below `claim` any more. Goes down epoch by epoch until
  // one at which somebody certainly held the right; that one needed all consents below it.
  [[nodiscard]] bool IsClosedBelow(epoch_number claim, time_point now,
                                   std::set<party>& missing) const {
    auto settled = settled_;
    for (const auto& [who, said] : consents_) settled = std::max(settled, said.settled);
    for (auto epoch = claim - 1; epoch > 0; --epoch) {
      if (settled > epoch) return true;
      const auto at = history_.find(epoch);
      if (at == history_.end()) return true;
      const auto closed = IsClosedAt(at->second, now, missing);
      if (!closed) return false;
      if (*closed == closure::kWithAllBelow) return true;
      if constexpr (!Rules::kEarlierConsents) return true;
    }
    return true;
  }

  enum class closure { kThisOnly, kWithAllBelow };

  // None: somebody may still act at that epoch, and `missing` is whom to ask.
  [[nodiscard]] std::optional<closure> IsClosedAt(const assignment& old, time_point now,
                                                  std::set<party>& missing) const {
    const auto mine = parts_.find(old.epoch);
    const bool own = mine != parts_.end() && mine->second.is_owner;
    // While we act by our own right at that epoch, nobody else can at it or below.
    if (own && mine->second.stage == stage::kOwn) return closure::kWithAllBelow;
    const bool witness_out = !old.witness || (own && mine->second.resigned);
    bool witness_missing = false;
    if (Rules::kWitnessConsent && !witness_out) {
      const auto& witness = *old.witness;
      if (const auto said = ConsentOf(witness, now)) {
        const bool acted_by_grants = said->activated >= old.epoch && said->resigned < old.epoch;
        if (acted_by_grants && !MayBeExcluded(old, now, missing)) return closure::kWithAllBelow;
        if (!Rules::kEarlierConsents) return closure::kWithAllBelow;
      } else if (IsGone(witness, now)) {
        if constexpr (!Rules::kGoneOwner) return closure::kWithAllBelow;
      } else {
        witness_missing = true;
        missing.insert(witness);
      }
    }
    // The owner is asked at the same time: its word to the witness spares the wait for the promise.
    const auto said = ConsentOf(old.owner, now);
    if (!said && !IsGone(old.owner, now)) {
      missing.insert(old.owner);
      return std::nullopt;
    }
    if (witness_missing) return std::nullopt;
    return said && said->settled >= old.epoch ? closure::kWithAllBelow : closure::kThisOnly;
  }

  // Rule 11. An owner whose witness was excluded acts by its own right, so that the witness's
  // consent doesn't close its epoch. None but the arbiter knows; without its word the owner's part
  // counts.
  [[nodiscard]] bool MayBeExcluded(const assignment& old, time_point now,
                                   std::set<party>& missing) const {
    if (!Rules::kArbiterConsent || !old.arbiter) return false;
    const auto mine = parts_.find(old.epoch);
    const bool witness_acts =
        mine != parts_.end() && (mine->second.may_take_over || mine->second.handed_over);
    if (witness_acts) return false;
    const auto said = ConsentOf(*old.arbiter, now);
    if (!said) missing.insert(*old.arbiter);
    return !said || said->excluded >= old.epoch;
  }

  [[nodiscard]] std::optional<internal::rights_consent> ConsentOf(const party& who,
                                                                  time_point now) const {
    if (IsSelf(who)) return OwnConsent(now);
    for (const auto& [said_by, said] : consents_) {
      if (Same(said_by, who)) return said;
    }
    return std::nullopt;
  }

  [[nodiscard]] std::optional<internal::rights_consent> OwnConsent(time_point now) const {
    if (HasPromiseBelow(claim_epoch_, now)) return std::nullopt;
    return internal::rights_consent{settled_, activated_epoch_, resigned_epoch_, excluded_epoch_};
  }

  // Rule 7. The VM list may hide a party that runs: frozen, cut off or being replaced. Its last
  // proof by the list is then from before `since` and the lag, its last by the log from before this
  // claim was on it; longest_lease bounds how long either carries a right.
  [[nodiscard]] bool IsGone(const party& who, time_point now) const {
    const auto at = absent_.find(who);
    if (at == absent_.end()) return false;
    const auto& [since, asked_at] = at->second;
    const auto list_wait = settings_.Widened(settings_.list_lag + settings_.longest_lease);
    if (Rules::kGoneWait && asked_at - since < list_wait) return false;
    return !Rules::kGoneAfterClaim ||
           now - claim_seen_ >= settings_.Widened(settings_.longest_lease);
  }

  void AskConsents(time_point now, rights_output& out) {
    if (claim_epoch_ == 0 || now < ask_at_) return;
    std::set<party> missing;
    if (IsClosedBelow(claim_epoch_, now, missing)) return;
    ask_at_ = now + settings_.renew_interval;
    for (const auto& who : missing) {
      if (IsSelf(who)) continue;
      auto& message = Send(who, claim_epoch_ - 1, out);
      message.mutable_ask_consent()->set_claimed_epoch(claim_epoch_);
    }
  }

  // A holder without an active witness claims the next epoch so that a pair exists again. Only with
  // the log at hand: claims that pile up while it is down would supersede each other later.
  void ClaimAgain(time_point now, rights_output& out) {
    if (leaving_ || claim_epoch_ != 0 || now < next_claim_ || history_.empty()) return;
    if (!IsLogFresh(now)) return;
    const auto& newest = history_.rbegin()->second;
    const auto candidate = std::find_if(candidates_.begin(), candidates_.end(), [this](auto& who) {
      return !IsSelf(who) && absent_.count(who) == 0;
    });
    const bool has_candidate = candidate != candidates_.end();
    if (!NeedsClaim(newest, now, has_candidate)) return;
    const auto witness = has_candidate ? std::optional{*candidate} : std::nullopt;
    Append(WithArbiter({shard_, newest.epoch + 1, newest.epoch, self_, witness}), now, out);
  }

  [[nodiscard]] bool IsLogFresh(time_point now) const noexcept {
    return log_asked_ != time_point::min() && now - log_asked_ <= settings_.proof_length;
  }

  [[nodiscard]] bool NeedsClaim(const assignment& newest, time_point now,
                                bool has_candidate) const {
    const bool witness_absent = newest.witness && absent_.count(*newest.witness) != 0;
    const auto held = HeldEpoch(now);
    if (held && *held < newest.epoch) return absent_.count(newest.owner) != 0;
    const auto at = parts_.find(newest.epoch);
    if (at == parts_.end()) return false;
    const auto& mine = at->second;
    if (!held) return mine.stage == stage::kGranted && witness_absent;
    if (!has_candidate) return false;
    if (mine.stage == stage::kActing) return true;
    return mine.stage == stage::kOwn && (!newest.witness || mine.resigned || witness_absent);
  }

  // ---- consents of this process

  [[nodiscard]] bool HasPromiseBelow(epoch_number claim, time_point now) const {
    if constexpr (!Rules::kWaitOutPromise) return false;
    return std::any_of(parts_.begin(), parts_.lower_bound(claim), [now](const auto& entry) {
      return entry.second.stage == stage::kRenewing && now < entry.second.promise_until;
    });
  }

  void OnAskConsent(const party& from, epoch_number claim, rights_output& out) {
    if (Rules::kNewIncarnation && !log_read_) return;
    if (Rules::kFirstClaimOnly) {
      const auto at = history_.find(claim);
      if (at == history_.end() || at->second.owner != from) return;
    }
    if (claim < closed_below_ || claim < consent_epoch_) {
      auto& answer = *Send(from, claim - 1, out).mutable_consent();
      answer.set_claimed_epoch(claim);
      return;
    }
    consent_epoch_ = claim;
    consent_to_ = from;
    StopBelow(claim, out);
  }

  // Rule 3, first half: nothing is renewed below `claim` any more (`IsBlocked`), and own acting
  // ends.
  void StopBelow(epoch_number claim, rights_output& out) {
    for (auto at = parts_.begin(); at != parts_.lower_bound(claim); ++at) {
      auto& mine = at->second;
      if (mine.stage == stage::kGranted)
        Send(*mine.what.witness, at->first, out).mutable_transfer();
      if (mine.is_owner || mine.stage == stage::kActing) mine.stage = stage::kStopped;
    }
    if (claim_epoch_ != 0 && claim_epoch_ < claim) claim_epoch_ = 0;
  }

  // Rule 3, second half: the consent is given once no promise is left that the owner may act on.
  void ProgressConsent(time_point now, rights_output& out) {
    if (consent_epoch_ == 0 || HasPromiseBelow(consent_epoch_, now)) return;
    const auto claim = std::exchange(consent_epoch_, 0);
    CloseBelow(claim);
    auto& answer = *Send(consent_to_, claim - 1, out).mutable_consent();
    answer.set_claimed_epoch(claim);
    answer.set_given(true);
    answer.set_settled_epoch(std::min(settled_, claim - 1));
    answer.set_activated_epoch(activated_epoch_);
    answer.set_resigned_epoch(resigned_epoch_);
    answer.set_excluded_epoch(excluded_epoch_);
  }

  void CloseBelow(epoch_number claim) {
    closed_below_ = std::max(closed_below_, claim);
    parts_.erase(parts_.begin(), parts_.lower_bound(closed_below_));
    if constexpr (!Rules::kNoRulingBelowClaim) return;
    rulings_.erase(rulings_.begin(), rulings_.lower_bound(closed_below_));
  }

  void Settle(epoch_number epoch) {
    settled_ = std::max(settled_, epoch);
    history_.erase(history_.begin(), history_.lower_bound(settled_));
  }

  // ---- the pair

  void Renew(time_point now, rights_output& out) {
    if (now < renew_at_) return;
    for (auto& [epoch, mine] : parts_) {
      if (!mine.what.witness || mine.resigned) continue;
      const bool activates = mine.stage == stage::kOwn && witness_ready_ && holding_;
      if (!activates && mine.stage != stage::kGranted) continue;
      if (activates) {
        // Rule 5. From here on the witness may take over, so own right must be gone before it can.
        mine.stage = stage::kGranted;
        next_event_ = right_event{right_change::kActivated, epoch};
      }
      renew_at_ = now + settings_.renew_interval;
      std::erase_if(mine.sent,
                    [&](const auto& entry) { return entry.second + settings_.right_length < now; });
      mine.sent.emplace(++sequence_, now);
      Send(*mine.what.witness, epoch, out).mutable_renew()->set_sequence(sequence_);
    }
  }

  [[nodiscard]] bool IsBlocked(epoch_number epoch) const noexcept {
    return closed_below_ > epoch || consent_epoch_ > epoch || claim_epoch_ > epoch;
  }

  // The part of this process in a pair with `from` at `epoch`.
  [[nodiscard]] part* Find(epoch_number epoch, bool as_owner, const party& from) {
    const auto at = parts_.find(epoch);
    if (at == parts_.end() || at->second.is_owner != as_owner) return nullptr;
    const auto& what = at->second.what;
    const bool fits = as_owner ? what.witness && Same(*what.witness, from) : Same(what.owner, from);
    return fits ? &at->second : nullptr;
  }

  void OnRenew(const party& from, epoch_number epoch, std::uint64_t sequence, time_point now,
               rights_output& out) {
    auto* const mine = Find(epoch, false, from);
    if (mine == nullptr || (Rules::kNewIncarnation && !log_read_) || IsBlocked(epoch)) return;
    if (mine->stage != stage::kIdle && mine->stage != stage::kRenewing) return;
    if (mine->resigned) {
      Send(from, epoch, out).mutable_resign();
      if constexpr (Rules::kResignIsFinal) return;
    }
    if (Rules::kRenewalProof && now >= ProvedUntil(epoch, settings_.pair_proof_length)) return;
    Activate(*mine);
    mine->promise_until =
        std::max(mine->promise_until, now + settings_.Widened(settings_.right_length));
    auto& answer = *Send(from, epoch, out).mutable_renewed();
    answer.set_sequence(sequence);
    answer.set_granted_us(static_cast<std::uint64_t>(settings_.right_length.count()));
  }

  void Activate(part& mine) {
    mine.stage = stage::kRenewing;
    activated_epoch_ = std::max(activated_epoch_, mine.what.epoch);
    Settle(mine.what.epoch);
  }

  void OnRenewed(const party& from, epoch_number epoch, const wire::renew_answer& answer,
                 time_point now) {
    auto* const mine = Find(epoch, true, from);
    if (mine == nullptr || mine->stage != stage::kGranted) return;
    const auto at = mine->sent.find(answer.sequence());
    if (at == mine->sent.end()) return;
    const auto granted =
        std::min(settings_.right_length, duration{static_cast<duration::rep>(answer.granted_us())});
    const auto from_when = Rules::kCountFromSending ? at->second : now;
    mine->granted_until = std::max(mine->granted_until, from_when + settings_.Shortened(granted));
    mine->sent.erase(mine->sent.begin(), std::next(at));
  }

  // The owner has stopped for good, so its promise is void; it acted, so this counts as activation.
  // A witness that was released or excluded at the same time takes the right all the same: the
  // owner has handed it over without knowing, and nobody else would act.
  void OnTransfer(const party& from, epoch_number epoch, time_point now) {
    auto* const mine = Find(epoch, false, from);
    if (mine == nullptr || (Rules::kNewIncarnation && !log_read_)) return;
    if (mine->resigned && leaving_) return;
    if (mine->stage != stage::kIdle && mine->stage != stage::kRenewing) return;
    mine->resigned = false;
    if (resigned_epoch_ == epoch) resigned_epoch_ = epoch - 1;
    Activate(*mine);
    mine->promise_until = now;
    mine->handed_over = true;
  }

  // Rule 10.
  void OnResign(const party& from, epoch_number epoch) {
    auto* const mine = Find(epoch, true, from);
    if (mine == nullptr || mine->handed_over) return;  // the witness acts, or will
    mine->resigned = true;
    if (mine->stage == stage::kGranted) mine->stage = stage::kOwn;
  }

  // Rules 3, 4, 5 and 6.
  void TakeOver(time_point now) {
    for (auto& [epoch, mine] : parts_) {
      const bool activated =
          mine.stage == stage::kRenewing || (!Rules::kActivation && mine.stage == stage::kIdle);
      if (!activated || (mine.resigned && Rules::kResignIsFinal) || IsBlocked(epoch)) continue;
      const bool hinted = !Rules::kNoEarlyTakeover && absent_.count(mine.what.owner) != 0;
      if (now < mine.promise_until && !hinted) continue;
      const bool ruled = !mine.what.arbiter || mine.handed_over || mine.may_take_over;
      if (Rules::kTakeoverRuling && !ruled) continue;
      if (Rules::kProof && now >= ProvedUntil(epoch, settings_.proof_length)) continue;
      mine.stage = stage::kActing;
      const auto how = mine.handed_over ? right_change::kTransferred : right_change::kTakenOver;
      next_event_ = right_event{how, epoch, epoch};
    }
  }

  // ---- rule 11: the arbiter

  // A third party decides between the two of a pair, so that the loss of either stops nothing.
  [[nodiscard]] assignment WithArbiter(assignment next) const {
    if (!next.witness) return next;
    const auto fits = [&](const party& who) {
      return who != next.owner && who != *next.witness && absent_.count(who) == 0;
    };
    const auto found = std::find_if(candidates_.begin(), candidates_.end(), fits);
    if (found != candidates_.end()) {
      next.arbiter = *found;
    } else if (fits(self_)) {
      next.arbiter = self_;
    }
    return next;
  }

  // The owner asks before its right lapses, the witness once its promise has.
  void AskRulings(time_point now, rights_output& out) {
    if (now < ask_ruling_at_) return;
    for (auto& [epoch, mine] : parts_) {
      if (!mine.what.arbiter || mine.resigned || IsBlocked(epoch)) continue;
      const bool granted =
          mine.is_owner && mine.stage == stage::kGranted && mine.granted_until != time_point::min();
      const bool witness_silent =
          granted && now >= mine.granted_until - 2 * settings_.renew_interval;
      const bool owner_silent =
          mine.stage == stage::kRenewing && !mine.may_take_over && now >= mine.promise_until;
      if (!witness_silent && !owner_silent) continue;
      ask_ruling_at_ = now + settings_.renew_interval / 2;
      Send(*mine.what.arbiter, epoch, out)
          .mutable_ask_ruling()
          ->set_wanted(witness_silent ? wire::RULING_EXCLUDED : wire::RULING_TAKEOVER);
    }
  }

  void OnAskRuling(const party& from, epoch_number epoch, wire::ruling wanted, rights_output& out) {
    const auto decided = rulings_.find(epoch);
    const auto named = history_.find(epoch);
    if (decided == rulings_.end() || named == history_.end()) return;
    if (Rules::kNoRulingBelowClaim && IsBlocked(epoch)) return;
    const auto& what = named->second;
    const bool fits = wanted == wire::RULING_EXCLUDED ? Same(what.owner, from)
                                                      : what.witness && Same(*what.witness, from);
    if (!fits || (Rules::kNewIncarnation && !log_read_)) return;
    if (decided->second == wire::RULING_NONE || !Rules::kOneRuling) {
      decided->second = wanted;
      out.rulings.push_back({wanted, epoch, true});
      if (wanted == wire::RULING_EXCLUDED) excluded_epoch_ = std::max(excluded_epoch_, epoch);
    }
    Send(from, epoch, out).mutable_ruling()->set_decided(decided->second);
  }

  void OnRuling(const party& from, epoch_number epoch, wire::ruling decided, rights_output& out) {
    const auto at = parts_.find(epoch);
    if (at == parts_.end()) return;
    auto& mine = at->second;
    if (!mine.what.arbiter || !Same(*mine.what.arbiter, from) || mine.resigned) return;
    const bool is_news = !mine.may_take_over || decided == wire::RULING_EXCLUDED;
    if (is_news) out.rulings.push_back({decided, epoch, false});
    if (mine.is_owner) {
      if (decided == wire::RULING_EXCLUDED) OnResign(*mine.what.witness, epoch);
    } else if (decided == wire::RULING_TAKEOVER) {
      mine.may_take_over = true;
    } else {
      ResignAt(epoch, mine);  // the owner acts by its own right
    }
  }

  // An arbiter that is missing or lost would leave the pair to the rules for two: the loss of its
  // witness would stop the shard. The witness resigns, the owner acts by its own right, and claims
  // the next epoch with both. Only with the log at hand, like any claim.
  void ReplaceArbiter(time_point now, rights_output& out) {
    if (leaving_ || now < release_at_ || now < next_claim_ || !IsLogFresh(now)) return;
    for (auto& [epoch, mine] : parts_) {
      if (!mine.is_owner || mine.stage != stage::kGranted || mine.resigned) continue;
      if (IsBlocked(epoch) || epoch != this->epoch() || !MayAct(now)) continue;
      if (!LacksArbiter(mine.what)) continue;
      release_at_ = now + settings_.claim_interval;
      Send(*mine.what.witness, epoch, out).mutable_release();
    }
  }

  [[nodiscard]] bool LacksArbiter(const assignment& pair) const {
    const auto is_candidate = [this](const party& who) {
      return std::find(candidates_.begin(), candidates_.end(), who) != candidates_.end();
    };
    if (pair.arbiter && is_candidate(*pair.arbiter)) return false;
    if (!is_candidate(*pair.witness)) return false;
    const auto next = WithArbiter({shard_, pair.epoch, pair.previous_epoch, self_, pair.witness});
    return next.arbiter && next.arbiter != pair.arbiter;
  }

  void OnRelease(const party& from, epoch_number epoch, rights_output& out) {
    auto* const mine = Find(epoch, false, from);
    if (mine == nullptr || IsBlocked(epoch)) return;
    if (mine->stage == stage::kActing || mine->stage == stage::kStopped) return;
    ResignAt(epoch, *mine);
    Send(from, epoch, out).mutable_resign();
  }

  // ---- planned stops

  void ResignParts() {
    for (auto& [epoch, mine] : parts_) {
      if (mine.is_owner) continue;
      if (mine.stage == stage::kActing) {
        mine.stage = stage::kStopped;
      } else if (mine.stage != stage::kStopped) {
        ResignAt(epoch, mine);
      }
    }
  }

  // Rule 10: the witness neither renews nor takes over at that epoch again.
  void ResignAt(epoch_number epoch, part& mine) {
    mine.resigned = true;
    resigned_epoch_ = std::max(resigned_epoch_, epoch);
  }

  void RepeatFarewells(time_point now, rights_output& out) {
    if (now < farewell_at_) return;
    farewell_at_ = now + settings_.renew_interval;
    for (auto& [epoch, mine] : parts_) {
      if (mine.is_owner && mine.handed_over) {
        Send(*mine.what.witness, epoch, out).mutable_transfer();
      } else if (!mine.is_owner && mine.resigned) {
        Send(mine.what.owner, epoch, out).mutable_resign();
      }
    }
  }

  // ---- messages

  [[nodiscard]] wire::pair_message& Send(const party& to, epoch_number epoch,
                                         rights_output& out) const {
    auto& envelope = out.messages.emplace_back();
    envelope.to = to;
    envelope.message.set_shard(shard_);
    envelope.message.set_epoch(epoch);
    return envelope.message;
  }

  void OnConsent(const party& from, const wire::consent_answer& answer) {
    if (!answer.given() || claim_epoch_ == 0 || answer.claimed_epoch() != claim_epoch_) return;
    consents_[from] = {answer.settled_epoch(), answer.activated_epoch(), answer.resigned_epoch(),
                       answer.excluded_epoch()};
  }

  void Dispatch(const party& from, const wire::pair_message& message, time_point now,
                rights_output& out) {
    const auto epoch = message.epoch();
    switch (message.body_case()) {
      case wire::pair_message::kRenew:
        return OnRenew(from, epoch, message.renew().sequence(), now, out);
      case wire::pair_message::kRenewed:
        return OnRenewed(from, epoch, message.renewed(), now);
      case wire::pair_message::kTransfer:
        return OnTransfer(from, epoch, now);
      case wire::pair_message::kResign:
        return OnResign(from, epoch);
      case wire::pair_message::kAskConsent:
        return OnAskConsent(from, message.ask_consent().claimed_epoch(), out);
      case wire::pair_message::kConsent:
        return OnConsent(from, message.consent());
      case wire::pair_message::kRelease:
        return OnRelease(from, epoch, out);
      case wire::pair_message::kAskRuling:
        return OnAskRuling(from, epoch, message.ask_ruling().wanted(), out);
      case wire::pair_message::kRuling:
        return OnRuling(from, epoch, message.ruling().decided(), out);
      case wire::pair_message::BODY_NOT_SET:
        return;
    }
  }

  shard_number shard_;
  party self_;
  rights_settings settings_;
  std::map<epoch_number, assignment> history_;
  time_point newest_seen_{time_point::min()};
  std::map<epoch_number, part> parts_;
  std::vector<party> candidates_;
  std::map<party, internal::rights_absence> absent_;
  bool witness_ready_{};
  bool leaving_{};

  // What this process knows of the past; told to claimants.
  epoch_number settled_{};
  epoch_number activated_epoch_{};
  epoch_number resigned_epoch_{};
  epoch_number excluded_epoch_{};
  // What this process decided as arbiter, by epoch; none yet where it was not asked.
  std::map<epoch_number, wire::ruling> rulings_;
  // It never acts, renews or takes over below this epoch.
  epoch_number closed_below_{};

  // The claim of this process that waits for consents; zero for none.
  epoch_number claim_epoch_{};
  time_point claim_seen_{time_point::min()};
  std::map<party, internal::rights_consent> consents_;
  epoch_number appended_{};

  // The claim to which this process is about to consent; zero for none.
  epoch_number consent_epoch_{};
  party consent_to_;

  bool log_read_{};
  time_point log_asked_{time_point::min()};
  time_point list_asked_{time_point::min()};

  bool holding_{};
  epoch_number held_epoch_{};
  std::optional<right_event> next_event_;

  std::uint64_t sequence_{};
  time_point renew_at_{time_point::min()};
  time_point ask_at_{time_point::min()};
  time_point next_claim_{time_point::min()};
  time_point farewell_at_{time_point::min()};
  time_point ask_ruling_at_{time_point::min()};
  time_point release_at_{time_point::min()};
};

/// The rights of production.
using shard_rights = basic_shard_rights<full_rules>;

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_SHARD_RIGHTS_H_
