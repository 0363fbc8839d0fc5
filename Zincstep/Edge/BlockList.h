#pragma once

#include <set>
#include <string>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {

/// Persists the blocked requests in the store, next to the daemons' own
/// entries, so that they survive a restart of all daemons.
///
/// The placement leader writes the list; all daemons read it together with the
/// list of daemons. Without it, daemons that were all killed at once let the
/// same request crash three upstreams again.
class BlockList {
 public:
  /// Store key, without the prefix of the daemons' own entries.
  static constexpr const char* kKey = "blocked-requests";

  BlockList(std::string aPrefix, AsyncStore& aStore, CrashTracker& aCrashes,
            const Clock& aClock);

  /// Applies the daemons' own entries as currently stored.
  void OnEntries(const StoreItems& aItems);
  /// Resets the revision after the store was restored from a backup, which may
  /// lack recent blocks. Blocks that are known here are written again.
  void OnRestored();
  /// Writes the list if it has changed. Called several times per second by the
  /// placement leader.
  void Write();

 private:
  void ApplyEntry(const StoreItem& aItem);

  std::string prefix;
  AsyncStore& store;
  CrashTracker& crashes;
  const Clock& clock;
  /// The list as stored, and its revision; none if it was never written.
  std::set<Fingerprint> listed;
  StoreRevision revision;
  /// What was listed before the store was restored from a backup.
  std::set<Fingerprint> listedBeforeRestore;
  bool isWriting = false;
  Instant nextAttempt{};
};

}  // namespace zincstep
