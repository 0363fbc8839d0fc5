#include "UnitTests/PoolReplay.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Interval of the reports on a daemon's work.
constexpr Micros kReportInterval = 600ms;
/// Time until an attempt with a refusing member fails.
constexpr Micros kRefusalDelay = 5ms;
/// Time until a suspicion is confirmed and known to the domain.
constexpr Micros kSuspicionDelay = 30ms;
/// Attempts per request, including the first.
constexpr int kAttempts = 2;
/// Time for which a refusing upstream is ejected.
constexpr Micros kEjectionTime = 300ms;
/// Time until all daemons know of slow upstreams.
constexpr Micros kSlowdownDelay = 500ms;
/// Wait for the pass of an upstream at each hop, in milliseconds per step.
constexpr double kHopMs = 0.6;
/// Prompt tokens that an upstream with slowdown 1 processes per millisecond.
constexpr double kPromptTokensPerMs = 236;
/// Steps between two events, and the maximum gap between events that callers
/// accept.
constexpr double kStepsPerEvent = 3;
constexpr double kMaxEventGapMs = 300;
/// First event after which callers regard a stream as late.
constexpr Micros kFirstEventLimit = 500ms;
/// Requests that an upstream queues beyond those it runs as first stage.
constexpr std::size_t kMaxQueued = 96;
/// Maximum age of the loads that a report passes on.
constexpr Micros kSentLoadMaxAge = 1s;
constexpr Micros kSampleInterval = 250ms;
/// Time after the start at which the pool is in its usual state.
constexpr Micros kWarmUp = 2s;

ChainChooserSettings ChooserSettings(const ReplayLoad& aLoad) {
  ChainChooserSettings settings = aLoad.chooser;
  settings.firstStageBalance = aLoad.firstStageBalance;
  // Requests that leave a domain whose first stages queue would hide what the
  // balance within a domain changes.
  settings.domains.expectedLoad = FeatureMode::Off;
  return settings;
}

}  // namespace

std::vector<PlacedUpstream> InitialPlacement(
    const ModelShape& aModel, std::vector<PlacedUpstream> aPool) {
  const PlacementPlanner planner{PlacementSettings{}};
  for (const PlacementOrder& order : planner.Plan(aModel, {aPool, {}, {}})) {
    std::find_if(aPool.begin(), aPool.end(), [&](const PlacedUpstream& aOne) {
      return aOne.id == order.id;
    })->layers = order.layers;
  }
  return aPool;
}

void ReplayResult::Add(const ReplayResult& aOther) {
  this->arrivals += aOther.arrivals;
  this->served += aOther.served;
  this->refused += aOther.refused;
  this->refusedWhileFree += aOther.refusedWhileFree;
  this->rejected += aOther.rejected;
  this->interrupted += aOther.interrupted;
  this->slow += aOther.slow;
  this->hops += aOther.hops;
  this->stepMs += aOther.stepMs;
  this->late += aOther.late;
  this->restarted += aOther.restarted;
  this->lateRestarted += aOther.lateRestarted;
  this->queueFull += aOther.queueFull;
  this->imbalance += aOther.imbalance;
  this->samples += aOther.samples;
  this->errorMs += aOther.errorMs;
}

PoolReplay::PoolReplay(const ModelShape& aModel,
                       std::vector<PlacedUpstream> aPool, ReplayLoad aLoad,
                       std::uint64_t aSeed)
    : model(aModel),
      load(std::move(aLoad)),
      random(aSeed),
      chooser(ChooserSettings(this->load)) {
  this->end = this->now + this->load.length;
  for (PlacedUpstream& one : aPool) {
    if (std::find(this->domains.begin(), this->domains.end(),
                  one.failureDomain) == this->domains.end()) {
      this->domains.push_back(one.failureDomain);
    }
    const double capacity = RequestMemory(
        this->model, *this->model.FindKind(one.kind), one.layers, one.slots);
    this->indices[one.id] = this->upstreams.size();
    SimulatedUpstream upstream;
    upstream.placed = std::move(one);
    upstream.capacity = capacity;
    this->upstreams.push_back(std::move(upstream));
  }
  this->MakeDaemons();
}

void PoolReplay::MakeDaemons() {
  const std::size_t domainCount = this->domains.size();
  const std::size_t count =
      this->load.daemons > 0
          ? static_cast<std::size_t>(this->load.daemons)
          : domainCount * static_cast<std::size_t>(this->load.daemonsPerDomain);
  this->domainDaemons.resize(domainCount);
  for (std::size_t i = 0; i < count; ++i) {
    // Daemons of one domain are adjacent, as evenly divided as possible.
    const std::size_t domain = i * domainCount / count;
    Daemon daemon;
    daemon.name = std::to_string(i);
    daemon.domain = this->domains[domain];
    this->MakeView(daemon);
    this->domainDaemons[domain].push_back(i);
    this->daemons.push_back(std::move(daemon));
  }
}

