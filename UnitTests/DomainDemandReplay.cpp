#include "UnitTests/DomainDemandReplay.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace zincstep {

namespace {

/// Tokens of a stream, prompt and expected part of the answer.
constexpr double kTokens = 860;
/// Mean duration of a stream from its first event on, in seconds, and the
/// relative range around it.
constexpr double kStreamSeconds = 2.1;
constexpr double kStreamSpread = 0.6;
/// Time to the first event at a first stage with a free slot, and its range.
constexpr double kFirstEventSeconds = 0.15;
constexpr double kFirstEventSpread = 0.1;
constexpr Micros kObjective = 500ms;
/// Requests that an upstream queues, as a share of its slots.
constexpr double kQueueShare = 0.5;
constexpr Micros kGossipInterval = 400ms;
constexpr double kMaxReportRate = 100;
constexpr Micros kDemandInterval = 1s;
/// Interval of placement passes; each improves one domain.
constexpr Micros kPlanInterval = 500ms;
constexpr Micros kRefusalDelay = 5ms;
constexpr Micros kEjectionTime = 300ms;
constexpr int kAttempts = 2;
/// Time for the streams on released layers to end.
constexpr Micros kReleaseTime = 2500ms;
/// Time until all daemons know of an upstream's new layers.
constexpr Micros kEntryDelay = 300ms;
/// The next leader acquires the leadership after its predecessor's lease.
constexpr Micros kLeaderGap = 2s;
/// Time for which an unreachable upstream is suspected at a time.
constexpr Micros kSuspicionTime = 1s;

double Mean(const std::vector<double>& aValues) {
  double sum = 0;
  for (const double value : aValues) {
    sum += value;
  }
  return aValues.empty() ? 0 : sum / static_cast<double>(aValues.size());
}

std::vector<double> SharesBySecond(const std::vector<int>& aPart,
                                   const std::vector<int>& aAll) {
  std::vector<double> shares;
  for (std::size_t i = 0; i < aAll.size(); ++i) {
    shares.push_back(static_cast<double>(aPart[i]) / std::max(1, aAll[i]));
  }
  return shares;
}

}  // namespace

double DemandReplayResult::RemoteShare(const std::string& aDomain) const {
  return Mean(SharesBySecond(this->startedElsewhere.at(aDomain),
                             this->started.at(aDomain)));
}

double DemandReplayResult::RemoteVariation(const std::string& aDomain) const {
  const auto shares = SharesBySecond(this->startedElsewhere.at(aDomain),
                                     this->started.at(aDomain));
  std::vector<double> changes;
  for (std::size_t i = 1; i < shares.size(); ++i) {
    changes.push_back(std::abs(shares[i] - shares[i - 1]));
  }
  return Mean(changes) / std::max(1e-9, Mean(shares));
}

DomainDemandReplay::DomainDemandReplay(const ModelShape& aModel,
                                       std::vector<PlacedUpstream> aPool,
                                       DemandReplayLoad aLoad,
                                       std::uint64_t aSeed)
    : model(aModel), load(std::move(aLoad)), random(aSeed), chooser([this] {
        ChainChooserSettings settings;
        settings.domains.expectedLoad = this->load.domainDemand;
        // Both are deployed together.
        settings.firstStageBalance = this->load.domainDemand;
        return settings;
      }()) {
  this->end = this->start + this->load.length;
  this->chooser.SetKnowsOwnCallers(this->load.knowsOwnCallers);
  std::set<std::string> names;
  for (PlacedUpstream& one : aPool) {
    names.insert(one.failureDomain);
    this->indices[one.id] = this->upstreams.size();
    this->upstreams.push_back({std::move(one), 0, 0, {}});
  }
  this->domains.assign(names.begin(), names.end());
  const std::size_t count = this->upstreams.size();
  for (const std::string& domain : this->domains) {
    this->reports[domain] = {std::vector<double>(count),
                             std::vector<int>(count),
                             std::vector<AnnouncedLoad>(count)};
    this->result.started[domain];
    for (int i = 0; i < this->load.daemonsPerDomain; ++i) {
      Daemon daemon;
      daemon.domain = domain;
      daemon.reportedWork.resize(count);
      daemon.reportedRequests.resize(count);
      daemon.remoteWork.resize(count);
      daemon.remoteRequests.resize(count);
      for (const SimulatedUpstream& upstream : this->upstreams) {
        UpstreamEntry entry;
        entry.id = upstream.placed.id;
        entry.address = upstream.placed.id;
        entry.failureDomain = upstream.placed.failureDomain;
        entry.kind = upstream.placed.kind;
        entry.layers = upstream.placed.layers;
        entry.slots = upstream.placed.slots;
        daemon.view.push_back(std::make_shared<LiveUpstream>(entry));
      }
      this->daemons.push_back(std::move(daemon));
    }
  }
}

