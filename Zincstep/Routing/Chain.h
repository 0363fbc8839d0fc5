#pragma once

#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// One stage of a chain: an upstream and the layers that it runs.
struct ChainHop {
  /// Index into the fleet's replicas.
  int replica = 0;
  LayerRange layers;

  bool operator==(const ChainHop&) const = default;
};

/// Upstreams that together run every layer of one model version in order.
struct Chain {
  std::vector<ChainHop> hops;
  /// Index of its path in the plan, or -1 if it follows none.
  int path = -1;
  /// Number of the plan that `path` refers to.
  int plan = 0;

  /// Whether the hops cover [0, `aLayers`) without gap or overlap.
  bool Covers(int aLayers) const {
    int next = 0;
    for (const ChainHop& hop : this->hops) {
      if (hop.layers.first != next || hop.layers.Size() <= 0) {
        return false;
      }
      next = hop.layers.last;
    }
    return next == aLayers;
  }
};

}  // namespace zincstep
