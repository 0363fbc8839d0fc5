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
  /// Requests in flight there, in tokens x layers: it gives its layers up
  /// only once they have ended.
  double work = 0;
};

/// An order: the upstream is to hold these layers instead of its own.
struct PlacementOrder {
  std::string id;
  LayerRange layers;
};

/// Whether nearly every layer has a second holder, by the holders of each.
bool IsDoubled(const std::vector<int>& aHolders);

/// Settings of placement.
struct PlacementSettings {
  /// Tokens of requests that the holders of each layer have memory for
  /// together: a failure domain's usual peak, and half of that again for
  /// when another domain's callers come (docs/design/platform.md).
  double tokensKept = 85'000;
  /// The least that one holder keeps where a domain is short of upstreams.
  double fewestTokensKept = 20'000;
  /// Worth of a second holder of a layer, as a share of `tokensKept`.
  double secondHolderShare = 0.6;
};

/// Decides which upstream of a pool holds which layers.
///
/// Each failure domain is planned by itself, since a chain that leaves it
/// fills the pipes. Memory that layers leave free holds requests, and the
/// layer with the least of it bounds the domain; so layers with one holder
/// leave it more memory than those with two, who share the requests. An
/// empty domain is laid out with as many layers doubled as that allows,
/// the largest upstreams' first: their loss would take longest to load
/// again. A domain with memory for more than two copies of the model leaves
/// the rest to requests: a third holder would take it from them. Later the plan
/// changes only where layers have lost their last holder, or an upstream is
/// empty.
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
