#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// A list, or its changes, as it goes to whoever knows it as of one revision.
struct PackedList {
  StoreRevision since;
  SharedBytes text;
  bool isWhole = false;
};

/// Keeps what was packed of a list for one asker for the next.
///
/// A hundred daemons of a domain ask its first several times a second, most of
/// them for the same changes: 3,000 entries that change at once were a megabyte
/// to write, and to send, for each of them.
class PackedLists {
 public:
  /// What was packed of the list as of `aAt` for an asker that has it as of
  /// `aSince`; null where nothing was.
  const PackedList* Find(StoreRevision aSince, StoreRevision aAt) const;
  /// Packs a list; what was packed of an earlier state is forgotten.
  const PackedList& Add(StoreRevision aSince, const ListUpdate& aList);

  /// Bytes that are kept.
  std::size_t Bytes() const;

  /// Whether a list is long enough to be packed.
  static bool IsLong(const ListUpdate& aList);

 private:
  StoreRevision at;
  std::vector<PackedList> lists;
};

}  // namespace zincstep
