#pragma once

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Pool/DomainChoice.h"
#include "Zincstep/Pool/LiveUpstream.h"
#include "Zincstep/Routing/Routing.h"

namespace zincstep {

/// One stage of a chain: an upstream and the layers it runs.
struct PoolHop {
  UpstreamPtr upstream;
  LayerRange layers;
};

/// Upstreams that together run every layer once and in order.
using PoolChain = std::vector<PoolHop>;

/// Settings of the chain selection.
struct ChainChooserSettings {
  /// Share of an upstream's request memory that may be allocated; the rest
  /// absorbs answers longer than estimated and work of other daemons that was
  /// not reported yet.
  double memoryLimit = 0.92;
  /// Cost of each hop, in milliseconds per token: 0.6 for the wait for the
  /// upstream's pass and the network hop between two VMs; the remainder because
  /// the loss or slowness of each additional member affects the stream. At this
  /// value chains have 7.5 members instead of 13, and two losses of a tenth of
  /// the upstreams interrupt 22 instead of 34 in 100 streams of eight seconds
  /// (replay of 216 upstreams and 295 daemons).
  double hopCost = 3;
  /// Cost of a layer whose upstream has memory for one token left. The cost is
  /// inversely proportional to the free tokens and drawn at random around that
  /// mean. The fastest upstreams should be preferred while they have room for
  /// about twenty requests and avoided when they have none, because other
  /// daemons select them too, on a delayed view. At 4,000 (with 1.5 per hop) 5
  /// in 100 streams of a threefold burst were refused; at 60,000 (with 0.6)
  /// chains have 13 members (same replay, one seed and three).
  double scarcityCost = 15'000;
  /// The same for streams that are repaired. All streams that a loss affects
  /// choose at the same instant: with the costs above they crowded onto the
  /// next fastest members, and 63 of 264 paused for over 0.3 s where none had
  /// (one loss of nine upstreams, from the daemons' logs).
  double repairScarcityCost = 60'000;
  double repairHopCost = 0.6;
  /// Cost of each new member of a chain that is repaired by `RepairCost`
  /// `ReadTime`, in milliseconds: the wait for the pass that runs there.
  double repairReadHopCost = 5;
  /// Whether first stages are chosen by their requests and slots.
  FeatureMode firstStageBalance = FeatureMode::Off;
  /// Share of a first stage's slots above which it is not chosen while another
  /// of its domain is below: the rest absorbs requests that other daemons send
  /// before their reports arrive.
  double slotLimit = 0.9;
  /// Range above the least filled first stage within which the others are
  /// chosen too when all are above the limit, as a share of the slots: with one
  /// alone, all daemons would send to it until their reports arrive.
  double slotTolerance = 0.05;
  /// Cost of a first stage per unit by which the ratio of its filled share of
  /// slots to the mean of its domain exceeds `balancedRatio`. With these, the
  /// busiest first stage carries 1.5 instead of 3 times the mean (replay of 99
  /// upstreams and 87 daemons).
  double imbalanceCost = 100;
  /// Upper bound of that cost, so that no stream moves to a first stage that is
  /// far slower.
  double maxImbalanceCost = 5;
  double balancedRatio = 1.4;
  /// Lower bound of that mean: first stages with few requests are not balanced.
  double minBalancedShare = 0.1;
  DomainChoiceSettings domains;
};

/// What the new members of a repaired chain are chosen by.
enum class RepairCost {
  /// Free memory and the time of decode steps.
  FreeMemory,
  /// Expected time until they have read the stream's tokens.
  ReadTime,
};

/// Where the new members of a repaired chain may be.
enum class RepairScope {
  /// In the failure domain of the chain's first member.
  FirstDomain,
  AllDomains,
};

/// Selects the chain of upstreams for a request.
///
/// A shortest path over layer boundaries (`LayeredSearch`). An upstream's cost
/// is drawn from an exponential distribution whose mean falls with its free
/// memory: of several upstreams with the same layers, each is the cheapest with
/// a probability proportional to its free memory. Many daemons with the same
/// delayed view thus spread over the upstreams, where the cheapest one alone
/// would be overloaded between two reports. A chain stays inside one failure
/// domain, since the activations of a prompt saturate the link between two of
/// them; it need not be the domain of the caller. Only a repair may cross
/// domains, with `RepairScope::AllDomains`.
class ChainChooser {
 public:
  explicit ChainChooser(ChainChooserSettings aSettings)
      : settings(aSettings), domainChoice(aSettings.domains) {}

  /// Returns a chain for a request of `aTokens` tokens, prompt and answer
  /// together, or none.
  std::optional<PoolChain> Choose(const ModelShape& aModel,
                                  const std::vector<UpstreamPtr>& aUpstreams,
                                  const std::string& aOwnDomain, double aTokens,
                                  Instant aNow, Random& aRandom,
                                  const RequestTiming& aTiming = {});

