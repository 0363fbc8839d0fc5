#include "UnitTests/PoolReplay.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

/// Between two tellings of a daemon's work.
constexpr Micros kTellPause = 600ms;
/// An attempt at a chain with a lost member ends after this.
constexpr Micros kRefusalTime = 5ms;
/// A suspicion is told and proved within this.
constexpr Micros kSuspicionTold = 30ms;
/// Attempts of a request, the first included.
constexpr int kTries = 2;
/// A refusing upstream is passed over for so long.
constexpr Micros kPassOver = 300ms;
/// Slow upstreams are known to all daemons after this.
constexpr Micros kPaceKnown = 500ms;
/// Each hop waits for the upstream's pass, in milliseconds a step.
constexpr double kHopMs = 0.6;
/// Prompt tokens that an upstream of factor 1 reads in a millisecond.
constexpr double kReadPerMs = 236;
/// Steps between two events, and the longest pause that callers accept.
constexpr double kStepsAnEvent = 3;
constexpr double kLongestPauseMs = 300;

}  // namespace

std::vector<PlacedUpstream> LaidOut(const ModelShape& aModel,
                                    std::vector<PlacedUpstream> aPool) {
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
      for (const Truth& truth : this->upstreams) {
        UpstreamEntry entry;
        entry.id = truth.placed.id;
        entry.address = truth.placed.id;
        entry.failureDomain = truth.placed.failureDomain;
        entry.kind = truth.placed.kind;
        entry.layers = truth.placed.layers;
        entry.slots = truth.placed.slots;
        daemon.view.push_back(std::make_shared<LiveUpstream>(entry));
      }
      this->daemons.push_back(std::move(daemon));
    }
  }
}

void PoolReplay::At(Instant aAt, std::function<void()> aRun) {
  this->events.push({aAt, ++this->lastOrder, std::move(aRun)});
}

ReplayResult PoolReplay::Run() {
  for (std::size_t i = 0; i < this->domains.size(); ++i) {
    this->At(this->now, [this, i] { this->Arrive(i); });
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const auto first = Micros{static_cast<std::int64_t>(
        this->random.Unit() * static_cast<double>(kTellPause.count()))};
    this->At(this->now + first, [this, i] { this->Tell(i); });
  }
  for (const ReplayTrouble& trouble : this->load.troubles) {
    this->At(this->now + trouble.at,
             [this, trouble] { this->StartTrouble(trouble); });
  }
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  return this->result;
}

void PoolReplay::Arrive(std::size_t aDomain) {
  if (this->now >= this->end) {
    return;
  }
  const Micros since = this->load.length - (this->end - this->now);
  const double factor =
      aDomain == 0 && since >= this->load.shiftAt ? this->load.shift : 1;
  const double pause =
      -std::log(1 - this->random.Unit()) / (this->load.arrivals * factor);
  this->At(this->now + FromSeconds(pause),
           [this, aDomain] { this->Arrive(aDomain); });
  this->result.arrivals += 1;
  const auto each = static_cast<std::size_t>(this->load.daemonsPerDomain);
  this->Try(aDomain * each + this->random.Below(each), kTries);
}

std::optional<std::size_t> PoolReplay::RefusedBy(
    const PoolChain& aChain) const {
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    const Truth& truth = this->upstreams[index];
    const double wanted = this->load.prompt * hop.layers.Size();
    if (truth.isLost || truth.used + wanted > truth.capacity) {
      return index;
    }
  }
  return std::nullopt;
}

void PoolReplay::Try(std::size_t aDaemon, int aTriesLeft) {
  Daemon& daemon = this->daemons[aDaemon];
  const double tokens = this->load.prompt + this->load.steps / 2;
  const auto chain = this->chooser.Choose(
      this->model, daemon.view, daemon.domain, tokens, this->now, this->random);
  if (!chain) {
    this->Refuse(daemon.domain);
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
    this->At(this->now + kSuspicionTold,
             [this, domain = daemon.domain, index = *refused] {
               this->TellSuspicion(domain, index);
             });
  } else {
    daemon.view[*refused]->EjectUntil(this->now + kPassOver);
  }
  if (aTriesLeft <= 1) {
    this->Refuse(daemon.domain);
    return;
  }
  this->At(this->now + kRefusalTime,
           [this, aDaemon, aTriesLeft] { this->Try(aDaemon, aTriesLeft - 1); });
}

