#include "Zincstep/Pool/DomainRoom.h"

#include <algorithm>
#include <limits>

#include "Zincstep/Pool/ChainChooser.h"

namespace zincstep {

std::size_t DomainRooms::IndexOf(const std::string& aDomain,
                                 std::size_t aLayers) {
  for (std::size_t i = 0; i < this->rooms.size(); ++i) {
    if (this->rooms[i].domain == aDomain) {
      return i;
    }
  }
  this->rooms.push_back({aDomain, {}, false});
  this->sums.push_back({std::vector<double>(aLayers + 1),
                        std::vector<double>(aLayers + 1),
                        std::vector<int>(aLayers + 1)});
  return this->rooms.size() - 1;
}

void DomainRooms::Add(const ModelShape& aModel, const LiveUpstream& aUpstream,
                      double aResponseSeconds, Instant aNow) {
  const UpstreamEntry& entry = aUpstream.Entry();
  const auto first = static_cast<std::size_t>(std::max(0, entry.layers.first));
  const auto last =
      static_cast<std::size_t>(std::min(aModel.layers, entry.layers.last));
  if (!aUpstream.IsUsable(aNow) || first >= last ||
      aModel.FindKind(entry.kind) == nullptr) {
    return;
  }
  const double capacity =
      ChainChooser::Capacity(aModel, entry) * this->memoryLimit;
  const std::size_t index = this->IndexOf(
      entry.failureDomain, static_cast<std::size_t>(aModel.layers));
  LayerSums& layers = this->sums[index];
  const double held = entry.layers.Size();
  const double free = std::max(0.0, capacity - aUpstream.Work()) / held;
  layers.free[first] += free;
  layers.free[last] -= free;
  layers.total[first] += capacity / held;
  layers.total[last] -= capacity / held;
  layers.holders[first] += 1;
  layers.holders[last] -= 1;
  if (first == 0 && aUpstream.MayCall(aNow)) {
    DomainCapacity& room = this->rooms[index].capacity;
    const double expected =
        aUpstream.firstStage.Expected(aResponseSeconds, aNow);
    room.free.starts += std::max(0.0, entry.slots - expected);
    room.total.starts += entry.slots;
  }
}

const std::vector<DomainRoom>& DomainRooms::Of(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    double aResponseSeconds, Instant aNow) {
  if (this->isValid && aNow - this->computedAt < kRoomMaxAge) {
    return this->rooms;
  }
  this->isValid = true;
  this->computedAt = aNow;
  this->rooms.clear();
  this->sums.clear();
  for (const UpstreamPtr& upstream : aUpstreams) {
    this->Add(aModel, *upstream, aResponseSeconds, aNow);
  }
  for (std::size_t i = 0; i < this->rooms.size(); ++i) {
    const LayerSums& layers = this->sums[i];
    double free = 0;
    double total = 0;
    int holders = 0;
    double leastFree = std::numeric_limits<double>::infinity();
    double leastTotal = std::numeric_limits<double>::infinity();
    int leastHolders = std::numeric_limits<int>::max();
    for (int layer = 0; layer < aModel.layers; ++layer) {
      const auto at = static_cast<std::size_t>(layer);
      free += layers.free[at];
      total += layers.total[at];
      holders += layers.holders[at];
      leastFree = std::min(leastFree, free);
      leastTotal = std::min(leastTotal, total);
      leastHolders = std::min(leastHolders, holders);
    }
    DomainRoom& room = this->rooms[i];
    room.holdsAllLayers = aModel.layers > 0 && leastHolders > 0;
    // Sums of differences leave rounding errors.
    room.capacity.free.tokens =
        room.holdsAllLayers ? std::max(0.0, leastFree) : 0;
    room.capacity.total.tokens =
        room.holdsAllLayers ? std::max(0.0, leastTotal) : 0;
    // By Little's law, what is used ends within the mean duration of a
    // response.
    const double used =
        std::max(0.0, room.capacity.total.tokens - room.capacity.free.tokens);
    room.capacity.endingTokens =
        aResponseSeconds > 0 ? used / aResponseSeconds : 0;
  }
  return this->rooms;
}

}  // namespace zincstep
