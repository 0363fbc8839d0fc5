#pragma once

#include <memory>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Relay/Relay.h"

namespace zincstep {

/// Platform-specific components that an edge daemon depends on.
struct EdgeAdapters {
  std::unique_ptr<RelayDialect> dialect;
  std::unique_ptr<ClusterDecoder> decoder;
  std::unique_ptr<AsyncStore> store;
  std::unique_ptr<UpstreamControl> control;
  ClusterKeys keys;
};

}  // namespace zincstep
