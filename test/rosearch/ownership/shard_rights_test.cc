#include "rosearch/ownership/shard_rights.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <initializer_list>

namespace rosearch {
namespace {

using namespace std::chrono_literals;

constexpr time_point At(duration since_start) { return time_point{1000s + since_start}; }

const party kA{entry_id{"a"}, 1};
const party kB{entry_id{"b"}, 2};
const party kC{entry_id{"c"}, 3};

// Three entries with one clock and instant messages; epoch 1 belongs to `a` with witness `b`.
struct trio {
  rights_settings settings;
  shard_rights a{0, kA, settings};
  shard_rights b{0, kB, settings};
  shard_rights c{0, kC, settings};
  rights_output out;

  trio() {
    Assign({0, 1, 0, kA, kB}, 0s);
    Prove(0s);
    a.SetWitnessReady(true);
  }

  [[nodiscard]] shard_rights& Of(const party& who) { return who == kA ? a : who == kB ? b : c; }

  void Assign(const assignment& next, duration at) {
    for (auto* const one : {&a, &b, &c}) one->OnAssignment(next, At(at), out);
  }
  void Prove(duration at) {
    for (auto* const one : {&a, &b, &c}) one->OnLogEnd(At(at), At(at), out);
  }
  /// Delivers what `from` sent, and drops what others sent.
  std::vector<pair_envelope> Take() { return std::exchange(out.messages, {}); }
  void Pass(const party& from, duration at) {
    for (const auto& one : Take()) Of(one.to).OnMessage(from, one.message, At(at), out);
  }
  /// A request by `from` and its answers.
  void Exchange(const party& from, duration at) {
    Of(from).Tick(At(at), out);
    for (const auto& one : Take()) {
      Of(one.to).OnMessage(from, one.message, At(at), out);
      for (const auto& back : Take()) Of(back.to).OnMessage(one.to, back.message, At(at), out);
    }
  }
  std::vector<right_change> Changes() {
    std::vector<right_change> all;
    for (const auto& event : std::exchange(out.events, {})) all.push_back(event.change);
    return all;
  }
};

}  // namespace

// The answer to a renewal is late, or lost. An owner that counts from the answer, or a witness that
// counts from the request, would leave a moment in which both start the same task.
TEST_CASE("rules 1, 4 and 5: the owner stops before the witness begins",
          "[single-run][no-overcommit]") {
  trio all;
  CHECK(all.a.MayAct(At(1s)));
  CHECK_FALSE(all.a.MayAct(At(2s)));
  all.b.Tick(At(1s), all.out);
  CHECK_FALSE(all.b.MayAct(At(1s)));  // never activated

  all.Take();
  all.a.Tick(At(1s), all.out);
  CHECK_FALSE(all.a.MayAct(At(1s)));  // gave up its own right with the activation
  all.Pass(kA, 1100ms);
  all.Pass(kB, 1900ms);
  CHECK(all.a.ActDeadline() == At(1s) + all.settings.Shortened(3s));

  const auto lapse = 1100ms + all.settings.Widened(3s);
  all.b.OnPartyGone(kA, At(1s), At(3s), At(3s), all.out);
  all.Prove(lapse - 1us);
  CHECK_FALSE(all.b.MayAct(At(lapse - 1us)));
  all.b.Tick(At(lapse), all.out);
  CHECK(all.b.MayAct(At(lapse)));
  CHECK(all.b.role() == rights_role::kActingWitness);
}

// A third entry claims the shard while the pair is alive. Were the witness to consent at once, the
// owner would still act on its last renewal.
TEST_CASE("rules 2 and 3: a claim waits for the witness and its promise",
          "[single-run][no-overcommit]") {
  trio all;
  all.Exchange(kA, 1s);
  all.Assign({0, 2, 1, kC, {}}, 1500ms);
  all.c.Tick(At(1500ms), all.out);
  const auto asked = all.Take();
  for (const auto& one : asked) {
    if (one.to == kB) all.b.OnMessage(kC, one.message, At(1500ms), all.out);
  }
  CHECK(all.Take().empty());
  all.a.Tick(At(1600ms), all.out);
  all.Pass(kA, 1600ms);
  CHECK(all.Take().empty());  // no renewal any more
  CHECK(all.a.MayAct(At(1600ms)));

  SECTION("the owner is out of reach") {
    const auto lapse = 1s + all.settings.Widened(3s);
    all.b.Tick(At(lapse), all.out);
    all.Prove(lapse);
    all.Pass(kB, lapse);
    CHECK(all.c.MayAct(At(lapse)));
    CHECK_FALSE(all.a.MayAct(At(lapse)));
  }
  SECTION("the owner gives its word to the witness, which spares the wait") {
    for (const auto& one : asked) {
      if (one.to == kA) all.a.OnMessage(kC, one.message, At(1600ms), all.out);
    }
    CHECK_FALSE(all.a.MayAct(At(1600ms)));
    all.Pass(kA, 1600ms);  // the word to b and the consent to c
    all.Prove(1600ms);
    all.Pass(kB, 1600ms);
    CHECK(all.c.MayAct(At(1600ms)));
  }
  SECTION("nobody consents to a claim that is not first on the log") {
    wire::pair_message late;
    late.mutable_ask_consent()->set_claimed_epoch(3);
    all.a.OnMessage(kC, late, At(1600ms), all.out);
    CHECK(all.a.MayAct(At(1600ms)));
  }
}

// The witness is gone for good. Its consent may be replaced, but not before the last right that it
// can have granted is over, and never without the owner.
TEST_CASE("rule 7: a party is gone only after the lag and the longest lease",
          "[single-run][no-overcommit]") {
  trio all;
  all.Exchange(kA, 1s);
  all.Assign({0, 2, 1, kC, {}}, 2s);
  const auto wait = all.settings.Widened(all.settings.list_lag + all.settings.longest_lease);
  const auto gone = [&](const party& who, duration at) {
    all.c.OnLogEnd(At(at), At(at), all.out);
    all.c.OnPartyGone(who, At(2s), At(at), At(at), all.out);
    return all.c.MayAct(At(at));
  };
  CHECK_FALSE(gone(kB, 2s + wait));
  CHECK_FALSE(gone(kA, 2s + wait - 1us));
  CHECK(gone(kA, 2s + wait));
}

// The process was frozen or cut off, and wakes up. Until it has proved anew that nobody overtook
// it, it must start nothing; then it recovers, as it missed what happened meanwhile.
TEST_CASE("rules 6 and 9: a right without proof lapses and comes back as resumed",
          "[single-run][no-overcommit]") {
  trio all;
  all.Changes();
  CHECK_FALSE(all.a.MayAct(At(10s)));
  all.a.OnLogEnd(At(9s), At(10s), all.out);
  CHECK(all.a.ActDeadline() == At(9s) + all.settings.Shortened(2s));
  CHECK(all.Changes() == std::vector{right_change::kLost, right_change::kResumed});
  all.a.OnListProof(At(10500ms), At(10500ms), all.out);
  CHECK(all.a.ActDeadline() == At(10500ms) + all.settings.Shortened(2s));
  CHECK(all.Changes().empty());
  // A foreign claim on the log ends the proof by the log, not the one by the VM list.
  all.Assign({0, 2, 1, kC, {}}, 11s);
  all.a.OnLogEnd(At(12s), At(12s), all.out);
  CHECK(all.a.ActDeadline() == At(10500ms) + all.settings.Shortened(2s));
}

TEST_CASE("rule 8: a new incarnation answers nothing before it has read the log",
          "[single-run][no-overcommit]") {
  rights_output out;
  const party again{entry_id{"b"}, 20};
  shard_rights fresh{0, again, {}};
  fresh.OnAssignment({0, 1, 0, kA, again}, At(0s), out);
  fresh.OnAssignment({0, 2, 1, kC, {}}, At(0s), out);
  wire::pair_message renew;
  renew.set_epoch(1);
  renew.mutable_renew()->set_sequence(1);
  wire::pair_message ask;
  ask.mutable_ask_consent()->set_claimed_epoch(2);
  fresh.OnMessage(kA, renew, At(1s), out);
  fresh.OnMessage(kC, ask, At(1s), out);
  CHECK(out.messages.empty());
  fresh.OnLogEnd(At(1s), At(1s), out);
  fresh.OnMessage(kC, ask, At(1s), out);
  CHECK(out.messages.size() == 1);
}

TEST_CASE("rule 10 and planned stops: the other one goes on at once, without the log",
          "[single-run][no-overcommit]") {
  trio all;
  all.Exchange(kA, 1s);
  all.Prove(1500ms);
  all.Changes();
  SECTION("the witness resigns") {
    all.b.Resign(At(1500ms), all.out);
    all.Pass(kB, 1500ms);
    CHECK(all.a.MayAct(At(3s)));
    CHECK(all.Changes().empty());
    all.Prove(5s);
    all.b.Tick(At(5s), all.out);
    CHECK_FALSE(all.b.MayAct(At(5s)));
    CHECK(all.a.MayAct(At(5s)));
  }
  SECTION("the owner hands over") {
    all.a.HandOver(At(1500ms), all.out);
    CHECK_FALSE(all.a.MayAct(At(1500ms)));
    all.Pass(kA, 1600ms);
    CHECK(all.b.MayAct(At(1600ms)));
    CHECK(all.Changes() == std::vector{right_change::kLost, right_change::kTransferred});
    all.b.SetCandidates({kB, kC});
    all.out.appends.clear();
    all.b.Tick(At(1600ms), all.out);
    // It claims the next epoch so that there is a pair again, once for as long as that may take.
    all.b.Tick(At(3s), all.out);
    REQUIRE(all.out.appends.size() == 1);
    CHECK(all.out.appends.front() == assignment{0, 2, 1, kB, kC});
  }
  SECTION("the owner gives the shard to its witness by a record") {
    all.out.appends.clear();
    REQUIRE(all.a.BeginTransferTo(kB, kA, At(1500ms), all.out));
    all.Assign(all.out.appends.at(0), 1600ms);
    CHECK(all.a.MayAct(At(1600ms)));
    all.b.Tick(At(1600ms), all.out);
    all.Pass(kB, 1600ms);  // asks for consent
    all.Prove(1600ms);
    all.out.events.clear();
    all.Pass(kA, 1600ms);
    CHECK_FALSE(all.a.MayAct(At(1600ms)));
    CHECK(all.b.MayAct(At(1600ms)));
    // Nobody acted after epoch 1, whose state this process holds as its witness.
    CHECK(all.out.events == std::vector{right_event{right_change::kTransferred, 2, 1}});
  }
  SECTION("the owner gives the shard to an entry that joins") {
    all.out.appends.clear();
    REQUIRE(all.a.BeginTransferTo(kC, kA, At(1500ms), all.out));
    all.Assign(all.out.appends.at(0), 1600ms);
    CHECK(all.a.MayAct(At(1600ms)));
    all.c.Tick(At(1600ms), all.out);
    for (const auto& one : all.Take())
      all.Of(one.to).OnMessage(kC, one.message, At(1600ms), all.out);
    for (const auto& one : all.Take()) {
      // a's word to b, then the consents of both to c.
      const auto& from = one.to == kB ? kA : kB;
      all.Of(one.to).OnMessage(from, one.message, At(1700ms), all.out);
    }
    all.Pass(kB, 1700ms);
    all.Prove(1700ms);
    CHECK(all.c.MayAct(At(1700ms)));
    CHECK_FALSE(all.a.MayAct(At(1700ms)));
  }
}

namespace {

// The pair of `trio` with an arbiter: epoch 2 belongs to `a` with witness `b` and arbiter `c`.
struct ruled_trio : trio {
  ruled_trio() {
    Assign({0, 2, 1, kA, kB, kC}, 0s);
    a.Tick(At(0s), out);
    Take();
    a.SetWitnessReady(true);
    Exchange(kA, 1s);
    Changes();
  }