void PoolReplay::MakeView(Daemon& aDaemon) const {
  aDaemon.view.clear();
  for (const SimulatedUpstream& upstream : this->upstreams) {
    UpstreamEntry entry;
    entry.id = upstream.placed.id;
    entry.address = upstream.placed.id;
    entry.failureDomain = upstream.placed.failureDomain;
    entry.kind = upstream.placed.kind;
    entry.layers = upstream.placed.layers;
    entry.slots = upstream.placed.slots;
    aDaemon.view.push_back(std::make_shared<LiveUpstream>(entry));
  }
}

void PoolReplay::Restart() {
  for (Daemon& daemon : this->daemons) {
    daemon.peerWork = PeerWork{};
    this->MakeView(daemon);
  }
}

void PoolReplay::SampleBalance() {
  if (this->now >= this->end) {
    return;
  }
  this->At(this->now + kSampleInterval, [this] { this->SampleBalance(); });
  for (const std::string& domain : this->domains) {
    double most = 0;
    double sum = 0;
    int count = 0;
    for (const SimulatedUpstream& upstream : this->upstreams) {
      if (upstream.placed.failureDomain != domain || upstream.isLost ||
          upstream.placed.layers.first != 0 ||
          upstream.placed.layers.Size() == 0) {
        continue;
      }
      const double share =
          (upstream.running + static_cast<double>(upstream.queue.size())) /
          upstream.placed.slots;
      most = std::max(most, share);
      sum += share;
      count += 1;
    }
    if (sum > 0) {
      this->result.imbalance += most / (sum / count);
      this->result.samples += 1;
    }
  }
}

void PoolReplay::At(Instant aAt, std::function<void()> aRun) {
  this->events.push({aAt, ++this->lastSequence, std::move(aRun)});
}

ReplayResult PoolReplay::Run() {
  for (std::size_t i = 0; i < this->domains.size(); ++i) {
    this->At(this->now, [this, i] { this->OnArrival(i); });
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const auto first = Micros{static_cast<std::int64_t>(
        this->random.Unit() * static_cast<double>(kReportInterval.count()))};
    this->At(this->now + first, [this, i] { this->SendReport(i); });
  }
  for (const ReplayFault& fault : this->load.faults) {
    this->At(this->now + fault.at, [this, fault] { this->StartFault(fault); });
  }
  if (this->load.restartAt > Micros{0}) {
    this->At(this->now + this->load.restartAt, [this] { this->Restart(); });
  }
  this->At(this->now + kWarmUp, [this] { this->SampleBalance(); });
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  return this->result;
}

void PoolReplay::OnArrival(std::size_t aDomain) {
  if (this->now >= this->end) {
    return;
  }
  const Micros elapsed = this->load.length - (this->end - this->now);
  double factor = aDomain == 0 && elapsed >= this->load.shiftAt
                      ? this->load.shiftFactor
                      : 1;
  if (elapsed >= this->load.burstAt &&
      elapsed < this->load.burstAt + this->load.burstLength) {
    factor *= this->load.burstFactor;
  }
  const double gap =
      -std::log(1 - this->random.Unit()) / (this->load.arrivals * factor);
  this->At(this->now + FromSeconds(gap),
           [this, aDomain] { this->OnArrival(aDomain); });
  this->result.arrivals += 1;
  const std::vector<std::size_t>& entries = this->domainDaemons[aDomain];
  const bool isLong = this->random.Unit() < this->load.longShare;
  const Request request{this->now,
                        isLong ? this->load.longPrompt : this->load.prompt,
                        isLong ? this->load.longSteps : this->load.steps};
  this->TryStart(entries[this->random.Below(entries.size())], kAttempts,
                 request);
}

std::optional<std::size_t> PoolReplay::RefusedBy(
    const PoolChain& aChain, const Request& aRequest) const {
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    const SimulatedUpstream& upstream = this->upstreams[index];
    const double required = aRequest.prompt * hop.layers.Size();
    if (upstream.isLost || upstream.used + required > upstream.capacity) {
      return index;
    }
    if (hop.layers.first == 0 && upstream.queue.size() >= kMaxQueued) {
      return index;
    }
  }
  return std::nullopt;
}

