#include "Zincstep/Cluster/PrefixMirror.h"

namespace zincstep {

std::vector<std::string> AbsentKeys(const StoreItems& aList,
                                    const std::vector<StoreItem>& aPresent) {
  std::set<std::string_view> present;
  for (const StoreItem& item : aPresent) {
    present.insert(item.key);
  }
  std::vector<std::string> absent;
  for (const auto& [key, item] : aList) {
    if (!present.contains(key)) {
      absent.push_back(key);
    }
  }
  return absent;
}

void PrefixMirror::OnRange(const StoreRange& aRange) {
  if (aRange.at < this->list.At()) {
    return;
  }
  for (const std::string& key : AbsentKeys(this->Items(), aRange.items)) {
    this->list.Remove(key, aRange.at);
  }
  for (const StoreItem& item : aRange.items) {
    this->list.Put(item);
  }
  this->list.Restart(aRange.at);
}

void PrefixMirror::OnEvents(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    const auto known = this->Items().find(event.item.key);
    if (!event.isRemoved) {
      this->list.Put(event.item);
    } else if (known == this->Items().end() ||
               known->second.revision <= event.item.revision) {
      this->list.Remove(event.item.key, event.item.revision);
    }
  }
  this->list.Advance(aEvents.at);
}

bool PrefixMirror::OnCopy(const ListCopy& aCopy) {
  if (!this->list.IsNews(aCopy)) {
    return false;
  }
  if (aCopy.isWhole) {
    this->OnRange({aCopy.items, aCopy.at});
  } else {
    for (const std::string& key : aCopy.removed) {
      this->list.Remove(key, aCopy.at);
    }
    for (const StoreItem& item : aCopy.items) {
      this->list.Put(item);
    }
    this->list.Advance(aCopy.at);
  }
  this->list.Verify(aCopy);
  return true;
}

std::string PrefixMirror::ValueOf(const std::string& aKey) const {
  const auto found = this->Items().find(aKey);
  return found == this->Items().end() ? std::string() : found->second.value;
}

}  // namespace zincstep
