#include "Zincstep/Entry/ModelPool.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

constexpr Micros kMinPlanInterval = 200ms;
constexpr Micros kDriftInterval = 5s;
/// Change of an upstream's usable share that triggers a new plan.
constexpr double kPlanDrift = 0.15;
/// An upstream whose last report is older counts as unreachable.
constexpr Micros kMaxReportAge = 6s;

/// Whether plans for one fleet are valid for the other; versions may differ.
bool SamePlanning(const Fleet& aLeft, const Fleet& aRight) {
  const auto sameReplica = [](const FleetReplica& aA, const FleetReplica& aB) {
    return aA.name == aB.name && aA.address == aB.address &&
           aA.layers == aB.layers && aA.kind == aB.kind &&
           aA.domain == aB.domain && aA.layerSeconds == aB.layerSeconds &&
           aA.slots == aB.slots;
  };
  const auto sameLink = [](const FleetLink& aA, const FleetLink& aB) {
    return aA.oneWaySeconds == aB.oneWaySeconds &&
           aA.tokensPerSecond == aB.tokensPerSecond;
  };
  return aLeft.layers == aRight.layers && aLeft.domains == aRight.domains &&
         std::equal(aLeft.replicas.begin(), aLeft.replicas.end(),
                    aRight.replicas.begin(), aRight.replicas.end(),
                    sameReplica) &&
         std::equal(aLeft.links.begin(), aLeft.links.end(),
                    aRight.links.begin(), aRight.links.end(), sameLink);
}

bool SameFleet(const Fleet& aLeft, const Fleet& aRight) {
  const auto sameVersion = [](const FleetReplica& aA, const FleetReplica& aB) {
    return aA.version == aB.version;
  };
  return SamePlanning(aLeft, aRight) &&
         std::equal(aLeft.replicas.begin(), aLeft.replicas.end(),
                    aRight.replicas.begin(), aRight.replicas.end(),
                    sameVersion);
}

}  // namespace

ModelPool::ModelState ModelPool::MakeState(const Snapshot& aSnapshot,
                                           const Model& aModel) {
  ModelState state;
  state.model = aModel;
  state.fleet =
      MakeFleet(aSnapshot.configuration, aModel.name, aSnapshot.region);
  for (const std::string& version : aModel.versions) {
    auto planner =
        std::make_shared<ChainPlanner>(state.fleet, ChainPlannerSettings{});
    planner->Loads().SetDaemons(this->daemons);
    for (std::size_t i = 0; i < state.fleet.replicas.size(); ++i) {
      const FleetReplica& replica = state.fleet.replicas[i];
      const auto actual = this->actualVersions.find(replica.name);
      const std::string& loadedVersion = actual == this->actualVersions.end()
                                             ? replica.version
                                             : actual->second;
      planner->Loads().SetHoldsVersion(static_cast<int>(i),
                                       loadedVersion == version);
      planner->Loads().SetPaused(static_cast<int>(i),
                                 this->paused.contains(replica.name));
    }
    state.versions[version].planner = std::move(planner);
  }
  return state;
}

void ModelPool::InheritLoads(ModelState& aState, const ModelState& aBefore) {
  std::map<std::string, int> before;
  for (std::size_t i = 0; i < aBefore.fleet.replicas.size(); ++i) {
    before[aBefore.fleet.replicas[i].name] = static_cast<int>(i);
  }
  aState.lastGood = aBefore.lastGood;
  const bool arePlansValid = SamePlanning(aState.fleet, aBefore.fleet);
  for (auto& [version, state] : aState.versions) {
    const auto old = aBefore.versions.find(version);
    if (old == aBefore.versions.end()) {
      continue;
    }
    if (arePlansValid) {
      // The old plan stays active until the next one is computed.
      state.planner->SetPlan(old->second.planner->Plan());
    }
    for (std::size_t i = 0; i < aState.fleet.replicas.size(); ++i) {
      const auto known = before.find(aState.fleet.replicas[i].name);
      const int replica = static_cast<int>(i);
      if (known != before.end()) {
        state.planner->Loads().Inherit(replica, old->second.planner->Loads(),
                                       known->second);
      } else {
        state.planner->Loads().SetNew(replica, this->clock.Now());
      }
    }
  }
}

void ModelPool::SetSnapshot(const Snapshot& aSnapshot) {
  this->generation += 1;
  std::map<std::string, ModelState> next;
  for (const Model& model : aSnapshot.configuration.models) {
    ModelState state = this->MakeState(aSnapshot, model);
    const auto old = this->models.find(model.name);
    const bool isUnchanged = old != this->models.end() &&
                             SameFleet(old->second.fleet, state.fleet) &&
                             old->second.model.versions == model.versions;
    if (isUnchanged) {
      // No input of the plans has changed: keep the load state.
      state = std::move(old->second);
      state.model = model;
      for (auto& [version, versionState] : state.versions) {
        if (std::exchange(versionState.isPlanPending, false)) {
          versionState.plannedShares.clear();
        }
      }
    } else if (old != this->models.end()) {
      this->InheritLoads(state, old->second);
    }
    next[model.name] = std::move(state);
  }
  this->models = std::move(next);
  this->locations.clear();
  this->addresses.clear();
  this->kinds.clear();
  this->checksFence.clear();
  for (const Upstream& upstream : aSnapshot.configuration.upstreams) {
    this->checksFence[upstream.name] = upstream.checksFence;
  }
  for (const auto& [name, state] : this->models) {
    for (std::size_t i = 0; i < state.fleet.replicas.size(); ++i) {
      const FleetReplica& replica = state.fleet.replicas[i];
      this->locations[replica.name] = {name, static_cast<int>(i)};
      this->addresses[replica.name] = replica.address;
      this->kinds[replica.name] =
          aSnapshot.configuration.kinds[static_cast<std::size_t>(replica.kind)]
              .name;
    }
  }
}

