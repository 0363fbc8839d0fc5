#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Cluster/PrefixMirror.h"
#include "Zincstep/Pool/Pool.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

/// Reads what the platform's store holds.
class ClusterDecoder {
 public:
  virtual ~ClusterDecoder() = default;

  virtual Result<RouteConfiguration> DecodeConfiguration(
      std::string_view aText) const = 0;
  virtual Result<UpstreamEntry> DecodeUpstream(
      std::string_view aId, std::string_view aText) const = 0;
};

/// Is told of changed beliefs.
class ClusterListener {
 public:
  virtual ~ClusterListener() = default;

  /// A newer configuration is in force.
  virtual void OnConfiguration() = 0;
  /// An upstream has changed, or left the list.
  virtual void OnUpstream(const UpstreamPtr& aUpstream) = 0;
  /// The daemons' own entries have changed.
  virtual void OnDaemonEntries() = 0;
};

/// Everything that one daemon can tell another of the cluster.
struct ClusterCopy {
  std::uint64_t configRevision = 0;
  std::string configText;
  /// Age of the proof that no newer configuration exists.
  std::optional<Micros> proofAge;
  /// The upstreams' entries; none where the asker has them as they are.
  std::optional<ListCopy> upstreams;
  /// The same for the daemons' own entries.
  std::optional<ListCopy> daemons;
  /// Age of the proof that both lists were up to the store.
  std::optional<Micros> listsAge;
};

/// What an asker of a copy has already, by the store's revisions.
struct KnownRevisions {
  std::uint64_t config = 0;
  std::uint64_t upstreams = 0;
  std::uint64_t daemons = 0;
};

/// What a daemon believes of configuration, upstreams and other daemons, and
/// since when.
///
/// Each belief carries the store's revision and never moves back: an older
/// revision is passed over, whoever brings it. That the configuration is
/// the newest one is proved by a call to the store, and the proof counts
/// from the instant at which that call, or the question to a peer that has
/// such a proof, began. That the lists of upstreams and daemons are up to the
/// store is proved apart: a peer that has a fresh proof of the configuration
/// may have lost whoever told it of the lists.
class ClusterView {
 public:
  ClusterView(const ClusterDecoder& aDecoder, ClusterListener& aListener,
              const Clock& aClock);

  /// The store or a peer holds this configuration.
  void OnConfiguration(const StoreItem& aItem);
  /// The configuration of `aRevision` was the newest one at `aBegan`. That goes
  /// on to hold for a newer one that came into force since: whatever neither of
  /// them tells was changed after `aBegan`.
  void OnProof(std::uint64_t aRevision, Instant aBegan);
  /// All upstreams' entries as of `aRange.at`; keys are their ids.
  void OnUpstreams(const StoreRange& aRange);
  /// Changes of upstreams' entries.
  void OnUpstreamEvents(const StoreEvents& aEvents);
  /// All of the daemons' own entries.
  void OnDaemons(const StoreRange& aRange);
  /// Changes of the daemons' own entries.
  void OnDaemonEvents(const StoreEvents& aEvents);
  /// Both lists showed all that the store had at `aAt`.
  void OnListsProven(Instant aAt);
  /// What a peer answered to a question that was asked at `aAsked`.
  void OnCopy(const ClusterCopy& aCopy, Instant aAsked);
  /// The store has begun or ceased to answer.
  void OnStoreReached(bool aReached);
  /// Whether the store is away, or has come back so lately that entries which
  /// lapsed meanwhile may still be missing.
  bool MayLackEntries() const;
  /// Ends graces that have passed.
  void Tick();

  /// What a peer is told that has those revisions.
  ClusterCopy CopyFor(const KnownRevisions& aKnown) const;
  /// What a peer need not tell.
  KnownRevisions Revisions() const;

  /// The configuration in force, or null before the first.
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }
  std::uint64_t ConfigRevision() const { return this->config.revision; }
  /// Age of the proof that the configuration is the newest; none: no proof.
  std::optional<Micros> ProofAge() const;
  /// Age of the proof that the lists are up to the store; none: no proof.
  std::optional<Micros> ListsAge() const;
  /// Whether any list of upstreams is known, however old.
  bool KnowsUpstreams() const { return this->entries.At() > 0; }
  /// Entries that name no upstream, as they cannot be read.
  std::size_t WrongEntries() const { return this->wrongEntries.size(); }
  const UpstreamDirectory& Directory() const { return this->directory; }
  /// The daemons' own entries.
  const PrefixMirror& Daemons() const { return this->daemons; }

 private:
  void OnUpstreamCopy(const ListCopy& aCopy);
  void Put(const StoreItem& aItem);
  /// Until when a missing entry says nothing; in the past where it does.
  Instant GraceEnd() const;
  /// The list has lost an entry; the upstream is kept until then.
  void Missing(const std::string& aId, std::uint64_t aRevision,
               Instant aGraceEnd);
  /// A peer's copy lacks those.
  void RemoveTold(const std::vector<std::string>& aIds, const ListCopy& aCopy);
  /// Domains that would lose so many of their upstreams with those that their
  /// entries have lapsed.
  std::set<std::string> LapsedDomains(
      const std::vector<std::string>& aIds) const;
  void Remove(const std::string& aId);

  const ClusterDecoder& decoder;
  ClusterListener& listener;
  const Clock& clock;
  StoreItem config;
  std::shared_ptr<const RouteTable> table;
  /// Revision of a configuration that did not parse, to read it once only.
  std::uint64_t refusedRevision = 0;
  std::optional<Instant> proofBegan;
  UpstreamDirectory directory;
  /// Upstreams' entries as the store holds them, by id.
  ItemList entries;
  std::set<std::string> wrongEntries;
  PrefixMirror daemons;
  std::optional<Instant> listsProvenAt;
  /// Upstreams whose entries went while the store was away: when they count as
  /// gone. They are no more on the list, which peers are told as it is.
  std::map<std::string, Instant> missing;
  bool isStoreReached = true;
  std::optional<Instant> storeBackAt;
};

}  // namespace zincstep
