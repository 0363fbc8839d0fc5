#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Cluster/AsyncStore.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

class ClusterDecoder;

/// The active configuration and when it was last validated as the newest.
///
/// Within one era of the store, revisions order configurations. A store that
/// was restored from a backup may hold an older one: then the version in its
/// text orders it and the revision only identifies it. The active configuration
/// never goes back to a lower version while the daemon runs.
class ConfigurationState {
 public:
  ConfigurationState(const ClusterDecoder& aDecoder, const Clock& aClock)
      : decoder(aDecoder), clock(aClock) {}

  /// Applies a configuration found in the store, by this daemon or a peer;
  /// returns whether another one became active.
  bool OnStoreConfiguration(const StoreItem& aItem);
  /// Applies a peer's active configuration that the restored store has lost;
  /// returns whether it became active.
  bool OnPeerConfiguration(const std::string& aText);
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
  const std::string& Text() const { return this->text; }
  /// Version of the active configuration; 0: none.
  std::uint64_t Version() const {
    return this->table ? this->table->Configuration().version : 0;
  }
  /// Store revision at which the newest configuration was last found; none if
  /// unknown in this era.
  StoreRevision StoredAt() const { return this->storedAt; }
  /// Time since the configuration was validated as the newest; none if it never
  /// was.
  std::optional<Micros> ValidationAge() const;

 private:
  /// A validation that is deferred until a peer responds.
  struct PendingValidation {
    StoreRevision revision;
    Instant startedAt;
  };

  /// Whether a configuration of that version replaces the active one.
  bool IsNewer(std::uint64_t aVersion, StoreRevision aStoredAt) const;
  void Activate(std::string aText, RouteConfiguration aConfiguration,
                StoreRevision aStoredAt, Instant aDecodingSince);

  const ClusterDecoder& decoder;
  const Clock& clock;
  std::shared_ptr<const RouteTable> table;
  /// Text of the active configuration, and the era it was activated in.
  std::string text;
  std::uint64_t activatedInEra = 0;
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
