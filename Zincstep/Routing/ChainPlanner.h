#pragma once

#include <cstdint>
#include <vector>

#include "Zincstep/Routing/Chain.h"
#include "Zincstep/Routing/FlowPlan.h"
#include "Zincstep/Routing/LayeredSearch.h"
#include "Zincstep/Routing/LoadTable.h"
#include "Zincstep/Routing/PrefixTable.h"

namespace zincstep {

/// Properties of a request by which its chain is chosen.
struct ChainChoiceInput {
  int promptTokens = 0;
  /// Block hashes of the prompt, salted by the organisation.
  std::vector<std::uint64_t> prefixHashes;
  Instant now;
};

/// A chosen chain and its expected performance.
struct Choice {
  Chain chain;
  /// Leading prompt tokens that the chain's KV caches may hold.
  int cachedTokens = 0;
  /// Estimated time of one decode step over all hops and links, in seconds.
  double stepSeconds = 0;
  /// Whether the window of the path or chain had room for this sequence.
  bool isWithinWindow = false;
};

/// Settings of a chain planner.
struct ChainPlannerSettings {
  LoadTableSettings loads;
  std::size_t prefixCapacity = 1 << 16;
  /// Work over window up to which paths use an upstream.
  double windowSlack = 1.15;
  /// Expected tokens of an answer; weighs cached prompts against decode time.
  double expectedTokens = 200;
};

/// Chooses a chain for each request of one model version.
///
/// The flow plan assigns each path a window: the sequences in flight at maximum
/// flow. Requests get the fastest path with room in its window. So an idle
/// fleet has minimum latency, a full one divides its work like the maximum
/// flow, and no path uses up capacity that a slower path depends on. Within a
/// group, the upstream with the least estimated work is chosen.
class ChainPlanner {
 public:
  ChainPlanner(Fleet aFleet, ChainPlannerSettings aSettings);

  const Fleet& GetFleet() const { return this->fleet; }
  LoadTable& Loads() { return this->loads; }
  const LoadTable& Loads() const { return this->loads; }
  const FlowPlan& Plan() const { return this->plan; }

  /// Usable share of each upstream's speed, from 0 to 1; input of
  /// `ComputeFlowPlan`.
  std::vector<double> UsableShares(Instant aNow) const;

  /// Replaces the plan. Sequences in flight stop counting for its paths.
  void SetPlan(FlowPlan aPlan);

  /// Chooses a chain; fails with `NoCapacity` if none covers all layers.
  Result<Choice> Choose(const ChainChoiceInput& aInput, Random& aRandom);

  /// Replaces the failed hops of a chain and keeps the others.
  ///
  /// `aFailed` has one entry per hop. If the failed layers alone can't be
  /// covered, chooses an entirely new chain. With `aLastResort`, failed and
  /// suspect upstreams are used, too. Fails with `NoCapacity`.
  Result<Chain> Repair(const Chain& aChain, const std::vector<bool>& aFailed,
                       Instant aNow, bool aLastResort);

  /// Records that a sequence starts on the chain.
  void OnStart(const Chain& aChain);
  /// Records that a sequence on the chain has ended.
  void OnEnd(const Chain& aChain);
  /// Records that the chain's KV caches hold the prompt with these block
  /// hashes.
  void RecordPrefix(const std::vector<std::uint64_t>& aHashes,
                    const Chain& aChain);

  /// This daemon's share of the plan's window, in sequences.
  double LocalWindow() const;
  /// Sequences of this daemon in flight.
  int InFlight() const { return this->inFlight; }

 private:
  struct MemberPick {
    int replica = -1;
    /// Work over window; 1 if the member is full.
    double use = 0;
  };

  MemberPick PickMember(std::size_t aGroup, Instant aNow, Random& aRandom);
  double ComputePathUse(const FlowPath& aPath, Instant aNow, Random& aRandom);
  double PathShare(std::size_t aPath) const;
  int ChoosePath(Instant aNow, Random& aRandom, bool& aWithinWindow);
  Chain BuildChain(int aPath) const;
  double ComputeStepSeconds(const Chain& aChain) const;
  double ComputeHopUse(int aReplica, Instant aNow) const;
  bool IsRunnable(const Chain& aChain, Instant aNow) const;
  double ExpectedSeconds(const Chain& aChain, int aTokensToPrefill,
                         Instant aNow) const;
  void PreferWarmChain(const ChainChoiceInput& aInput, Choice& aChoice);
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
