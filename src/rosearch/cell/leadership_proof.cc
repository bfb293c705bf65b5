#include "rosearch/cell/leadership_proof.h"

#include <algorithm>
#include <cstddef>

namespace rosearch::cell {

void leadership_proof::OnNoNewerClaim(time_point at) {
  no_newer_claim_at_ = std::max(no_newer_claim_at_, at);
}

void leadership_proof::OnPing(const std::string& process, time_point heard_at, time_point now) {
  auto& known = voters_[process];
  known.heard_at = std::max(known.heard_at, heard_at);
  known.seen_at = now;
}

void leadership_proof::Expect(const std::string& process, time_point now) {
  voters_.try_emplace(process, voter{{}, now});
}

void leadership_proof::Discard() {
  no_newer_claim_at_ = {};
  for (auto& [process, known] : voters_) {
    known.heard_at = {};
  }
}

bool leadership_proof::Holds(time_point now) const {
  if (now - no_newer_claim_at_ < settings_.timeout) {
    return true;
  }
  const auto age = now - ProvenAt();
  return age < settings_.timeout || (age < settings_.max_unconfirmed && HasMajority(now));
}

time_point leadership_proof::ProvenAt() const {
  auto all_heard_at = time_point::max();
  for (const auto& [process, known] : voters_) {
    if (IsExpected(known)) {
      all_heard_at = std::min(all_heard_at, known.heard_at);
    }
  }
  const bool has_voters = all_heard_at != time_point::max();
  return has_voters ? std::max(no_newer_claim_at_, all_heard_at) : no_newer_claim_at_;
}

bool leadership_proof::HasMajority(time_point now) const {
  std::size_t processes = 1;
  std::size_t vouching = 1;
  for (const auto& [process, known] : voters_) {
    processes += IsExpected(known) ? 1 : 0;
    vouching += now - known.heard_at < settings_.timeout ? 1 : 0;
  }
  return vouching > 1 && vouching * 2 > processes;
}

}  // namespace rosearch::cell
