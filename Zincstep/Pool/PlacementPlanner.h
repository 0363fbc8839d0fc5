#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// Settings of placement.
struct PlacementSettings {
  LayoutScoreSettings layoutScore;
  /// Demand of a failure domain before any traffic was seen, as a share of the
  /// requests that one copy of the model leaves memory for. Both first users'
  /// pools and the third one's have 0.28 to 0.38 at their usual peak (tokens in
  /// flight by Little's law, docs/results/decisions.md).
  double priorShare = 0.33;
  /// Time over which a change has to pay, in seconds: pools change about as
  /// often on the days with trouble.
  double horizonSeconds = 30;
  /// Least gain of a change in share of the demand that is served; less is
  /// within what the estimate of the demand varies by.
  double minGain = 0.01;
  /// Layers and classes that one domain's plan may look at before what is left
  /// waits for the next look: some 20 ms of a whole core.
  std::uint64_t maxSteps = 4'000'000;
};

/// Decides which upstream of a pool holds which layers.
///
/// Each failure domain is planned by itself, since a chain that leaves it
/// fills the pipes. An empty domain is laid out, a large one as several small
/// ones side by side; an empty upstream gets the range that adds most; layers
/// that nobody holds are covered at once by whoever loses least by it. A domain
/// that has been steady is changed by one upstream at a time where that serves
/// more of the demand than it costs, until nothing does: so what losses have
/// taken is restored, and the balance between second holders and memory for
/// requests follows the demand.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlacementSettings aSettings)
      : settings(aSettings) {}

  /// Orders that bring the pool nearer to what serves best; what they cost is
  /// added to `aEffort`.
  std::vector<PlacementOrder> Plan(const ModelShape& aModel,
                                   const PlacementInput& aSituation,
                                   PlanCost* aEffort = nullptr) const;

 private:
  PlacementSettings settings;
};

}  // namespace zincstep
