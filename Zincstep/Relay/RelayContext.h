#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Net/BodyBuffer.h"
#include "Zincstep/Net/ConnectionPool.h"
#include "Zincstep/Relay/CapacityScheduler.h"
#include "Zincstep/Relay/CrashDetector.h"
#include "Zincstep/Relay/ForwardChooser.h"
#include "Zincstep/Relay/LoadStatistics.h"
#include "Zincstep/Relay/ReachMonitor.h"
#include "Zincstep/Relay/RelayDialect.h"
#include "Zincstep/Relay/RouteDurations.h"
#include "Zincstep/Relay/StopPolicy.h"
#include "Zincstep/Relay/UpstreamProber.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Settings of the relay.
struct RelaySettings {
  std::string failureDomain;
  /// Maximum age of the validation that keys have not changed: the operators'
  /// bound less a margin for the time between validation and use.
  Micros maxValidationAge = 4800ms;
  /// Whether keys are refused without such a validation.
  bool failsClosed = true;
  /// Limit on the retries of each service: a share of the requests plus this
  /// daemon's part of a burst that all daemons divide among them.
  RetryWindowSettings retries;
  /// Connect timeout; exceeding it counts as a failure of the upstream. Round
  /// trips take under 2 ms; a lost SYN is retransmitted only after 1 s.
  Micros connectTimeout = 250ms;
  /// Time without a first event after which the upstream is queried about the
  /// stream: several times the usual prompt processing time.
  Micros firstEventTimeout = 400ms;
  /// The same between events: six times the usual gap.
  Micros eventTimeout = 150ms;
  /// Time without events after which the connection counts as dead although
  /// the upstream is alive, has no requests queued and does not list the stream
  /// as stalled. Half of the time after which callers disconnect, which leaves
  /// the other half for a new run. Without this check such a stream never
  /// continues (0 of 2 did in the test, 2 of 2 with it).
  Micros silentConnectionTimeout = 1s;
  /// Interval between queries to one upstream for its stalled requests.
  Micros stallQueryInterval = 150ms;
  Micros reportTimeout = 300ms;
  /// Interval between attempts to repair one stream.
  Micros repairInterval = 200ms;
  /// Time for which an upstream that refused is ejected: it may be out of
  /// memory, or hold other layers than its entry says.
  Micros refusalBackoff = 300ms;
  /// Maximum Retry-After of requests that a plain service refused or that were
  /// refused due to outdated state; short, as both recover by themselves.
  Micros busyRetryAfter = 400ms;
  /// Retry-After of requests for which a split model has no capacity, as a
  /// share of the time to load all its layers. Capacity is short after the loss
  /// of an upstream, and the largest hold a third of the layers; an earlier
  /// retry finds it short again (docs/results/decisions.md).
  double noCapacityRetryLoads = 0.3;
  /// Time that requests wait for the daemon's first configuration and list of
  /// upstreams, which arrive some tenths of a second after its start. Callers
  /// that are refused at once retry only seconds later; one power loss had
  /// 1,360 such refusals within a second.
  Micros initialStateTimeout = 1s;
  /// Maximum number of sends per request, including refused ones.
  int maxSends = 6;
  /// Share of the retry burst reserved for streams that have begun. Callers
  /// can retry a request that has not begun, but not a stream.
  double reservedForStreams = 0.5;
  /// Bytes buffered for a slow caller at which reading from the upstream stops.
  std::size_t maxPendingBytes = 256 << 10;
  /// Maximum size of a buffered response body: that of a request's body.
  std::size_t maxResponseBytes = 4 << 20;
  /// The same for all buffered responses together, but for short ones.
  std::size_t maxBufferedBytes = 32 << 20;
  /// Time for which an upstream that announced its departure still serves its
  /// running requests.
  Micros drainNotice = 2s;
  LoadFeatures features;
};

/// Returns a Retry-After header, in seconds with three decimals.
HttpHeader RetryAfterHeader(Micros aSpan);

/// Observations that the repair of streams is estimated by.
struct RepairStatistics {
  /// Moving average of the time from the start of a run to its first event; the
  /// initial value is the one measured while nothing is queued.
  double firstEventSeconds = 0.07;

  void OnFirstEvent(Micros aTime) {
    constexpr double kWeight = 0.05;
    this->firstEventSeconds +=
        kWeight * (ToSeconds(aTime) - this->firstEventSeconds);
  }
};

struct AdmittedRequest;
struct ExchangeProgress;

/// State shared by all exchanges of a daemon.
struct RelayContext {
  asio::io_context& loop;
  const RelaySettings& settings;
  const RelayDialect& dialect;
  ClusterView& view;
  UpstreamControl& control;
  const Clock& clock;
  Random& random;
  Metrics& metrics;
  UpstreamProber& prober;
  /// Requests under which upstreams crashed.
  CrashTracker& crashes;
  CrashDetector& crashDetector;
  /// Pool for requests that may run more than once.
  ConnectionPool& connections;
  /// Call limits that upstreams announce.
  CallLimits& limits;
  ChainChooser& chains;
  ServiceChooser& services;
  /// Demand of requests to split models.
  DemandMeter& demand;
  /// Counts for operators.
  LoadStatistics& statistics;
  /// Keyed by service.
  std::map<std::string, RetryWindow>& retryWindows;
  /// Decides which new requests are accepted while the daemon stops.
  const StopPolicy& stopPolicy;
  /// Services that this daemon can't reach, and the daemons that may serve
  /// their requests instead.
  ReachMonitor& reach;
  ForwardChooser& forwards;
  /// Called when an exchange marks an upstream as suspect.
  std::function<void()> onSuspicion;
  RepairStatistics repairs{};
  RouteDurations durations{RouteDurationsSettings{}};
  /// Shared by the buffered responses; exchanges may outlive this context.
  std::shared_ptr<ByteBudget> responseBytes =
      std::make_shared<ByteBudget>(this->settings.maxBufferedBytes);
  /// Order of requests while room is scarce; set by the relay.
  CapacityScheduler* capacity = nullptr;
  /// Continues a request through another daemon; set by the relay.
  std::function<void(const AdmittedRequest&, const ExchangeProgress&)>
      handOver{};

  RetryWindow& RetriesOf(const std::string& aService) {
    return this->retryWindows.try_emplace(aService, this->settings.retries)
        .first->second;
  }
};

}  // namespace zincstep
