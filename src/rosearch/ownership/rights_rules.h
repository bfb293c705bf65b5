#ifndef ROSEARCH_OWNERSHIP_RIGHTS_RULES_H_
#define ROSEARCH_OWNERSHIP_RIGHTS_RULES_H_

namespace rosearch {

/// The rules of docs/design/ownership.md, by its numbers. Only a test takes one away, to show that
/// the randomised run then finds two parties with the right.
struct full_rules {
  /// 1: the owner counts its right from when it sent the renewal, not from the answer.
  static constexpr bool kCountFromSending = true;
  /// 2: a claim needs the witness's consent; the owner's alone is not enough.
  static constexpr bool kWitnessConsent = true;
  /// 2: while the witness was never activated, a claim needs what the epoch before needed as well.
  static constexpr bool kEarlierConsents = true;
  /// 2: consent goes only to the first claim of an epoch in log order.
  static constexpr bool kFirstClaimOnly = true;
  /// 3: a witness waits out its own promise before it consents.
  static constexpr bool kWaitOutPromise = true;
  /// 4: no hint lets a witness take over early.
  static constexpr bool kNoEarlyTakeover = true;
  /// 5: a witness takes over only after it was activated.
  static constexpr bool kActivation = true;
  /// 5: an owner gives up its own right as it sends the activation.
  static constexpr bool kGiveUpOwnRight = true;
  /// 6: own right needs a recent proof of not being overtaken.
  static constexpr bool kProof = true;
  /// 7: a party is taken as gone only after the list's lag and the longest lease.
  static constexpr bool kGoneWait = true;
  /// 7: and only once the claim has been on the log for the longest lease.
  static constexpr bool kGoneAfterClaim = true;
  /// 7: with the witness gone, the owner must consent or be gone as well.
  static constexpr bool kGoneOwner = true;
  /// 7: a witness renews only while it has a proof of its own.
  static constexpr bool kRenewalProof = true;
  /// 8: a new incarnation is another party and first reads the log to its end.
  static constexpr bool kNewIncarnation = true;
  /// 9: a right that lapsed and came back is reported, so that the shard recovers.
  static constexpr bool kReportResumed = true;
  /// 10: a witness that resigned neither renews nor takes over.
  static constexpr bool kResignIsFinal = true;
  /// 11: a witness with an arbiter takes over only by its ruling.
  static constexpr bool kTakeoverRuling = true;
  /// 11: an arbiter rules once for an epoch.
  static constexpr bool kOneRuling = true;
  /// 11: with the witness's consent, a claim also needs the arbiter's word that it did not exclude
  /// that witness, or else the owner's part.
  static constexpr bool kArbiterConsent = true;
  /// 11: an arbiter that consented to a claim rules no more below it.
  static constexpr bool kNoRulingBelowClaim = true;
};

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_RIGHTS_RULES_H_
