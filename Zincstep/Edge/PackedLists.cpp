#include "Zincstep/Edge/PackedLists.h"

#include <algorithm>

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {

namespace {

/// Minimum number of entries of a packed list: fewer fit into one packet.
constexpr std::size_t kMinPackedEntries = 8;
/// Maximum number of lists cached for one revision, one for each revision of
/// requesters, and the size at which the cache is cleared.
constexpr std::size_t kMaxCachedLists = 64;
constexpr std::size_t kMaxCachedBytes = 2 << 20;

}  // namespace

bool PackedLists::IsLong(const ListUpdate& aList) {
  return aList.items.size() + aList.removed.size() >= kMinPackedEntries;
}

const PackedList* PackedLists::Find(StoreRevision aSince,
                                    StoreRevision aAt) const {
  if (aAt != this->at) {
    return nullptr;
  }
  const auto found = std::find_if(
      this->lists.begin(), this->lists.end(),
      [aSince](const PackedList& aOne) { return aOne.since == aSince; });
  return found == this->lists.end() ? nullptr : &*found;
}

std::size_t PackedLists::Bytes() const {
  std::size_t bytes = 0;
  for (const PackedList& list : this->lists) {
    bytes += list.bytes->size();
  }
  return bytes;
}

const PackedList& PackedLists::Add(StoreRevision aSince,
                                   const ListUpdate& aList) {
  if (aList.at != this->at || this->lists.size() >= kMaxCachedLists ||
      this->Bytes() >= kMaxCachedBytes) {
    this->lists.clear();
    this->at = aList.at;
  }
  this->lists.push_back({aSince,
                         std::make_shared<const std::string>(PackList(aList)),
                         aList.isFull});
  return this->lists.back();
}

}  // namespace zincstep
