#pragma once

#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

/// An upstream as placement sees it.
struct PlacedUpstream {
  std::string id;
  std::string failureDomain;
  std::string kind;
  /// What it holds, or will hold once a running order is done.
  LayerRange layers;
  /// Whether it gets orders: ready, answering, no order under way.
  bool takesOrders = true;
};

/// An order: the upstream is to hold these layers instead of its own.
struct PlacementOrder {
  std::string id;
  LayerRange layers;
};

/// Settings of placement.
struct PlacementSettings {
  /// Tokens of requests that each upstream keeps memory for, in every
  /// layer it holds: a failure domain's usual peak (docs/design/platform.md).
  double tokensKept = 55'000;
  /// The same where a failure domain is short of upstreams.
  double fewestTokensKept = 20'000;
};

/// Decides which upstream of a pool holds which layers.
///
/// Each failure domain is planned by itself, since a chain that leaves it
/// fills the pipes. Layers are laid out from the first on, by the largest
/// upstreams first, and again from the first layer with those that remain:
/// so what a large upstream holds, whose loss would take longest to load
/// again, is the first to get a second holder. After that the plan changes
/// only where layers have lost their last holder, or an upstream is empty.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlacementSettings aSettings)
      : settings(aSettings) {}

  /// Orders that bring the pool nearer to a cover of all layers.
  std::vector<PlacementOrder> Plan(
      const ModelShape& aModel,
      const std::vector<PlacedUpstream>& aUpstreams) const;

  /// Layers that an upstream of that kind holds beside `aTokens` tokens.
  static int LayersBeside(const ModelShape& aModel, const PoolKind& aKind,
                          double aTokens);

 private:
  PlacementSettings settings;
};

}  // namespace zincstep
