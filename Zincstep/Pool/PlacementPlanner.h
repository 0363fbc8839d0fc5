#pragma once

#include <vector>

#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/Placement.h"

namespace zincstep {

/// Settings of the placement planner.
struct PlacementSettings {
  LayoutScoreSettings layoutScore;
  /// Assumed demand of a failure domain before any traffic, as a share of the
  /// requests for which one copy of the model leaves memory. The pools of the
  /// first two users and of the third have 0.28 to 0.38 at their usual peak
  /// (tokens in flight by Little's law, docs/results/decisions.md).
  double priorShare = 0.33;
  /// Time in which a change has to pay off, in seconds: pools change about this
  /// often on days with trouble.
  double paybackSeconds = 30;
  /// Cost of a running request that a change interrupts, in seconds of its
  /// traffic: it resumes late on other upstreams, and a response that has one
  /// late gap is late as a whole. Responses take two to three seconds.
  double interruptedSeconds = 2;
  /// Minimum gain of a change, as a share of the demand; smaller gains are
  /// within the variation of the demand estimate.
  double minGain = 0.01;
  /// Maximum cost of one domain's plan, as `PlanCost::steps`, before the
  /// remainder is left to the next pass: about 20 ms of one core.
  std::uint64_t maxSteps = 4'000'000;
};

/// Assigns the layers of a model to the upstreams of a pool.
///
/// Each failure domain is planned separately, since chains across domains
/// saturate the links between them. An empty domain gets an initial layout, a
/// large one as several small ones side by side; an empty upstream gets the
/// range with the best score; layers without a holder are covered at once by
/// the upstream with the least loss. A stable domain is changed one upstream at
/// a time while a change serves more of the demand than it costs. This restores
/// what losses have removed, and adapts the balance between additional holders
/// and memory for requests to the demand.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlacementSettings aSettings)
      : settings(aSettings) {}

  /// Returns orders that improve the pool; adds their planning cost to `aCost`
  /// unless null.
  std::vector<PlacementOrder> Plan(const ModelShape& aModel,
                                   const PlacementInput& aInput,
                                   PlanCost* aCost = nullptr) const;

 private:
  PlacementSettings settings;
};

}  // namespace zincstep
