#include "Zincstep/Entry/PlanWorker.h"

namespace zincstep {

namespace {

constexpr std::size_t kMaxRequests = 256;

}  // namespace

PlanWorker::PlanWorker(Sink aSink)
    : requests(kMaxRequests,
               [sink = std::move(aSink)](const PlanRequest& aRequest) {
                 sink({aRequest.model, aRequest.version, aRequest.generation,
                       ComputeFlowPlan(aRequest.fleet, aRequest.usableShares)});
               }) {}

}  // namespace zincstep
