#pragma once

#include <set>
#include <string>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {

/// Persists the blocked requests in the store, next to the daemons' own
/// entries, so that they survive a restart of all daemons. Requests that are
/// held back because of suspected crashes are listed with these: the proof may
/// come only once the daemons that suspect them are gone.
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

  /// Reads the list when this daemon starts. Requests wait for it: the entries
  /// of all daemons arrive later than the upstreams do.
  void ReadAtStart();
  /// Applies the daemons' own entries as currently stored.
  void OnEntries(const StoreItems& aItems);
  /// Resets the revision after the store was restored from a backup, which may
  /// lack recent blocks. Blocks that are known here are written again.
  void OnRestored();
  /// Writes the list if it has changed. Called several times per second by the
  /// placement leader.
  void Write();

  /// Number of revisions of the list that could not be parsed.
  std::uint64_t RefusedEntries() const { return this->refusedEntries; }

  /// What the list says.
  struct Content {
    std::set<Fingerprint> blocked;
    SuspectedCrashes suspected;

    bool operator==(const Content&) const = default;
  };

 private:
  std::uint64_t refusedEntries = 0;

  void ApplyEntry(const StoreItem& aItem);
  /// The list as this daemon would write it.
  Content Current(Instant aNow) const;

  std::string prefix;
  AsyncStore& store;
  CrashTracker& crashes;
  const Clock& clock;
  /// The list as stored, and its revision; none if it was never written.
  Content listed;
  StoreRevision revision;
  /// What was listed before the store was restored from a backup.
  std::set<Fingerprint> listedBeforeRestore;
  bool isWriting = false;
  Instant nextAttempt{};
  /// Earliest time of a write that changes only the suspected crashes.
  Instant nextSuspicionWrite{};
};

}  // namespace zincstep
