#pragma once

#include <set>
#include <string>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {

/// Keeps the requests that must not run in the store, among the daemons' own
/// entries, so that daemons that start know them, also after all have ended.
///
/// One daemon writes, the one that places layers; all read it with the list of
/// daemons. Without it, daemons that were all killed at once let the same
/// request end three upstreams again.
class BlockList {
 public:
  /// Its key, without the prefix of the daemons' own entries.
  static constexpr const char* kKey = "blocked-requests";

  BlockList(std::string aPrefix, AsyncStore& aStore, CrashTracker& aLedger,
            const Clock& aClock);

  /// Takes the daemons' own entries as they are in the store now.
  void OnEntries(const StoreItems& aItems);
  /// The store has come back from a copy, which may lack some: what is known
  /// here is written again.
  void OnRestored();
  /// Writes what has changed; to be called several times a second by whoever
  /// has the duty to.
  void Write();

 private:
  void Take(const StoreItem& aItem);

  std::string prefix;
  AsyncStore& store;
  CrashTracker& ledger;
  const Clock& clock;
  /// The list as the store has it, and its revision; none: it was never
  /// written.
  std::set<RequestFingerprint> listed;
  StoreRevision revision;
  /// What was listed before the store came back from a copy.
  std::set<RequestFingerprint> listedBefore;
  bool isWriting = false;
  Instant nextTry{};
};

}  // namespace zincstep
