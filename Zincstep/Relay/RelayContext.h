#pragma once

#include <asio.hpp>
#include <functional>
#include <map>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Net/ConnectionPool.h"
#include "Zincstep/Relay/CrashDetector.h"
#include "Zincstep/Relay/RelayDialect.h"
#include "Zincstep/Relay/StopPolicy.h"
#include "Zincstep/Relay/UpstreamProber.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Settings of the relay.
struct RelaySettings {
  std::string failureDomain;
  /// Longest age of the proof that keys have not changed; the operators'
  /// bound less a margin for what is decided between proof and use.
  Micros maxValidationAge = 4800ms;
  /// Whether a key is refused without such a proof.
  bool failsClosed = true;
  /// Retries of all daemons together, as a share of requests, and beyond.
  RetryBudgetSettings retries;
  /// A connection that is not up by then counts as an upstream's failure:
  /// round trips take under two milliseconds here, a lost opening packet
  /// comes again after a second.
  Micros connectTimeout = 250ms;
  /// A stream without its first event for so long is asked after: several
  /// times the usual time of reading a prompt.
  Micros firstEventSilence = 400ms;
  /// The same between events: six times the usual pause.
  Micros eventSilence = 150ms;
  /// A stream whose upstream lives, has nobody waiting and does not name it as
  /// stalled is taken to be on a silent connection after so long: half of the
  /// time after which callers leave, so that there is as much for a new run.
  /// Without it such a stream never goes on (0 of 2 in the test, 2 of 2 with
  /// it).
  Micros connectionSilence = 1s;
  /// Pause between questions to one upstream about its stalled requests.
  Micros stallQueryInterval = 150ms;
  Micros reportTimeout = 300ms;
  /// Pause between attempts to repair one stream.
  Micros repairPause = 200ms;
  /// An upstream that refused is passed over for so long: it may be short of
  /// memory, or hold other layers than its entry tells.
  Micros refusalPause = 300ms;
  /// When those should come back that were refused by a plain service or for a
  /// belief that is out of date: soon, as both mend by themselves.
  Micros busyRetryAfter = 400ms;
  /// When those should come back for whom a split model has no room, as a share
  /// of the time in which all its layers are loaded. Room is short where an
  /// upstream was lost, and the largest hold a third of the layers; callers
  /// that come back sooner find it short again (docs/results/decisions.md).
  double restoredAfterLoads = 0.3;
  /// How long a request waits for this daemon's first configuration and list of
  /// upstreams, which come some tenths of a second after its start: refused at
  /// once, callers came back after seconds, 1,360 of them in the second after
  /// a loss of power (count of one such day's refusals).
  Micros initialStateTimeout = 1s;
  /// Times that one request may be sent, rejections included.
  int maxSends = 6;
  /// Share of the retry budget that is kept for streams that have begun: a
  /// request that has not can come again, a stream cannot.
  double reservedForStreams = 0.5;
  /// Bytes that a slow caller may leave untaken before reading stops.
  std::size_t maxPendingBytes = 256 << 10;
};

/// The field that tells a caller when to come back.
HttpHeader RetryAfterHeader(Micros aSpan);

/// What all exchanges of a daemon share.
struct RelayContext {
  asio::io_context& loop;
  const RelaySettings& settings;
  const RelayDialect& dialect;
  ClusterView& view;
  UpstreamControl& control;
  const Clock& clock;
  Random& random;
  Metrics& metrics;
  UpstreamProber& probe;
  /// Requests under which upstreams have ended.
  CrashTracker& crashes;
  CrashDetector& crashDetector;
  /// For requests that may run again.
  ConnectionPool& kept;
  /// Upstreams that name a limit of calls.
  CallLimits& limits;
  ChainChooser& chains;
  ServiceChooser& services;
  /// Of requests to split models.
  DemandMeter& demand;
  /// By service.
  std::map<std::string, RetryBudget>& budgets;
  /// Whether new work is taken while the daemon stops.
  const StopPolicy& stop;
  /// Called when an upstream has come under suspicion here.
  std::function<void()> onSuspicion;

  RetryBudget& BudgetOf(const std::string& aService) {
    return this->budgets.try_emplace(aService, this->settings.retries)
        .first->second;
  }
};

}  // namespace zincstep
