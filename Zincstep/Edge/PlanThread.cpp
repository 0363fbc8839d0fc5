#include "Zincstep/Edge/PlanThread.h"

#include "Zincstep/Process/Process.h"

namespace zincstep {

namespace {

/// Maximum number of queued plans: at most one per model, of which a
/// configuration has a few.
constexpr std::size_t kMaxQueuedPlans = 64;

}  // namespace

PlanThread::PlanThread(asio::io_context& aLoop, PlacementSettings aSettings)
    : loop(aLoop),
      planner(aSettings),
      thread(kMaxQueuedPlans,
             [this](Work aWork) { this->Run(std::move(aWork)); }) {}

void PlanThread::Start(PlanTask aTask, Done aDone) {
  const bool isQueued = this->thread.Push({std::move(aTask), aDone});
  if (!isQueued) {
    LogWarning("placement_plan_dropped", {{"reason", "too many queued plans"}});
    asio::post(this->loop, [done = std::move(aDone)] { done({}); });
  }
}

void PlanThread::Run(Work aWork) {
  // Without orders the controller plans again later.
  PlanOutcome outcome;
  RunGuarded("plans", [&] { outcome = MakePlan(this->planner, aWork.task); });
  asio::post(this->loop, [done = std::move(aWork.done),
                          result = std::move(outcome)]() mutable {
    done(std::move(result));
  });
}

}  // namespace zincstep