void PoolReplay::TryStart(std::size_t aDaemon, int aAttemptsLeft,
                          const Request& aRequest) {
  Daemon& daemon = this->daemons[aDaemon];
  const auto chain = this->chooser.Choose(
      this->model, daemon.view, daemon.domain, aRequest.Tokens(), this->now,
      this->random, {500ms, this->meter.ResponseSeconds()});
  if (!chain) {
    this->RecordRefusal(daemon.domain);
    return;
  }
  const auto refused = this->RefusedBy(*chain, aRequest);
  if (!refused) {
    this->StartStream(aDaemon, *chain, aRequest);
    return;
  }
  this->result.rejected += 1;
  if (this->upstreams[*refused].isLost) {
    daemon.view[*refused]->Suspect(this->now);
    this->At(this->now + kSuspicionDelay,
             [this, domain = daemon.domain, index = *refused] {
               this->SpreadSuspicion(domain, index);
             });
  } else {
    const SimulatedUpstream& full = this->upstreams[*refused];
    this->result.queueFull += full.queue.size() >= kMaxQueued ? 1 : 0;
    daemon.view[*refused]->EjectUntil(this->now + kEjectionTime);
  }
  if (aAttemptsLeft <= 1) {
    this->RecordRefusal(daemon.domain);
    return;
  }
  this->At(this->now + kRefusalDelay, [this, aDaemon, aAttemptsLeft, aRequest] {
    this->TryStart(aDaemon, aAttemptsLeft - 1, aRequest);
  });
}

void PoolReplay::SpreadSuspicion(const std::string& aDomain,
                                 std::size_t aUpstream) {
  for (Daemon& daemon : this->daemons) {
    if (daemon.domain == aDomain) {
      daemon.view[aUpstream]->Suspect(this->now);
    }
  }
}

void PoolReplay::StartStream(std::size_t aDaemon, const PoolChain& aChain,
                             const Request& aRequest) {
  Stream stream;
  stream.daemon = aDaemon;
  stream.request = aRequest;
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    SimulatedUpstream& upstream = this->upstreams[index];
    const PoolKind& kind = *this->model.FindKind(upstream.placed.kind);
    const double share =
        static_cast<double>(hop.layers.Size()) / this->model.layers;
    stream.stepMs += kHopMs + share * ToSeconds(this->model.stepTime) * 1000 *
                                  kind.stepFactor * upstream.slowdown;
    stream.prefillMs +=
        share * aRequest.prompt / kPromptTokensPerMs * upstream.slowdown;
    const double held = aRequest.Tokens() * hop.layers.Size();
    upstream.used += held;
    hop.upstream->localWork += held;
    stream.held.emplace_back(index, held);
    stream.members.push_back(hop.upstream);
  }
  stream.isSlow = stream.stepMs * kStepsPerEvent > kMaxEventGapMs;
  this->result.hops += static_cast<double>(aChain.size());
  this->result.stepMs += stream.stepMs;
  this->result.served += 1;
  const PoolHop& first = aChain.front();
  stream.sentAt = this->now;
  stream.expectedWait = first.upstream->firstStage.ExpectedWait(
      first.upstream->Entry().slots, this->meter.ResponseSeconds(), this->now);
  stream.expectedFirstEvent = this->now - aRequest.arrivedAt +
                              this->meter.UsualFirstEvent() +
                              stream.expectedWait;
  first.upstream->firstStage.OnStarted(this->now);
  const std::size_t number = this->streams.size();
  this->streams.push_back(std::move(stream));
  SimulatedUpstream& stage =
      this->upstreams[this->streams[number].held[0].first];
  if (stage.running < stage.placed.slots) {
    this->RunStream(number);
  } else {
    stage.queue.push_back(number);
  }
}

void PoolReplay::RunStream(std::size_t aStream) {
  const Stream& stream = this->streams[aStream];
  this->upstreams[stream.held[0].first].running += 1;
  const double firstMs = stream.prefillMs + stream.stepMs * kStepsPerEvent;
  this->At(this->now + FromSeconds(firstMs / 1000),
           [this, aStream] { this->OnFirstEvent(aStream); });
  const double seconds =
      (stream.prefillMs + stream.stepMs * stream.request.steps) / 1000;
  this->At(this->now + FromSeconds(seconds),
           [this, aStream] { this->End(aStream); });
}

