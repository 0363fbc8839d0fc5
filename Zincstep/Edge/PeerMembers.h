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

/// Tracks the other edge daemons and selects the sync source of this one: the
/// highest-ranked daemon of its failure domain that responds with fresh lists,
/// so that not every daemon reads the store.
///
/// Daemons with a faster link rank higher, as the highest-ranked one sends to
/// all others; then those with the lower name.
class PeerMembers {
 public:
  struct Member {
    std::string address;
    std::string failureDomain;
    double linkMbps = 0;
    /// Revision of its entry; none if no entry is known.
    StoreRevision revision;
    /// When a peer last named it, or it last queried this daemon.
    Instant lastSeenAt{};
    /// Consecutive queries without a response.
    int unanswered = 0;
    /// Consecutive responses without fresh lists.
    int stale = 0;
    /// Whether it does not respond or has no fresh lists, so that the next
    /// member is queried instead.
    bool isSkipped = false;
    Instant retryAt{};
    /// When it last sent lists that were up to date with the store.
    Instant freshListsAt{};
  };

  PeerMembers(const EdgeSettings& aSettings, const Clock& aClock);

  /// Consecutive queries without a response after which a member counts as
  /// stopped or partitioned and the next one is queried.
  static constexpr int kMaxUnanswered = 3;

  /// Skips the wait for peers; there are none to discover.
  void StartWithoutPeers();
  /// Applies an update, full or incremental, of the daemons' entries in the
  /// store.
  void OnEntries(const ListUpdate& aChanges);
  /// Applies entries of this failure domain's daemons that were read at the
  /// start and may be stale.
  void OnBootstrapEntries(const std::vector<StoreItem>& aItems);
  /// Records a peer that is alive because it has queried this daemon.
  void OnQueryFrom(const PeerName& aRequester);
  /// Applies the highest-ranked daemons of this failure domain as a peer knows
  /// them; empty if it knows only this one.
  void OnPeersDiscovered(const std::vector<PeerName>& aMembers);
  /// Retains missing members for a while after the store was restored from a
  /// backup, which lacks some of them.
  void OnRestored();
  /// Members by name.
  const std::map<std::string, Member>& All() const { return this->members; }
  /// Increases whenever a member is added or removed.
  std::uint64_t Changes() const { return this->changes; }
  /// Number of revisions of members' entries that could not be parsed.
  std::uint64_t RefusedEntries() const { return this->refusedEntries; }
  /// Returns whether a member is of this failure domain, whose daemons share
  /// most of their upstreams.
  bool IsSameDomain(const Member& aMember) const;
  /// Addresses of the other members of this failure domain.
  std::vector<std::string> DomainPeerAddresses() const;

  /// Returns how many members of this failure domain rank higher than this
  /// daemon.
  std::size_t Rank() const;
  /// Returns whether this daemon syncs from another member. If not, it reads
  /// the store itself.
  bool HasSyncSource() const;
  /// Returns whether a sync source has recently sent fresh lists.
  bool HasFreshSyncSource() const;
  /// Returns whether peers or the store have named the other daemons.
  bool HasDiscoveredPeers() const {
    return this->discoveredAt.has_value() || this->Rank() > 0;
  }
  /// Returns whether this daemon may read the store if it has no fresh sync
  /// source. In a small domain every daemon may; in a large one only a daemon
  /// that has no usable higher-ranked member or gets no response from any.
  bool MayQueryStore() const;
  /// Returns whether this daemon reads the store for its failure domain.
  bool IsDomainLeader() const {
    return !this->HasSyncSource() && this->MayQueryStore();
  }
  /// Returns the addresses to query for updates: that of the sync source and
  /// that of one skipped member that is due for a retry. Each address counts as
  /// queried. Skips members that have left `aMaxUnanswered` consecutive queries
  /// unanswered or have no fresh lists.
  std::vector<std::string> NextSyncSources(int aMaxUnanswered = kMaxUnanswered);
  /// Records a response; `aListsAge` is the age of its lists, none if it had no
  /// lists.
  void OnResponse(const std::string& aAddress, std::optional<Micros> aListsAge);
  /// Returns the highest-ranked known daemons of a failure domain, including
  /// this one but not `aRequester`.
  std::vector<PeerName> HighestRanked(const std::string& aFailureDomain,
                                      const std::string& aRequester) const;

 private:
  /// Orders daemons by rank, highest first.
  struct Precedence {
    bool operator()(const PeerName& aOne, const PeerName& aOther) const;
  };

  static PeerName ToPeerName(const std::string& aName, const Member& aMember);
  /// Higher-ranked members of this failure domain, in order.
  std::vector<Member*> HigherRanked();
  bool AnyHigherRanked(
      const std::function<bool(const Member&)>& aPredicate) const;
  void SetRevision(Member& aMember, StoreRevision aRevision);
  /// Removes a member from the order before it is replaced or removed.
  void RemoveFromOrder(const std::string& aName, Member& aMember);
  /// Adds or replaces a member. Discards the state of an earlier process on the
  /// same VM.
  Member& Put(const PeerName& aPeer);
  void ApplyEntry(const StoreItem& aItem);
  /// Logs and counts an entry that cannot be parsed, once per revision.
  void RecordRefused(const StoreItem& aItem);
  /// Clears the entry of a daemon that was removed or is malformed.
  void DropEntry(const std::string& aKey);
  /// Records a live peer, which need not have an entry yet.
  void RecordLive(const PeerName& aPeer);
  /// Removes peers without an entry that were not seen alive for a while.
  void ExpireUnlisted();
  /// Whether the higher-ranked member at that rank cannot serve as a sync
  /// source.
  bool IsUnusableSource(std::size_t aRank, const Member& aCandidate,
                        int aMaxUnanswered) const;

  const EdgeSettings& settings;
  const Clock& clock;
  PeerName self;
  Instant startedAt;
  /// Time after the start at which this daemon reads the store if nobody has
  /// responded; jittered among daemons that start together.
  Micros isolationTimeout{0};
  std::map<std::string, Member> members;
  /// All daemons by failure domain, including this one, in order of rank.
  std::map<std::string, std::set<PeerName, Precedence>> order;
  /// Whether this daemon is in the store's list, and how many other daemons of
  /// its failure domain are.
  bool isListed = false;
  std::size_t listedInDomain = 0;
  /// When a peer or the store first named the other daemons.
  std::optional<Instant> discoveredAt;
  /// When a higher-ranked member last responded, with fresh lists or not.
  Instant lastResponseAt{};
  Instant retainMissingUntil{};
  Instant nextExpiry{};
  std::uint64_t changes = 0;
  /// Newest revisions of entries that could not be parsed, by key.
  std::map<std::string, StoreRevision> refused;
  std::uint64_t refusedEntries = 0;
};

}  // namespace zincstep
