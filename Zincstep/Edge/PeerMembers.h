#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {

/// The other edge daemons that are known, and which of them tells this one what
/// the store holds: the first of its failure domain by name that answers, so
/// that the store does not have to answer all.
class PeerMembers {
 public:
  struct Member {
    std::string address;
    std::string failureDomain;
    /// Questions in a row that it has not answered.
    int unanswered = 0;
    /// It does not answer: the next by name tells instead.
    bool isPassedOver = false;
    Instant askAgainAt{};
    /// When it last told lists that were up to the store.
    Instant toldFreshAt{};
  };

  PeerMembers(const EdgeSettings& aSettings, const Clock& aClock)
      : settings(aSettings), clock(aClock) {}

  /// Takes the daemons' entries as they are in the store now.
  void OnEntries(const StoreItems& aItems);
  /// The store has come back from a copy, which lacks some of the daemons.
  void OnRestored();
  /// By name.
  const std::map<std::string, Member>& All() const { return this->members; }
  /// Whether a member is of this failure domain, whose upstreams it shares
  /// most.
  bool IsNear(const Member& aMember) const;
  /// Addresses of this failure domain's other members.
  std::vector<std::string> Neighbours() const;

  /// How many members of this failure domain come before this one by name.
  std::size_t Rank() const;
  /// Whether another member tells this one what the store holds. Where there is
  /// none, this one asks the store.
  bool HasTeller() const;
  /// Whether a teller has told fresh lists lately.
  bool MayRely() const;
  /// Addresses to ask for what is new: of the teller, and of those before it by
  /// name whose time it is to be tried again. A member that leaves several
  /// questions in a row unanswered is passed over. Each address counts as
  /// asked.
  std::vector<std::string> TakeTellers();
  /// A member has answered; `aListsAge` is the age of what it told, if it did.
  void OnAnswer(const std::string& aAddress, std::optional<Micros> aListsAge);

 private:
  /// Whether a member is of this failure domain and comes before this one.
  bool IsBefore(const std::string& aName, const Member& aMember) const;

  const EdgeSettings& settings;
  const Clock& clock;
  std::map<std::string, Member> members;
  Instant keepsMissingUntil{};
};

}  // namespace zincstep
