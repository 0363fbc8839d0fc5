#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Once/Claim.h"
#include "Zincstep/Once/MemberLists.h"

namespace zincstep {

/// Result of a claim.
enum class ClaimVerdict {
  /// The claimant may run the request, and no other claimant may.
  Won,
  /// Another run owns the key; `ClaimRound::Owner` has its claim and state.
  HeldByOther,
  /// Too few witnesses responded. The request was not run.
  NoQuorum,
  /// The witnesses have no memory left for the key.
  Full,
};

/// One claim of a key at its witnesses, as the claimant tracks it.
///
/// The claim is won when a majority of the key's witnesses has granted it in
/// every member list that is still in use. Any two majorities of one list share
/// a witness, and any two claimants share a list: a witness with a newer list
/// refuses a claimant with an older one, and an older list is dropped only
/// after every daemon has had to use the newer list as well. So two claimants
/// cannot both win. The grants of a claim that is not won have to be released,
/// also those that arrive late.
class ClaimRound {
 public:
  /// Votes that arrive after `aDeadline` are not counted: if, for example, this
  /// daemon was paused after it sent the claim, the first witness' grant may be
  /// about to expire.
  ClaimRound(Claim aClaim, const MemberLists& aLists, Instant aDeadline);

  /// Members whose vote is outstanding, each once; at first, all witnesses.
  std::vector<std::string> PendingWitnesses() const;
  /// The claim that the witnesses vote on.
  const Claim& GetClaim() const { return this->claim; }
  /// Epoch of the newest member list of the round.
  std::uint64_t Epoch() const { return this->epoch; }

  /// Counts a member's vote. Returns the verdict if this vote decides it.
  std::optional<ClaimVerdict> OnVote(const std::string& aMember,
                                     const ClaimVote& aVote, Instant aNow);
  /// Counts a member that cannot be reached as a refusal. Returns the verdict
  /// if this decides it.
  std::optional<ClaimVerdict> OnUnreachable(const std::string& aMember);
  /// Time after which votes are not counted.
  Instant Deadline() const { return this->deadline; }
  /// Ends the round at its deadline. Returns `NoQuorum`, or nothing if the
  /// verdict is known already.
  std::optional<ClaimVerdict> OnTimeout();

  /// The claim that owns the key, after `HeldByOther`.
  const Claim& Owner() const { return this->owner; }
  /// Members that granted the claim; their grants have to be released after any
  /// verdict other than `Won`.
  std::vector<std::string> Granted() const;
  /// Whether the verdict is known.
  bool IsOver() const { return this->verdict.has_value(); }

 private:
  /// Votes in one member list. Each witness has two votes. If the number of
  /// witnesses is even, the first has three, so that no tie is possible.
  struct Tally {
    std::vector<std::string> witnesses;
    std::size_t granted = 0;
    std::size_t outstanding = 0;

    std::size_t VotesOf(std::size_t aWitness) const {
      const bool isEven = this->witnesses.size() % 2 == 0;
      return isEven && aWitness == 0 ? 3 : 2;
    }
    std::size_t VotesOf(const std::string& aMember) const;
    std::size_t TotalVotes() const;
    std::size_t Majority() const { return this->TotalVotes() / 2 + 1; }
  };

  std::optional<ClaimVerdict> Decide(ClaimVerdict aVerdict);
  std::optional<ClaimVerdict> CountVote(const std::string& aMember,
                                        bool aIsGrant);

  Claim claim;
  std::uint64_t epoch;
  Instant deadline;
  std::vector<Tally> tallies;
  std::set<std::string> pending;
  std::set<std::string> granted;
  bool sawFull = false;
  bool sawOwner = false;
  Claim owner;
  std::optional<ClaimVerdict> verdict;
};

}  // namespace zincstep
