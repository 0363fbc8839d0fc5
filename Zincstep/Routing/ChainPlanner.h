#pragma once

#include <cstdint>
#include <vector>

#include "Zincstep/Routing/Chain.h"
#include "Zincstep/Routing/FlowPlan.h"
#include "Zincstep/Routing/LayeredSearch.h"
#include "Zincstep/Routing/LoadTable.h"
#include "Zincstep/Routing/PrefixTable.h"

namespace zincstep {

/// What is known of a request when its chain is chosen.
struct ChainChoiceInput {
  int promptTokens = 0;
  /// Block hashes of the prompt, salted by the organisation.
  std::vector<std::uint64_t> prefixHashes;
  Instant now;
};

/// A chosen chain and what may be expected of it.
struct Choice {
  Chain chain;
  /// Leading tokens that the chain may hold in its caches.
  int cachedTokens = 0;
  /// Estimated seconds of one decode step over all hops and links.
  double stepSeconds = 0;
  /// Whether the chain's share of the plan had room for one more.
  bool isWithinWindow = false;
};

/// Settings of a chain planner.
struct ChainPlannerSettings {
  LoadTableSettings loads;
  std::size_t prefixCapacity = 1 << 16;
  /// How far over its window an upstream may be before paths avoid it.
  double windowSlack = 1.15;
  /// Tokens that an answer is expected to have, to weigh a warm cache.
  double expectedTokens = 200;
};

/// Chooses a chain for each request of one model version.
///
/// The flow plan gives each path a window of sequences, its share at full
/// flow. The quickest path with room in its window is taken: an idle fleet
/// answers at its quickest, a full one divides its work as the greatest
/// flow does, and no path takes what a slower but scarcer one needs.
/// Inside a group the upstream with the least estimated work is taken.
class ChainPlanner {
 public:
  ChainPlanner(Fleet aFleet, ChainPlannerSettings aSettings);

  const Fleet& GetFleet() const { return this->fleet; }
  LoadTable& Loads() { return this->loads; }
  const LoadTable& Loads() const { return this->loads; }
  const FlowPlan& Plan() const { return this->plan; }

  /// Usable share of each upstream's speed, the input of a flow plan.
  std::vector<double> UsableShares(Instant aNow) const;

  /// Puts a new plan in force.
  void SetPlan(FlowPlan aPlan);

  /// Chooses a chain; fails with `NoCapacity` where no chain is whole.
  Result<Choice> Choose(const ChainChoiceInput& aFacts, Random& aRandom);

  /// Replaces the failed hops of a chain and keeps the others.
  ///
  /// `aFailed` has one entry a hop. Where the failed layers cannot be
  /// covered alone, a wholly new chain is chosen. As a last resort also
  /// upstreams that failed or are suspected are taken.
  Result<Chain> Repair(const Chain& aChain, const std::vector<bool>& aFailed,
                       Instant aNow, bool aLastResort);

  /// A sequence starts on the chain.
  void OnStart(const Chain& aChain);
  /// The sequence has left the chain.
  void OnEnd(const Chain& aChain);
  /// The chain has run this prompt, so that its caches hold it.
  void RecordPrefix(const std::vector<std::uint64_t>& aHashes,
                    const Chain& aChain);

  /// Sequences that this daemon may have in flight by its share of the plan.
  double LocalWindow() const;
  /// Sequences that this daemon has in flight.
  int InFlight() const { return this->inFlight; }

 private:
  struct MemberPick {
    int replica = -1;
    /// Work over window, 1 when the member is full.
    double use = 0;
  };

  MemberPick PickMember(std::size_t aGroup, Instant aNow, Random& aRandom);
  double PathUse(const FlowPath& aPath, Instant aNow, Random& aRandom);
  double PathShare(std::size_t aPath) const;
  int ChoosePath(Instant aNow, Random& aRandom, bool& aWithinWindow);
  Chain ChainOf(int aPath) const;
  double StepSeconds(const Chain& aChain) const;
  double HopUse(int aReplica, Instant aNow) const;
  bool IsRunnable(const Chain& aChain, Instant aNow) const;
  double ExpectedSeconds(const Chain& aChain, int aTokensToPrefill,
                         Instant aNow) const;
  void PreferWarmChain(const ChainChoiceInput& aFacts, Choice& aChoice);
  Result<Choice> ChooseBySearch(Instant aNow);
  void SetSearchCosts(Instant aNow, bool aWithSuspects);
  bool CoverByReplicas(LayerRange aRange, int aFromDomain,
                       std::vector<ChainHop>& aHops);

  ChainPlannerSettings settings;
  Fleet fleet;
  LoadTable loads;
  PrefixTable prefixes;
  FlowPlan plan;
  int planNumber = 0;
  std::vector<int> pathInFlight;
  std::vector<int> groupOfReplica;
  std::vector<MemberPick> picks;
  std::vector<SearchItem> searchItems;
  LayeredSearch search;
  int inFlight = 0;
};

}  // namespace zincstep
