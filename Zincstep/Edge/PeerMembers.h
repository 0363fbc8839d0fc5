#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Edge/PeerName.h"

namespace zincstep {

/// The other edge daemons that are known, and which of them tells this one what
/// the store holds: the first of its failure domain that answers with fresh
/// lists, so that the store does not have to answer all.
///
/// Daemons with a larger link come first, as the first tells all others; then
/// those with the lower name.
class PeerMembers {
 public:
  struct Member {
    std::string address;
    std::string failureDomain;
    double linkMbps = 0;
    /// Of its entry; none: it has no entry yet that is known here.
    StoreRevision revision;
    /// When a peer named it, or it asked this one itself.
    Instant lastSeenAt{};
    /// Questions in a row that it has not answered.
    int unanswered = 0;
    /// Answers in a row without fresh lists.
    int stale = 0;
    /// It does not answer, or knows nothing fresh: the next one tells instead.
    bool isSkipped = false;
    Instant askAgainAt{};
    /// When it last told lists that were up to the store.
    Instant toldFreshAt{};
  };

  PeerMembers(const EdgeSettings& aSettings, const Clock& aClock);

  /// So many questions in a row without an answer: the member has ended, or is
  /// cut off, and the next one is asked.
  static constexpr int kMaxUnanswered = 3;

  /// There is nobody to hear of: this daemon need not wait for peers.
  void StartWithoutPeers();
  /// Takes what has changed of the daemons' entries in the store.
  void OnEntries(const ListUpdate& aChanges);
  /// Takes entries of this failure domain's daemons as they were lately, at the
  /// start.
  void OnBootstrapEntries(const std::vector<StoreItem>& aItems);
  /// A peer that is alive: it has asked this one.
  void OnQueryFrom(const PeerName& aRequester);
  /// A peer names the first daemons of this failure domain that it knows of;
  /// none where it knows only this one.
  void OnPeersDiscovered(const std::vector<PeerName>& aFirst);
  /// The store has come back from a copy, which lacks some of the daemons.
  void OnRestored();
  /// By name.
  const std::map<std::string, Member>& All() const { return this->members; }
  /// Rises with each member that comes or goes.
  std::uint64_t Changes() const { return this->changes; }
  /// Whether a member is of this failure domain, whose upstreams it shares
  /// most.
  bool IsSameDomain(const Member& aMember) const;
  /// Addresses of this failure domain's other members.
  std::vector<std::string> DomainPeerAddresses() const;

  /// How many members of this failure domain come before this one.
  std::size_t Rank() const;
  /// Whether another member tells this one what the store holds. Where there is
  /// none, this one asks the store.
  bool HasSyncSource() const;
  /// Whether a teller has told fresh lists lately.
  bool HasFreshSyncSource() const;
  /// Whether it is known who is there, as far as peers or the store tell.
  bool HasDiscoveredPeers() const {
    return this->discoveredAt.has_value() || this->Rank() > 0;
  }
  /// Whether this daemon may ask the store where it cannot rely on a teller.
  /// One of few may; of many only who knows of nobody before it that is of use,
  /// or is answered by nobody.
  bool MayQueryStore() const;
  /// Whether this daemon asks the store for its failure domain.
  bool IsDomainLeader() const {
    return !this->HasSyncSource() && this->MayQueryStore();
  }
  /// Addresses to ask for what is new: of the teller, and of one that was
  /// passed over and is to be tried again. Each address counts as asked; one
  /// that has left `aMaxUnanswered` questions in a row is passed over, and so
  /// is one that knows nothing fresh.
  std::vector<std::string> NextSyncSources(int aMaxUnanswered = kMaxUnanswered);
  /// A member has answered; `aListsAge` is the age of what it told, if it did.
  void OnAnswer(const std::string& aAddress, std::optional<Micros> aListsAge);
  /// The first daemons of a failure domain that are known here, this one
  /// included, without `aRequester`.
  std::vector<PeerName> FirstOf(const std::string& aFailureDomain,
                                const std::string& aRequester) const;

 private:
  /// Whether one daemon comes before another.
  struct Precedence {
    bool operator()(const PeerName& aOne, const PeerName& aOther) const;
  };

  static PeerName NameOf(const std::string& aName, const Member& aMember);
  /// This failure domain's members that come before this one, in order.
  std::vector<Member*> HigherRanked();
  bool AnyHigherRanked(const std::function<bool(const Member&)>& aHolds) const;
  void SetRevision(Member& aMember, StoreRevision aRevision);
  /// A member is about to be another one, or to go.
  void Unsort(const std::string& aName, Member& aMember);
  /// A member as it names itself; what is known of an earlier process at its
  /// VM is forgotten.
  Member& Put(const PeerName& aPeer);
  void ApplyEntry(const StoreItem& aItem);
  /// A daemon has no entry any more, or none that can be read.
  void DropEntry(const std::string& aKey);
  /// Takes a peer that need not have an entry yet.
  void Note(const PeerName& aPeer);
  /// Forgets peers without an entry that have not been heard of for a while.
  void ForgetUnlisted();
  /// Whether the senior at that place is of no use as a teller.
  bool IsUnusableSource(std::size_t aPlace, const Member& aCandidate,
                        int aMaxUnanswered) const;

  const EdgeSettings& settings;
  const Clock& clock;
  PeerName own;
  Instant startedAt;
  /// How long after that it begins by itself where nobody has answered, apart
  /// from daemons that started with it.
  Micros isolationTimeout{0};
  std::map<std::string, Member> members;
  /// All daemons by failure domain, this one included, in order.
  std::map<std::string, std::set<PeerName, Precedence>> order;
  /// Whether the daemons' list holds this one, and how many others of its
  /// failure domain.
  bool isListed = false;
  std::size_t listedNear = 0;
  /// When a peer or the store first told who is there.
  std::optional<Instant> discoveredAt;
  /// When a senior last answered, whatever it knew.
  Instant answeredAt{};
  Instant keepsMissingUntil{};
  Instant nextForgetting{};
  std::uint64_t changes = 0;
};

}  // namespace zincstep
