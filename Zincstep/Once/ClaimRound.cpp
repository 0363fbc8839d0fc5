#include "Zincstep/Once/ClaimRound.h"

#include <algorithm>

namespace zincstep {

ClaimRound::ClaimRound(Claim aClaim, const MemberLists& aLists,
                       Instant aDeadline)
    : claim(std::move(aClaim)), epoch(aLists.Epoch()), deadline(aDeadline) {
  for (const MemberList& list : aLists.lists) {
    Ballot ballot;
    for (const std::string& witness : WitnessesOf(list, this->claim.key)) {
      // A member that has taken over others' memory votes once for each.
      ballot.witnesses.push_back(aLists.Resolve(witness));
    }
    ballot.open = ballot.AllVotes();
    this->waiting.insert(ballot.witnesses.begin(), ballot.witnesses.end());
    this->ballots.push_back(std::move(ballot));
  }
}

std::size_t ClaimRound::Ballot::VotesOf(const std::string& aMember) const {
  std::size_t votes = 0;
  for (std::size_t i = 0; i < this->witnesses.size(); ++i) {
    votes += this->witnesses[i] == aMember ? this->VotesOf(i) : 0;
  }
  return votes;
}

std::size_t ClaimRound::Ballot::AllVotes() const {
  std::size_t votes = 0;
  for (std::size_t i = 0; i < this->witnesses.size(); ++i) {
    votes += this->VotesOf(i);
  }
  return votes;
}

std::vector<std::string> ClaimRound::Asked() const {
  return {this->waiting.begin(), this->waiting.end()};
}

std::vector<std::string> ClaimRound::Granted() const {
  return {this->granted.begin(), this->granted.end()};
}

std::optional<ClaimVerdict> ClaimRound::Settle(ClaimVerdict aVerdict) {
  this->verdict = aVerdict;
  return aVerdict;
}

std::optional<ClaimVerdict> ClaimRound::Count(const std::string& aMember,
                                              bool aGranted) {
  bool won = !this->ballots.empty();
  bool hopeless = this->ballots.empty();
  for (Ballot& ballot : this->ballots) {
    const std::size_t votes = ballot.VotesOf(aMember);
    ballot.open -= votes;
    ballot.granted += aGranted ? votes : 0;
    won = won && ballot.granted >= ballot.Majority();
    hopeless = hopeless || ballot.granted + ballot.open < ballot.Majority();
  }
  if (won) {
    return this->Settle(ClaimVerdict::Won);
  }
  if (!hopeless) {
    return std::nullopt;
  }
  if (this->sawHolder) {
    return this->Settle(ClaimVerdict::HeldByOther);
  }
  return this->Settle(this->sawFull ? ClaimVerdict::Full
                                    : ClaimVerdict::NoQuorum);
}

std::optional<ClaimVerdict> ClaimRound::OnVote(const std::string& aMember,
                                               const ClaimVote& aVote,
                                               Instant aNow) {
  if (this->waiting.erase(aMember) == 0) {
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
    this->holder = aVote.claim;
    this->sawHolder = true;
    if (aVote.claim.state != ClaimState::Claimed) {
      return this->Settle(ClaimVerdict::HeldByOther);
    }
    // A mere claim may be one that is losing this very moment: only a
    // majority decides.
  }
  this->sawFull = this->sawFull || aVote.kind == ClaimVote::Kind::Full;
  return this->Count(aMember, isGrant);
}

std::optional<ClaimVerdict> ClaimRound::OnLost(const std::string& aMember) {
  if (this->verdict || this->waiting.erase(aMember) == 0) {
    return std::nullopt;
  }
  return this->Count(aMember, false);
}

std::optional<ClaimVerdict> ClaimRound::OnTimeout() {
  if (this->verdict) {
    return std::nullopt;
  }
  return this->Settle(ClaimVerdict::NoQuorum);
}

}  // namespace zincstep
