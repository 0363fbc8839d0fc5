#include "Zincstep/Cluster/ItemList.h"

#include <algorithm>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Removals that are remembered: a peer asks several times a second, and a
/// third of 3,000 upstreams may go in one second with their failure domain.
constexpr std::size_t kMostRemovals = 2048;

/// Revisions of one era stay below this power of two.
constexpr int kEraShift = 48;

/// An item's share of the digest; shares are added, so that their order does
/// not matter.
std::uint64_t DigestOf(const StoreItem& aItem) {
  const StoreRevision revision = aItem.revision;
  return Hash64(aItem.key, revision.number ^ (revision.era << kEraShift));
}

/// The least revision behind another.
StoreRevision NextOf(StoreRevision aRevision) {
  return {aRevision.number + 1, aRevision.era};
}

}  // namespace

void ItemList::Forget(const StoreItem& aItem) {
  this->digest -= DigestOf(aItem);
  this->byRevision.erase({aItem.revision, aItem.key});
}

bool ItemList::Put(const StoreItem& aItem) {
  const auto [place, isNew] = this->items.try_emplace(aItem.key);
  StoreItem& known = place->second;
  if (!isNew) {
    if (aItem.revision <= known.revision) {
      return false;
    }
    this->Forget(known);
  }
  known = aItem;
  this->digest += DigestOf(known);
  this->byRevision.emplace(known.revision, known.key);
  return true;
}

void ItemList::Remove(const std::string& aKey, StoreRevision aRevision) {
  const auto found = this->items.find(aKey);
  if (found != this->items.end()) {
    this->Forget(found->second);
    this->items.erase(found);
  }
  this->removals.emplace_back(aRevision, aKey);
  if (this->removals.size() > kMostRemovals) {
    this->removalsSince =
        std::max(this->removalsSince, this->removals.front().first);
    this->removals.pop_front();
  }
}

void ItemList::Advance(StoreRevision aAt) {
  this->at = std::max(this->at, aAt);
}

void ItemList::Restart(StoreRevision aAt) {
  // One gap is remembered; what lies before an older one's end is given up.
  const bool isFirst = this->at.IsNone();
  this->removalsSince =
      std::max(this->removalsSince, isFirst ? aAt : this->gapUpTo);
  this->gapAfter = this->at;
  this->gapUpTo = aAt;
  this->Advance(aAt);
  this->mayBeIncomplete = false;
}

bool ItemList::KnowsRemovalsSince(StoreRevision aRevision) const {
  const bool isInGap = aRevision > this->gapAfter && aRevision < this->gapUpTo;
  return aRevision >= this->removalsSince && !isInGap;
}

bool ItemList::IsNews(const ListUpdate& aCopy) const {
  if (this->mayBeIncomplete) {
    return aCopy.isFull && aCopy.at >= this->at;
  }
  return aCopy.at > this->at;
}

bool ItemList::HasNewer(const std::string& aKey,
                        StoreRevision aRevision) const {
  const auto found = this->items.find(aKey);
  return found != this->items.end() && found->second.revision > aRevision;
}

std::vector<std::string> ItemList::AbsentFrom(
    const std::vector<StoreItem>& aPresent) const {
  std::set<std::string_view> present;
  for (const StoreItem& item : aPresent) {
    present.insert(item.key);
  }
  std::vector<std::string> absent;
  for (const auto& [key, item] : this->items) {
    if (!present.contains(key)) {
      absent.push_back(key);
    }
  }
  return absent;
}

std::vector<std::string> ItemList::RemovedBy(const ListUpdate& aCopy) const {
  return aCopy.isFull ? this->AbsentFrom(aCopy.items) : aCopy.removed;
}

void ItemList::Complete(const ListUpdate& aCopy) {
  if (aCopy.isFull) {
    this->Restart(aCopy.at);
  } else {
    this->Advance(aCopy.at);
  }
  if (this->digest == aCopy.digest) {
    return;
  }
  LogWarning("list_differs", {{"at", this->at.number},
                              {"era", this->at.era},
                              {"items", this->items.size()},
                              {"told_whole", aCopy.isFull}});
  this->mayBeIncomplete = !aCopy.isFull;
}

ListUpdate ItemList::UpdateSince(StoreRevision aSince) const {
  ListUpdate copy;
  copy.at = this->at;
  copy.digest = this->digest;
  copy.isFull = aSince.IsNone() || !this->KnowsRemovalsSince(aSince);
  if (copy.isFull) {
    for (const auto& [key, item] : this->items) {
      copy.items.push_back(item);
    }
    return copy;
  }
  for (auto changed = this->byRevision.lower_bound({NextOf(aSince), {}});
       changed != this->byRevision.end(); ++changed) {
    copy.items.push_back(this->items.at(changed->second));
  }
  for (const auto& [revision, key] : this->removals) {
    if (revision > aSince && !this->items.contains(key)) {
      copy.removed.push_back(key);
    }
  }
  return copy;
}

}  // namespace zincstep