void PoolReplay::TellSuspicion(const std::string& aDomain,
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
  double readMs = 0;
  for (const PoolHop& hop : aChain) {
    const std::size_t index = this->IndexOf(hop.upstream);
    Truth& truth = this->upstreams[index];
    const PoolKind& kind = *this->model.FindKind(truth.placed.kind);
    const double share =
        static_cast<double>(hop.layers.Size()) / this->model.layers;
    stepMs += kHopMs + share * ToSeconds(this->model.stepTime) * 1000 *
                           kind.stepFactor * truth.pace;
    readMs += share * this->load.prompt / kReadPerMs * truth.pace;
    const double held = tokens * hop.layers.Size();
    truth.used += held;
    hop.upstream->localWork += held;
    stream.held.emplace_back(index, held);
  }
  stream.isSlow = stepMs * kStepsAnEvent > kLongestPauseMs;
  this->result.hops += static_cast<double>(aChain.size());
  this->result.served += 1;
  const std::size_t number = this->streams.size();
  this->streams.push_back(std::move(stream));
  const double seconds = (readMs + stepMs * this->load.steps) / 1000;
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

void PoolReplay::Refuse(const std::string& aDomain) {
  this->result.refused += 1;
  double used = 0;
  double capacity = 0;
  for (const Truth& truth : this->upstreams) {
    if (truth.placed.failureDomain == aDomain && !truth.isLost) {
      used += truth.used;
      capacity += truth.capacity;
    }
  }
  this->result.refusedWhileFree += used < capacity / 2 ? 1 : 0;
}

void PoolReplay::Tell(std::size_t aDaemon) {
  if (this->now >= this->end) {
    return;
  }
  const Daemon& teller = this->daemons[aDaemon];
  for (Daemon& other : this->daemons) {
    if (&other == &teller || other.domain != teller.domain) {
      continue;
    }
    std::vector<PeerShare> shares;
    for (std::size_t i = 0; i < teller.view.size(); ++i) {
      if (teller.view[i]->localWork > 0) {
        shares.push_back({other.view[i], teller.view[i]->localWork});
      }
    }
    other.peerWork.Update(teller.name, std::move(shares), this->now);
  }
  this->At(this->now + kTellPause, [this, aDaemon] { this->Tell(aDaemon); });
}

void PoolReplay::StartTrouble(const ReplayTrouble& aTrouble) {
  std::vector<std::size_t> drawn(this->upstreams.size());
  for (std::size_t i = 0; i < drawn.size(); ++i) {
    drawn[i] = i;
  }
  for (std::size_t i = drawn.size() - 1; i > 0; --i) {
    std::swap(drawn[i], drawn[this->random.Below(i + 1)]);
  }
  drawn.resize(static_cast<std::size_t>(static_cast<double>(drawn.size()) *
                                        aTrouble.share));
  for (const std::size_t index : drawn) {
    if (aTrouble.pace > 0) {
      this->upstreams[index].pace = aTrouble.pace;
      this->At(this->now + aTrouble.lasts,
               [this, index] { this->upstreams[index].pace = 1; });
      continue;
    }
    this->upstreams[index].isLost = true;
    for (Stream& stream : this->streams) {
      for (const auto& [held, amount] : stream.held) {
        stream.isInterrupted = stream.isInterrupted || held == index;
      }
    }
  }
  const Instant until = this->now + aTrouble.lasts;
  for (Instant at = this->now + kPaceKnown; aTrouble.pace > 0 && at < until;
       at += 1s) {
    this->At(at, [this, drawn, pace = aTrouble.pace] {
      for (Daemon& daemon : this->daemons) {
        for (const std::size_t index : drawn) {
          daemon.view[index]->SetSlowdown(pace, this->now);
        }
      }
    });
  }
}

std::size_t PoolReplay::IndexOf(const UpstreamPtr& aUpstream) const {
  return this->indices.at(aUpstream->Entry().id);
}

}  // namespace zincstep
