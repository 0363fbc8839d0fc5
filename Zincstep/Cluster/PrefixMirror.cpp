#include "Zincstep/Cluster/PrefixMirror.h"

namespace zincstep {

void PrefixMirror::OnRange(const StoreRange& aRange) {
  if (aRange.at < this->list.At()) {
    return;
  }
  for (const std::string& key : this->list.AbsentFrom(aRange.items)) {
    this->list.Remove(key, aRange.at);
  }
  for (const StoreItem& item : aRange.items) {
    this->list.Put(item);
  }
  this->list.Restart(aRange.at);
}

void PrefixMirror::OnEvents(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    if (!event.isRemoved) {
      this->list.Put(event.item);
    } else if (!this->list.HasNewer(event.item.key, event.item.revision)) {
      this->list.Remove(event.item.key, event.item.revision);
    }
  }
  this->list.Advance(aEvents.at);
}

bool PrefixMirror::OnUpdate(const ListUpdate& aCopy) {
  if (!this->list.IsNews(aCopy)) {
    return false;
  }
  for (const std::string& key : this->list.RemovedBy(aCopy)) {
    this->list.Remove(key, aCopy.at);
  }
  for (const StoreItem& item : aCopy.items) {
    this->list.Put(item);
  }
  this->list.Complete(aCopy);
  return true;
}

std::string PrefixMirror::ValueOf(const std::string& aKey) const {
  const auto found = this->Items().find(aKey);
  return found == this->Items().end() ? std::string() : found->second.value;
}

}  // namespace zincstep
