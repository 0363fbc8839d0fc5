#pragma once

#include <vector>

#include "Zincstep/Routing/Fleet.h"

namespace zincstep {

/// Upstreams with the same layers, accelerator kind and failure domain.
struct FlowGroup {
  LayerRange layers;
  int kind = 0;
  int domain = 0;
  double layerSeconds = 0;
  double slots = 1;
  /// Indices into the fleet's replicas.
  std::vector<int> members;
  /// Sum of the members' usable shares: slow members count in part.
  double usableMembers = 0;
  /// Sequences in flight on one fully usable member at maximum flow.
  double memberWindow = 0;
};

/// One hop of a path: a group and the layers that it runs.
struct FlowHop {
  int group = 0;
  LayerRange layers;
};

/// A path through all layers with its share of the flow.
struct FlowPath {
  std::vector<FlowHop> hops;
  /// Flow of this path, in tokens per second.
  double tokensPerSecond = 0;
  /// Time of one decode step along the path without queueing, in seconds.
  double stepSeconds = 0;
  /// Sequences in flight at the path's flow, by Little's law.
  double window = 0;
};

/// Flow of each group and path at the maximum throughput of the fleet.
struct FlowPlan {
  std::vector<FlowGroup> groups;
  std::vector<FlowPath> paths;
  /// Total flow of all paths, in tokens per second; feasible.
  double tokensPerSecond = 0;
  /// Upper bound of the flow by LP duality, in tokens per second.
  double upperBound = 0;

  /// Whether at least one path covers all layers.
  bool HasPath() const { return !this->paths.empty(); }
};

/// Settings of the flow computation.
struct FlowPlanSettings {
  /// Relative distance from the upper bound at which the computation stops.
  double tolerance = 0.01;
  int maxRounds = 1500;
};

/// Computes the maximum flow of tokens through a fleet.
///
/// Each upstream is a resource of one second of work per second, and each link
/// between domains one of its bandwidth; a path uses them by the layers that it
/// runs there. The linear program has one column per path and is solved by
/// column generation (Dantzig and Wolfe, 1960): the cheapest path at the dual
/// prices of the current solution is the next column. The same prices give an
/// upper bound of the flow, and so the distance to the optimum. As in Helix
/// (ASPLOS 2025), the flow serves as a bound and as the source of weights;
/// unlike in its max-flow, an upstream may run part of the layers that it
/// holds. The simplex solver is COIN-OR CLP.
///
/// `aUsableShares` has the usable share of each replica's speed, from 0 to 1.
FlowPlan ComputeFlowPlan(const Fleet& aFleet,
                         const std::vector<double>& aUsableShares,
                         const FlowPlanSettings& aSettings = {});

}  // namespace zincstep
