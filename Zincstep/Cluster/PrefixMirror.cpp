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
  this->list.OnFullRead(aRange.at);
}

void PrefixMirror::OnEvents(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    if (!event.isRemoved) {
      this->list.Put(event.item);
    } else if (!this->list.HasNewer(event.item.key, event.item.revision)) {
      this->list.Remove(event.item.key, event.item.revision);
    }
  }
  this->list.AdvanceTo(aEvents.at);
}

bool PrefixMirror::OnUpdate(const ListUpdate& aUpdate) {
  if (!this->list.ShouldApply(aUpdate)) {
    return false;
  }
  for (const std::string& key : this->list.RemovedBy(aUpdate)) {
    this->list.Remove(key, aUpdate.at);
  }
  for (const StoreItem& item : aUpdate.items) {
    this->list.Put(item);
  }
  this->list.FinishUpdate(aUpdate);
  return true;
}

std::string PrefixMirror::ValueOf(const std::string& aKey) const {
  const auto found = this->Items().find(aKey);
  return found == this->Items().end() ? std::string() : found->second.value;
}

}  // namespace zincstep