  /// Lets time pass at the two that still run; messages to the lost one are dropped.
  void RunWithout(const party& lost, duration from, duration until) {
    for (auto at = from; at < until; at += 100ms) {
      for (const auto& who : {kA, kB, kC}) {
        if (who == lost) continue;
        Of(who).OnListProof(At(at), At(at), out);
        Of(who).Tick(At(at), out);
        Deliver(who, lost, at);
      }
    }
  }

 private:
  void Deliver(const party& from, const party& lost, duration at) {
    for (const auto& one : Take()) {
      if (one.to == lost) continue;
      Of(one.to).OnMessage(from, one.message, At(at), out);
      Deliver(one.to, lost, at);
    }
  }
};

}  // namespace

// Guards against a shard that stops for the list's lag when the VM of its witness is lost.
TEST_CASE("rule 11: an owner that loses its witness goes on without a pause, log or not",
          "[single-run]") {
  ruled_trio all;
  REQUIRE(all.a.WitnessActive());
  all.RunWithout(kB, 1s, 20s);
  CHECK(all.a.MayAct(At(20s)));
  CHECK_FALSE(all.a.WitnessActive());
  CHECK(all.Changes().empty());
  // The witness was cut off only: it comes back, and neither renews nor takes over.
  all.b.OnListProof(At(20s), At(20s), all.out);
  all.b.Tick(At(20s), all.out);
  all.Pass(kB, 20s);
  all.Pass(kC, 20s);
  all.b.OnListProof(At(21s), At(21s), all.out);
  all.b.Tick(At(21s), all.out);
  CHECK_FALSE(all.b.MayAct(At(21s)));
}

// Guards against a dead owner whose shard nobody takes over while the log is down.
TEST_CASE("rule 11: a witness takes over by the arbiter's ruling", "[single-run]") {
  ruled_trio all;
  all.RunWithout(kA, 1s, 6s);
  CHECK(all.b.MayAct(At(6s)));
  CHECK(all.Changes() == std::vector{right_change::kTakenOver});
  // The owner was frozen only and wakes up.
  all.a.OnListProof(At(6s), At(6s), all.out);
  all.a.Tick(At(6s), all.out);
  all.Pass(kA, 6s);
  all.Pass(kC, 6s);
  CHECK_FALSE(all.a.MayAct(At(6s)));
}

// Guards against a pair that stops because the third party is lost.
TEST_CASE("rule 11: a pair goes on without its arbiter", "[single-run]") {
  ruled_trio all;
  all.RunWithout(kC, 1s, 20s);
  CHECK(all.a.MayAct(At(20s)));
  CHECK(all.a.WitnessActive());
  CHECK(all.Changes().empty());
}

// Guards against a second fault that stops a shard because its arbiter was lost before.
TEST_CASE("rule 11: a lost arbiter is replaced without a pause", "[single-run]") {
  ruled_trio all;
  const party next{entry_id{"d"}, 4};
  all.a.SetCandidates({kB, next});
  all.Prove(2s);
  all.out.appends.clear();
  all.a.Tick(At(2s), all.out);
  all.Pass(kA, 2s);  // asks the witness to resign
  all.Pass(kB, 2s);
  CHECK(all.a.MayAct(At(2s)));
  all.Prove(3500ms);
  all.a.Tick(At(3500ms), all.out);
  CHECK(all.a.MayAct(At(3500ms)));
  REQUIRE(all.out.appends.size() == 1);
  CHECK(all.out.appends.front() == assignment{0, 3, 2, kA, kB, next});
  CHECK(all.Changes().empty());
}

// Guards against a shard that nobody serves because its witness was released while its owner handed
// it over.
TEST_CASE("rule 11: a released witness takes what the owner hands over", "[single-run]") {
  ruled_trio all;
  const party next{entry_id{"d"}, 4};
  all.a.SetCandidates({kB, next});
  all.Prove(2s);
  all.a.Tick(At(2s), all.out);
  all.Pass(kA, 2s);  // asks the witness to resign
  const auto resignation = all.Take();
  all.a.GiveUp(At(2s), all.out);
  all.Pass(kA, 2s);
  CHECK(all.b.MayAct(At(2s)));
  // The resignation arrives late: the owner must not count on it.
  for (const auto& one : resignation) all.a.OnMessage(kB, one.message, At(2s), all.out);
  all.Take();
  all.Assign({0, 3, 2, kA, kC}, 2s);
  all.b.OnListProof(At(2s), At(2s), all.out);
  all.a.Tick(At(2s), all.out);
  CHECK_FALSE(all.a.MayAct(At(2s)));
  CHECK(all.b.MayAct(At(2s)));
}

// Guards against a third entry that claims by the witness's word alone while the owner, whose
// witness was excluded, acts on by its own right.
TEST_CASE("rule 11: a claim needs the arbiter's word", "[single-run][no-overcommit]") {
  ruled_trio all;
  all.RunWithout(kB, 1s, 8s);
  REQUIRE(all.a.MayAct(At(8s)));
  const party claimant{entry_id{"d"}, 4};
  shard_rights d{0, claimant, all.settings};
  for (const auto& known : {assignment{0, 1, 0, kA, kB}, assignment{0, 2, 1, kA, kB, kC},
                            assignment{0, 3, 2, claimant, {}}}) {
    d.OnAssignment(known, At(8s), all.out);
  }
  d.OnLogEnd(At(8s), At(8s), all.out);
  all.Take();
  wire::pair_message consent;
  consent.mutable_consent()->set_claimed_epoch(3);
  consent.mutable_consent()->set_given(true);
  consent.mutable_consent()->set_settled_epoch(2);
  consent.mutable_consent()->set_activated_epoch(2);
  d.OnMessage(kB, consent, At(8s), all.out);
  CHECK_FALSE(d.MayAct(At(8s)));
  SECTION("which says that the witness was excluded") {
    consent.mutable_consent()->set_excluded_epoch(2);
    d.OnMessage(kC, consent, At(8s), all.out);
    CHECK_FALSE(d.MayAct(At(8s)));
  }
  SECTION("which says that it was not") {
    d.OnMessage(kC, consent, At(8s), all.out);
    CHECK(d.MayAct(At(8s)));
  }
}

}  // namespace rosearch
