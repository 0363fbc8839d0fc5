#include "Zincstep/Routing/ChainPlanner.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Maximum work over window at which a chain with a cached prompt is preferred.
constexpr double kMaxWarmUse = 1.5;

/// Merges the hops that use the same upstream, with all hops between them.
///
/// An engine keeps only one layer range per sequence. The upstream can also run
/// the layers in between, as it holds a contiguous range.
void MergeRepeatedReplicas(std::vector<ChainHop>& aHops) {
  for (std::size_t i = 0; i < aHops.size(); ++i) {
    for (std::size_t j = aHops.size() - 1; j > i; --j) {
      if (aHops[j].replica == aHops[i].replica) {
        aHops[i].layers.last = aHops[j].layers.last;
        const auto from = aHops.begin() + static_cast<std::ptrdiff_t>(i);
        aHops.erase(from + 1, from + 1 + static_cast<std::ptrdiff_t>(j - i));
        break;
      }
    }
  }
}

}  // namespace

ChainPlanner::ChainPlanner(Fleet aFleet, ChainPlannerSettings aSettings)
    : settings(aSettings),
      fleet(std::move(aFleet)),
      loads(this->fleet.replicas.size(), aSettings.loads),
      prefixes(aSettings.prefixCapacity),
      groupOfReplica(this->fleet.replicas.size(), -1) {
  for (const FleetReplica& replica : this->fleet.replicas) {
    SearchItem item;
    item.layers = replica.layers;
    item.domain = replica.domain;
    this->searchItems.push_back(item);
  }
  this->search.Reset(this->searchItems, this->fleet.domains);
  std::vector<double>& costs = this->search.LinkCosts();
  for (std::size_t i = 0; i < costs.size(); ++i) {
    costs[i] = this->fleet.links[i].oneWaySeconds;
  }
}

std::vector<double> ChainPlanner::UsableShares(Instant aNow) const {
  std::vector<double> usableShares;
  usableShares.reserve(this->fleet.replicas.size());
  for (std::size_t i = 0; i < this->fleet.replicas.size(); ++i) {
    usableShares.push_back(this->loads.UsableShare(static_cast<int>(i), aNow));
  }
  return usableShares;
}

void ChainPlanner::SetPlan(FlowPlan aPlan) {
  this->plan = std::move(aPlan);
  this->planNumber += 1;
  this->pathInFlight.assign(this->plan.paths.size(), 0);
  this->picks.assign(this->plan.groups.size(), {});
  for (std::size_t group = 0; group < this->plan.groups.size(); ++group) {
    for (const int member : this->plan.groups[group].members) {
      this->groupOfReplica[static_cast<std::size_t>(member)] =
          static_cast<int>(group);
    }
  }
}

double ChainPlanner::ComputeHopUse(int aReplica, Instant aNow) const {
  const int group = this->groupOfReplica[static_cast<std::size_t>(aReplica)];
  const double window =
      group < 0
          ? 0
          : this->plan.groups[static_cast<std::size_t>(group)].memberWindow;
  const double usableShare = this->loads.UsableShare(aReplica, aNow);
  const double slots =
      this->fleet.replicas[static_cast<std::size_t>(aReplica)].slots;
  const double capacity = (window > 0 ? window : slots) * usableShare;
  return (this->loads.Estimate(aReplica, aNow) + 1) / std::max(capacity, 1e-9);
}

ChainPlanner::MemberPick ChainPlanner::PickMember(std::size_t aGroup,
                                                  Instant aNow,
                                                  Random& aRandom) {
  const FlowGroup& group = this->plan.groups[aGroup];
  MemberPick best;
  double minShare = HUGE_VAL;
  const std::size_t count = group.members.size();
  // A random start avoids equal choices by daemons with the same data.
  const std::size_t offset = aRandom.Below(count);
  for (std::size_t i = 0; i < count; ++i) {
    const int member = group.members[(offset + i) % count];
    if (!this->loads.IsUsable(member, aNow)) {
      continue;
    }
    const double share = (this->loads.DampedShare(member, aNow) + 1) /
                         this->loads.UsableShare(member, aNow);
    if (best.replica < 0 || share < minShare) {
      best.replica = member;
      minShare = share;
    }
  }
  if (best.replica >= 0) {
    best.use = this->ComputeHopUse(best.replica, aNow);
  }
  return best;
}

double ChainPlanner::ComputePathUse(const FlowPath& aPath, Instant aNow,
                                    Random& aRandom) {
  double use = 0;
  for (const FlowHop& hop : aPath.hops) {
    const auto group = static_cast<std::size_t>(hop.group);
    MemberPick& pick = this->picks[group];
    if (pick.replica == -1) {
      pick = this->PickMember(group, aNow, aRandom);
      if (pick.replica < 0) {
        pick = {-2, HUGE_VAL};
      }
    }
    use = std::max(use, pick.use);
  }
  return use;
}

double ChainPlanner::PathShare(std::size_t aPath) const {
  const double share =
      this->plan.paths[aPath].window / std::max(1, this->loads.Daemons());
  return std::max(share, 1e-9);
}

