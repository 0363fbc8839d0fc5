#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Edge/PeerName.h"

namespace zincstep {

/// Registers daemons in the store, where they discover each other.
///
/// The daemon that reads the store for its failure domain registers all daemons
/// that query it, up to 32 per call and all under one lease, so the start of a
/// thousand daemons takes some tens of calls. The other daemons rely on it, and
/// register themselves only if their entry stays missing for a while.
class DaemonRegistrar {
 public:
  DaemonRegistrar(const EdgeSettings& aSettings, AsyncStore& aStore,
                  const Clock& aClock);

  /// Writes due entries or renews the lease. Called several times per second.
  /// `aIsLeader`: this daemon reads the store for its failure domain.
  void Tick(bool aIsLeader);
  /// Records that a daemon is alive because it has queried this one. The leader
  /// registers it if it is of the same failure domain.
  void OnQueryFrom(const PeerName& aRequester);
  /// Applies the daemons' entries as currently stored. Keeps a reference to
  /// `aItems`, which must outlive this object.
  void OnEntries(const StoreItems& aItems);
  /// Schedules all entries to be written again within a second, after the store
  /// was restored from a backup: the lease and recent writes may be lost.
  void OnRestored(Random& aRandom);
  /// Returns whether this daemon's entry was in the last list of the store.
  bool IsListed() const { return this->isListed; }
  /// Returns whether this daemon needs an entry, which is until it stops.
  bool NeedsEntry() const { return !this->isDeregistered; }
  /// Removes this daemon's entry on shutdown, so that the others select another
  /// sync source at once.
  void Deregister();

 private:
  struct Entry {
    std::string text;
    /// Revision of the write made here; none if the entry is due.
    StoreRevision writtenAt;
    /// Revision in the list of daemons; none if it is not listed yet.
    StoreRevision seenAt;
    /// When the entry is due, before the batch or take-over delay.
    Instant dueSince{};
    /// When the daemon last queried this one.
    Instant lastSeenAt{};
  };

  /// Adds the prefix of the daemons' own entries to a key.
  std::string StoreKey(const std::string& aKey) const {
    return this->settings.storePrefix + aKey;
  }
  void Add(const PeerName& aDaemon, Instant aNow);
  /// Whether the store has this text under this key.
  bool IsStored(const std::string& aKey, const std::string& aText) const;
  /// Whether this daemon, which does not lead, must register itself.
  bool MustRegisterItself(Instant aNow) const;
  /// Drops entries that another daemon maintains now.
  void DropTakenOver();
  bool IsDue(const std::string& aKey, const Entry& aEntry, Instant aNow) const;
  /// Returns the keys to write with the next call.
  std::vector<std::string> CollectDue(Instant aNow) const;
  void RemoveExpired(Instant aNow);
  void Grant();
  void Renew();
  void Write(const std::vector<std::string>& aKeys);
  void ScheduleRetry();
  /// Marks all entries as due, to be written under a new lease.
  void RewriteAll(Instant aDueSince);

  const EdgeSettings& settings;
  AsyncStore& store;
  const Clock& clock;
  PeerName self;
  std::string ownKey;
  /// Jittered per daemon: the time between renewals, the time before a daemon
  /// registers itself, and the time before an entry that another daemon has
  /// written is taken over.
  Micros renewInterval;
  Micros selfRegisterDelay;
  Micros takeOverDelay;
  Micros retryBackoff;
  std::uint64_t lease = 0;
  /// Maintained entries by key.
  std::map<std::string, Entry> entries;
  /// The daemons' entries as stored, by key; null before the first list.
  const StoreItems* stored = nullptr;
  /// Since when this daemon's entry has been missing.
  Instant missingSince;
  Instant nextRenewal{};
  Instant nextAttempt{};
  bool isLeader = false;
  bool isWriting = false;
  bool isListed = false;
  bool isDeregistered = false;
};

}  // namespace zincstep
