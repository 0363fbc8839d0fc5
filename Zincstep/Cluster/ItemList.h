#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Zincstep/Cluster/AsyncStore.h"

namespace zincstep {

/// Items by their keys without the prefix.
using StoreItems = std::map<std::string, StoreItem>;

/// A list as one daemon tells it another: whole, or what has changed.
struct ListUpdate {
  /// Revision of the store up to which it is complete.
  StoreRevision at;
  /// Whether all items are here; else those since the asker's revision.
  bool isFull = true;
  std::vector<StoreItem> items;
  /// Keys that have gone since; none where the list is whole.
  std::vector<std::string> removed;
  /// For so long what was removed may only have lapsed, as the teller sees it.
  Micros grace{0};
  /// Digest of the teller's whole list. One that differs once the copy was
  /// taken shows that something was missed on the way, by whichever tellers.
  std::uint64_t digest = 0;
};

/// Items under one prefix with what has changed of them, so that a peer that
/// has them as of a revision can be told the difference.
class ItemList {
 public:
  const StoreItems& Items() const { return this->items; }
  /// Revision up to which the list is complete.
  StoreRevision At() const { return this->at; }
  /// Revision that a peer is to tell the changes since; none asks for all.
  StoreRevision AskSince() const {
    return this->mayBeIncomplete ? StoreRevision{} : this->at;
  }

  /// Takes an item unless a newer one is known; gives whether it is news.
  bool Put(const StoreItem& aItem);
  /// An item went with that revision.
  void Remove(const std::string& aKey, StoreRevision aRevision);
  /// The list is complete up to `aAt`; an older revision is passed over.
  void Advance(StoreRevision aAt);
  /// The list was read whole as of `aAt`. What came and went since it was last
  /// complete is not known, so that nobody can be told changes from between.
  void Restart(StoreRevision aAt);
  /// Whether the list is known to lack something.
  bool MayBeIncomplete() const { return this->mayBeIncomplete; }

  /// Whether an item is known of a later revision.
  bool HasNewer(const std::string& aKey, StoreRevision aRevision) const;
  /// Keys that are not among `aPresent`.
  std::vector<std::string> AbsentFrom(
      const std::vector<StoreItem>& aPresent) const;

  /// Whether a peer's copy tells more than is known.
  bool IsNews(const ListUpdate& aCopy) const;
  /// Keys that a peer's copy takes away.
  std::vector<std::string> RemovedBy(const ListUpdate& aCopy) const;
  /// To be called when a peer's copy has been taken: where the list then
  /// differs from the peer's, the whole list is asked for next.
  void Complete(const ListUpdate& aCopy);
  /// What a peer is told that has the list as of `aSince`.
  ListUpdate UpdateSince(StoreRevision aSince) const;

 private:
  void Forget(const StoreItem& aItem);
  bool KnowsRemovalsSince(StoreRevision aRevision) const;

  StoreItems items;
  StoreRevision at;
  /// Revisions with their keys: what has changed since, without a walk.
  std::set<std::pair<StoreRevision, std::string>> byRevision;
  /// Removals, the last ones at the end.
  std::deque<std::pair<StoreRevision, std::string>> removals;
  /// All removals after this revision are known, but for the gap's.
  StoreRevision removalsSince;
  /// Between these revisions the last whole read may have missed some.
  StoreRevision gapAfter;
  StoreRevision gapUpTo;
  std::uint64_t digest = 0;
  bool mayBeIncomplete = false;
};

}  // namespace zincstep
