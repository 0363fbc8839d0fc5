#pragma once

#include <map>
#include <memory>
#include <string>

#include "Zincstep/Entry/EntryContext.h"

namespace zincstep {

/// Is told how a claim ended.
class ClaimListener {
 public:
  virtual ~ClaimListener() = default;

  /// The claim of request `aRequest` has ended; `aHolder` counts after
  /// `HeldByOther` only.
  virtual void OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
                       const Claim& aHolder) = 0;
};

/// Claims keys at their witnesses, and is a witness for others.
class ClaimCoordinator {
 public:
  explicit ClaimCoordinator(EntryContext& aContext);

  /// Claims `aKey` for a request; the listener may be told at once.
  void Begin(std::uint64_t aRequest, const std::string& aKey,
             std::uint64_t aDigest, ClaimListener& aListener);
  /// The request was certainly not run: frees its key.
  void Release(std::uint64_t aRequest);
  /// The request has ended; a null answer means that it may have run.
  void Finish(std::uint64_t aRequest, const CachedResponse* aAnswer);

  /// A peer asks something of this witness.
  void OnOrder(const std::string& aReplyTo, const ClaimOrderMessage& aOrder);
  /// A witness has voted.
  void OnVote(const std::string& aSender, const std::string& aReplyTo,
              const ClaimVoteMessage& aVote);
  /// A closed witness hands its claims over to this one.
  void OnHandOver(const std::string& aReplyTo, const HandOverMessage& aMessage);
  /// The successor has this daemon's claims.
  void OnHandOverDone();
  /// Time has passed.
  void OnTick(Instant aNow);

  /// Stops voting and sends the claims to `aPeer`; true once they are there
  /// or where there is nothing to hand over.
  bool TransferClaimsTo(const PeerInfo* aPeer);
  /// The member that has the claims, once handed over.
  const std::string& HandedTo() const { return this->handedTo; }

  std::size_t Keys() const { return this->witness.Size(); }
  std::size_t KeyBytes() const { return this->witness.Bytes(); }
  std::size_t OpenRounds() const { return this->rounds.size(); }

 private:
  struct Round {
    std::unique_ptr<ClaimRound> claim;
    ClaimListener* listener = nullptr;
  };

  void Ask(std::uint64_t aRequest, const std::string& aMember);
  void SendStep(const Claim& aClaim, const std::string& aMember,
                ClaimOrderMessage::Step aStep, std::uint64_t aRound);
  void HandleOwn(const Claim& aClaim, ClaimOrderMessage::Step aStep,
                 std::uint64_t aRound);
  void OnVerdict(std::uint64_t aRequest, std::optional<ClaimVerdict> aVerdict);
  std::vector<std::string> WitnessMembers(const std::string& aKey) const;
  std::string AddressOf(const std::string& aMember) const;

  EntryContext& context;
  WitnessTable witness;
  std::map<std::uint64_t, Round> rounds;
  /// Keys that this daemon's own requests have won.
  std::map<std::uint64_t, Claim> won;
  std::string successor;
  std::string handedTo;
};

}  // namespace zincstep
