#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Cluster/ConfigurationState.h"
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
struct ClusterUpdate {
  /// Where the teller found the store's configuration last.
  StoreRevision configRevision;
  /// Version of the configuration in force there; 0: none.
  std::uint64_t configVersion = 0;
  /// That configuration; empty where the asker has it.
  std::string configText;
  /// Age of the proof that no newer configuration exists.
  std::optional<Micros> validationAge;
  /// The upstreams' entries; none where the asker has them as they are.
  std::optional<ListUpdate> upstreams;
  /// The same for the daemons' own entries.
  std::optional<ListUpdate> daemons;
  /// Age of the proof that both lists were up to the store.
  std::optional<Micros> listsAge;
};

/// What an asker of a copy has already, by the store's revisions.
struct KnownRevisions {
  StoreRevision config;
  StoreRevision upstreams;
  StoreRevision daemons;
  std::uint64_t configVersion = 0;
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
///
/// Where the store comes back from a copy, its revisions tell nothing of what
/// was known before. What is known stays in use until it is told anew; the
/// configuration never goes back to a lower version, and an upstream that was
/// leaving or gone stays so until it has had time to write again.
class ClusterView {
 public:
  ClusterView(const ClusterDecoder& aDecoder, ClusterListener& aListener,
              const Clock& aClock);

  /// The store or a peer holds this configuration.
  void OnConfiguration(const StoreItem& aItem);
  /// The configuration of `aRevision` was the newest one at `aBegan`. That goes
  /// on to hold for a newer one that came into force since: whatever neither of
  /// them tells was changed after `aBegan`.
  void OnValidated(StoreRevision aRevision, Instant aBegan) {
    this->config.OnValidated(aRevision, aBegan);
  }
  /// The store has come back from a copy, and is in that era.
  void OnRestored(std::uint64_t aEra);
  /// No proof counts from now on until a peer has answered or `aUntil`: one
  /// that lives may know a configuration that the store has lost.
  void AwaitPeers(Instant aUntil) { this->config.AwaitPeers(aUntil); }
  /// A peer has answered, and this daemon has no older configuration.
  void OnPeersResponded() { this->config.OnPeersResponded(); }
  /// All upstreams' entries as of `aRange.at`; keys are their ids.
  void OnUpstreams(const StoreRange& aRange);
  /// Changes of upstreams' entries.
  void OnUpstreamEvents(const StoreEvents& aEvents);
  /// All of the daemons' own entries.
  void OnDaemons(const StoreRange& aRange);
  /// Changes of the daemons' own entries.
  void OnDaemonEvents(const StoreEvents& aEvents);
  /// Both lists showed all that the store had at `aAt`.
  void OnListsValidated(Instant aAt);
  /// What a peer answered to a question that was asked at `aAsked`.
  void OnUpdate(const ClusterUpdate& aCopy, Instant aAsked);
  /// The store has begun or ceased to answer, for that reason.
  void OnStoreReachable(bool aReached, const std::string& aReason = "");
  /// Whether the store is away, or has come back so lately that entries which
  /// lapsed meanwhile may still be missing.
  bool MayLackEntries() const;
  /// Ends graces that have passed.
  void Tick();

  /// What a peer is told that has those revisions.
  ClusterUpdate UpdateFor(const KnownRevisions& aKnown) const;
  /// Revision up to which the list of upstreams can be told; none: it is of an
  /// earlier era.
  StoreRevision UpstreamsAt() const {
    return this->entries.At().era == this->era ? this->entries.At()
                                               : StoreRevision{};
  }
  /// The same for the list of daemons.
  StoreRevision DaemonsAt() const {
    return this->daemons.At().era == this->era ? this->daemons.At()
                                               : StoreRevision{};
  }
  /// For so long an entry that is missing may only have lapsed.
  Micros RemainingGrace() const {
    return std::max(Micros{0}, this->GraceEnd() - this->clock.Now());
  }
  /// What a peer need not tell.
  KnownRevisions Revisions() const;

