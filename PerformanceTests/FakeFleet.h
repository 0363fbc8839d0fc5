#pragma once

#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "Zincstep/Routing/Routing.h"

namespace zincstep::bench {

/// Size of a synthetic fleet and the seed of its layout.
struct FleetShape {
  int replicas = 68;
  int layers = 32;
  int domains = 3;
  std::uint64_t seed = 1;
};

/// Builds a fleet of 3 accelerator kinds (step times 1:3:10) with overlapping
/// layer ranges, on links whose latency and bandwidth differ by a factor of
/// 100.
Fleet MakeBenchFleet(const FleetShape& aShape);

/// Chooses chains; one object acts for all deciders (daemons) of a run.
class ChainPolicy {
 public:
  virtual ~ChainPolicy() = default;

  /// Returns the name used in the printed figures.
  virtual std::string Name() const = 0;
  /// Returns the chain for a new sequence of one decider.
  virtual Chain Choose(int aDecider, Instant aNow) = 0;
  /// Called when a sequence ends.
  virtual void OnEnd(int aDecider, const Chain& aChain) = 0;
  /// Called when the upstreams' reports reach the deciders: the active
  /// sequences of each replica.
  virtual void OnReports(const std::vector<int>& aSequences, Instant aNow) = 0;
};

/// Results of one run.
struct RunResult {
  double tokensPerSecond = 0;
  /// Time-averaged number of active sequences of each replica.
  std::vector<double> meanSequences;
};

/// Settings of one run.
struct RunSettings {
  int deciders = 14;
  int sequences = 1000;
  int tokensPerSequence = 210;
  double warmUpSeconds = 20;
  double measuredSeconds = 20;
  /// Interval between reports of the upstreams' active sequences.
  double reportIntervalSeconds = 1;
  std::uint64_t seed = 1;
};

/// Runs sequences in a closed loop over queues that simulate the upstreams.
///
/// An upstream serves up to `slots` steps in parallel, each for the time of its
/// layers; a link between domains sends tokens one by one at its bandwidth.
/// Events are processed in the order of a fake clock, so runs are reproducible.
RunResult RunFleet(const Fleet& aFleet, ChainPolicy& aPolicy,
                   const RunSettings& aSettings);

}  // namespace zincstep::bench
