#pragma once

#include <string>

#include "Zincstep/Cluster/ItemList.h"

namespace zincstep {

/// The items under one prefix as of one revision of the store.
///
/// An older revision is ignored, wherever it comes from.
class PrefixMirror {
 public:
  /// Applies the full list read from the store.
  void OnRange(const StoreRange& aRange);
  /// Applies changes reported by the store.
  void OnEvents(const StoreEvents& aEvents);
  /// Applies a peer's update; returns whether it held any changes.
  bool OnUpdate(const ListUpdate& aUpdate);

  const ItemList& List() const { return this->list; }
  const StoreItems& Items() const { return this->list.Items(); }
  /// Returns the value of a key; empty if the key does not exist.
  std::string ValueOf(const std::string& aKey) const;
  StoreRevision At() const { return this->list.At(); }

 private:
  ItemList list;
};

}  // namespace zincstep
