#pragma once

#include <string>

#include "Zincstep/Cluster/ItemList.h"

namespace zincstep {

/// The items under one prefix, as of one revision of the store.
///
/// An older revision is passed over, whoever brings it.
class PrefixMirror {
 public:
  /// All items, from the store.
  void OnRange(const StoreRange& aRange);
  /// Changes of some, from the store.
  void OnEvents(const StoreEvents& aEvents);
  /// What a peer tells; gives whether it was news.
  bool OnUpdate(const ListUpdate& aCopy);

  const ItemList& List() const { return this->list; }
  const StoreItems& Items() const { return this->list.Items(); }
  /// The value of a key; empty where it is not there.
  std::string ValueOf(const std::string& aKey) const;
  StoreRevision At() const { return this->list.At(); }

 private:
  ItemList list;
};

}  // namespace zincstep
