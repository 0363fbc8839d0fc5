#pragma once

#include "Zincstep/Pool/CallLimits.h"
#include "Zincstep/Pool/UpstreamControl.h"
#include "Zincstep/Pool/UpstreamDirectory.h"

namespace zincstep {

/// Counts the reports and orders that this daemon sends to upstreams, and
/// passes the limits and the load in their responses on.
class CountedControl final : public UpstreamControl {
 public:
  CountedControl(UpstreamControl& aControl, const UpstreamDirectory& aDirectory,
                 CallLimits& aLimits, const Clock& aClock)
      : control(aControl),
        directory(aDirectory),
        limits(aLimits),
        clock(aClock) {}

  void ProbeConnection(const UpstreamEntry& aUpstream, Micros aTimeout,
                       std::function<void(Reachability)> aDone) override;
  void Report(const UpstreamEntry& aUpstream, Micros aTimeout,
              Done<UpstreamReport> aDone) override;
  void Place(const UpstreamEntry& aUpstream, LayerRange aLayers,
             std::uint64_t aExpectedSequence, ReleaseMode aReleaseMode,
             Done<OrderOutcome> aDone) override;
  void Reroute(const std::string& aRequestId, const PoolChain& aChain,
               Done<OrderOutcome> aDone) override;

 private:
  void Count(std::uint64_t aUpstream, UpstreamCall aCall);

  UpstreamControl& control;
  const UpstreamDirectory& directory;
  CallLimits& limits;
  const Clock& clock;
};

}  // namespace zincstep
