#pragma once

/// \file
/// Settings of the edge daemon's components, derived from its own.

#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Relay/Relay.h"

namespace zincstep {

/// Name of the placement leadership's key, under the daemons' prefix.
inline constexpr const char* kPlacementLeaseKey = "placement-duty";

RelaySettings MakeRelaySettings(const EdgeSettings& aSettings,
                                Instant aStartedAt);
ChainChooserSettings MakeChooserSettings(const EdgeSettings& aSettings);
PlacementControllerSettings MakeControllerSettings(
    const EdgeSettings& aSettings);
CallLimitSettings MakeLimitSettings(const EdgeSettings& aSettings);
StoreFollowerSettings MakeFollowerSettings(const EdgeSettings& aSettings,
                                           const ClusterKeys& aKeys);
ForwardChooserSettings MakeForwardSettings(const EdgeSettings& aSettings);
LoadStatisticsSettings MakeStatisticsSettings(const EdgeSettings& aSettings);
StopPolicySettings MakeStopSettings(const EdgeSettings& aSettings);
/// Returns the limits of requests that other daemons forward, for callers'
/// limits of a new configuration and the result for the former one. Sizes never
/// shrink: the other daemon may have accepted the request by a former version,
/// and limits what its callers send.
CallerLimits LimitsOfForwarded(const CallerLimits& aCallers,
                               const CallerLimits& aFormer);

}  // namespace zincstep
