#pragma once

#include <algorithm>
#include <deque>
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

/// Decodes values of the platform's store. Configurations and entries may be
/// decoded on two threads at the same time.
class ClusterDecoder {
 public:
  virtual ~ClusterDecoder() = default;

  virtual Result<RouteConfiguration> DecodeConfiguration(
      std::string_view aText) const = 0;
  /// Returns the same as `DecodeConfiguration`; what `aFormer` has too need not
  /// be decoded again.
  virtual Result<RouteConfiguration> DecodeChange(
      std::string_view aText, const DecodedConfiguration& /*aFormer*/) const {
    return this->DecodeConfiguration(aText);
  }
  virtual Result<UpstreamEntry> DecodeUpstream(
      std::string_view aId, std::string_view aText) const = 0;
};

/// Notified of changes in a cluster view.
class ClusterListener {
 public:
  virtual ~ClusterListener() = default;

  /// A new configuration became active.
  virtual void OnConfiguration() = 0;
  /// An upstream changed or was removed.
  virtual void OnUpstream(const UpstreamPtr& aUpstream) = 0;
  /// The daemons' entries changed.
  virtual void OnDaemonEntries() = 0;
};

/// The part of a daemon's view that it sends to another daemon.
struct ClusterUpdate {
  /// Store revision at which the sender last found the configuration.
  StoreRevision configRevision;
  /// Version of the sender's active configuration; 0: none.
  std::uint64_t configVersion = 0;
  /// Text of that configuration; empty if the requester has it.
  std::string configText;
  /// Age of the last check that no newer configuration exists.
  std::optional<Micros> validationAge;
  /// The upstreams' entries; none if the requester is up to date.
  std::optional<ListUpdate> upstreams;
  /// The daemons' entries; none if the requester is up to date.
  std::optional<ListUpdate> daemons;
  /// Age of the last check that both lists matched the store.
  std::optional<Micros> listsAge;
};

/// Store revisions that the requester of an update already has.
struct KnownRevisions {
  StoreRevision config;
  StoreRevision upstreams;
  StoreRevision daemons;
  std::uint64_t configVersion = 0;
};

/// A daemon's view of the configuration, the upstreams and the other daemons,
/// with the age of each.
///
/// Each item carries its store revision and never moves back: an older revision
/// is ignored, wherever it comes from. A call to the store validates that the
/// configuration is the newest one. The validation dates from the start of that
/// call; one reported by a peer is dated from the start of the query, less its
/// age. The lists of upstreams and daemons are validated separately: a peer
/// with a freshly validated configuration may have lost its own sync source for
/// the lists.
///
/// After the store is restored from a backup, its revisions cannot be compared
/// with those known before. The known state stays in use until it is read
/// again; the configuration never goes back to a lower version, and an upstream
/// that was draining or removed stays so until it has had time to write its
/// entry again.
class ClusterView {
 public:
  ClusterView(const ClusterDecoder& aDecoder, ClusterListener& aListener,
              const Clock& aClock);

  /// Decodes large configurations by `aBuilder`, which must outlive this,
  /// instead of on the event loop.
  void SetConfigurationBuilder(ConfigurationBuilder& aBuilder) {
    this->config.SetBuilder(aBuilder,
                            [this] { this->listener.OnConfiguration(); });
  }
  /// Applies a configuration found in the store, by this daemon or a peer.
  /// `aVersion` is the version that a peer announced with it; 0: unknown.
  void OnConfiguration(const StoreItem& aItem, std::uint64_t aVersion = 0);
  /// Records that the configuration of `aRevision` was the newest one at
  /// `aStartedAt`. This also holds for a configuration that became active
  /// since: what neither of the two contains was changed after `aStartedAt`.
  void OnValidated(StoreRevision aRevision, Instant aStartedAt) {
    this->config.OnValidated(aRevision, aStartedAt);
  }
  /// The store was restored from a backup and is now in era `aEra`.
  void OnRestored(std::uint64_t aEra);
  /// Defers validations until a peer responds or until `aUntil`: a live peer
  /// may know a configuration that the store has lost.
  void AwaitPeers(Instant aUntil) { this->config.AwaitPeers(aUntil); }
  /// A peer responded, and any newer configuration it had was applied.
  void OnPeersResponded() { this->config.OnPeersResponded(); }
  /// Applies the full list of upstreams' entries as of `aRange.at`; the keys
  /// are their ids.
  void OnUpstreams(const StoreRange& aRange);
  /// Applies changes of upstreams' entries.
  void OnUpstreamEvents(const StoreEvents& aEvents);
  /// Applies the full list of daemons' entries.
  void OnDaemons(const StoreRange& aRange);
  /// Applies changes of daemons' entries.
  void OnDaemonEvents(const StoreEvents& aEvents);
  /// Records that both lists matched the store at `aAt`.
  void OnListsValidated(Instant aAt);
  /// Applies a peer's response to a query that was sent at `aQueriedAt`.
  void OnUpdate(const ClusterUpdate& aUpdate, Instant aQueriedAt);
  /// Records whether the store responds; `aReason` says why it does not.
  void OnStoreReachable(bool aReachable, const std::string& aReason = "");
  /// Whether entries may be missing: the store is unreachable, or was until
  /// recently and upstreams whose entries expired may not have registered
  /// again.
  bool MayLackEntries() const;
  /// Ends grace periods that have passed; call periodically, several times per
  /// second.
  void Tick();

