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
}

PoolReplay::PoolReplay(const ModelShape& aModel,
                       std::vector<PlacedUpstream> aPool, ReplayLoad aLoad,
                       std::uint64_t aSeed)
    : model(aModel), load(std::move(aLoad)), random(aSeed) {
  this->end = this->now + this->load.length;
  for (PlacedUpstream& one : aPool) {
    if (std::find(this->domains.begin(), this->domains.end(),
                  one.failureDomain) == this->domains.end()) {
      this->domains.push_back(one.failureDomain);
    }
    const double capacity = RequestMemory(
        this->model, *this->model.FindKind(one.kind), one.layers, one.slots);
    this->indices[one.id] = this->upstreams.size();
    this->upstreams.push_back({std::move(one), 0, capacity, 1, false});
  }
  for (const std::string& domain : this->domains) {
    for (int i = 0; i < this->load.daemonsPerDomain; ++i) {
      Daemon daemon;
      daemon.name = domain + std::to_string(i);
      daemon.domain = domain;
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
  const double factor = aDomain == 0 && elapsed >= this->load.shiftAt
                            ? this->load.shiftFactor
                            : 1;
  const double gap =
      -std::log(1 - this->random.Unit()) / (this->load.arrivals * factor);
  this->At(this->now + FromSeconds(gap),
           [this, aDomain] { this->OnArrival(aDomain); });
  this->result.arrivals += 1;
  const auto daemonsPerDomain =
      static_cast<std::size_t>(this->load.daemonsPerDomain);
  this->TryStart(
      aDomain * daemonsPerDomain + this->random.Below(daemonsPerDomain),
      kAttempts);
}

std::optional<std::size_t> PoolReplay::RefusedBy(
    const PoolChain& aChain) const {
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    const SimulatedUpstream& upstream = this->upstreams[index];
    const double required = this->load.prompt * hop.layers.Size();
    if (upstream.isLost || upstream.used + required > upstream.capacity) {
      return index;
    }
  }
  return std::nullopt;
}

void PoolReplay::TryStart(std::size_t aDaemon, int aAttemptsLeft) {
  Daemon& daemon = this->daemons[aDaemon];
  const double tokens = this->load.prompt + this->load.steps / 2;
  const auto chain = this->chooser.Choose(
      this->model, daemon.view, daemon.domain, tokens, this->now, this->random);
  if (!chain) {
    this->RecordRefusal(daemon.domain);
    return;
  }
  const auto refused = this->RefusedBy(*chain);
  if (!refused) {
    this->StartStream(aDaemon, *chain);
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
    daemon.view[*refused]->EjectUntil(this->now + kEjectionTime);
  }
  if (aAttemptsLeft <= 1) {
    this->RecordRefusal(daemon.domain);
    return;
  }
  this->At(this->now + kRefusalDelay, [this, aDaemon, aAttemptsLeft] {
    this->TryStart(aDaemon, aAttemptsLeft - 1);
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

void PoolReplay::StartStream(std::size_t aDaemon, const PoolChain& aChain) {
  Stream stream;
  stream.daemon = aDaemon;
  const double tokens = this->load.prompt + this->load.steps / 2;
  double stepMs = 0;
  double prefillMs = 0;
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    SimulatedUpstream& upstream = this->upstreams[index];
    const PoolKind& kind = *this->model.FindKind(upstream.placed.kind);
    const double share =
        static_cast<double>(hop.layers.Size()) / this->model.layers;
    stepMs += kHopMs + share * ToSeconds(this->model.stepTime) * 1000 *
                           kind.stepFactor * upstream.slowdown;
    prefillMs +=
        share * this->load.prompt / kPromptTokensPerMs * upstream.slowdown;
    const double held = tokens * hop.layers.Size();
    upstream.used += held;
    hop.upstream->localWork += held;
    stream.held.emplace_back(index, held);
  }
  stream.isSlow = stepMs * kStepsPerEvent > kMaxEventGapMs;
  this->result.hops += static_cast<double>(aChain.size());
  this->result.served += 1;
  const std::size_t number = this->streams.size();
  this->streams.push_back(std::move(stream));
  const double seconds = (prefillMs + stepMs * this->load.steps) / 1000;
  this->At(this->now + FromSeconds(seconds),
           [this, number] { this->End(number); });
}

void PoolReplay::End(std::size_t aStream) {
  Stream& stream = this->streams[aStream];
  for (const auto& [index, held] : stream.held) {
    this->upstreams[index].used -= held;
    this->daemons[stream.daemon].view[index]->localWork -= held;
  }
  stream.held.clear();
  this->result.interrupted += stream.isInterrupted ? 1 : 0;
  this->result.slow += stream.isSlow ? 1 : 0;
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
      if (reporter.view[i]->localWork > 0) {
        shares.push_back({other.view[i], reporter.view[i]->localWork});
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