void PoolReplay::OnFirstEvent(std::size_t aStream) {
  const Stream& stream = this->streams[aStream];
  const Micros delay = this->now - stream.request.arrivedAt;
  const bool isLate = delay > kFirstEventLimit;
  this->result.late += isLate ? 1 : 0;
  const Instant restartAt =
      this->end - this->load.length + this->load.restartAt;
  if (this->load.restartAt > Micros{0} &&
      stream.request.arrivedAt >= restartAt) {
    this->result.restarted += 1;
    this->result.lateRestarted += isLate ? 1 : 0;
  }
  this->meter.OnFirstEvent(this->now - stream.sentAt, stream.expectedWait);
  this->result.errorMs +=
      std::abs(ToSeconds(delay - stream.expectedFirstEvent)) * 1000;
  const SimulatedUpstream& stage = this->upstreams[stream.held[0].first];
  stream.members.front()->firstStage.Announce(
      {stage.running, static_cast<int>(stage.queue.size()), this->now});
}

void PoolReplay::End(std::size_t aStream) {
  Stream& stream = this->streams[aStream];
  for (std::size_t i = 0; i < stream.held.size(); ++i) {
    const auto& [index, held] = stream.held[i];
    this->upstreams[index].used -= held;
    stream.members[i]->localWork -= held;
  }
  stream.members.front()->firstStage.OnEnded();
  this->meter.OnCompleted(this->now - stream.request.arrivedAt);
  SimulatedUpstream& stage = this->upstreams[stream.held[0].first];
  stream.held.clear();
  stream.members.clear();
  this->result.interrupted += stream.isInterrupted ? 1 : 0;
  this->result.slow += stream.isSlow ? 1 : 0;
  stage.running -= 1;
  if (!stage.queue.empty()) {
    const std::size_t next = stage.queue.front();
    stage.queue.pop_front();
    this->RunStream(next);
  }
}

void PoolReplay::RecordRefusal(const std::string& aDomain) {
  this->result.refused += 1;
  double used = 0;
  double capacity = 0;
  for (const SimulatedUpstream& upstream : this->upstreams) {
    if (upstream.placed.failureDomain == aDomain && !upstream.isLost) {
      used += upstream.used;
      capacity += upstream.capacity;
    }
  }
  this->result.refusedWhileFree += used < capacity / 2 ? 1 : 0;
}

void PoolReplay::SendReport(std::size_t aDaemon) {
  if (this->now >= this->end) {
    return;
  }
  const Daemon& reporter = this->daemons[aDaemon];
  for (Daemon& other : this->daemons) {
    if (&other == &reporter || other.domain != reporter.domain) {
      continue;
    }
    std::vector<PeerShare> shares;
    for (std::size_t i = 0; i < reporter.view.size(); ++i) {
      const LiveUpstream& upstream = *reporter.view[i];
      if (upstream.localWork > 0) {
        shares.push_back(
            {other.view[i], upstream.localWork, upstream.firstStage.Local()});
      }
      if (const auto announced =
              upstream.firstStage.AnnouncedHere(this->now, kSentLoadMaxAge)) {
        other.view[i]->firstStage.Announce(*announced, LoadSource::Peer);
      }
    }
    other.peerWork.Update(reporter.name, std::move(shares), this->now);
  }
  this->At(this->now + kReportInterval,
           [this, aDaemon] { this->SendReport(aDaemon); });
}

void PoolReplay::StartFault(const ReplayFault& aFault) {
  std::vector<std::size_t> selected(this->upstreams.size());
  for (std::size_t i = 0; i < selected.size(); ++i) {
    selected[i] = i;
  }
  for (std::size_t i = selected.size() - 1; i > 0; --i) {
    std::swap(selected[i], selected[this->random.Below(i + 1)]);
  }
  selected.resize(static_cast<std::size_t>(
      static_cast<double>(selected.size()) * aFault.share));
  for (const std::size_t index : selected) {
    if (aFault.slowdown > 0) {
      this->upstreams[index].slowdown = aFault.slowdown;
      this->At(this->now + aFault.duration,
               [this, index] { this->upstreams[index].slowdown = 1; });
      continue;
    }
    this->upstreams[index].isLost = true;
    for (Stream& stream : this->streams) {
      for (const auto& [held, amount] : stream.held) {
        stream.isInterrupted = stream.isInterrupted || held == index;
      }
    }
  }
  const Instant until = this->now + aFault.duration;
  for (Instant at = this->now + kSlowdownDelay;
       aFault.slowdown > 0 && at < until; at += 1s) {
    this->At(at, [this, selected, slowdown = aFault.slowdown] {
      for (Daemon& daemon : this->daemons) {
        for (const std::size_t index : selected) {
          daemon.view[index]->SetSlowdown(slowdown, this->now);
        }
      }
    });
  }
}

std::size_t PoolReplay::IndexOf(const UpstreamPtr& aUpstream) const {
  return this->indices.at(aUpstream->Entry().id);
}

}  // namespace zincstep
