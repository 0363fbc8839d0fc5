#pragma once

#include <string>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// Room of a service in one failure domain.
struct DomainRoom {
  std::string domain;
  DomainCapacity capacity;
  /// Whether its usable upstreams hold all layers of the model.
  bool holdsAllLayers = false;
};

/// Computes the room of a service by failure domain, from what this daemon
/// knows of its usable upstreams.
///
/// The room in tokens is that of the layer with the least memory, over all
/// upstreams that hold it; the room in requests is the free slots of the
/// upstreams that hold the first layer.
class DomainRooms {
 public:
  /// `aMemoryLimit` is the share of an upstream's memory that may be allocated,
  /// as `ChainChooserSettings::memoryLimit`.
  explicit DomainRooms(double aMemoryLimit) : memoryLimit(aMemoryLimit) {}

  /// Returns the rooms, at most `kRoomMaxAge` old.
  const std::vector<DomainRoom>& Of(const ModelShape& aModel,
                                    const std::vector<UpstreamPtr>& aUpstreams,
                                    double aResponseSeconds, Instant aNow);
  /// Makes the next call compute the rooms again, after work was started or has
  /// ended here.
  void Invalidate() { this->isValid = false; }

 private:
  /// Sums by layer of one domain, as differences between adjacent layers.
  struct LayerSums {
    std::vector<double> free;
    std::vector<double> total;
    std::vector<int> holders;
  };

  void Add(const ModelShape& aModel, const LiveUpstream& aUpstream,
           double aResponseSeconds, Instant aNow);
  /// Index of the domain in `rooms` and `sums`; adds it if it is new.
  std::size_t IndexOf(const std::string& aDomain, std::size_t aLayers);

  double memoryLimit;
  std::vector<DomainRoom> rooms;
  std::vector<LayerSums> sums;
  Instant computedAt{};
  bool isValid = false;
};

/// Maximum age of a computed room: the interval between ticks of the relay.
inline constexpr Micros kRoomMaxAge = 25ms;

}  // namespace zincstep