  /// The configuration in force, or null before the first.
  const std::shared_ptr<const RouteTable>& Table() const {
    return this->config.Table();
  }
  std::uint64_t ConfigVersion() const { return this->config.Version(); }
  /// Text of the configuration in force; empty before the first.
  const std::string& ConfigText() const { return this->config.Text(); }
  /// Whether a peer that has those revisions lacks that text.
  bool LacksConfigText(const KnownRevisions& aKnown) const {
    return !this->ConfigText().empty() &&
           (aKnown.config < this->ConfigStoreRevision() ||
            aKnown.configVersion < this->ConfigVersion());
  }
  /// Where the store has the newest configuration, as it was found last; none:
  /// it is not known in this era.
  StoreRevision ConfigStoreRevision() const { return this->config.FoundAt(); }
  /// Age of the proof that the configuration is the newest; none: no proof.
  std::optional<Micros> ValidationAge() const {
    return this->config.ValidationAge();
  }
  /// Age of the proof that the lists are up to the store; none: no proof.
  std::optional<Micros> ListsAge() const;
  /// Whether any list of upstreams is known, however old.
  bool KnowsUpstreams() const { return !this->entries.At().IsNone(); }
  /// Entries that name no upstream, as they cannot be read.
  std::size_t InvalidEntries() const { return this->wrongEntries.size(); }
  const UpstreamDirectory& Directory() const { return this->directory; }
  /// The daemons' own entries.
  const PrefixMirror& Daemons() const { return this->daemons; }

 private:
  void OnUpstreamUpdate(const ListUpdate& aCopy);
  /// The first that is heard of a store tells its era.
  void NoteEra(StoreRevision aRevision) {
    this->era = std::max(this->era, aRevision.era);
  }
  /// How an entry was told.
  enum class UpdateSource {
    /// As a change, or in a list of the era that was known before.
    News,
    /// In the first list after the store has come back: it may be as the copy
    /// has it, seconds old.
    RestoredList,
  };
  void Put(const StoreItem& aItem,
           UpdateSource aUpdateSource = UpdateSource::News);
  /// All entries of a list, or of its changes, as of that revision.
  void PutAll(const std::vector<StoreItem>& aItems, UpdateSource aUpdateSource,
              StoreRevision aAt);
  /// How entries of a list as of that revision are told.
  UpdateSource UpdateSourceOf(StoreRevision aAt) const;
  /// An entry of a restored list takes nothing back that was known of leaving.
  void KeepLeaving(UpstreamEntry& aEntry) const;
  /// One that was gone before is not used until it has had time to write.
  void QuarantineReturned(LiveUpstream& aUpstream);
  /// Until when a missing entry says nothing; in the past where it does.
  Instant GraceEnd() const;
  /// The list has lost an entry; the upstream is kept until then.
  void Missing(const std::string& aId, StoreRevision aRevision,
               Instant aGraceEnd);
  /// A peer's copy lacks those.
  void RemoveTold(const std::vector<std::string>& aIds,
                  const ListUpdate& aCopy);
  /// Domains that would lose so many of their upstreams with those that their
  /// entries have lapsed.
  std::set<std::string> LapsedDomains(
      const std::vector<std::string>& aIds) const;
  void Remove(const std::string& aId);

  const ClusterDecoder& decoder;
  ClusterListener& listener;
  const Clock& clock;
  ConfigurationState config;
  /// The present era of the store, as far as it is known here.
  std::uint64_t era = 0;
  /// Incarnations that have gone lately, by their numbers, and when.
  std::map<std::uint64_t, Instant> lately;
  UpstreamDirectory directory;
  /// Upstreams' entries as the store holds them, by id.
  ItemList entries;
  std::set<std::string> wrongEntries;
  /// Whether each changed upstream has a log line of its own.
  bool logsEach = true;
  PrefixMirror daemons;
  std::optional<Instant> listsValidatedAt;
  /// Upstreams whose entries went while the store was away: when they count as
  /// gone. They are no more on the list, which peers are told as it is.
  std::map<std::string, Instant> missing;
  bool isStoreReached = true;
  std::optional<Instant> storeBackAt;
};

}  // namespace zincstep
