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
  /// Cost of a chain that lies in another failure domain, in milliseconds a
  /// token: only tokens travel then, and a chain in the own domain that has
  /// more room is worth as much.
  double awayCost = 3;
};

/// Chooses the chain of a request through a pool.
///
/// A shortest path over layer boundaries (`LayeredSearch`), with costs that
/// rise with the memory promised to requests in flight. A chain lies inside
/// one failure domain, since a prompt's activations fill the pipe between
/// two of them; it need not be the domain of the caller.
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
  /// is still usable; none where its domain cannot cover the rest.
  std::optional<PoolChain> Repair(const ModelShape& aModel,
                                  const std::vector<UpstreamPtr>& aUpstreams,
                                  const PoolChain& aChain, double aTokens,
                                  Instant aNow, Random& aRandom);

  /// Tokens x layers that an upstream can hold for requests.
  static double Capacity(const ModelShape& aModel,
                         const UpstreamEntry& aEntry);

 private:
  void Prepare(const ModelShape& aModel,
               const std::vector<UpstreamPtr>& aUpstreams, double aTokens,
               Instant aNow, Random& aRandom);
  /// The cheapest chain inside `aDomain` of the prepared items.
  std::optional<PoolChain> FindIn(const std::vector<UpstreamPtr>& aUpstreams,
                                  const std::string& aDomain,
                                  LayerRange aRange);

  ChainChooserSettings settings;
  LayeredSearch search;
  /// One for each upstream, whatever its domain.
  std::vector<SearchItem> items;
  /// Those of one domain, and which upstream each one is.
  std::vector<SearchItem> domainItems;
  std::vector<std::size_t> domainUpstreams;
};

}  // namespace zincstep
