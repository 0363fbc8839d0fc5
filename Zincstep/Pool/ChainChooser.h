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
  /// Cost of each hop, in milliseconds a token: 0.6 for the wait for the
  /// upstream's pass and the way between two VMs, the rest as each member more
  /// is one more whose loss or slowness the stream meets. Chains have 7.5
  /// members where they had 13, and two losses of a tenth of the upstreams
  /// interrupt 22 in 100 streams of eight seconds, not 34 (replay of 216
  /// upstreams and 295 daemons).
  double hopCost = 3;
  /// Cost of a layer whose holder has memory for one token left; the cost falls
  /// with each token more, and is drawn at random around that. The quickest
  /// holders are to be preferred while they have room for some twenty requests
  /// and passed by when they have none, as others choose them too on a view
  /// that lags. With 4,000, and 1.5 for a hop, 5 in 100 streams of a threefold
  /// burst were refused; with 60,000, and 0.6, chains have 13 members (same
  /// replay, one seed and three).
  double scarcityCost = 15'000;
  /// The same for streams that go on elsewhere. Those that a loss meets choose
  /// at one instant: with the costs above they crowded the next quickest
  /// members, and 63 of 264 paused for over 0.3 s where none had (one loss of
  /// nine upstreams, from the daemons' logs).
  double repairScarcityCost = 60'000;
  double repairHopCost = 0.6;
  /// The cost of a layer of a whole failure domain, by the memory of all its
  /// holders.
  double domainScarcityCost = 60'000;
  /// Cost of a chain that lies in another failure domain: that of an idle
  /// domain's scarcity once more, so that work leaves a domain that is more
  /// than half full for one that is idle.
  double awayCost = 40;
  /// Share by which a domain's cost is varied.
  double domainJitter = 0.1;
};

/// Chooses the chain of a request through a pool.
///
/// A shortest path over layer boundaries (`LayeredSearch`). An upstream's
/// cost is drawn from an exponential distribution with a mean that falls
/// with its free memory: of several holders each is the cheapest with a
/// probability in proportion to what it has free. So many daemons with the
/// same lagging view spread over the holders, where the cheapest alone
/// would be flooded between two reports. A chain lies inside
/// one failure domain, since a prompt's activations fill the pipe between
/// two of them; it need not be the domain of the caller.
class ChainChooser {
 public:
  explicit ChainChooser(ChainChooserSettings aSettings) : settings(aSettings) {}

  /// A chain for a request of `aTokens` tokens in and out, if there is one.
  std::optional<PoolChain> Choose(const ModelShape& aModel,
                                  const std::vector<UpstreamPtr>& aUpstreams,
                                  const std::string& aOwnDomain, double aTokens,
                                  Instant aNow, Random& aRandom);

  /// A chain that keeps the first hop of `aChain` and whatever else of it
  /// stays and is not among `aBlamed`; none where its domain cannot cover the
  /// rest. An upstream refuses a chain with a member that leaves, also where
  /// that runs the request already.
  std::optional<PoolChain> Repair(const ModelShape& aModel,
                                  const std::vector<UpstreamPtr>& aUpstreams,
                                  const PoolChain& aChain,
                                  const std::vector<UpstreamPtr>& aBlamed,
                                  double aTokens, Instant aNow,
                                  Random& aRandom);

  /// Tokens x layers that an upstream can hold for requests.
  static double Capacity(const ModelShape& aModel, const UpstreamEntry& aEntry);

 private:
  /// What a choice weighs beside the time of the steps; see the settings.
  struct Weights {
    double hopCost = 0;
    double scarcityCost = 0;
  };

  void Prepare(const ModelShape& aModel,
               const std::vector<UpstreamPtr>& aUpstreams, double aTokens,
               Instant aNow, Weights aWeights, Random& aRandom);
  /// The domains that hold all layers with room, the best one first.
  std::vector<std::string> RankDomains(
      const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
      const std::string& aOwnDomain, Random& aRandom) const;
  /// The cheapest chain inside `aDomain` of the prepared items.
  std::optional<PoolChain> FindIn(const std::vector<UpstreamPtr>& aUpstreams,
                                  const std::string& aDomain,
                                  LayerRange aRange);

  ChainChooserSettings settings;
  LayeredSearch search;
  /// One for each upstream, whatever its domain, and the tokens that it has
  /// room for beside the request.
  std::vector<SearchItem> items;
  std::vector<double> freeTokens;
  /// Those of one domain, and which upstream each one is.
  std::vector<SearchItem> domainItems;
  std::vector<std::size_t> domainUpstreams;
};

}  // namespace zincstep