void DomainDemandReplay::At(Instant aAt, std::function<void()> aRun) {
  this->events.push({aAt, ++this->lastSequence, std::move(aRun)});
}

DemandReplayResult DomainDemandReplay::Run() {
  for (std::size_t i = 0; i < this->domains.size(); ++i) {
    this->At(this->now, [this, i] { this->OnArrival(i); });
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const Micros first = FromSeconds(this->random.Unit());
    this->At(this->now + first, [this, i] { this->SendReport(i); });
    this->At(this->now + first, [this, i] { this->SendDemand(i); });
  }
  if (this->load.places) {
    this->At(this->now + kPlanInterval, [this] { this->PlanLayers(); });
  }
  if (this->load.leaderLostAt) {
    this->At(this->start + *this->load.leaderLostAt, [this] {
      this->demand = DemandSum{};
      this->targets.Clear();
    });
  }
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  return this->result;
}

bool DomainDemandReplay::IsPartitioned() const {
  return !this->load.partitioned.empty() &&
         this->now >= this->start + this->load.partitionedFrom &&
         this->now < this->start + this->load.partitionedUntil;
}

bool DomainDemandReplay::Reaches(const std::string& aOne,
                                 const std::string& aOther) const {
  return aOne == aOther || !this->IsPartitioned() ||
         (aOne != this->load.partitioned && aOther != this->load.partitioned);
}

void DomainDemandReplay::OnArrival(std::size_t aDomain) {
  if (this->now >= this->end) {
    return;
  }
  const double rate = std::max(
      0.1, this->load.arrivals(this->domains[aDomain], this->Elapsed()));
  this->At(this->now + FromSeconds(-std::log(1 - this->random.Unit()) / rate),
           [this, aDomain] { this->OnArrival(aDomain); });
  const auto count = static_cast<std::size_t>(this->load.daemonsPerDomain);
  const std::size_t daemon = aDomain * count + this->random.Below(count);
  this->result.arrivals += this->IsCounted() ? 1 : 0;
  this->daemons[daemon].demand.OnRequest(kTokens, this->now);
  this->TryStart(daemon, this->now, kAttempts);
}

void DomainDemandReplay::SyncView(Daemon& aDaemon) {
  const DomainReports& known = this->reports.at(aDaemon.domain);
  for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
    LiveUpstream& upstream = *aDaemon.view[i];
    const double work = std::max(0.0, known.work[i] - aDaemon.reportedWork[i]);
    if (work != aDaemon.remoteWork[i]) {
      if (aDaemon.remoteWork[i] > 0) {
        upstream.RemoveRemoteWork(aDaemon.remoteWork[i]);
      }
      if (work > 0) {
        upstream.AddRemoteWork(work);
      }
      aDaemon.remoteWork[i] = work;
    }
    const int requests =
        std::max(0, known.requests[i] - aDaemon.reportedRequests[i]);
    upstream.firstStage.RemoveRemote(aDaemon.remoteRequests[i]);
    upstream.firstStage.AddRemote(requests);
    aDaemon.remoteRequests[i] = requests;
    if (known.announced[i].at != Instant{}) {
      upstream.firstStage.Announce(known.announced[i]);
    }
    if (!this->Reaches(aDaemon.domain, upstream.Entry().failureDomain)) {
      upstream.EjectUntil(this->now + kSuspicionTime);
    }
  }
}

std::optional<std::size_t> DomainDemandReplay::RefusedBy(
    const Daemon& aDaemon, const PoolChain& aChain) const {
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    const SimulatedUpstream& upstream = this->upstreams[index];
    const double capacity = RequestMemory(
        this->model, *this->model.FindKind(upstream.placed.kind),
        // The slots limit the first stage itself, not its memory.
        {1, 1 + upstream.placed.layers.Size()}, upstream.placed.slots);
    const bool isFirst = &hop == &aChain.front();
    const auto maxRequests =
        static_cast<std::size_t>(kQueueShare * upstream.placed.slots);
    if (!upstream.placed.layers.Covers(hop.layers) ||
        upstream.used + kTokens * hop.layers.Size() > capacity ||
        !this->Reaches(aDaemon.domain, upstream.placed.failureDomain) ||
        (isFirst && upstream.queue.size() >= maxRequests)) {
      return index;
    }
  }
  return std::nullopt;
}

