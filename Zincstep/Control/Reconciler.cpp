#include "Zincstep/Control/Reconciler.h"

#include <algorithm>
#include <set>

namespace zincstep {

namespace {

constexpr int kMaxBackoffDoublings = 10;

}  // namespace

bool CoversAllLayers(const std::vector<const UpstreamState*>& aUpstreams,
                     int aLayers) {
  std::set<std::string> versions;
  for (const UpstreamState* upstream : aUpstreams) {
    versions.insert(upstream->actualVersion);
  }
  for (const std::string& version : versions) {
    int coveredLayers = 0;
    bool hasAdvanced = true;
    while (coveredLayers < aLayers && hasAdvanced) {
      hasAdvanced = false;
      for (const UpstreamState* upstream : aUpstreams) {
        const bool extends = upstream->actualVersion == version &&
                             upstream->layers.first <= coveredLayers &&
                             upstream->layers.last > coveredLayers;
        if (extends) {
          coveredLayers = upstream->layers.last;
          hasAdvanced = true;
        }
      }
    }
    if (coveredLayers >= aLayers) {
      return true;
    }
  }
  return false;
}

bool Reconciler::CanTakeOutOfService(const std::vector<UpstreamState>& aStates,
                                     const UpstreamState& aUpstream,
                                     int aLayers) const {
  std::vector<const UpstreamState*> all;
  std::vector<const UpstreamState*> remaining;
  for (const UpstreamState& other : aStates) {
    const bool serves = other.model == aUpstream.model && other.reachable &&
                        !other.leaving && !other.actualVersion.empty() &&
                        !this->changes.contains(other.name);
    if (serves) {
      all.push_back(&other);
      if (other.name != aUpstream.name) {
        remaining.push_back(&other);
      }
    }
  }
  return CoversAllLayers(remaining, aLayers) || !CoversAllLayers(all, aLayers);
}

bool Reconciler::CanStartChange(const std::vector<UpstreamState>& aStates,
                                const UpstreamState& aUpstream, int aLayers,
                                int aChanging, std::string& aReason) const {
  if (!aUpstream.reachable) {
    aReason = "no response";
  } else if (aUpstream.actualVersion.empty()) {
    aReason = "the upstream is loading";
  } else if (aChanging >= this->settings.maxConcurrentLoads) {
    aReason = "waiting for other upstreams to change";
  } else if (!this->CanTakeOutOfService(aStates, aUpstream, aLayers)) {
    aReason = "no other upstreams cover all layers of its model";
  }
  return aReason.empty();
}

void Reconciler::ContinueChange(const UpstreamState& aUpstream, Change& aChange,
                                Instant aNow, ReconcileStep& aStep) const {
  aStep.paused.push_back(aUpstream.name);
  const bool drained = aUpstream.sequences <= 0 ||
                       aNow - aChange.pausedAt >= this->settings.drainTimeout;
  if (!aUpstream.reachable) {
    aStep.stuck[aUpstream.name] = "no response during the change";
  } else if (aUpstream.actualVersion.empty()) {
    aStep.stuck[aUpstream.name] = "loading " + aUpstream.declaredVersion;
  } else if (!drained) {
    aStep.stuck[aUpstream.name] = "waiting for its sequences to end";
  } else if (aNow >= aChange.retryAt) {
    const int doublings = std::min(aChange.orders, kMaxBackoffDoublings);
    aChange.orders += 1;
    aChange.retryAt =
        aNow + std::min(this->settings.initialBackoff * (1 << doublings),
                        this->settings.maxBackoff);
    aStep.orders.push_back({aUpstream.name, aUpstream.address,
                            aUpstream.declaredVersion,
                            aUpstream.actualVersion});
    aStep.stuck[aUpstream.name] =
        "ordered to load " + aUpstream.declaredVersion;
  } else {
    aStep.stuck[aUpstream.name] = "the last order has had no effect yet";
  }
}

ReconcileStep Reconciler::Step(const std::vector<UpstreamState>& aStates,
                               const std::map<std::string, int>& aLayers,
                               Instant aNow) {
  ReconcileStep step;
  std::set<std::string> known;
  for (const UpstreamState& upstream : aStates) {
    known.insert(upstream.name);
    const bool done =
        upstream.actualVersion == upstream.declaredVersion || upstream.leaving;
    if (done) {
      this->changes.erase(upstream.name);
    }
  }
  std::erase_if(this->changes, [&](const auto& aEntry) {
    return !known.contains(aEntry.first);
  });
  for (const UpstreamState& upstream : aStates) {
    if (upstream.actualVersion == upstream.declaredVersion ||
        upstream.leaving) {
      continue;
    }
    const auto layers = aLayers.find(upstream.model);
    if (layers == aLayers.end()) {
      continue;
    }
    if (!this->changes.contains(upstream.name)) {
      std::string reason;
      const int changing = static_cast<int>(this->changes.size());
      if (!this->CanStartChange(aStates, upstream, layers->second, changing,
                                reason)) {
        step.stuck[upstream.name] = reason;
        continue;
      }
      // One interval passes between the pause and the first order, so that
      // every daemon has received the pause and reports what still runs.
      this->changes[upstream.name] = {aNow,
                                      aNow + this->settings.initialBackoff, 0};
    }
    this->ContinueChange(upstream, this->changes.at(upstream.name), aNow, step);
  }
  return step;
}

}  // namespace zincstep
