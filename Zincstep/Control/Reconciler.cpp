#include "Zincstep/Control/Reconciler.h"

#include <algorithm>
#include <set>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 10;

}  // namespace

bool CoversAllLayers(const std::vector<const UpstreamState*>& aUpstreams,
                     int aLayers) {
  std::set<std::string> versions;
  for (const UpstreamState* one : aUpstreams) {
    versions.insert(one->actualVersion);
  }
  for (const std::string& version : versions) {
    int reached = 0;
    bool grows = true;
    while (reached < aLayers && grows) {
      grows = false;
      for (const UpstreamState* one : aUpstreams) {
        const bool extends = one->actualVersion == version &&
                             one->layers.first <= reached &&
                             one->layers.last > reached;
        if (extends) {
          reached = one->layers.last;
          grows = true;
        }
      }
    }
    if (reached >= aLayers) {
      return true;
    }
  }
  return false;
}

bool Reconciler::CanSpare(const std::vector<UpstreamState>& aStates,
                          const UpstreamState& aOne, int aLayers) const {
  std::vector<const UpstreamState*> all;
  std::vector<const UpstreamState*> rest;
  for (const UpstreamState& other : aStates) {
    const bool serves = other.model == aOne.model && other.reachable &&
                        !other.leaving && !other.actualVersion.empty() &&
                        !this->changes.contains(other.name);
    if (serves) {
      all.push_back(&other);
      if (other.name != aOne.name) {
        rest.push_back(&other);
      }
    }
  }
  return CoversAllLayers(rest, aLayers) || !CoversAllLayers(all, aLayers);
}

bool Reconciler::MayBegin(const std::vector<UpstreamState>& aStates,
                          const UpstreamState& aOne, int aLayers, int aMoving,
                          std::string& aWhyNot) const {
  if (!aOne.reachable) {
    aWhyNot = "it does not answer";
  } else if (aOne.actualVersion.empty()) {
    aWhyNot = "it is loading";
  } else if (aMoving >= this->settings.loadsAtATime) {
    aWhyNot = "others are changed first";
  } else if (!this->CanSpare(aStates, aOne, aLayers)) {
    aWhyNot = "without it no chain of its model would be whole";
  }
  return aWhyNot.empty();
}

void Reconciler::Advance(const UpstreamState& aOne, Change& aChange,
                         Instant aNow, ReconcileStep& aStep) const {
  aStep.paused.push_back(aOne.name);
  const bool drained = aOne.sequences <= 0 ||
                       aNow - aChange.pausedAt >= this->settings.drainTimeout;
  if (!aOne.reachable) {
    aStep.stuck[aOne.name] = "it stopped answering while it was changed";
  } else if (aOne.actualVersion.empty()) {
    aStep.stuck[aOne.name] = "it is loading " + aOne.declaredVersion;
  } else if (!drained) {
    aStep.stuck[aOne.name] = "its sequences are ending";
  } else if (aNow >= aChange.retryAt) {
    const int doublings = std::min(aChange.orders, kMaxDoublings);
    aChange.orders += 1;
    aChange.retryAt =
        aNow + std::min(this->settings.initialBackoff * (1 << doublings),
                        this->settings.maxBackoff);
    aStep.orders.push_back(
        {aOne.name, aOne.address, aOne.declaredVersion, aOne.actualVersion});
    aStep.stuck[aOne.name] = "it was ordered to load " + aOne.declaredVersion;
  } else {
    aStep.stuck[aOne.name] = "its last order had no effect yet";
  }
}

ReconcileStep Reconciler::Step(const std::vector<UpstreamState>& aStates,
                               const std::map<std::string, int>& aLayers,
                               Instant aNow) {
  ReconcileStep step;
  std::set<std::string> known;
  for (const UpstreamState& one : aStates) {
    known.insert(one.name);
    const bool done = one.actualVersion == one.declaredVersion || one.leaving;
    if (done) {
      this->changes.erase(one.name);
    }
  }
  std::erase_if(this->changes, [&](const auto& aEntry) {
    return !known.contains(aEntry.first);
  });
  for (const UpstreamState& one : aStates) {
    if (one.actualVersion == one.declaredVersion || one.leaving) {
      continue;
    }
    const auto layers = aLayers.find(one.model);
    if (layers == aLayers.end()) {
      continue;
    }
    if (!this->changes.contains(one.name)) {
      std::string whyNot;
      const int moving = static_cast<int>(this->changes.size());
      if (!this->MayBegin(aStates, one, layers->second, moving, whyNot)) {
        step.stuck[one.name] = whyNot;
        continue;
      }
      // One interval passes between the pause and the first order, so that
      // every daemon has heard of the pause and reports what still runs.
      this->changes[one.name] = {aNow, aNow + this->settings.initialBackoff, 0};
    }
    this->Advance(one, this->changes.at(one.name), aNow, step);
  }
  return step;
}

}  // namespace zincstep
