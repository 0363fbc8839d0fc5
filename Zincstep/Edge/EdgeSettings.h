#pragma once

#include <string>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Pool/LoadFeatures.h"

namespace zincstep {

/// Settings of the edge daemon, from flags and environment variables.
struct EdgeSettings {
  std::string name;
  std::string failureDomain;
  /// host:port for callers.
  std::string listen;
  /// host:port for readiness checks and metrics.
  std::string adminListen;
  /// host:port for other edge daemons.
  std::string peerListen;
  /// host:port for requests that other daemons forward, with the same port on
  /// each VM; empty: requests are not forwarded.
  std::string forwardListen;
  /// host:port of the platform's store.
  std::string store;
  /// Comma-separated host:port of daemons to discover others from. The ports
  /// are for other purposes and are ignored.
  std::string seeds;
  /// Key prefix of the daemons' own entries in the store.
  std::string storePrefix = "zincstep/";
  /// Time after which an upstream that announced its departure must receive no
  /// more work.
  Micros drainNotice = 2s;
  /// Time after which a revoked key must be rejected.
  Micros keyRevocation = 5s;
  /// Whether keys are rejected when they cannot be validated as still active.
  bool failsClosed = true;
  /// Time from the stop signal until the process is killed, in seconds.
  double stopGraceSeconds = 8;
  /// Retries that a service may use, as a share of its requests.
  double retryRatio = 0.2;
  /// Retries beyond that share, for all daemons together.
  double retrySlack = 200;
  /// Length of the window in which retries are limited, in seconds.
  double retryWindowSeconds = 10;
  /// Whether all daemons start for the first time, so that none of them had a
  /// former process that may have used retries.
  bool isFirstStart = false;
  /// Link of this VM, in Mbit/s.
  double linkMbps = 1000;
  /// Memory limit of the process, in MB.
  double memoryMb = 256;
  LoadFeatures features;
  std::string logLevel = "info";
};

/// Maximum age of peer-reported state that a daemon acts on: the drain notice
/// minus the interval between checks of the age (0.15 s), a slow call of the
/// store (0.25 s) and 0.25 s for the path to an upstream and a slow daemon.
Micros MaxSyncStaleness(const EdgeSettings& aSettings);

/// Reads the settings. Prints all errors and exits the process if there are
/// any.
EdgeSettings ReadEdgeSettings(int aArgumentCount, char** aArguments);

}  // namespace zincstep
