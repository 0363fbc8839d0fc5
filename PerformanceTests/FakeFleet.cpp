#include "PerformanceTests/FakeFleet.h"

#include <algorithm>
#include <cmath>

namespace zincstep::bench {

namespace {

constexpr double kFastestLayerSeconds = 100e-6;
constexpr double kKindSlowdowns[] = {1, 3, 10};
constexpr int kKindLayers[] = {12, 8, 4};
constexpr double kFastLinkSeconds = 0.2e-3;
constexpr double kSlowLinkSeconds = 20e-3;
constexpr double kSlowLinkTokensPerSecond = 400;

/// Decode step of one token at one hop of its chain.
struct Step {
  int sequence = 0;
  std::size_t hop = 0;
};

/// Simulation event; `order` breaks ties between events of the same time.
struct Event {
  double time = 0;
  std::uint64_t order = 0;
  int kind = 0;
  /// Index of the replica; -1 for the start of a sequence.
  int replica = 0;
  Step step;

  bool operator>(const Event& aOther) const {
    return this->time != aOther.time ? this->time > aOther.time
                                     : this->order > aOther.order;
  }
};

enum EventKind { kStepArrival, kStepServed, kReportTimer };

struct Sequence {
  int decider = 0;
  Chain chain;
  int tokens = 0;
};

/// Discrete-event simulation of one run.
class FleetRun {
 public:
  FleetRun(const Fleet& aFleet, ChainPolicy& aPolicy,
           const RunSettings& aSettings)
      : fleet(aFleet),
        policy(aPolicy),
        settings(aSettings),
        queues(aFleet.replicas.size()),
        busySlots(aFleet.replicas.size(), 0),
        activeSequences(aFleet.replicas.size(), 0),
        linkFreeAt(aFleet.links.size(), 0) {
    this->result.meanSequences.assign(aFleet.replicas.size(), 0);
  }

  RunResult Run() {
    Random random(this->settings.seed);
    for (int i = 0; i < this->settings.sequences; ++i) {
      this->sequences.push_back({i % this->settings.deciders, {}, 0});
      // Starts are spread over the first quarter of the warm-up.
      this->Push(random.Unit() * this->settings.warmUpSeconds / 4, kStepArrival,
                 -1, {i, 0});
    }
    this->Push(0, kReportTimer, 0, {});
    const double end =
        this->settings.warmUpSeconds + this->settings.measuredSeconds;
    while (!this->events.empty() && this->events.top().time < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      this->Handle(event);
    }
    this->result.tokensPerSecond = static_cast<double>(this->measuredTokens) /
                                   this->settings.measuredSeconds;
    for (double& mean : this->result.meanSequences) {
      mean /= std::max(1, this->samples);
    }
    return this->result;
  }

 private:
  void Push(double aTime, int aKind, int aReplica, Step aStep) {
    this->events.push({aTime, ++this->order, aKind, aReplica, aStep});
  }

  Instant Now() const { return Instant{FromSeconds(this->now + 1)}; }

  void Handle(const Event& aEvent) {
    if (aEvent.kind == kReportTimer) {
      this->OnReportTimer();
    } else if (aEvent.kind == kStepServed) {
      this->busySlots[static_cast<std::size_t>(aEvent.replica)] -= 1;
      this->ServeQueue(aEvent.replica);
      this->OnStepServed(aEvent.step);
    } else if (aEvent.replica < 0) {
      this->StartSequence(aEvent.step.sequence);
    } else {
      this->queues[static_cast<std::size_t>(aEvent.replica)].push_back(
          aEvent.step);
      this->ServeQueue(aEvent.replica);
    }
  }

  void OnReportTimer() {
    this->policy.OnReports(this->activeSequences, this->Now());
    if (this->now >= this->settings.warmUpSeconds) {
      this->samples += 1;
      for (std::size_t i = 0; i < this->activeSequences.size(); ++i) {
        this->result.meanSequences[i] += this->activeSequences[i];
      }
    }
    this->Push(this->now + this->settings.reportIntervalSeconds, kReportTimer,
               0, {});
  }

  void StartSequence(int aSequence) {
    Sequence& sequence = this->sequences[static_cast<std::size_t>(aSequence)];
    sequence.chain = this->policy.Choose(sequence.decider, this->Now());
    sequence.tokens = 0;
    for (const ChainHop& hop : sequence.chain.hops) {
      this->activeSequences[static_cast<std::size_t>(hop.replica)] += 1;
    }
    this->Push(this->now, kStepArrival, sequence.chain.hops[0].replica,
               {aSequence, 0});
  }

