#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Zincstep/Cluster/AsyncStore.h"

namespace zincstep {

/// Items by their keys, without the prefix.
using StoreItems = std::map<std::string, StoreItem>;

/// A list as one daemon sends it to another: full or incremental.
struct ListUpdate {
  /// Store revision up to which the list is complete.
  StoreRevision at;
  /// Whether `items` holds the full list; otherwise only what changed since the
  /// requester's revision.
  bool isFull = true;
  std::vector<StoreItem> items;
  /// Keys removed since then; empty in a full list.
  std::vector<std::string> removed;
  /// Remaining time, at the sender, in which removed entries may only have
  /// expired while the store was unreachable.
  Micros grace{0};
  /// Digest of the sender's full list. If the receiver's digest differs once
  /// the update is applied, it missed a change in some earlier update,
  /// whichever peer sent it.
  std::uint64_t digest = 0;
};

/// Items under one prefix with their recent changes, so that a peer that has
/// them as of some revision can be sent the difference.
class ItemList {
 public:
  const StoreItems& Items() const { return this->items; }
  /// Revision up to which the list is complete.
  StoreRevision At() const { return this->at; }
  /// Revision that an incremental update is requested from; none requests the
  /// full list.
  StoreRevision QuerySince() const {
    return this->mayBeIncomplete ? StoreRevision{} : this->at;
  }

  /// Stores an item unless a newer revision is known; returns whether it did.
  bool Put(const StoreItem& aItem);
  /// Removes an item that was deleted at `aRevision`.
  void Remove(const std::string& aKey, StoreRevision aRevision);
  /// Records that the list is complete up to `aAt`; an older revision is
  /// ignored.
  void AdvanceTo(StoreRevision aAt);
  /// Records that the full list was read as of `aAt`. Items that were added and
  /// removed since the list was last complete are unknown, so no incremental
  /// updates are sent that start in that gap.
  void OnFullRead(StoreRevision aAt);
  /// Whether the list is known to lack changes.
  bool MayBeIncomplete() const { return this->mayBeIncomplete; }

  /// Whether an item is known with a later revision.
  bool HasNewer(const std::string& aKey, StoreRevision aRevision) const;
  /// Returns the known keys that are not in `aPresent`.
  std::vector<std::string> AbsentFrom(
      const std::vector<StoreItem>& aPresent) const;

  /// Whether a peer's update is to be applied: it is newer than the list or, if
  /// the list lacks changes, full and not older.
  bool ShouldApply(const ListUpdate& aUpdate) const;
  /// Returns the keys that a peer's update removes.
  std::vector<std::string> RemovedBy(const ListUpdate& aUpdate) const;
  /// Completes a peer's update after its items and removals were applied. If
  /// the digests differ after an incremental update, the full list is requested
  /// next.
  void FinishUpdate(const ListUpdate& aUpdate);
  /// Returns the update for a peer that has the list as of `aSince`.
  ListUpdate UpdateSince(StoreRevision aSince) const;

 private:
  void Unindex(const StoreItem& aItem);
  bool KnowsRemovalsSince(StoreRevision aRevision) const;

  StoreItems items;
  StoreRevision at;
  /// Revisions with their keys, to find recent changes without a scan.
  std::set<std::pair<StoreRevision, std::string>> byRevision;
  /// Removals, the latest at the end.
  std::deque<std::pair<StoreRevision, std::string>> removals;
  /// All removals after this revision are known, except those in the gap.
  StoreRevision removalsSince;
  /// Bounds of the gap: removals between these revisions may have been missed
  /// by the last full read.
  StoreRevision gapAfter;
  StoreRevision gapUpTo;
  std::uint64_t digest = 0;
  bool mayBeIncomplete = false;
};

}  // namespace zincstep
