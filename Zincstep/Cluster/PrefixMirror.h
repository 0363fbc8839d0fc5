#pragma once

#include <map>
#include <string>

#include "Zincstep/Cluster/AsyncStore.h"

namespace zincstep {

/// Items by their keys without the prefix.
using StoreItems = std::map<std::string, StoreItem>;

/// All of `aItems`, which are as of revision `aAt`, for somebody who has them
/// as of `aSince`: the value is left empty where it has not changed.
StoreRange RangeSince(const StoreItems& aItems, std::uint64_t aAt,
                      std::uint64_t aSince);

/// The items under one prefix, as of one revision of the store.
///
/// An older revision is passed over, whoever brings it.
class PrefixMirror {
 public:
  /// All items; an empty value stands for the one that is known.
  void OnRange(const StoreRange& aRange);
  /// Changes of some.
  void OnEvents(const StoreEvents& aEvents);

  const StoreItems& Items() const { return this->items; }
  /// The value of a key; empty where it is not there.
  std::string ValueOf(const std::string& aKey) const;
  std::uint64_t At() const { return this->at; }

 private:
  StoreItems items;
  std::uint64_t at = 0;
};

}  // namespace zincstep
