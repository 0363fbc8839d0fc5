#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Cluster/AsyncStore.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

class ClusterDecoder;

/// Which configuration is in force, and how lately it was proved to be the
/// newest.
///
/// Inside one era of the store its revisions order configurations. A store that
/// came back from a copy may hold an older one: the version inside orders it,
/// and its revision only finds it. A configuration never goes back to a lower
/// version in one life of the daemon.
class ConfigurationState {
 public:
  ConfigurationState(const ClusterDecoder& aDecoder, const Clock& aClock)
      : decoder(aDecoder), clock(aClock) {}

  /// The store, or a peer that found it there, holds this one; true: another
  /// one is in force now.
  bool OnFound(const StoreItem& aItem);
  /// A peer has this one in force; true: the store's copy had lost it, and it
  /// is in force here now.
  bool OnPeers(const std::string& aText);
  /// The one that was found at `aRevision` was the newest at `aBegan`. That
  /// goes on to hold for a newer one that came into force since: whatever
  /// neither of them tells was changed after `aBegan`.
  void OnValidated(StoreRevision aRevision, Instant aBegan);
  /// The store has come back from a copy, and is in that era.
  void OnRestored(std::uint64_t aEra);
  /// No proof counts from now on until a peer has answered or `aUntil`: one
  /// that lives may know a configuration that the store has lost.
  void AwaitPeers(Instant aUntil) { this->awaitsPeersUntil = aUntil; }
  /// A peer has answered, and this daemon has no older configuration.
  void OnPeersResponded();
  /// Ends waits that are over; to be called several times a second.
  void Tick();

  /// The configuration in force, or null before the first.
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }
  const std::string& Text() const { return this->text; }
  /// Version of the configuration in force; 0: none.
  std::uint64_t Version() const {
    return this->table ? this->table->Configuration().version : 0;
  }
  /// Where the store has the newest one, as it was found last; none: it is not
  /// known in this era.
  StoreRevision FoundAt() const { return this->foundAt; }
  /// Age of the proof that it is the newest; none: no proof.
  std::optional<Micros> ValidationAge() const;

 private:
  /// A proof that counts once the peers were heard.
  struct PendingValidation {
    StoreRevision revision;
    Instant began;
  };

  /// Whether a configuration of that version goes before the one in force.
  bool IsNewer(std::uint64_t aVersion, StoreRevision aFound) const;
  void SetInForce(std::string aText, RouteConfiguration aConfiguration,
                  StoreRevision aFound);

  const ClusterDecoder& decoder;
  const Clock& clock;
  std::shared_ptr<const RouteTable> table;
  /// Text of the configuration in force, and the era that it was taken in.
  std::string text;
  std::uint64_t takenInEra = 0;
  StoreRevision foundAt;
  /// Revision of one that did not parse, to read it once only.
  StoreRevision refusedRevision;
  std::optional<Instant> validatedAt;
  std::optional<PendingValidation> pendingValidation;
  std::optional<Instant> awaitsPeersUntil;
  /// The present era, as far as it is known here.
  std::uint64_t era = 0;
  /// No proof counts that began before: what the operators had written may not
  /// be written again yet.
  Instant rejectsValidationUntil{};
};

}  // namespace zincstep
