#pragma once

#include <optional>
#include <string>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {

/// Keeps this daemon's entry in the store, by which the others find it.
class DaemonEntry {
 public:
  /// What an entry tells of a daemon.
  struct Text {
    std::string name;
    /// Where it listens for other daemons.
    std::string address;
    std::string failureDomain;
  };

  /// Reads an entry; `aKey` is without the settings' prefix. None where it is
  /// no such entry, or does not parse.
  static std::optional<Text> Read(const std::string& aKey,
                                  const std::string& aValue);

  DaemonEntry(const EdgeSettings& aSettings, AsyncStore& aStore,
              const Clock& aClock);

  /// Writes the entry or renews its lease where it is time; to be called
  /// several times a second.
  void Keep();
  /// Takes the daemons' entries as they are in the store now: one that was
  /// there and has gone is written again, whatever its lease was.
  void OnEntries(const StoreItems& aItems);
  /// The store has come back from a copy: the lease may be gone with what was
  /// written since, so the entry is written again within a second.
  void OnRestored(Random& aRandom);
  /// Whether the entry was among those that the store had last.
  bool IsListed() const { return this->isListed; }
  /// Takes the entry back, as this daemon stops: the others are to choose
  /// another teller at once.
  void End();

 private:
  /// What the keys of such entries begin with, behind the settings' prefix.
  static constexpr const char* kPrefix = "members/";

  void Grant();
  void Renew();
  void Write(StoreRevision aExpected);
  void OnWritten(const Result<StoreCommit>& aDone);
  /// Begins anew with a lease, later each time.
  void RetryLater();

  const EdgeSettings& settings;
  AsyncStore& store;
  const Clock& clock;
  /// This daemon's own time between renewals.
  Micros keepPause;
  Micros retryPause;
  std::uint64_t lease = 0;
  Instant nextKeep{};
  bool isWriting = false;
  bool isListed = false;
  bool hasEnded = false;
};

}  // namespace zincstep
