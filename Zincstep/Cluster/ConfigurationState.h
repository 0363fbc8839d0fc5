#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Cluster/AsyncStore.h"
#include "Zincstep/Cluster/ConfigurationBuilder.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

class ClusterDecoder;

/// A configuration that was replaced.
struct FormerConfiguration {
  std::shared_ptr<const RouteTable> table;
  /// When it was last known to be the newest one: what the next one lacks was
  /// removed later.
  Instant validatedAt;
};

/// The active configuration and when it was last validated as the newest.
///
/// Within one era of the store, revisions order configurations. A store that
/// was restored from a backup may hold an older one: then the version in its
/// text orders it and the revision only identifies it. The active configuration
/// never goes back to a lower version while the daemon runs.
///
/// With a builder, a large configuration is decoded beside the event loop: the
/// active one stays in effect until the new one is built. One is built at a
/// time and always to its end, since a storm of changes would otherwise keep
/// each from becoming active; of those that wait, only the newest is built.
/// Validations of a configuration count only once it is active.
class ConfigurationState {
 public:
  ConfigurationState(const ClusterDecoder& aDecoder, const Clock& aClock)
      : decoder(aDecoder), clock(aClock) {}

  /// Builds large configurations by `aBuilder`, which must outlive this, from
  /// now on, and calls `aOnActivated` when one became active.
  void SetBuilder(ConfigurationBuilder& aBuilder,
                  std::function<void()> aOnActivated) {
    this->builder = &aBuilder;
    this->onActivated = std::move(aOnActivated);
  }
  /// Applies a configuration found in the store, by this daemon or a peer;
  /// returns whether another one became active at once. `aVersion` is the
  /// version that a peer announced with it; 0: unknown.
  bool OnStoreConfiguration(const StoreItem& aItem, std::uint64_t aVersion = 0);
  /// Applies a peer's active configuration that the restored store has lost;
  /// returns whether it became active at once. `aVersion` is the version that
  /// the peer announced.
  bool OnPeerConfiguration(const std::string& aText, std::uint64_t aVersion);
  /// Records that the configuration of `aRevision` was the newest one at
  /// `aStartedAt`. This also holds for a configuration that became active
  /// since: what neither of the two contains was changed after `aStartedAt`.
  void OnValidated(StoreRevision aRevision, Instant aStartedAt);
  /// The store was restored from a backup and is now in era `aEra`.
  void OnRestored(std::uint64_t aEra);
  /// Defers validations until a peer responds or until `aUntil`: a live peer
  /// may know a configuration that the store has lost.
  void AwaitPeers(Instant aUntil) { this->awaitingPeersUntil = aUntil; }
  /// A peer responded, and any newer configuration it had was applied.
  void OnPeersResponded();
  /// Ends waits that are over; call periodically, several times per second.
  void Tick();

  /// The active configuration, or null before the first one.
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }
  const std::string& Text() const { return *this->text; }
  /// Configurations whose keys or routes were replaced within the last five
  /// seconds, the newest first; at most four.
  const std::deque<FormerConfiguration>& Former() const { return this->former; }
  /// Version of the active configuration; 0: none.
  std::uint64_t Version() const {
    return this->table ? this->table->Configuration().version : 0;
  }
  /// Store revision at which the newest configuration was last found; none if
  /// unknown in this era.
  StoreRevision StoredAt() const { return this->storedAt; }
  /// Store revision of the newest configuration that is active or being built;
  /// none if unknown in this era.
  StoreRevision AcceptedAt() const;
  /// The highest version that is active or being built, as far as known: a
  /// version that is being built is known if a peer announced it.
  std::uint64_t AcceptedVersion() const;
  /// Time since the configuration was validated as the newest; none if it never
  /// was.
  std::optional<Micros> ValidationAge() const;

 private:
  /// A validation that is deferred until a peer responds.
  struct PendingValidation {
    StoreRevision revision;
    Instant startedAt;
  };

  using SharedText = std::shared_ptr<const std::string>;
  /// A configuration that is being built or waits for it.
  struct PendingBuild {
    /// Order of arrival, from 1.
    std::uint64_t number = 0;
    SharedText text;
    /// None if a peer sent it because the restored store has lost it.
    StoreRevision revision;
    /// The version that a peer announced; 0: unknown until it is built.
    std::uint64_t version = 0;
    Instant receivedAt;
    /// The latest validation that may count once this is active.
    std::optional<PendingValidation> validation;

    bool IsFromStore() const { return !this->revision.IsNone(); }
  };

  DecodedConfiguration Active() const { return {this->text, this->table}; }
  /// Whether a configuration of that version replaces the active one.
  bool IsNewer(std::uint64_t aVersion, StoreRevision aStoredAt) const;
  /// Whether a configuration of that size is built beside the event loop.
  bool IsBuiltAside(const std::string& aText) const;
  /// Applies a built configuration of the store; returns whether it became
  /// active.
  bool ApplyStored(const SharedText& aText, StoreRevision aRevision,
                   Result<std::shared_ptr<const RouteTable>> aTable,
                   Instant aReceivedAt);
  /// Applies a built configuration of a peer; returns whether it became active.
  bool ApplyFromPeer(const SharedText& aText,
                     const Result<std::shared_ptr<const RouteTable>>& aTable,
                     Instant aReceivedAt);
  void Activate(SharedText aText, std::shared_ptr<const RouteTable> aTable,
                StoreRevision aStoredAt, Instant aReceivedAt);
  /// Appends a configuration, or replaces the one of the same era that waits.
  void Enqueue(SharedText aText, StoreRevision aRevision,
               std::uint64_t aVersion);
  void StartNextBuild();
  void OnBuilt(Result<std::shared_ptr<const RouteTable>> aTable);
  /// Drops waiting configurations that `storedAt` has replaced.
  void DropReplaced();
  /// Ends the wait for peers once all that was pending at the peer's response
  /// is applied.
  void EndWaitIfBuilt();
  void EndPeerWait();
  /// Keeps a validation that may count only after a pending build; returns
  /// false if there is none.
  bool DeferValidation(StoreRevision aRevision, Instant aStartedAt);

  const ClusterDecoder& decoder;
  const Clock& clock;
  /// Null: all configurations are decoded on the event loop.
  ConfigurationBuilder* builder = nullptr;
  std::function<void()> onActivated;
  /// The first one is being built. At most one of the store per era and one of
  /// a peer wait behind it.
  std::deque<PendingBuild> pending;
  bool isBuilding = false;
  std::uint64_t lastBuild = 0;
  /// Number of the last configuration that was pending when a peer responded.
  std::optional<std::uint64_t> respondedBehind;
  std::shared_ptr<const RouteTable> table;
  std::deque<FormerConfiguration> former;
  /// Text of the active configuration, and the revision it was activated at,
  /// which a restore does not reset; none if a peer sent it.
  SharedText text = std::make_shared<const std::string>();
  StoreRevision activatedAt;
  StoreRevision storedAt;
  /// Revision of a configuration that could not be decoded, so that it is not
  /// decoded again.
  StoreRevision rejectedRevision;
  std::optional<Instant> validatedAt;
  std::optional<PendingValidation> pendingValidation;
  std::optional<Instant> awaitingPeersUntil;
  /// Current era of the store, as far as known.
  std::uint64_t era = 0;
  /// Validations that started earlier are rejected: operators may not yet have
  /// written again what the restore lost.
  Instant rejectValidationsBefore{};
};

}  // namespace zincstep
