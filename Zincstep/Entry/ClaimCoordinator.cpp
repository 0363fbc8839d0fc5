#include "Zincstep/Entry/ClaimCoordinator.h"

#include <set>

namespace zincstep {

namespace {

constexpr Micros kVoteTimeout = 400ms;

WitnessTableSettings WitnessSettings(const EntrySettings& aSettings) {
  WitnessTableSettings settings;
  settings.maxBytes = static_cast<std::size_t>(aSettings.keyMemoryMegabytes)
                      << 20;
  return settings;
}

}  // namespace

ClaimCoordinator::ClaimCoordinator(EntryContext& aContext)
    : context(aContext), witness(WitnessSettings(aContext.settings)) {}

std::string ClaimCoordinator::AddressOf(const std::string& aMember) const {
  const Member* member = this->context.members.Find(aMember);
  return member != nullptr ? member->peerAddress
                           : this->context.peers.AddressOfMember(aMember);
}

void ClaimCoordinator::Begin(std::uint64_t aRequest, const std::string& aKey,
                             std::uint64_t aDigest, ClaimListener& aListener) {
  Claim claim;
  claim.key = aKey;
  claim.digest = aDigest;
  claim.claimant = {this->context.member, aRequest};
  Round& round = this->rounds[aRequest];
  round.claim = std::make_unique<ClaimRound>(
      claim, this->context.members, this->context.clock.Now() + kVoteTimeout);
  round.listener = &aListener;
  const std::vector<std::string> members = round.claim->PendingWitnesses();
  if (members.empty()) {
    this->OnVerdict(aRequest, round.claim->OnTimeout());
    return;
  }
  for (const std::string& member : members) {
    this->RequestVote(aRequest, member);
  }
}

void ClaimCoordinator::RequestVote(std::uint64_t aRequest,
                                   const std::string& aMember) {
  const auto found = this->rounds.find(aRequest);
  if (found == this->rounds.end()) {
    return;
  }
  this->SendStep(found->second.claim->GetClaim(), aMember,
                 ClaimOrderMessage::Step::Ask, aRequest);
}

void ClaimCoordinator::SendStep(const Claim& aClaim, const std::string& aMember,
                                ClaimOrderMessage::Step aStep,
                                std::uint64_t aRound) {
  if (aMember == this->context.member) {
    this->HandleLocally(aClaim, aStep, aRound);
    return;
  }
  const std::string address = this->AddressOf(aMember);
  if (!address.empty()) {
    this->context.Send(
        address, ClaimOrderMessage{aRound, this->context.members.Epoch(), aStep,
                                   aClaim});
    return;
  }
  const auto found = this->rounds.find(aRound);
  if (aStep == ClaimOrderMessage::Step::Ask && found != this->rounds.end()) {
    this->OnVerdict(aRound, found->second.claim->OnUnreachable(aMember));
  }
}

void ClaimCoordinator::HandleLocally(const Claim& aClaim,
                                     ClaimOrderMessage::Step aStep,
                                     std::uint64_t aRound) {
  const Instant now = this->context.clock.Now();
  switch (aStep) {
    case ClaimOrderMessage::Step::Ask: {
      const ClaimVote vote = this->witness.Vote(aClaim, now);
      this->OnVote(this->context.member, "", ClaimVoteMessage{aRound, vote});
      break;
    }
    case ClaimOrderMessage::Step::Release:
      this->witness.Release(aClaim.key, aClaim.claimant);
      break;
    case ClaimOrderMessage::Step::Finish:
      this->witness.Finish(aClaim, now);
      break;
  }
}

void ClaimCoordinator::OnOrder(const std::string& aReplyTo,
                               const ClaimOrderMessage& aOrder) {
  const Instant now = this->context.clock.Now();
  if (aOrder.step == ClaimOrderMessage::Step::Release) {
    this->witness.Release(aOrder.claim.key, aOrder.claim.claimant);
    return;
  }
  if (aOrder.step == ClaimOrderMessage::Step::Finish) {
    this->witness.Finish(aOrder.claim, now);
    return;
  }
  ClaimVote vote{ClaimVote::Kind::StaleMembers, {}};
  if (aOrder.epoch >= this->context.members.Epoch()) {
    vote = this->witness.Vote(aOrder.claim, now);
  }
  this->context.Send(aReplyTo, ClaimVoteMessage{aOrder.round, vote});
}

void ClaimCoordinator::OnVote(const std::string& aSender,
                              const std::string& aReplyTo,
                              const ClaimVoteMessage& aVote) {
  const auto found = this->rounds.find(aVote.round);
  const bool isGrant = aVote.vote.kind == ClaimVote::Kind::Granted;
  if (found == this->rounds.end()) {
    // The round is decided. A late grant is released unless the claim was won.
    if (isGrant && !this->won.contains(aVote.round)) {
      this->SendStep(aVote.vote.claim, aSender,
                     ClaimOrderMessage::Step::Release, aVote.round);
    }
    return;
  }
  if (aVote.vote.kind == ClaimVote::Kind::StaleMembers) {
    this->context.Send(aReplyTo, MembersWantMessage{});
  }
  this->OnVerdict(aVote.round,
                  found->second.claim->OnVote(aSender, aVote.vote,
                                              this->context.clock.Now()));
}

void ClaimCoordinator::OnVerdict(std::uint64_t aRequest,
                                 std::optional<ClaimVerdict> aVerdict) {
  if (!aVerdict) {
    return;
  }
  const auto found = this->rounds.find(aRequest);
  Round round = std::move(found->second);
  this->rounds.erase(found);
  const Claim claim = round.claim->GetClaim();
  if (*aVerdict == ClaimVerdict::Won) {
    this->won[aRequest] = claim;
  } else {
    for (const std::string& member : round.claim->Granted()) {
      this->SendStep(claim, member, ClaimOrderMessage::Step::Release, aRequest);
    }
  }
  this->context.metrics.Count(
      "zincstep_claims_total",
      {{"verdict", std::to_string(static_cast<int>(*aVerdict))}});
  round.listener->OnClaim(aRequest, *aVerdict, round.claim->Owner());
}

std::vector<std::string> ClaimCoordinator::WitnessMembers(
    const std::string& aKey) const {
  std::set<std::string> members;
  for (const MemberList& list : this->context.members.lists) {
    for (const std::string& witness : WitnessesOf(list, aKey)) {
      members.insert(this->context.members.Resolve(witness));
    }
  }
  return {members.begin(), members.end()};
}

void ClaimCoordinator::Release(std::uint64_t aRequest) {
  const auto found = this->won.find(aRequest);
  if (found == this->won.end()) {
    return;
  }
  const Claim claim = found->second;
  this->won.erase(found);
  for (const std::string& member : this->WitnessMembers(claim.key)) {
    this->SendStep(claim, member, ClaimOrderMessage::Step::Release, aRequest);
  }
}

void ClaimCoordinator::Finish(std::uint64_t aRequest,
                              const CachedResponse* aResponse) {
  const auto found = this->won.find(aRequest);
  if (found == this->won.end()) {
    return;
  }
  Claim claim = found->second;
  this->won.erase(found);
  claim.state =
      aResponse == nullptr ? ClaimState::Unknown : ClaimState::Finished;
  if (aResponse != nullptr) {
    claim.response = *aResponse;
  }
  if (claim.response.body.size() > kMaxCachedResponseBytes) {
    claim.response.body.clear();
    claim.response.isTruncated = true;
  }
  for (const std::string& member : this->WitnessMembers(claim.key)) {
    this->SendStep(claim, member, ClaimOrderMessage::Step::Finish, aRequest);
  }
}

void ClaimCoordinator::OnTick(Instant aNow) {
  this->witness.Expire(aNow);
  std::vector<std::uint64_t> expired;
  for (const auto& [request, round] : this->rounds) {
    if (round.claim->Deadline() <= aNow) {
      expired.push_back(request);
    }
  }
  for (const std::uint64_t request : expired) {
    this->OnVerdict(request, this->rounds.at(request).claim->OnTimeout());
  }
}

bool ClaimCoordinator::TransferClaimsTo(const PeerInfo* aPeer) {
  if (!this->handedTo.empty()) {
    return true;
  }
  if (aPeer == nullptr) {
    return true;
  }
  // Closing the table makes the copy final: no vote can follow it.
  this->successor = aPeer->member;
  this->context.Send(
      aPeer->peerAddress,
      HandOverMessage{this->context.member, this->witness.Close()});
  return false;
}

void ClaimCoordinator::OnHandOver(const std::string& aReplyTo,
                                  const HandOverMessage& aMessage) {
  if (this->witness.IsClosed()) {
    return;
  }
  this->witness.Merge(aMessage.claims, this->context.clock.Now());
  this->context.Send(aReplyTo, HandOverDoneMessage{aMessage.from});
}

void ClaimCoordinator::OnHandOverDone() { this->handedTo = this->successor; }

}  // namespace zincstep
