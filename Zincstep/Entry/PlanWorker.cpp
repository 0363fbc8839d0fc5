#include "Zincstep/Entry/PlanWorker.h"

namespace zincstep {

namespace {

constexpr std::size_t kOrders = 256;

}  // namespace

PlanWorker::PlanWorker(Sink aSink)
    : orders(kOrders, [sink = std::move(aSink)](const PlanOrder& aOrder) {
        sink({aOrder.model, aOrder.version, aOrder.generation,
              ComputeFlowPlan(aOrder.fleet, aOrder.usableShares)});
      }) {}

}  // namespace zincstep