int ChainPlanner::ChoosePath(Instant aNow, Random& aRandom,
                             bool& aWithinWindow) {
  std::fill(this->picks.begin(), this->picks.end(), MemberPick{});
  int best = -1;
  double bestKey = HUGE_VAL;
  for (std::size_t i = 0; i < this->plan.paths.size(); ++i) {
    const double use = this->ComputePathUse(this->plan.paths[i], aNow, aRandom);
    if (use == HUGE_VAL) {
      continue;
    }
    const double share = this->PathShare(i);
    const int inFlightHere = this->pathInFlight[i];
    const bool hasRoom = inFlightHere + 1 <= std::max(1.0, share) &&
                         use <= this->settings.windowSlack;
    if (hasRoom) {
      aWithinWindow = true;
      return static_cast<int>(i);
    }
    const double key = (inFlightHere + 1) / share;
    if (key < bestKey) {
      bestKey = key;
      best = static_cast<int>(i);
    }
  }
  aWithinWindow = false;
  return best;
}

Chain ChainPlanner::BuildChain(int aPath) const {
  Chain chain;
  chain.path = aPath;
  chain.plan = this->planNumber;
  const FlowPath& path = this->plan.paths[static_cast<std::size_t>(aPath)];
  for (const FlowHop& hop : path.hops) {
    const MemberPick& pick = this->picks[static_cast<std::size_t>(hop.group)];
    chain.hops.push_back({pick.replica, hop.layers});
  }
  MergeRepeatedReplicas(chain.hops);
  return chain;
}

double ChainPlanner::ComputeStepSeconds(const Chain& aChain) const {
  double seconds = 0;
  int domain = -1;
  for (const ChainHop& hop : aChain.hops) {
    const FleetReplica& replica =
        this->fleet.replicas[static_cast<std::size_t>(hop.replica)];
    const double ratio = std::max(1.0, this->loads.StepRatio(hop.replica));
    seconds += replica.layerSeconds * hop.layers.Size() * ratio;
    if (domain >= 0) {
      seconds += this->fleet.LinkBetween(domain, replica.domain).oneWaySeconds;
    }
    domain = replica.domain;
  }
  return seconds;
}

bool ChainPlanner::IsRunnable(const Chain& aChain, Instant aNow) const {
  return aChain.Covers(this->fleet.layers) &&
         std::all_of(aChain.hops.begin(), aChain.hops.end(),
                     [&](const ChainHop& aHop) {
                       return this->loads.IsUsable(aHop.replica, aNow) &&
                              !this->loads.IsTrial(aHop.replica);
                     });
}

double ChainPlanner::ExpectedSeconds(const Chain& aChain, int aTokensToPrefill,
                                     Instant aNow) const {
  double prefill = 0;
  double use = 1;
  for (const ChainHop& hop : aChain.hops) {
    const FleetReplica& replica =
        this->fleet.replicas[static_cast<std::size_t>(hop.replica)];
    prefill += replica.prefillLayerSeconds * hop.layers.Size();
    use = std::max(use, this->ComputeHopUse(hop.replica, aNow));
  }
  return prefill * aTokensToPrefill +
         this->settings.expectedTokens * this->ComputeStepSeconds(aChain) * use;
}

void ChainPlanner::PreferWarmChain(const ChainChoiceInput& aInput,
                                   Choice& aChoice) {
  int matched = 0;
  const Chain* warm = this->prefixes.Find(aInput.prefixHashes, matched);
  if (warm == nullptr || !this->IsRunnable(*warm, aInput.now)) {
    return;
  }
  double use = 0;
  for (const ChainHop& hop : warm->hops) {
    use = std::max(use, this->ComputeHopUse(hop.replica, aInput.now));
  }
  const double warmSeconds =
      this->ExpectedSeconds(*warm, aInput.promptTokens - matched, aInput.now);
  const double coldSeconds =
      this->ExpectedSeconds(aChoice.chain, aInput.promptTokens, aInput.now);
  if (use <= kMaxWarmUse && warmSeconds < coldSeconds) {
    aChoice.chain = *warm;
    aChoice.chain.path = -1;
    aChoice.cachedTokens = matched;
    aChoice.isWithinWindow = aChoice.isWithinWindow || use <= 1;
  }
}

void ChainPlanner::SetSearchCosts(Instant aNow, bool aWithSuspects) {
  for (std::size_t i = 0; i < this->searchItems.size(); ++i) {
    const int replica = static_cast<int>(i);
    SearchItem& item = this->searchItems[i];
    item.usable = aWithSuspects ? this->loads.CanRun(replica)
                                : this->loads.IsUsable(replica, aNow) &&
                                      !this->loads.IsTrial(replica);
    if (item.usable) {
      const double use = std::max(1.0, this->ComputeHopUse(replica, aNow));
      const double ratio = std::max(1.0, this->loads.StepRatio(replica));
      item.layerCost = this->fleet.replicas[i].layerSeconds * ratio * use;
    }
  }
}

