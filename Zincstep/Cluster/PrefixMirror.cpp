#include "Zincstep/Cluster/PrefixMirror.h"

#include <algorithm>

namespace zincstep {

StoreRange RangeSince(const StoreItems& aItems, std::uint64_t aAt,
                      std::uint64_t aSince) {
  StoreRange range{{}, aAt};
  for (const auto& [key, item] : aItems) {
    range.items.push_back(item);
    if (item.revision <= aSince) {
      range.items.back().value.clear();
    }
  }
  return range;
}

void PrefixMirror::OnRange(const StoreRange& aRange) {
  if (aRange.at < this->at) {
    return;
  }
  StoreItems present;
  for (const StoreItem& item : aRange.items) {
    const auto known = this->items.find(item.key);
    if (!item.value.empty()) {
      present[item.key] = item;
    } else if (known != this->items.end()) {
      present[item.key] = known->second;
    }
  }
  this->items = std::move(present);
  this->at = aRange.at;
}

void PrefixMirror::OnEvents(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    const auto known = this->items.find(event.item.key);
    if (known != this->items.end() &&
        known->second.revision > event.item.revision) {
      continue;
    }
    if (event.isRemoved) {
      this->items.erase(event.item.key);
    } else {
      this->items[event.item.key] = event.item;
    }
  }
  this->at = std::max(this->at, aEvents.at);
}

std::string PrefixMirror::ValueOf(const std::string& aKey) const {
  const auto found = this->items.find(aKey);
  return found == this->items.end() ? std::string() : found->second.value;
}

}  // namespace zincstep
