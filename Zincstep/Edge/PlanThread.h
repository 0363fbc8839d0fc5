#pragma once

#include <asio.hpp>

#include "Zincstep/Cluster/Cluster.h"

namespace zincstep {

/// Makes plans on a thread of its own: a plan for thousands of upstreams takes
/// tenths of a second, in which renewals, proofs and callers must not wait.
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