void DomainDemandReplay::TryStart(std::size_t aDaemon, Instant aArrivedAt,
                                  int aAttemptsLeft) {
  Daemon& daemon = this->daemons[aDaemon];
  this->SyncView(daemon);
  const auto chain = this->chooser.Choose(
      this->model, daemon.view, daemon.domain, kTokens, this->now, this->random,
      {kObjective, daemon.demand.ResponseSeconds()});
  const auto refusedBy = chain ? this->RefusedBy(daemon, *chain) : std::nullopt;
  if (chain && !refusedBy) {
    this->RecordStart(daemon, *chain);
    Stream stream{aDaemon, aArrivedAt, {}};
    for (const PoolHop& hop : *chain) {
      const std::size_t index = this->IndexOf(hop.upstream);
      const double held = kTokens * hop.layers.Size();
      this->upstreams[index].used += held;
      hop.upstream->localWork += held;
      stream.held.emplace_back(index, held);
    }
    const std::size_t first = stream.held.front().first;
    daemon.view[first]->firstStage.OnStarted(this->now);
    this->streams.push_back(std::move(stream));
    SimulatedUpstream& upstream = this->upstreams[first];
    if (upstream.running < upstream.placed.slots) {
      this->Begin(this->streams.size() - 1);
    } else {
      upstream.queue.push_back(this->streams.size() - 1);
    }
    return;
  }
  if (refusedBy) {
    daemon.view[*refusedBy]->EjectUntil(this->now + kEjectionTime);
  }
  if (!refusedBy || aAttemptsLeft <= 1) {
    this->result.refused += this->IsCounted() ? 1 : 0;
    this->result.missed += this->IsCounted() ? 1 : 0;
    return;
  }
  this->At(this->now + kRefusalDelay, [=, this] {
    this->TryStart(aDaemon, aArrivedAt, aAttemptsLeft - 1);
  });
}

void DomainDemandReplay::RecordStart(const Daemon& aDaemon,
                                     const PoolChain& aChain) {
  if (!this->IsCounted()) {
    return;
  }
  const auto second = static_cast<std::size_t>(
      this->Elapsed() - ToSeconds(this->load.countedFrom));
  auto& started = this->result.started[aDaemon.domain];
  auto& elsewhere = this->result.startedElsewhere[aDaemon.domain];
  if (started.size() <= second) {
    started.resize(second + 1);
    elsewhere.resize(second + 1);
  }
  const bool isElsewhere =
      aChain.front().upstream->Entry().failureDomain != aDaemon.domain;
  started[second] += 1;
  elsewhere[second] += isElsewhere ? 1 : 0;
}

void DomainDemandReplay::Begin(std::size_t aStream) {
  const Stream& stream = this->streams[aStream];
  const std::size_t first = stream.held.front().first;
  this->upstreams[first].running += 1;
  const double toFirst =
      kFirstEventSeconds + kFirstEventSpread * this->random.Unit();
  const double seconds =
      kStreamSeconds * (1 + kStreamSpread * (2 * this->random.Unit() - 1));
  const Instant firstEventAt = this->now + FromSeconds(toFirst);
  if (this->IsCounted() && firstEventAt - stream.arrivedAt > kObjective) {
    this->result.missed += 1;
  }
  this->At(firstEventAt, [this, first, daemon = stream.daemon] {
    // The response head states the upstream's load.
    const SimulatedUpstream& upstream = this->upstreams[first];
    this->daemons[daemon].view[first]->firstStage.Announce(
        {upstream.running, static_cast<int>(upstream.queue.size()), this->now});
  });
  this->At(firstEventAt + FromSeconds(seconds),
           [this, aStream] { this->End(aStream); });
}

void DomainDemandReplay::End(std::size_t aStream) {
  const Stream stream = this->streams[aStream];
  Daemon& daemon = this->daemons[stream.daemon];
  for (const auto& [index, held] : stream.held) {
    this->upstreams[index].used -= held;
    daemon.view[index]->localWork =
        std::max(0.0, daemon.view[index]->localWork - held);
  }
  const std::size_t first = stream.held.front().first;
  daemon.view[first]->firstStage.OnEnded();
  daemon.demand.OnCompleted(this->now - stream.arrivedAt);
  SimulatedUpstream& upstream = this->upstreams[first];
  upstream.running -= 1;
  if (!upstream.queue.empty()) {
    const std::size_t next = upstream.queue.front();
    upstream.queue.pop_front();
    this->Begin(next);
  }
}

