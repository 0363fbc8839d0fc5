#pragma once

#include <functional>
#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Routing/Routing.h"

namespace zincstep {

/// Request for the flow plan of one version of a model.
struct PlanRequest {
  std::string model;
  std::string version;
  /// Identifies the configuration, so that outdated plans can be ignored.
  std::uint64_t generation = 0;
  Fleet fleet;
  std::vector<double> usableShares;
};

/// A computed flow plan.
struct PlanResult {
  std::string model;
  std::string version;
  std::uint64_t generation = 0;
  FlowPlan plan;
};

/// Computes flow plans on its own thread.
///
/// A plan takes tens of milliseconds, as long as a token, so it must not block
/// the thread that drives the streams.
class PlanWorker {
 public:
  using Sink = std::function<void(PlanResult)>;

  /// `aSink` receives each plan, on the worker's thread.
  explicit PlanWorker(Sink aSink);

  /// Queues a request; returns false if the queue is full.
  bool Submit(PlanRequest aRequest) {
    return this->requests.Push(std::move(aRequest));
  }

 private:
  TaskThread<PlanRequest> requests;
};

}  // namespace zincstep
