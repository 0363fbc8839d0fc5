#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Once/Claim.h"
#include "Zincstep/Once/MemberLists.h"

namespace zincstep {

/// How a claim ended.
enum class ClaimVerdict {
  /// The request may be run, and nobody else may run it.
  Won,
  /// Another run of the key is there; the claim says how far it is.
  HeldByOther,
  /// Too few witnesses have answered: the request was not run.
  NoQuorum,
  /// The witnesses have no room for the key.
  Full,
};

/// One claim of a key at its witnesses, from the claimant's side.
///
/// The claim is won when a majority of the witnesses in every list that is
/// still consulted has granted it. Any two majorities of one list share a
/// witness, and any two claimants share a list: a claimant with an older
/// list is refused by every witness that knows a newer one, and before the
/// older list is dropped everybody has had to consult the newer one too.
/// So two claimants cannot both win. A claim that is not won is released,
/// also by witnesses whose grant comes late.
class ClaimRound {
 public:
  /// Votes that come after `aDeadline` win nothing: by then the first
  /// witness may be about to forget its grant, as when this daemon was
  /// paused between its question and the votes.
  ClaimRound(Claim aClaim, const MemberLists& aLists, Instant aDeadline);

  /// Members that are to be asked, each once.
  std::vector<std::string> Asked() const;
  const Claim& GetClaim() const { return this->claim; }
  std::uint64_t Epoch() const { return this->epoch; }

  /// A vote of a member; gives the verdict once it is known.
  std::optional<ClaimVerdict> OnVote(const std::string& aMember,
                                     const ClaimVote& aVote, Instant aNow);
  /// A member cannot be reached.
  std::optional<ClaimVerdict> OnLost(const std::string& aMember);
  /// When the time for votes is over.
  Instant Deadline() const { return this->deadline; }
  /// The time for votes is over.
  std::optional<ClaimVerdict> OnTimeout();

  /// The run that holds the key, after `HeldByOther`.
  const Claim& Holder() const { return this->holder; }
  /// Members whose grants have to be released, after any verdict but `Won`.
  std::vector<std::string> Granted() const;
  bool IsOver() const { return this->verdict.has_value(); }

 private:
  /// Votes in one list. Each witness has two, and of an even number of
  /// witnesses the first one three: two claimants cannot split evenly.
  struct Ballot {
    std::vector<std::string> witnesses;
    std::size_t granted = 0;
    std::size_t open = 0;

    std::size_t VotesOf(std::size_t aWitness) const {
      const bool isEven = this->witnesses.size() % 2 == 0;
      return isEven && aWitness == 0 ? 3 : 2;
    }
    std::size_t VotesOf(const std::string& aMember) const;
    std::size_t AllVotes() const;
    std::size_t Majority() const { return this->AllVotes() / 2 + 1; }
  };

  std::optional<ClaimVerdict> Settle(ClaimVerdict aVerdict);
  std::optional<ClaimVerdict> Count(const std::string& aMember, bool aGranted);

  Claim claim;
  std::uint64_t epoch;
  Instant deadline;
  std::vector<Ballot> ballots;
  std::set<std::string> waiting;
  std::set<std::string> granted;
  bool sawFull = false;
  bool sawHolder = false;
  Claim holder;
  std::optional<ClaimVerdict> verdict;
};

}  // namespace zincstep
