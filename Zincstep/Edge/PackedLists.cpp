#include "Zincstep/Edge/PackedLists.h"

#include <algorithm>

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {

namespace {

/// Entries from which on a list is packed: fewer fit one packet.
constexpr std::size_t kFewestPacked = 8;
/// Askers' revisions that are remembered of one state of the list, and the
/// bytes of what is packed for them.
constexpr std::size_t kMostKept = 64;
constexpr std::size_t kMostBytes = 2 << 20;

}  // namespace

bool PackedLists::IsLong(const ListUpdate& aList) {
  return aList.items.size() + aList.removed.size() >= kFewestPacked;
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
    bytes += list.text->size();
  }
  return bytes;
}

const PackedList& PackedLists::Add(StoreRevision aSince,
                                   const ListUpdate& aList) {
  if (aList.at != this->at || this->lists.size() >= kMostKept ||
      this->Bytes() >= kMostBytes) {
    this->lists.clear();
    this->at = aList.at;
  }
  this->lists.push_back({aSince,
                         std::make_shared<const std::string>(PackList(aList)),
                         aList.isWhole});
  return this->lists.back();
}

}  // namespace zincstep
