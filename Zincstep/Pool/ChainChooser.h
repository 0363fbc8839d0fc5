#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"
#include "Zincstep/Routing/Routing.h"

namespace zincstep {

/// One part of a chain: the upstream and the layers it runs.
struct PoolHop {
  UpstreamPtr upstream;
  LayerRange layers;
};

/// Upstreams that run every layer once and in order.
using PoolChain = std::vector<PoolHop>;

/// Settings of the choice of chains.
struct ChainChooserSettings {
  /// Share of an upstream's memory for requests that may be promised; the
  /// rest absorbs answers longer than guessed and work not heard of yet.
  double memoryLimit = 0.92;
  /// Cost of each hop, in milliseconds a token: a wait for the upstream's
  /// pass and the way between two VMs.
  double hopCost = 0.6;
  /// How much a full upstream costs more than an empty one.
  double loadFactor = 3;
  /// Share by which costs are varied, so that daemons with the same lagging
  /// view do not all choose the same chain.
  double jitter = 0.15;
  /// Cost of leaving a failure domain: more than any chain inside costs,
  /// since a prompt's activations fill the pipe between two of them.
  double crossCost = 1000;
};

/// Chooses the chain of a request through a pool.
///
/// A shortest path over layer boundaries (`LayeredSearch`), with costs that
/// rise with the memory promised to requests in flight.
class ChainChooser {
 public:
  explicit ChainChooser(ChainChooserSettings aSettings)
      : settings(aSettings) {}

  /// A chain for a request of `aTokens` tokens in and out, if there is one.
  std::optional<PoolChain> Choose(const ModelShape& aModel,
                                  const std::vector<UpstreamPtr>& aUpstreams,
                                  const std::string& aOwnDomain,
                                  double aTokens, Instant aNow,
                                  Random& aRandom);

  /// A chain that keeps the first hop of `aChain` and whatever else of it
  /// is still usable; none where the rest cannot be covered.
  std::optional<PoolChain> Repair(const ModelShape& aModel,
                                  const std::vector<UpstreamPtr>& aUpstreams,
                                  const PoolChain& aChain, double aTokens,
                                  Instant aNow, Random& aRandom);

  /// Tokens x layers that an upstream can hold for requests.
  static double Capacity(const ModelShape& aModel,
                         const UpstreamEntry& aEntry);

 private:
  int DomainOf(const std::string& aName);
  void Prepare(const ModelShape& aModel,
               const std::vector<UpstreamPtr>& aUpstreams, double aTokens,
               Instant aNow, Random& aRandom);
  void SetLinkCosts();
  std::optional<PoolChain> Find(const std::vector<UpstreamPtr>& aUpstreams,
                                LayerRange aRange, int aFrom);

  ChainChooserSettings settings;
  LayeredSearch search;
  std::vector<SearchItem> items;
  std::vector<std::string> domains;
};

}  // namespace zincstep