bool ChainPlanner::CoverByReplicas(LayerRange aRange, int aFromDomain,
                                   std::vector<ChainHop>& aHops) {
  if (!this->search.Find(this->searchItems, aRange, aFromDomain)) {
    return false;
  }
  for (const SearchHop& hop : this->search.Hops()) {
    aHops.push_back({hop.item, hop.layers});
  }
  return true;
}

Result<Choice> ChainPlanner::ChooseBySearch(Instant aNow) {
  this->SetSearchCosts(aNow, false);
  Choice choice;
  const LayerRange all{0, this->fleet.layers};
  if (!this->CoverByReplicas(all, -1, choice.chain.hops)) {
    return Fail(ErrorKind::NoCapacity,
                "no upstreams cover all layers of " + this->fleet.model);
  }
  MergeRepeatedReplicas(choice.chain.hops);
  choice.stepSeconds = this->ComputeStepSeconds(choice.chain);
  choice.isWithinWindow = true;
  for (const ChainHop& hop : choice.chain.hops) {
    choice.isWithinWindow =
        choice.isWithinWindow && this->ComputeHopUse(hop.replica, aNow) <= 1;
  }
  return choice;
}

Result<Choice> ChainPlanner::Choose(const ChainChoiceInput& aInput,
                                    Random& aRandom) {
  bool isWithinWindow = false;
  const int path = this->ChoosePath(aInput.now, aRandom, isWithinWindow);
  if (path < 0) {
    return this->ChooseBySearch(aInput.now);
  }
  Choice choice;
  choice.chain = this->BuildChain(path);
  choice.isWithinWindow = isWithinWindow;
  if (!aInput.prefixHashes.empty()) {
    this->PreferWarmChain(aInput, choice);
  }
  choice.stepSeconds = this->ComputeStepSeconds(choice.chain);
  ZINCSTEP_ASSERT(choice.chain.Covers(this->fleet.layers));
  return choice;
}

Result<Chain> ChainPlanner::Repair(const Chain& aChain,
                                   const std::vector<bool>& aFailed,
                                   Instant aNow, bool aLastResort) {
  ZINCSTEP_ASSERT(aFailed.size() == aChain.hops.size());
  this->SetSearchCosts(aNow, aLastResort);
  for (std::size_t i = 0; i < aFailed.size(); ++i) {
    if (aFailed[i] && !aLastResort) {
      const auto failed = static_cast<std::size_t>(aChain.hops[i].replica);
      this->searchItems[failed].usable = false;
    }
  }
  Chain repaired;
  int domain = -1;
  bool isCovered = true;
  for (std::size_t i = 0; i < aFailed.size() && isCovered; ++i) {
    if (!aFailed[i]) {
      repaired.hops.push_back(aChain.hops[i]);
    } else {
      LayerRange range = aChain.hops[i].layers;
      while (i + 1 < aFailed.size() && aFailed[i + 1]) {
        range.last = aChain.hops[++i].layers.last;
      }
      isCovered = this->CoverByReplicas(range, domain, repaired.hops);
    }
    if (isCovered) {
      const auto last = static_cast<std::size_t>(repaired.hops.back().replica);
      domain = this->fleet.replicas[last].domain;
    }
  }
  if (isCovered) {
    MergeRepeatedReplicas(repaired.hops);
    ZINCSTEP_ASSERT(repaired.Covers(this->fleet.layers));
    return repaired;
  }
  const LayerRange all{0, this->fleet.layers};
  repaired.hops.clear();
  if (!this->CoverByReplicas(all, -1, repaired.hops)) {
    return Fail(ErrorKind::NoCapacity, "no upstreams cover the lost layers");
  }
  MergeRepeatedReplicas(repaired.hops);
  return repaired;
}

void ChainPlanner::OnStart(const Chain& aChain) {
  for (const ChainHop& hop : aChain.hops) {
    this->loads.OnStart(hop.replica);
  }
  if (aChain.path >= 0 && aChain.plan == this->planNumber) {
    this->pathInFlight[static_cast<std::size_t>(aChain.path)] += 1;
  }
  this->inFlight += 1;
}

void ChainPlanner::OnEnd(const Chain& aChain) {
  for (const ChainHop& hop : aChain.hops) {
    this->loads.OnEnd(hop.replica);
  }
  if (aChain.path >= 0 && aChain.plan == this->planNumber) {
    this->pathInFlight[static_cast<std::size_t>(aChain.path)] -= 1;
  }
  this->inFlight -= 1;
  ZINCSTEP_ASSERT(this->inFlight >= 0);
}

void ChainPlanner::RecordPrefix(const std::vector<std::uint64_t>& aHashes,
                                const Chain& aChain) {
  this->prefixes.RecordPrefix(aHashes, aChain);
}

double ChainPlanner::LocalWindow() const {
  double window = 0;
  for (const FlowPath& path : this->plan.paths) {
    window += path.window;
  }
  return window / std::max(1, this->loads.Daemons());
}

}  // namespace zincstep
