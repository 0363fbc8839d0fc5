#pragma once

#include <functional>
#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Routing/Routing.h"

namespace zincstep {

/// Asks for the flow plan of one version of one model.
struct PlanOrder {
  std::string model;
  std::string version;
  /// Tells plans of an earlier configuration from present ones.
  std::uint64_t generation = 0;
  Fleet fleet;
  std::vector<double> usableShares;
};

/// A computed plan.
struct PlanResult {
  std::string model;
  std::string version;
  std::uint64_t generation = 0;
  FlowPlan plan;
};

/// Computes flow plans on a thread of its own.
///
/// A plan takes tens of milliseconds, as long as a token: the thread that
/// drives the streams must not wait for it.
class PlanWorker {
 public:
  using Sink = std::function<void(PlanResult)>;

  /// `aSink` is called on the worker's thread.
  explicit PlanWorker(Sink aSink);

  /// Orders a plan; false where the worker is too far behind.
  bool Order(PlanOrder aOrder) { return this->orders.Push(std::move(aOrder)); }

 private:
  TaskThread<PlanOrder> orders;
};

}  // namespace zincstep
