#pragma once

#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// One upstream, in the units of the planner: seconds and array indices.
struct FleetReplica {
  std::string name;
  std::string address;
  std::string failureDomain;
  /// Model version that it is declared to hold.
  std::string version;
  LayerRange layers;
  /// Index of its accelerator kind in the configuration.
  int kind = 0;
  /// Index of its failure domain in the configuration.
  int domain = 0;
  /// Time of one layer in a decode step of a full batch, in seconds.
  double layerSeconds = 0;
  /// Time of one layer to prefill one token, in seconds.
  double prefillLayerSeconds = 0;
  /// Maximum sequences in one batch.
  double slots = 1;
};

/// Network link between two failure domains.
struct FleetLink {
  double oneWaySeconds = 0;
  /// Bandwidth in tokens' activations per second; 0 means unlimited.
  double tokensPerSecond = 0;
};

/// All upstreams that hold layers of one model, of any version.
struct Fleet {
  std::string model;
  int layers = 0;
  int domains = 0;
  std::vector<FleetReplica> replicas;
  /// `domains` x `domains` links in row-major order, by sending domain.
  std::vector<FleetLink> links;

  const FleetLink& LinkBetween(int aFrom, int aTo) const {
    return this->links[static_cast<std::size_t>(aFrom * this->domains + aTo)];
  }
};

/// Bytes of one token's activations between two layers: 8,192 values of two
/// bytes, the width assumed in the sizing of the project.
inline constexpr double kActivationBytes = 8192 * 2;

/// Builds the fleet of `aModel` from the configuration.
///
/// If `aRegion` is set, only its upstreams are included: a chain across regions
/// has the latency between them on every token.
Fleet MakeFleet(const Configuration& aConfiguration, const std::string& aModel,
                const std::string& aRegion);

}  // namespace zincstep
