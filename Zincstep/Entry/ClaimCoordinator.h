#pragma once

#include <map>
#include <memory>
#include <string>

#include "Zincstep/Entry/EntryContext.h"

namespace zincstep {

/// Receives the verdicts of claims.
class ClaimListener {
 public:
  virtual ~ClaimListener() = default;

  /// Called when the claim of request `aRequest` is decided. `aOwner` is the
  /// claim that owns the key; valid only after `HeldByOther`.
  virtual void OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
                       const Claim& aOwner) = 0;
};

/// Claims keys at their witnesses, and is itself a witness for other daemons.
class ClaimCoordinator {
 public:
  explicit ClaimCoordinator(EntryContext& aContext);

  /// Claims `aKey` for a request. May call the listener before it returns.
  void Begin(std::uint64_t aRequest, const std::string& aKey,
             std::uint64_t aDigest, ClaimListener& aListener);
  /// Releases the key of a request that certainly was not run.
  void Release(std::uint64_t aRequest);
  /// Records the end of a request at the witnesses. A null `aResponse` means
  /// that it may have run and that its response is unknown.
  void Finish(std::uint64_t aRequest, const CachedResponse* aResponse);

  /// Handles a claim, release or finish that a peer sent to this witness.
  void OnOrder(const std::string& aReplyTo, const ClaimOrderMessage& aOrder);
  /// Counts a witness' vote, or releases the grant if its claim is already
  /// lost.
  void OnVote(const std::string& aSender, const std::string& aReplyTo,
              const ClaimVoteMessage& aVote);
  /// Merges the claims of a witness that has closed.
  void OnHandOver(const std::string& aReplyTo, const HandOverMessage& aMessage);
  /// Records that the successor has received this daemon's claims.
  void OnHandOverDone();
  /// Expires keys and rounds; must be called periodically.
  void OnTick(Instant aNow);

  /// Stops voting and sends the claims to `aPeer`. Returns true if the handover
  /// is complete or there is no peer to hand over to.
  bool TransferClaimsTo(const PeerInfo* aPeer);
  /// The member that has received the claims; empty before that.
  const std::string& HandedTo() const { return this->handedTo; }

  /// Number of keys that this witness stores.
  std::size_t Keys() const { return this->witness.Size(); }
  /// Estimated memory of these keys, in bytes.
  std::size_t KeyBytes() const { return this->witness.Bytes(); }
  /// Number of claims without a verdict.
  std::size_t OpenRounds() const { return this->rounds.size(); }

 private:
  struct Round {
    std::unique_ptr<ClaimRound> claim;
    ClaimListener* listener = nullptr;
  };

  void RequestVote(std::uint64_t aRequest, const std::string& aMember);
  void SendStep(const Claim& aClaim, const std::string& aMember,
                ClaimOrderMessage::Step aStep, std::uint64_t aRound);
  void HandleLocally(const Claim& aClaim, ClaimOrderMessage::Step aStep,
                     std::uint64_t aRound);
  void OnVerdict(std::uint64_t aRequest, std::optional<ClaimVerdict> aVerdict);
  std::vector<std::string> WitnessMembers(const std::string& aKey) const;
  std::string AddressOf(const std::string& aMember) const;

  EntryContext& context;
  WitnessTable witness;
  std::map<std::uint64_t, Round> rounds;
  /// Claims that this daemon's requests have won and not yet ended.
  std::map<std::uint64_t, Claim> won;
  std::string successor;
  std::string handedTo;
};

}  // namespace zincstep