void ModelPool::SetDaemons(int aDaemons) {
  this->daemons = aDaemons;
  for (auto& [name, state] : this->models) {
    for (auto& [version, versionState] : state.versions) {
      versionState.planner->Loads().SetDaemons(aDaemons);
    }
  }
}

template <class Step>
void ModelPool::ForUpstream(const std::string& aUpstream, Step aStep) {
  const auto location = this->locations.find(aUpstream);
  if (location == this->locations.end()) {
    return;
  }
  ModelState& state = this->models.at(location->second.model);
  for (auto& [version, versionState] : state.versions) {
    aStep(version, versionState.planner->Loads(), location->second.replica);
  }
}

void ModelPool::OnLoad(const std::string& aUpstream, double aSequences,
                       const std::string& aVersion) {
  const Instant now = this->clock.Now();
  // An empty version means that the upstream is loading one.
  this->actualVersions[aUpstream] = aVersion;
  this->lastSeenAt[aUpstream] = now;
  this->ForUpstream(aUpstream, [&](const std::string& aHeldVersion,
                                   LoadTable& aLoads, int aReplica) {
    aLoads.OnReport(aReplica, aSequences, now);
    aLoads.SetHoldsVersion(aReplica, aHeldVersion == aVersion);
  });
}

void ModelPool::SetPaused(const std::set<std::string>& aPaused) {
  if (aPaused == this->paused) {
    return;
  }
  std::set<std::string> affected = this->paused;
  affected.insert(aPaused.begin(), aPaused.end());
  this->paused = aPaused;
  for (const std::string& upstream : affected) {
    const bool isPaused = this->paused.contains(upstream);
    this->ForUpstream(upstream,
                      [&](const std::string&, LoadTable& aLoads, int aReplica) {
                        aLoads.SetPaused(aReplica, isPaused);
                      });
  }
}

bool ModelPool::IsLocal(const std::string& aUpstream,
                        const std::string& aFailureDomain) const {
  const auto location = this->locations.find(aUpstream);
  if (location == this->locations.end()) {
    return false;
  }
  const ModelState& state = this->models.at(location->second.model);
  return state.fleet
             .replicas[static_cast<std::size_t>(location->second.replica)]
             .failureDomain == aFailureDomain;
}

std::vector<UpstreamState> ModelPool::States(
    const std::string& aFailureDomain) const {
  const Instant now = this->clock.Now();
  std::vector<UpstreamState> states;
  for (const auto& [name, model] : this->models) {
    for (std::size_t i = 0; i < model.fleet.replicas.size(); ++i) {
      const FleetReplica& replica = model.fleet.replicas[i];
      if (replica.failureDomain != aFailureDomain) {
        continue;
      }
      UpstreamState state;
      state.name = replica.name;
      state.address = replica.address;
      state.model = name;
      state.layers = replica.layers;
      state.declaredVersion = replica.version;
      state.checksFence = this->checksFence.at(replica.name);
      const auto lastSeen = this->lastSeenAt.find(replica.name);
      state.reachable = lastSeen != this->lastSeenAt.end() &&
                        now - lastSeen->second <= kMaxReportAge;
      const auto actual = this->actualVersions.find(replica.name);
      if (actual != this->actualVersions.end()) {
        state.actualVersion = actual->second;
      }
      for (const auto& [version, versionState] : model.versions) {
        const LoadTable& loads = versionState.planner->Loads();
        state.sequences =
            std::max(state.sequences, loads.Estimate(static_cast<int>(i), now));
      }
      states.push_back(std::move(state));
    }
  }
  return states;
}

void ModelPool::OnUnreachable(const std::string& aUpstream) {
  const Instant now = this->clock.Now();
  this->ForUpstream(aUpstream,
                    [&](const std::string&, LoadTable& aLoads, int aReplica) {
                      aLoads.OnUnreachable(aReplica, now);
                    });
}

void ModelPool::SetLeaving(const std::string& aUpstream) {
  this->ForUpstream(aUpstream,
                    [](const std::string&, LoadTable& aLoads, int aReplica) {
                      aLoads.SetLeaving(aReplica);
                    });
}

