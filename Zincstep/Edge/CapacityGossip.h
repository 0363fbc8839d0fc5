#pragma once

#include <string>

#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Relay/CapacityScheduler.h"

namespace zincstep {

/// Adds this daemon's demand by priority and organisation to the work messages
/// between the daemons of a failure domain, and applies that of the others.
class CapacityGossip {
 public:
  explicit CapacityGossip(CapacityScheduler& aScheduler)
      : scheduler(aScheduler) {}

  /// Adds this daemon's demand. `aDaemons` are those of the domain, with this
  /// one; `aInterval` is the time between their messages.
  void Fill(WorkGossip& aGossip, std::size_t aDaemons, Micros aInterval);
  /// Applies the demand of another daemon of the domain.
  void Apply(const std::string& aSender, const WorkGossip& aGossip);

 private:
  CapacityScheduler& scheduler;
};

}  // namespace zincstep
