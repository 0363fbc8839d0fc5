#include "Zincstep/Edge/EdgeComponents.h"

#include <algorithm>

#include "Zincstep/Edge/DaemonEntry.h"

namespace zincstep {

namespace {

/// Margin of the limit on revoked keys, for the time between the check of the
/// validation age and the start of the request at an upstream.
constexpr Micros kRevocationMargin = 300ms;
/// Share of the operators' retry ratio that is used. The rest covers requests
/// that arrive in one window and are retried in the next.
constexpr double kRetryRatioUsed = 0.8;
/// Share of a VM's memory that buffered responses may occupy. A buffer that
/// grows may hold twice its size, and is copied once it is complete.
constexpr double kBufferedResponseShare = 0.125;
constexpr double kBytesPerMb = 1 << 20;
/// Bytes of header that a forwarding daemon may add to a request.
constexpr std::size_t kForwardedHeaderBytes = 256;

}  // namespace

RelaySettings MakeRelaySettings(const EdgeSettings& aSettings,
                                Instant aStartedAt) {
  RelaySettings settings;
  settings.failureDomain = aSettings.failureDomain;
  settings.maxValidationAge = aSettings.keyRevocation - kRevocationMargin;
  settings.failsClosed = aSettings.failsClosed;
  settings.retries.window = FromSeconds(aSettings.retryWindowSeconds);
  settings.retries.perRequest = aSettings.retryRatio * kRetryRatioUsed;
  settings.retries.burst = RetryShare(aSettings.retrySlack, {});
  if (!aSettings.isFirstStart) {
    settings.retries.burstFrom = aStartedAt + settings.retries.window;
  }
  settings.drainNotice = aSettings.drainNotice;
  settings.maxBufferedBytes = static_cast<std::size_t>(
      aSettings.memoryMb * kBytesPerMb * kBufferedResponseShare);
  settings.features = aSettings.features;
  return settings;
}

ChainChooserSettings MakeChooserSettings(const EdgeSettings& aSettings) {
  ChainChooserSettings settings;
  settings.firstStageBalance = aSettings.features.firstStageBalance;
  settings.domains.expectedLoad = aSettings.features.domainDemand;
  return settings;
}

PlacementControllerSettings MakeControllerSettings(
    const EdgeSettings& aSettings) {
  PlacementControllerSettings settings;
  settings.name = aSettings.name;
  settings.key = aSettings.storePrefix + kPlacementLeaseKey;
  settings.domainDemand = aSettings.features.domainDemand;
  return settings;
}

CallLimitSettings MakeLimitSettings(const EdgeSettings& aSettings) {
  CallLimitSettings settings;
  settings.ownName = aSettings.name;
  settings.ownDomain = aSettings.failureDomain;
  return settings;
}

StoreFollowerSettings MakeFollowerSettings(const EdgeSettings& aSettings,
                                           const ClusterKeys& aKeys) {
  StoreFollowerSettings settings;
  settings.keys = aKeys;
  settings.keys.domainDaemons =
      aKeys.daemons + DaemonEntry::PrefixOf(aSettings.failureDomain);
  settings.maxSyncStaleness = MaxSyncStaleness(aSettings);
  return settings;
}

ForwardChooserSettings MakeForwardSettings(const EdgeSettings& aSettings) {
  ForwardChooserSettings settings;
  settings.failureDomain = aSettings.failureDomain;
  return settings;
}

LoadStatisticsSettings MakeStatisticsSettings(const EdgeSettings& aSettings) {
  LoadStatisticsSettings settings;
  settings.failureDomain = aSettings.failureDomain;
  return settings;
}

StopPolicySettings MakeStopSettings(const EdgeSettings& aSettings) {
  StopPolicySettings settings;
  settings.gracePeriod = FromSeconds(aSettings.stopGraceSeconds);
  return settings;
}

CallerLimits LimitsOfForwarded(const CallerLimits& aCallers,
                               const CallerLimits& aFormer) {
  CallerLimits limits = aCallers;
  limits.maxHeaderBytes = std::max(
      limits.maxHeaderBytes + kForwardedHeaderBytes, aFormer.maxHeaderBytes);
  limits.maxBodyBytes = std::max(limits.maxBodyBytes, aFormer.maxBodyBytes);
  return limits;
}

}  // namespace zincstep