  /// Sets whether all reported work is of this domain's daemons, so that it is
  /// the work of this domain's callers. In a small cluster all daemons report
  /// to each other.
  void SetKnowsOwnCallers(bool aKnows) { this->knowsOwnCallers = aKnows; }
  /// Why the last chain that `Choose` returned is in its domain.
  DomainReason LastReason() const { return this->lastReason; }

  /// Returns a chain that keeps the first hop of `aChain` and all other members
  /// that remain and are not among `aAtFault`; none if the upstreams in
  /// `aScope` cannot cover the remaining layers. A member that is leaving is
  /// replaced even if it runs the request already, since upstreams reject a
  /// chain that names it.
  std::optional<PoolChain> Repair(
      const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
      const PoolChain& aChain, const std::vector<UpstreamPtr>& aAtFault,
      double aTokens, Instant aNow, Random& aRandom,
      RepairCost aCost = RepairCost::FreeMemory,
      RepairScope aScope = RepairScope::FirstDomain);

  /// Returns a chain inside `aDomain` whose members are drawn by the expected
  /// time until they have read `aTokens` tokens; for streams that run anew
  /// after a loss, all at the same instant.
  std::optional<PoolChain> ChooseByReadTime(
      const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
      const std::string& aDomain, double aTokens, Instant aNow,
      Random& aRandom);

  /// Memory of an upstream for requests, in tokens x layers.
  static double Capacity(const ModelShape& aModel, const UpstreamEntry& aEntry);
  /// Tokens x layers per second that an upstream reads while it also decodes; 0
  /// if its kind or the model's rate is unknown.
  static double ReadRate(const ModelShape& aModel, const UpstreamEntry& aEntry);

 private:
  /// Costs in addition to the step time; see the settings.
  struct Weights {
    double hopCost = 0;
    double scarcityCost = 0;
  };

  void Prepare(const ModelShape& aModel,
               const std::vector<UpstreamPtr>& aUpstreams, double aTokens,
               Instant aNow, Weights aWeights, Random& aRandom);
  /// Sets the costs of using upstreams as first stage by their requests and
  /// slots.
  void BalanceFirstStages(const ModelShape& aModel,
                          const std::vector<UpstreamPtr>& aUpstreams,
                          double aResponseSeconds, Instant aNow,
                          Random& aRandom);
  /// Sets the cost of a new member of an interrupted stream to the time that it
  /// takes to read `aTokens` tokens.
  void SetReadCost(SearchItem& aItem, double aFreeTokens,
                   const ModelShape& aModel, const LiveUpstream& aUpstream,
                   double aTokens, Instant aNow, Random& aRandom) const;
  /// Domains that hold all layers and have free memory for each, by ascending
  /// cost.
  std::vector<RankedDomain> RankDomains(
      const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
      const std::string& aOwnDomain, const RequestTiming& aTiming, Instant aNow,
      Random& aRandom) const;
  /// Adds the load of the own domain's callers and its capacity to its state.
  void AddCallers(const ModelShape& aModel,
                  const std::vector<UpstreamPtr>& aUpstreams,
                  std::vector<DomainState>& aDomains) const;
  /// Returns the cheapest chain inside `aDomain` from the prepared items, or
  /// none; null: through all domains.
  std::optional<PoolChain> FindChain(const std::vector<UpstreamPtr>& aUpstreams,
                                     const std::string* aDomain,
                                     LayerRange aRange);

  ChainChooserSettings settings;
  DomainChoice domainChoice;
  bool knowsOwnCallers = false;
  DomainReason lastReason = DomainReason::Own;
  LayeredSearch search;
  /// One item per upstream of all domains, and the tokens that fit in addition
  /// to the request.
  std::vector<SearchItem> items;
  std::vector<double> freeTokens;
  /// Items of one domain, and the upstream index of each.
  std::vector<SearchItem> domainItems;
  std::vector<std::size_t> domainUpstreams;

  /// First stages of one domain.
  struct StageSum {
    double requests = 0;
    /// Slots, each divided by its upstream's slowdown.
    double slots = 0;
    /// Least filled share of slots.
    double leastShare = std::numeric_limits<double>::infinity();
  };
  /// Reused by `BalanceFirstStages`; a domain's name is the key.
  std::map<std::string, StageSum, std::less<>> stageSums;
  /// A usable first stage.
  struct Stage {
    std::size_t item = 0;
    const StageSum* sum = nullptr;
    /// Expected requests over slots.
    double share = 0;
    double slowdown = 1;
  };
  std::vector<Stage> stages;
};

}  // namespace zincstep
