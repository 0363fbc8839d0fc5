#pragma once

#include <memory>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Relay/Relay.h"

namespace zincstep {

/// What an edge daemon needs of the platform that it runs on.
struct EdgeAdapters {
  std::unique_ptr<RelayDialect> dialect;
  std::unique_ptr<ClusterDecoder> decoder;
  std::unique_ptr<AsyncStore> store;
  std::unique_ptr<UpstreamControl> control;
  ClusterKeys keys;
};

}  // namespace zincstep
