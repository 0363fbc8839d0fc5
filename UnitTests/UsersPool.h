#pragma once

#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Model and kinds of both users' deployments.
inline ModelShape UsersModel() {
  ModelShape model;
  model.layers = 80;
  model.layerMb = 1750;
  model.tokenMb = 0.59;
  model.stepTime = 850us;
  model.usualPrompt = 772;
  model.usualAnswer = 172;
  model.loadTime = 14s;
  model.loadsAtOnce = 6;
  model.kinds = {{"h100", 72'000, 1.4, 1},
                 {"a100s", 36'000, 3.1, 3.2},
                 {"l4", 21'600, 16, 8.2},
                 {"t4", 14'400, 15, 15}};
  return model;
}

/// Upstreams of one failure domain, by their number of each kind.
inline std::vector<PlacedUpstream> MakeDomain(const std::string& aName,
                                              int aH100, int aA100, int aL4,
                                              int aT4) {
  std::vector<PlacedUpstream> upstreams;
  const auto add = [&](const std::string& aKind, int aCount) {
    for (int i = 0; i < aCount; ++i) {
      upstreams.push_back(
          {aName + aKind + std::to_string(i), aName, aKind, {}, true});
    }
  };
  add("h100", aH100);
  add("a100s", aA100);
  add("l4", aL4);
  add("t4", aT4);
  return upstreams;
}

inline std::vector<PlacedUpstream> UsersPool() {
  std::vector<PlacedUpstream> pool = MakeDomain("a", 0, 2, 4, 7);
  for (const auto& more :
       {MakeDomain("b", 1, 1, 5, 7), MakeDomain("c", 0, 1, 8, 3)}) {
    pool.insert(pool.end(), more.begin(), more.end());
  }
  return pool;
}

/// Applies orders: each upstream holds the ordered layers.
inline void ApplyOrders(std::vector<PlacedUpstream>& aPool,
                        const std::vector<PlacementOrder>& aOrders) {
  for (const PlacementOrder& order : aOrders) {
    for (PlacedUpstream& upstream : aPool) {
      if (upstream.id == order.id) {
        upstream.layers = order.layers;
      }
    }
  }
}

}  // namespace zincstep
