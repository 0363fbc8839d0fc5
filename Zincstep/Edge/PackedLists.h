#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// A compressed list, full or incremental, for requesters that have the list as
/// of one revision.
struct PackedList {
  StoreRevision since;
  SharedBytes bytes;
  bool isFull = false;
};

/// Caches compressed lists, so that requesters with the same revision share
/// them.
///
/// A hundred daemons of a domain query its first several times per second, most
/// of them for the same changes. 3,000 entries that change at once took a
/// megabyte to encode and to send for each of them.
class PackedLists {
 public:
  /// Returns the cached list as of `aAt` for a requester that has it as of
  /// `aSince`; null if there is none.
  const PackedList* Find(StoreRevision aSince, StoreRevision aAt) const;
  /// Compresses and caches a list. Drops cached lists of an earlier revision.
  const PackedList& Add(StoreRevision aSince, const ListUpdate& aList);

  /// Cached bytes.
  std::size_t Bytes() const;

  /// Returns whether a list is long enough to be packed.
  static bool IsLong(const ListUpdate& aList);

 private:
  StoreRevision at;
  std::vector<PackedList> lists;
};

}  // namespace zincstep
