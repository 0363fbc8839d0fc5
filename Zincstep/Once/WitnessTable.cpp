#include "Zincstep/Once/WitnessTable.h"

namespace zincstep {

namespace {

/// Memory of an entry besides its strings, in bytes: map node, pointers and
/// expiry.
constexpr std::size_t kEntryOverhead = 384;

}  // namespace

std::size_t WitnessTable::SizeOf(const Claim& aClaim) {
  return kEntryOverhead + 2 * aClaim.key.size() +
         aClaim.claimant.member.size() + aClaim.response.body.size() +
         aClaim.response.contentType.size();
}

void WitnessTable::Put(const Claim& aClaim, Instant aNow) {
  const auto found = this->entries.find(aClaim.key);
  if (found != this->entries.end()) {
    this->bytes -= SizeOf(found->second.claim);
  }
  const Instant expiresAt = aNow + this->settings.retention;
  this->entries[aClaim.key] = {aClaim, expiresAt};
  this->bytes += SizeOf(aClaim);
  this->expiries.push_back({expiresAt, aClaim.key});
}

ClaimVote WitnessTable::Vote(const Claim& aClaim, Instant aNow) {
  if (this->closed) {
    return {ClaimVote::Kind::Closed, {}};
  }
  this->Expire(aNow);
  const auto found = this->entries.find(aClaim.key);
  if (found != this->entries.end()) {
    const Claim& existing = found->second.claim;
    const bool isOwner = existing.claimant == aClaim.claimant &&
                         existing.state == ClaimState::Claimed;
    return {isOwner ? ClaimVote::Kind::Granted : ClaimVote::Kind::HeldByOther,
            existing};
  }
  if (this->bytes + SizeOf(aClaim) > this->settings.maxBytes) {
    return {ClaimVote::Kind::Full, {}};
  }
  this->Put(aClaim, aNow);
  return {ClaimVote::Kind::Granted, aClaim};
}

void WitnessTable::Release(const std::string& aKey, const Claimant& aClaimant) {
  const auto found = this->entries.find(aKey);
  const bool isOwner = found != this->entries.end() &&
                       found->second.claim.claimant == aClaimant &&
                       found->second.claim.state == ClaimState::Claimed;
  if (isOwner && !this->closed) {
    this->bytes -= SizeOf(found->second.claim);
    this->entries.erase(found);
  }
}

void WitnessTable::Finish(const Claim& aClaim, Instant aNow) {
  const auto found = this->entries.find(aClaim.key);
  // Only the winner of a round calls this, so that the claim of another run in
  // state `Claimed` has lost.
  const bool isFinishedByOther =
      found != this->entries.end() &&
      found->second.claim.claimant != aClaim.claimant &&
      found->second.claim.state != ClaimState::Claimed;
  if (!isFinishedByOther && !this->closed) {
    this->Put(aClaim, aNow);
  }
}

void WitnessTable::Expire(Instant aNow) {
  while (!this->expiries.empty() && this->expiries.front().at <= aNow) {
    const auto found = this->entries.find(this->expiries.front().key);
    if (found != this->entries.end() && found->second.expiresAt <= aNow) {
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

void WitnessTable::Merge(const std::vector<Claim>& aClaims, Instant aNow) {
  for (Claim claim : aClaims) {
    const auto found = this->entries.find(claim.key);
    if (found == this->entries.end()) {
      this->Put(claim, aNow);
      continue;
    }
    const Claim& existing = found->second.claim;
    if (existing.state != ClaimState::Claimed ||
        existing.claimant == claim.claimant) {
      continue;
    }
    if (claim.state == ClaimState::Claimed) {
      // The two witnesses granted the key to different claimants. The merged
      // table cannot honour both grants, so that it honours neither.
      claim.state = ClaimState::Unknown;
    }
    this->Put(claim, aNow);
  }
}

}  // namespace zincstep