  void ServeQueue(int aReplica) {
    const auto index = static_cast<std::size_t>(aReplica);
    const FleetReplica& replica = this->fleet.replicas[index];
    while (!this->queues[index].empty() &&
           this->busySlots[index] < static_cast<int>(replica.slots)) {
      const Step step = this->queues[index].front();
      this->queues[index].pop_front();
      this->busySlots[index] += 1;
      const Sequence& sequence =
          this->sequences[static_cast<std::size_t>(step.sequence)];
      const double serviceSeconds =
          replica.layerSeconds * sequence.chain.hops[step.hop].layers.Size();
      this->Push(this->now + serviceSeconds, kStepServed, aReplica, step);
    }
  }

  void OnStepServed(Step aStep) {
    Sequence& sequence =
        this->sequences[static_cast<std::size_t>(aStep.sequence)];
    if (aStep.hop + 1 < sequence.chain.hops.size()) {
      const int from = sequence.chain.hops[aStep.hop].replica;
      const int to = sequence.chain.hops[aStep.hop + 1].replica;
      const double arrival = this->ComputeArrival(from, to);
      this->Push(arrival, kStepArrival, to, {aStep.sequence, aStep.hop + 1});
      return;
    }
    sequence.tokens += 1;
    this->measuredTokens += this->now >= this->settings.warmUpSeconds ? 1 : 0;
    if (sequence.tokens < this->settings.tokensPerSequence) {
      this->Push(this->now, kStepArrival, sequence.chain.hops[0].replica,
                 {aStep.sequence, 0});
      return;
    }
    for (const ChainHop& hop : sequence.chain.hops) {
      this->activeSequences[static_cast<std::size_t>(hop.replica)] -= 1;
    }
    this->policy.OnEnd(sequence.decider, sequence.chain);
    this->StartSequence(aStep.sequence);
  }

  double ComputeArrival(int aFrom, int aTo) {
    const int from =
        this->fleet.replicas[static_cast<std::size_t>(aFrom)].domain;
    const int to = this->fleet.replicas[static_cast<std::size_t>(aTo)].domain;
    const FleetLink& link = this->fleet.LinkBetween(from, to);
    double start = this->now;
    if (link.tokensPerSecond > 0) {
      double& freeAt = this->linkFreeAt[static_cast<std::size_t>(
          from * this->fleet.domains + to)];
      freeAt = std::max(freeAt, this->now) + 1 / link.tokensPerSecond;
      start = freeAt;
    }
    return start + link.oneWaySeconds;
  }

  const Fleet& fleet;
  ChainPolicy& policy;
  RunSettings settings;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  double now = 0;
  std::vector<Sequence> sequences;
  std::vector<std::deque<Step>> queues;
  std::vector<int> busySlots;
  std::vector<int> activeSequences;
  /// Time at which each link has sent its queued tokens, in seconds.
  std::vector<double> linkFreeAt;
  std::uint64_t measuredTokens = 0;
  int samples = 0;
  RunResult result;
};

}  // namespace

Fleet MakeBenchFleet(const FleetShape& aShape) {
  Random random(aShape.seed);
  Fleet fleet;
  fleet.model = "bench";
  fleet.layers = aShape.layers;
  fleet.domains = aShape.domains;
  const auto domains = static_cast<std::size_t>(aShape.domains);
  fleet.links.assign(domains * domains, {kFastLinkSeconds, 0});
  for (std::size_t from = 0; from < domains; ++from) {
    for (std::size_t to = 0; to < domains; ++to) {
      if (from == to) {
        continue;
      }
      // Links range from the fast one to one a hundred times slower.
      const double share =
          static_cast<double>(from + to) / static_cast<double>(2 * domains - 3);
      const double factor = std::pow(100.0, 1 - std::min(1.0, share));
      fleet.links[from * domains + to] = {kSlowLinkSeconds / factor,
                                          kSlowLinkTokensPerSecond * factor};
    }
  }
  for (int i = 0; i < aShape.replicas; ++i) {
    const int kind = i % 3;
    const int size = kKindLayers[kind];
    // Consecutive ranges start half a range apart, so that they overlap.
    const int starts = aShape.layers - size;
    const int stride = std::max(1, size / 2);
    const int slot = (i / 3) % (starts / stride + 1);
    const int first = std::min(slot * stride, starts);
    const auto domain =
        static_cast<int>(random.Below(static_cast<std::uint64_t>(domains)));
    FleetReplica replica;
    replica.name = "r" + std::to_string(i);
    replica.layers = {first, first + size};
    replica.kind = kind;
    replica.domain = domain;
    replica.layerSeconds = kFastestLayerSeconds * kKindSlowdowns[kind];
    replica.prefillLayerSeconds = replica.layerSeconds / 50;
    replica.slots = 16;
    fleet.replicas.push_back(replica);
  }
  return fleet;
}

RunResult RunFleet(const Fleet& aFleet, ChainPolicy& aPolicy,
                   const RunSettings& aSettings) {
  return FleetRun(aFleet, aPolicy, aSettings).Run();
}

}  // namespace zincstep::bench