void DomainDemandReplay::SendReport(std::size_t aDaemon) {
  if (this->now >= this->end) {
    return;
  }
  const Daemon& reporter = this->daemons[aDaemon];
  std::vector<double> work;
  std::vector<int> requests;
  std::vector<AnnouncedLoad> announced;
  for (const UpstreamPtr& upstream : reporter.view) {
    work.push_back(upstream->localWork);
    requests.push_back(upstream->firstStage.Local());
    announced.push_back(
        upstream->firstStage.Announced(this->now).value_or(AnnouncedLoad{}));
  }
  this->At(this->now + this->load.reportDelay, [=, this] {
    Daemon& daemon = this->daemons[aDaemon];
    DomainReports& known = this->reports.at(daemon.domain);
    for (std::size_t i = 0; i < work.size(); ++i) {
      known.work[i] += work[i] - daemon.reportedWork[i];
      known.requests[i] += requests[i] - daemon.reportedRequests[i];
      if (announced[i].at > known.announced[i].at) {
        known.announced[i] = announced[i];
      }
    }
    daemon.reportedWork = work;
    daemon.reportedRequests = requests;
  });
  const Micros interval =
      std::max(kGossipInterval,
               FromSeconds(this->load.daemonsPerDomain / kMaxReportRate));
  this->At(this->now + interval,
           [this, aDaemon] { this->SendReport(aDaemon); });
}

void DomainDemandReplay::SendDemand(std::size_t aDaemon) {
  if (this->now >= this->end) {
    return;
  }
  const Daemon& daemon = this->daemons[aDaemon];
  const auto tokens = daemon.demand.Tokens(this->now);
  const bool hasLeader =
      !this->load.leaderLostAt ||
      this->now < this->start + *this->load.leaderLostAt ||
      this->now > this->start + *this->load.leaderLostAt + kLeaderGap;
  // The leader is a daemon of the first domain.
  if (tokens && hasLeader &&
      this->Reaches(daemon.domain, this->domains.front())) {
    this->At(this->now + this->load.reportDelay, [=, this] {
      this->demand.Update(std::to_string(aDaemon), *tokens, this->now,
                          this->daemons[aDaemon].domain);
    });
  }
  this->At(this->now + kDemandInterval,
           [this, aDaemon] { this->SendDemand(aDaemon); });
}

void DomainDemandReplay::PlanLayers() {
  if (this->now >= this->end) {
    return;
  }
  this->At(this->now + kPlanInterval, [this] { this->PlanLayers(); });
  PlacementInput input;
  for (const SimulatedUpstream& upstream : this->upstreams) {
    if (this->Reaches(upstream.placed.failureDomain, this->domains.front())) {
      input.upstreams.push_back(upstream.placed);
    }
  }
  input.demand = this->demand.Peak(this->now);
  input.stableDomains.insert(this->domains.begin(), this->domains.end());
  input.passNumber = ++this->passes;
  input.domainToImprove = this->domains[this->passes % this->domains.size()];
  if (!input.demand) {
    return;
  }
  if (this->load.domainDemand != FeatureMode::Off) {
    this->targets.Update(this->model, input.upstreams, *input.demand,
                         this->now);
    for (const auto& [domain, target] : this->targets.Targets()) {
      input.targets[domain] = target.target;
    }
  }
  for (const PlacementOrder& order : this->planner.Plan(this->model, input)) {
    this->ApplyOrder(order);
  }
}

void DomainDemandReplay::ApplyOrder(const PlacementOrder& aOrder) {
  const std::size_t index = this->indices.at(aOrder.id);
  PlacedUpstream& placed = this->upstreams[index].placed;
  const LayerRange own = placed.layers;
  const int first = std::max(own.first, aOrder.layers.first);
  const int last = std::min(own.last, aOrder.layers.last);
  const LayerRange retained =
      first < last ? LayerRange{first, last} : LayerRange{};
  this->result.loads += this->IsCounted() ? 1 : 0;
  placed.acceptsOrders = false;
  this->SetLayers(index, retained);
  // The planner counts on the ordered layers.
  placed.layers = aOrder.layers;
  const Micros release =
      retained.Size() < own.Size() ? kReleaseTime : Micros{0};
  const Micros loading = FromSeconds(ToSeconds(this->model.loadTime) *
                                     (aOrder.layers.Size() - retained.Size()) /
                                     this->model.layers);
  this->At(this->now + release + loading + kEntryDelay,
           [this, index, layers = aOrder.layers] {
             this->SetLayers(index, layers);
             this->upstreams[index].placed.acceptsOrders = true;
           });
}

void DomainDemandReplay::SetLayers(std::size_t aUpstream, LayerRange aLayers) {
  this->upstreams[aUpstream].placed.layers = aLayers;
  for (Daemon& daemon : this->daemons) {
    UpstreamEntry entry = daemon.view[aUpstream]->Entry();
    entry.layers = aLayers;
    daemon.view[aUpstream]->SetEntry(entry, this->now);
  }
}

std::size_t DomainDemandReplay::IndexOf(const UpstreamPtr& aUpstream) const {
  return this->indices.at(aUpstream->Entry().id);
}

}  // namespace zincstep
