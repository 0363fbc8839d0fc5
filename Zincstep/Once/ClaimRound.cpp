#include "Zincstep/Once/ClaimRound.h"

#include <algorithm>

namespace zincstep {

ClaimRound::ClaimRound(Claim aClaim, const MemberLists& aLists,
                       Instant aDeadline)
    : claim(std::move(aClaim)), epoch(aLists.Epoch()), deadline(aDeadline) {
  for (const MemberList& list : aLists.lists) {
    Tally tally;
    for (const std::string& witness : WitnessesOf(list, this->claim.key)) {
      // A member that took over the claims of others votes once for each.
      tally.witnesses.push_back(aLists.Resolve(witness));
    }
    tally.outstanding = tally.TotalVotes();
    this->pending.insert(tally.witnesses.begin(), tally.witnesses.end());
    this->tallies.push_back(std::move(tally));
  }
}

std::size_t ClaimRound::Tally::VotesOf(const std::string& aMember) const {
  std::size_t votes = 0;
  for (std::size_t i = 0; i < this->witnesses.size(); ++i) {
    votes += this->witnesses[i] == aMember ? this->VotesOf(i) : 0;
  }
  return votes;
}

std::size_t ClaimRound::Tally::TotalVotes() const {
  std::size_t votes = 0;
  for (std::size_t i = 0; i < this->witnesses.size(); ++i) {
    votes += this->VotesOf(i);
  }
  return votes;
}

std::vector<std::string> ClaimRound::PendingWitnesses() const {
  return {this->pending.begin(), this->pending.end()};
}

std::vector<std::string> ClaimRound::Granted() const {
  return {this->granted.begin(), this->granted.end()};
}

std::optional<ClaimVerdict> ClaimRound::Decide(ClaimVerdict aVerdict) {
  this->verdict = aVerdict;
  return aVerdict;
}

std::optional<ClaimVerdict> ClaimRound::CountVote(const std::string& aMember,
                                                  bool aIsGrant) {
  bool hasWon = !this->tallies.empty();
  bool cannotWin = this->tallies.empty();
  for (Tally& tally : this->tallies) {
    const std::size_t votes = tally.VotesOf(aMember);
    tally.outstanding -= votes;
    tally.granted += aIsGrant ? votes : 0;
    hasWon = hasWon && tally.granted >= tally.Majority();
    cannotWin =
        cannotWin || tally.granted + tally.outstanding < tally.Majority();
  }
  if (hasWon) {
    return this->Decide(ClaimVerdict::Won);
  }
  if (!cannotWin) {
    return std::nullopt;
  }
  if (this->sawOwner) {
    return this->Decide(ClaimVerdict::HeldByOther);
  }
  return this->Decide(this->sawFull ? ClaimVerdict::Full
                                    : ClaimVerdict::NoQuorum);
}

std::optional<ClaimVerdict> ClaimRound::OnVote(const std::string& aMember,
                                               const ClaimVote& aVote,
                                               Instant aNow) {
  if (this->pending.erase(aMember) == 0) {
    return std::nullopt;
  }
  const bool isGrant = aVote.kind == ClaimVote::Kind::Granted;
  if (isGrant) {
    this->granted.insert(aMember);
  }
  if (this->verdict) {
    return std::nullopt;
  }
  if (aNow >= this->deadline) {
    return this->OnTimeout();
  }
  if (aVote.kind == ClaimVote::Kind::HeldByOther) {
    this->owner = aVote.claim;
    this->sawOwner = true;
    if (aVote.claim.state != ClaimState::Claimed) {
      return this->Decide(ClaimVerdict::HeldByOther);
    }
    // The other claim may be losing its own round, so that only a majority of
    // the witnesses decides.
  }
  this->sawFull = this->sawFull || aVote.kind == ClaimVote::Kind::Full;
  return this->CountVote(aMember, isGrant);
}

std::optional<ClaimVerdict> ClaimRound::OnUnreachable(
    const std::string& aMember) {
  if (this->verdict || this->pending.erase(aMember) == 0) {
    return std::nullopt;
  }
  return this->CountVote(aMember, false);
}

std::optional<ClaimVerdict> ClaimRound::OnTimeout() {
  if (this->verdict) {
    return std::nullopt;
  }
  return this->Decide(ClaimVerdict::NoQuorum);
}

}  // namespace zincstep
