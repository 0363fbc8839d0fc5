#pragma once

#include <asio.hpp>

#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {

/// Computes placement plans on a separate thread: a plan for thousands of
/// upstreams takes tenths of a second, which must not delay lease renewals,
/// validations and callers.
class PlanThread final : public PlanRunner {
 public:
  PlanThread(asio::io_context& aLoop, PlacementSettings aSettings);

  void Start(PlanTask aTask, Done aDone) override;

 private:
  struct Work {
    PlanTask task;
    Done done;
  };

  void Run(Work aWork);

  asio::io_context& loop;
  PlacementPlanner planner;
  TaskThread<Work> thread;
};

}  // namespace zincstep
