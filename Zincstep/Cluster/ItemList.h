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
struct ListCopy {
  /// Revision of the store up to which it is complete.
  std::uint64_t at = 0;
  /// Whether all items are here; else those since the asker's revision.
  bool isWhole = true;
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
  std::uint64_t At() const { return this->at; }
  /// Revision that a peer is to tell the changes since; 0 asks for all.
  std::uint64_t AskSince() const { return this->isDoubtful ? 0 : this->at; }

  /// Takes an item unless a newer one is known; gives whether it is news.
  bool Put(const StoreItem& aItem);
  /// An item went with that revision.
  void Remove(const std::string& aKey, std::uint64_t aRevision);
  /// The list is complete up to `aAt`; an older revision is passed over.
  void Advance(std::uint64_t aAt);
  /// The list was read whole as of `aAt`. What came and went since it was last
  /// complete is not known, so that nobody can be told changes from between.
  void Restart(std::uint64_t aAt);
  /// Whether the list is known to lack something.
  bool IsDoubtful() const { return this->isDoubtful; }

  /// Whether an item is known of a later revision.
  bool HasNewer(const std::string& aKey, std::uint64_t aRevision) const;
  /// Keys that are not among `aPresent`.
  std::vector<std::string> AbsentFrom(
      const std::vector<StoreItem>& aPresent) const;

  /// Whether a peer's copy tells more than is known.
  bool IsNews(const ListCopy& aCopy) const;
  /// Keys that a peer's copy takes away.
  std::vector<std::string> TakenBy(const ListCopy& aCopy) const;
  /// To be called when a peer's copy has been taken: where the list then
  /// differs from the peer's, the whole list is asked for next.
  void Complete(const ListCopy& aCopy);
  /// What a peer is told that has the list as of `aSince`.
  ListCopy CopySince(std::uint64_t aSince) const;

 private:
  void Forget(const StoreItem& aItem);
  bool KnowsRemovalsSince(std::uint64_t aRevision) const;

  StoreItems items;
  std::uint64_t at = 0;
  /// Revisions with their keys: what has changed since, without a walk.
  std::set<std::pair<std::uint64_t, std::string>> byRevision;
  /// Removals, the last ones at the end.
  std::deque<std::pair<std::uint64_t, std::string>> removals;
  /// All removals after this revision are known, but for the gap's.
  std::uint64_t removalsSince = 0;
  /// Between these revisions the last whole read may have missed some.
  std::uint64_t gapAfter = 0;
  std::uint64_t gapUpTo = 0;
  std::uint64_t digest = 0;
  bool isDoubtful = false;
};

}  // namespace zincstep
