#include "Zincstep/Cluster/ItemList.h"

#include <algorithm>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Removals that are kept for incremental updates. Peers query several times
/// per second, and a third of 3,000 upstreams may be removed within a second
/// when their failure domain is lost.
constexpr std::size_t kMaxRemovals = 2048;

/// Revisions of one era stay below two to this power.
constexpr int kEraShift = 48;

/// An item's contribution to the digest. Contributions are added, so that their
/// order does not matter.
std::uint64_t DigestOf(const StoreItem& aItem) {
  const StoreRevision revision = aItem.revision;
  return Hash64(aItem.key, revision.number ^ (revision.era << kEraShift));
}

/// The smallest revision after another.
StoreRevision NextOf(StoreRevision aRevision) {
  return {aRevision.number + 1, aRevision.era};
}

}  // namespace

void ItemList::Unindex(const StoreItem& aItem) {
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
    this->Unindex(known);
  }
  known = aItem;
  this->digest += DigestOf(known);
  this->byRevision.emplace(known.revision, known.key);
  return true;
}

void ItemList::Remove(const std::string& aKey, StoreRevision aRevision) {
  const auto found = this->items.find(aKey);
  if (found != this->items.end()) {
    this->Unindex(found->second);
    this->items.erase(found);
  }
  this->removals.emplace_back(aRevision, aKey);
  if (this->removals.size() > kMaxRemovals) {
    this->removalsSince =
        std::max(this->removalsSince, this->removals.front().first);
    this->removals.pop_front();
  }
}

void ItemList::AdvanceTo(StoreRevision aAt) {
  this->at = std::max(this->at, aAt);
}

void ItemList::OnFullRead(StoreRevision aAt) {
  // Only one gap is remembered; revisions before the end of an older one are no
  // longer served incrementally.
  const bool isFirst = this->at.IsNone();
  this->removalsSince =
      std::max(this->removalsSince, isFirst ? aAt : this->gapUpTo);
  this->gapAfter = this->at;
  this->gapUpTo = aAt;
  this->AdvanceTo(aAt);
  this->mayBeIncomplete = false;
}

bool ItemList::KnowsRemovalsSince(StoreRevision aRevision) const {
  const bool isInGap = aRevision > this->gapAfter && aRevision < this->gapUpTo;
  return aRevision >= this->removalsSince && !isInGap;
}

bool ItemList::ShouldApply(const ListUpdate& aUpdate) const {
  if (this->mayBeIncomplete) {
    return aUpdate.isFull && aUpdate.at >= this->at;
  }
  return aUpdate.at > this->at;
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

std::vector<std::string> ItemList::RemovedBy(const ListUpdate& aUpdate) const {
  return aUpdate.isFull ? this->AbsentFrom(aUpdate.items) : aUpdate.removed;
}

void ItemList::FinishUpdate(const ListUpdate& aUpdate) {
  if (aUpdate.isFull) {
    this->OnFullRead(aUpdate.at);
  } else {
    this->AdvanceTo(aUpdate.at);
  }
  if (this->digest == aUpdate.digest) {
    return;
  }
  LogWarning("list_differs", {{"at", this->at.number},
                              {"era", this->at.era},
                              {"items", this->items.size()},
                              {"told_whole", aUpdate.isFull}});
  this->mayBeIncomplete = !aUpdate.isFull;
}

ListUpdate ItemList::UpdateSince(StoreRevision aSince) const {
  ListUpdate update;
  update.at = this->at;
  update.digest = this->digest;
  update.isFull = aSince.IsNone() || !this->KnowsRemovalsSince(aSince);
  if (update.isFull) {
    for (const auto& [key, item] : this->items) {
      update.items.push_back(item);
    }
    return update;
  }
  for (auto changed = this->byRevision.lower_bound({NextOf(aSince), {}});
       changed != this->byRevision.end(); ++changed) {
    update.items.push_back(this->items.at(changed->second));
  }
  for (const auto& [revision, key] : this->removals) {
    if (revision > aSince && !this->items.contains(key)) {
      update.removed.push_back(key);
    }
  }
  return update;
}

}  // namespace zincstep
