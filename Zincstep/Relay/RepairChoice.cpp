#include "Zincstep/Relay/RepairChoice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace zincstep {

namespace {

/// Tokens per second that the holders read of one layer, if each divides its
/// rate evenly between its layers inside `aRange`.
double ReadRateAt(const std::vector<RepairHolder>& aHolders, int aLayer,
                  LayerRange aRange) {
  double rate = 0;
  for (const RepairHolder& holder : aHolders) {
    if (aLayer >= holder.layers.first && aLayer < holder.layers.last) {
      const int shared = std::min(holder.layers.last, aRange.last) -
                         std::max(holder.layers.first, aRange.first);
      rate += holder.readRate / shared;
    }
  }
  return rate;
}

/// Mean time of the reads that the holders of a range have already, weighted
/// with their rates.
Micros MeanReadWait(const std::vector<RepairHolder>& aHolders,
                    LayerRange aRange) {
  double rates = 0;
  double waits = 0;
  for (const RepairHolder& holder : aHolders) {
    if (holder.layers.first < aRange.last &&
        holder.layers.last > aRange.first) {
      rates += holder.readRate;
      waits += holder.readRate * ToSeconds(holder.readWait);
    }
  }
  return rates > 0 ? FromSeconds(waits / rates) : Micros{0};
}

/// Usable upstreams that hold layers.
std::map<std::string, std::vector<RepairHolder>> HoldersByDomain(
    const ModelShape& aModel, const std::vector<UpstreamPtr>& aUpstreams,
    Instant aNow) {
  std::map<std::string, std::vector<RepairHolder>> byDomain;
  for (const UpstreamPtr& candidate : aUpstreams) {
    const UpstreamEntry& entry = candidate->Entry();
    if (candidate->IsUsable(aNow) && entry.layers.Size() > 0) {
      byDomain[entry.failureDomain].push_back(
          {entry.layers,
           ChainChooser::ReadRate(aModel, entry) / candidate->Slowdown(aNow),
           candidate->ReadWait(aNow)});
    }
  }
  return byDomain;
}

}  // namespace

double ReadRateThrough(const std::vector<RepairHolder>& aHolders,
                       LayerRange aLayers) {
  double least = std::numeric_limits<double>::infinity();
  for (int layer = aLayers.first; layer < aLayers.last; ++layer) {
    least = std::min(least, ReadRateAt(aHolders, layer, aLayers));
  }
  return aLayers.Size() > 0 ? least : 0;
}

void ObservePool(RepairInput& aInput, const ModelShape& aModel,
                 const std::vector<UpstreamPtr>& aUpstreams,
                 const std::string& aDomain, Instant aNow) {
  const LayerRange allLayers{0, aModel.layers};
  for (auto& [domain, holders] : HoldersByDomain(aModel, aUpstreams, aNow)) {
    if (domain == aDomain) {
      aInput.holders = std::move(holders);
    } else {
      aInput.newRunRate += ReadRateThrough(holders, allLayers);
    }
  }
  if (aInput.newRunRate <= 0) {
    aInput.newRunRate = ReadRateThrough(aInput.holders, allLayers);
  }
}

std::vector<std::string> DrawDomains(const ModelShape& aModel,
                                     const std::vector<UpstreamPtr>& aUpstreams,
                                     const std::string& aLastDomain,
                                     Instant aNow, Random& aRandom) {
  std::vector<std::pair<double, std::string>> drawn;
  for (const auto& [domain, holders] :
       HoldersByDomain(aModel, aUpstreams, aNow)) {
    const double rate = ReadRateThrough(holders, {0, aModel.layers});
    // The least of several exponential variables is each one's with a
    // probability in proportion to its rate.
    const double factor = -std::log(1 - aRandom.Unit());
    if (rate > 0) {
      drawn.emplace_back(domain == aLastDomain
                             ? std::numeric_limits<double>::infinity()
                             : factor / rate,
                         domain);
    }
  }
  std::sort(drawn.begin(), drawn.end());
  std::vector<std::string> domains;
  domains.reserve(drawn.size());
  for (auto& [cost, domain] : drawn) {
    domains.push_back(std::move(domain));
  }
  return domains;
}

double HashShareOf(const std::string& aRequestId) {
  return static_cast<double>(Hash64(aRequestId) >> 11) * 0x1.0p-53;
}

RepairDecision ChooseRepair(const RepairInput& aInput) {
  RepairDecision decision;
  double lostTokens = 0;
  double readSeconds = 0;
  double waitSeconds = 0;
  bool hasHolders = true;
  for (const LostStage& stage : aInput.lost) {
    if (stage.layers.Size() <= 0 || stage.work <= 0) {
      continue;
    }
    const double tokens = stage.work / stage.layers.Size();
    const double rate = ReadRateThrough(aInput.holders, stage.layers);
    lostTokens += tokens;
    hasHolders = hasHolders && rate > 0;
    const double wait = ToSeconds(MeanReadWait(aInput.holders, stage.layers));
    // The stages read different layers at the same time.
    if (rate > 0 && tokens / rate + wait > readSeconds + waitSeconds) {
      readSeconds = tokens / rate;
      waitSeconds = wait;
    }
  }
  if (lostTokens <= 0) {
    return decision;
  }
  decision.allRerouted = FromSeconds(readSeconds + waitSeconds);
  const double newReadSeconds =
      aInput.newRunRate > 0 ? lostTokens / aInput.newRunRate : 0;
  decision.allRunAnew = aInput.firstEventTime + FromSeconds(newReadSeconds);
  if (!aInput.mayRunAnew || aInput.newRunRate <= 0) {
    decision.reason = RepairReason::NoAttempt;
    return decision;
  }
  if (!hasHolders) {
    decision.reason = RepairReason::NoHolder;
    decision.rerouteShare = 0;
  } else if (aInput.silence + decision.allRerouted <= aInput.maxGap) {
    decision.reason = RepairReason::FitsGap;
  } else {
    // Both parts end at the same time: wait + share x read =
    // firstEvent + (1 - share) x newRead.
    decision.reason = RepairReason::Divided;
    decision.rerouteShare =
        std::clamp((ToSeconds(decision.allRunAnew) - waitSeconds) /
                       (readSeconds + newReadSeconds),
                   0.0, 1.0);
  }
  decision.action = aInput.hash < decision.rerouteShare ? RepairAction::Reroute
                                                        : RepairAction::NewRun;
  return decision;
}

}  // namespace zincstep