void ModelPool::OnPlan(PlanResult aResult) {
  const auto found = this->models.find(aResult.model);
  if (found == this->models.end() || aResult.generation != this->generation) {
    return;
  }
  VersionState& version = found->second.versions.at(aResult.version);
  version.isPlanPending = false;
  version.planner->SetPlan(std::move(aResult.plan));
  this->UpdateLastGood(found->second);
}

/// Updates the last good version, which stays the same while it has a path.
/// Then it becomes the declared version if that one has a path, otherwise any
/// version that has one.
void ModelPool::UpdateLastGood(ModelState& aState) {
  const auto hasPath = [&](const std::string& aVersion) {
    const auto found = aState.versions.find(aVersion);
    return found != aState.versions.end() &&
           found->second.planner->Plan().HasPath();
  };
  if (hasPath(aState.lastGood)) {
    return;
  }
  if (hasPath(aState.model.serving)) {
    aState.lastGood = aState.model.serving;
    return;
  }
  for (const auto& [version, versionState] : aState.versions) {
    if (hasPath(version)) {
      aState.lastGood = version;
    }
  }
}

bool ModelPool::IsDue(const VersionState& aVersion, Instant aNow) const {
  if (aVersion.isPlanPending) {
    return false;
  }
  const std::vector<double>& before = aVersion.plannedShares;
  if (before.empty()) {
    return true;
  }
  if (aNow - aVersion.plannedAt < kMinPlanInterval) {
    return false;
  }
  const std::vector<double> now = aVersion.planner->UsableShares(aNow);
  const bool checksDrift = aNow - aVersion.plannedAt >= kDriftInterval;
  for (std::size_t i = 0; i < now.size(); ++i) {
    const bool hasToggled = (now[i] > 0) != (before[i] > 0);
    const bool drifted = std::abs(now[i] - before[i]) > kPlanDrift;
    if (hasToggled || (checksDrift && drifted)) {
      return true;
    }
  }
  return false;
}

std::vector<PlanRequest> ModelPool::DuePlans() {
  const Instant now = this->clock.Now();
  std::vector<PlanRequest> due;
  for (auto& [name, state] : this->models) {
    for (auto& [version, versionState] : state.versions) {
      if (!this->IsDue(versionState, now) || state.fleet.replicas.empty()) {
        continue;
      }
      versionState.isPlanPending = true;
      versionState.plannedAt = now;
      versionState.plannedShares = versionState.planner->UsableShares(now);
      due.push_back({name, version, this->generation, state.fleet,
                     versionState.plannedShares});
    }
  }
  return due;
}

std::string ModelPool::ServingVersion(const std::string& aModel,
                                      Random& aRandom) {
  const auto found = this->models.find(aModel);
  if (found == this->models.end()) {
    return {};
  }
  ModelState& state = found->second;
  const std::string& declared = state.model.serving;
  const auto last = state.versions.find(state.lastGood);
  if (last == state.versions.end() || state.lastGood == declared) {
    return declared;
  }
  // During a rollout, both versions serve in proportion to their capacities.
  const double newRate =
      state.versions.at(declared).planner->Plan().tokensPerSecond;
  const double oldRate = last->second.planner->Plan().tokensPerSecond;
  if (oldRate <= 0) {
    return declared;
  }
  const bool useDeclared = aRandom.Unit() * (newRate + oldRate) < newRate;
  return useDeclared ? declared : state.lastGood;
}

PlannerPtr ModelPool::Planner(const std::string& aModel,
                              const std::string& aVersion) {
  const auto found = this->models.find(aModel);
  if (found == this->models.end()) {
    return nullptr;
  }
  const auto version = found->second.versions.find(aVersion);
  return version == found->second.versions.end() ? nullptr
                                                 : version->second.planner;
}

double ModelPool::LocalTokenRate(const std::string& aModel) {
  const auto found = this->models.find(aModel);
  if (found == this->models.end()) {
    return 0;
  }
  double rate = 0;
  for (const auto& [version, versionState] : found->second.versions) {
    rate += versionState.planner->Plan().tokensPerSecond;
  }
  return rate / std::max(1, this->daemons);
}

std::vector<UpstreamView> ModelPool::Views() {
  const Instant now = this->clock.Now();
  std::vector<UpstreamView> views;
  for (auto& [name, state] : this->models) {
    for (std::size_t i = 0; i < state.fleet.replicas.size(); ++i) {
      const FleetReplica& replica = state.fleet.replicas[i];
      const int index = static_cast<int>(i);
      const auto actual = this->actualVersions.find(replica.name);
      UpstreamView view;
      view.name = replica.name;
      view.model = name;
      view.failureDomain = replica.failureDomain;
      view.kind = this->kinds[replica.name];
      view.layers = replica.layers;
      view.version = actual == this->actualVersions.end() ? replica.version
                                                          : actual->second;
      for (const auto& [version, versionState] : state.versions) {
        const LoadTable& loads = versionState.planner->Loads();
        view.localSequences += loads.LocalSequences(index);
        if (version == view.version) {
          view.state = loads.State(index);
          view.sequences = loads.Estimate(index, now);
          view.stepRatio = loads.StepRatio(index);
        }
      }
      views.push_back(std::move(view));
    }
  }
  return views;
}

}  // namespace zincstep
