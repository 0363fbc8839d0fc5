#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Edge/PeerName.h"

namespace zincstep {

/// Keeps entries of daemons in the store, by which they find each other.
///
/// The daemon that asks the store for its failure domain keeps the entries of
/// all daemons that ask it, up to 32 with one call and all under one lease: the
/// start of a thousand daemons is some tens of calls. The others leave theirs
/// to it, and write it by themselves only where nobody has for a while.
class DaemonRegistrar {
 public:
  DaemonRegistrar(const EdgeSettings& aSettings, AsyncStore& aStore,
                  const Clock& aClock);

  /// Writes what is due, or renews the lease; to be called several times a
  /// second. `aLeads`: this daemon asks the store for its failure domain.
  void Keep(bool aLeads);
  /// A daemon of this failure domain lives, and asks this one.
  void OnQueryFrom(const PeerName& aRequester);
  /// The daemons' entries have changed in the store; the items stay where they
  /// are.
  void OnEntries(const StoreItems& aItems);
  /// The store has come back from a copy: the lease may be gone with what was
  /// written since, so that all is written again within a second.
  void OnRestored(Random& aRandom);
  /// Whether this daemon's entry was among those that the store had last.
  bool IsListed() const { return this->isListed; }
  /// Whether this daemon is to have an entry: it does not end.
  bool WantsEntry() const { return !this->hasEnded; }
  /// Takes this daemon's entry back, as it stops: the others are to choose
  /// another teller at once.
  void End();

 private:
  struct Kept {
    std::string text;
    /// The store's revision with it as written here; none: it is due.
    StoreRevision writtenAt;
    /// Its revision on the list of daemons; none: it is not there yet.
    StoreRevision seenAt;
    /// Since when it is to be written.
    Instant since{};
    /// When its daemon last asked.
    Instant lastSeenAt{};
  };

  /// The keys with the daemons' own prefix before them.
  std::string FullKey(const std::string& aKey) const {
    return this->settings.storePrefix + aKey;
  }
  void Add(const PeerName& aDaemon, Instant aNow);
  /// Whether the list has that entry with that text.
  bool IsThere(const std::string& aKey, const std::string& aText) const;
  /// Whether the own entry is written by this daemon, who does not lead.
  bool IsOverdue(Instant aNow) const;
  /// Forgets what another daemon keeps now.
  void LeaveToOthers();
  bool IsDue(const std::string& aKey, const Kept& aEntry, Instant aNow) const;
  /// Keys that one call is to write now.
  std::vector<std::string> CollectDue(Instant aNow) const;
  void RemoveSilent(Instant aNow);
  void Grant();
  void Renew();
  void Write(const std::vector<std::string>& aKeys);
  void RetryLater();
  /// All is written anew, under a new lease.
  void BeginAnew(Instant aSince);

  const EdgeSettings& settings;
  AsyncStore& store;
  const Clock& clock;
  PeerName own;
  std::string ownKey;
  /// This daemon's own times, apart from those of others: between renewals,
  /// until it writes its entry by itself, until it takes over what another has
  /// written.
  Micros keepPause;
  Micros ownPatience;
  Micros takeOverPause;
  Micros retryPause;
  std::uint64_t lease = 0;
  /// By key.
  std::map<std::string, Kept> kept;
  /// The daemons' entries as they are in the store, by key; null before the
  /// first.
  const StoreItems* listed = nullptr;
  /// Since when the own entry is missing.
  Instant missingSince;
  Instant nextRenewal{};
  Instant nextTry{};
  bool leads = false;
  bool isWriting = false;
  bool isListed = false;
  bool hasEnded = false;
};

}  // namespace zincstep
