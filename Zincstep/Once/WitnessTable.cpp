#include "Zincstep/Once/WitnessTable.h"

namespace zincstep {

namespace {

/// Memory of an entry beside its texts: nodes, pointers and the expiry.
constexpr std::size_t kEntryOverhead = 384;

}  // namespace

std::size_t WitnessTable::SizeOf(const Claim& aClaim) {
  return kEntryOverhead + 2 * aClaim.key.size() +
         aClaim.claimant.member.size() + aClaim.answer.body.size() +
         aClaim.answer.contentType.size();
}

void WitnessTable::Put(const Claim& aClaim, Instant aNow) {
  const auto found = this->entries.find(aClaim.key);
  if (found != this->entries.end()) {
    this->bytes -= SizeOf(found->second.claim);
  }
  const Instant until = aNow + this->settings.memory;
  this->entries[aClaim.key] = {aClaim, until};
  this->bytes += SizeOf(aClaim);
  this->expiries.push_back({until, aClaim.key});
}

ClaimVote WitnessTable::Ask(const Claim& aClaim, Instant aNow) {
  if (this->closed) {
    return {ClaimVote::Kind::Closed, {}};
  }
  this->Expire(aNow);
  const auto found = this->entries.find(aClaim.key);
  if (found != this->entries.end()) {
    const Claim& held = found->second.claim;
    const bool mine =
        held.claimant == aClaim.claimant && held.state == ClaimState::Claimed;
    return {mine ? ClaimVote::Kind::Granted : ClaimVote::Kind::HeldByOther,
            held};
  }
  if (this->bytes + SizeOf(aClaim) > this->settings.maxBytes) {
    return {ClaimVote::Kind::Full, {}};
  }
  this->Put(aClaim, aNow);
  return {ClaimVote::Kind::Granted, aClaim};
}

void WitnessTable::Release(const std::string& aKey, const Claimant& aClaimant) {
  const auto found = this->entries.find(aKey);
  const bool mine = found != this->entries.end() &&
                    found->second.claim.claimant == aClaimant &&
                    found->second.claim.state == ClaimState::Claimed;
  if (mine && !this->closed) {
    this->bytes -= SizeOf(found->second.claim);
    this->entries.erase(found);
  }
}

void WitnessTable::Finish(const Claim& aClaim, Instant aNow) {
  const auto found = this->entries.find(aClaim.key);
  // Only a winner finishes: a mere claim of another run has lost.
  const bool others = found != this->entries.end() &&
                      found->second.claim.claimant != aClaim.claimant &&
                      found->second.claim.state != ClaimState::Claimed;
  if (!others && !this->closed) {
    this->Put(aClaim, aNow);
  }
}

void WitnessTable::Expire(Instant aNow) {
  while (!this->expiries.empty() && this->expiries.front().at <= aNow) {
    const auto found = this->entries.find(this->expiries.front().key);
    if (found != this->entries.end() && found->second.until <= aNow) {
      this->bytes -= SizeOf(found->second.claim);
      this->entries.erase(found);
    }
    this->expiries.pop_front();
  }
}

std::vector<Claim> WitnessTable::Close() {
  this->closed = true;
  std::vector<Claim> claims;
  claims.reserve(this->entries.size());
  for (const auto& [key, entry] : this->entries) {
    claims.push_back(entry.claim);
  }
  return claims;
}

void WitnessTable::Adopt(const std::vector<Claim>& aClaims, Instant aNow) {
  for (Claim claim : aClaims) {
    const auto found = this->entries.find(claim.key);
    if (found == this->entries.end()) {
      this->Put(claim, aNow);
      continue;
    }
    const Claim& own = found->second.claim;
    if (own.state != ClaimState::Claimed || own.claimant == claim.claimant) {
      continue;
    }
    if (claim.state == ClaimState::Claimed) {
      // Each of the two witnesses has given its vote to another run. One
      // table cannot keep both promises, so that it grants to neither.
      claim.state = ClaimState::Unknown;
    }
    this->Put(claim, aNow);
  }
}

}  // namespace zincstep