  /// Returns the update for a peer that has `aKnown`.
  ClusterUpdate UpdateFor(const KnownRevisions& aKnown) const;
  /// Revision of the list of upstreams; none if it is of an earlier era and so
  /// not sent to peers.
  StoreRevision UpstreamsAt() const {
    return this->entries.At().era == this->era ? this->entries.At()
                                               : StoreRevision{};
  }
  /// Revision of the list of daemons; none if it is of an earlier era.
  StoreRevision DaemonsAt() const {
    return this->daemons.At().era == this->era ? this->daemons.At()
                                               : StoreRevision{};
  }
  /// Remaining time in which a missing entry may only have expired while the
  /// store was unreachable.
  Micros RemainingGrace() const {
    return std::max(Micros{0}, this->GraceEnd() - this->clock.Now());
  }
  /// Revisions that a peer can leave out of its update.
  KnownRevisions Revisions() const;

  /// The active configuration, or null before the first one.
  const std::shared_ptr<const RouteTable>& Table() const {
    return this->config.Table();
  }
  std::uint64_t ConfigVersion() const { return this->config.Version(); }
  /// Configurations whose keys or routes were replaced lately, the newest
  /// first.
  const std::deque<FormerConfiguration>& FormerConfigurations() const {
    return this->config.Former();
  }
  /// Text of the active configuration; empty before the first one.
  const std::string& ConfigText() const { return this->config.Text(); }
  /// Whether a peer with those revisions needs the configuration text.
  bool LacksConfigText(const KnownRevisions& aKnown) const {
    return !this->ConfigText().empty() &&
           (aKnown.config < this->ConfigStoreRevision() ||
            aKnown.configVersion < this->ConfigVersion());
  }
  /// Store revision at which the newest configuration was last found; none if
  /// unknown in this era.
  StoreRevision ConfigStoreRevision() const { return this->config.StoredAt(); }
  /// The same of the newest configuration that is active or being built: what
  /// this daemon need not request again.
  StoreRevision AcceptedConfiguration() const {
    return this->config.AcceptedAt();
  }
  /// The highest version that is active or being built, as far as known.
  std::uint64_t AcceptedConfigVersion() const {
    return this->config.AcceptedVersion();
  }
  /// Time since the configuration was validated as the newest; none if it never
  /// was.
  std::optional<Micros> ValidationAge() const {
    return this->config.ValidationAge();
  }
  /// Time since both lists were validated against the store; none if they never
  /// were.
  std::optional<Micros> ListsAge() const;
  /// Whether a list of upstreams is known, however old.
  bool KnowsUpstreams() const { return !this->entries.At().IsNone(); }
  /// Number of upstreams' entries that cannot be decoded.
  std::size_t InvalidEntries() const { return this->invalidEntries.size(); }
  /// Number of revisions of upstreams' entries that could not be decoded.
  std::uint64_t RefusedEntries() const { return this->refusedEntries; }
  const UpstreamDirectory& Directory() const { return this->directory; }
  /// The daemons' entries.
  const PrefixMirror& Daemons() const { return this->daemons; }

 private:
  void OnUpstreamUpdate(const ListUpdate& aUpdate);
  /// Adopts a later era; the first response of a store sets it.
  void UpdateEra(StoreRevision aRevision) {
    this->era = std::max(this->era, aRevision.era);
  }
  /// Where an entry comes from.
  enum class UpdateSource {
    /// A change, or a list of the era that was already known.
    Current,
    /// The first list after a restore: it may be as old as the backup, some
    /// seconds.
    RestoredList,
  };
  void Put(const StoreItem& aItem,
           UpdateSource aUpdateSource = UpdateSource::Current);
  /// Applies the entries of a list, or of its changes, as of `aAt`.
  void PutAll(const std::vector<StoreItem>& aItems, UpdateSource aUpdateSource,
              StoreRevision aAt);
  /// Returns the source of entries in a list as of `aAt`.
  UpdateSource UpdateSourceOf(StoreRevision aAt) const;
  /// Keeps a draining upstream draining if the restored entry says that it is
  /// ready.
  void KeepDraining(UpstreamEntry& aEntry) const;
  /// Ejects an upstream that had been removed before the restore until it has
  /// had time to write its entry.
  void QuarantineReturned(LiveUpstream& aUpstream);
  /// End of the grace period for missing entries; in the past if none is
  /// active.
  Instant GraceEnd() const;
  /// An entry is no longer in the list; removes the upstream after `aGraceEnd`.
  void OnEntryMissing(const std::string& aId, StoreRevision aRevision,
                      Instant aGraceEnd);
  /// Applies the removals of a peer's update.
  void ApplyPeerRemovals(const std::vector<std::string>& aIds,
                         const ListUpdate& aUpdate);
  /// Failure domains that would lose so large a share of their upstreams that
  /// their entries must have expired rather than been removed.
  std::set<std::string> ExpiredDomains(
      const std::vector<std::string>& aIds) const;
  void Remove(const std::string& aId);

  const ClusterDecoder& decoder;
  ClusterListener& listener;
  const Clock& clock;
  ConfigurationState config;
  /// Current era of the store, as far as known.
  std::uint64_t era = 0;
  /// When incarnations were removed recently, by their numbers.
  std::map<std::uint64_t, Instant> recentlyRemoved;
  UpstreamDirectory directory;
  /// Upstreams' entries as in the store, by id.
  ItemList entries;
  std::set<std::string> invalidEntries;
  std::uint64_t refusedEntries = 0;
  /// Whether each changed upstream is logged individually.
  bool logsEach = true;
  PrefixMirror daemons;
  std::optional<Instant> listsValidatedAt;
  /// Upstreams whose entries expired while the store was unreachable, and when
  /// to remove them. They are not in `entries`, so that peers are sent the list
  /// as it is in the store.
  std::map<std::string, Instant> pendingRemovals;
  bool isStoreReachable = true;
  std::optional<Instant> storeReturnedAt;
};

}  // namespace zincstep
