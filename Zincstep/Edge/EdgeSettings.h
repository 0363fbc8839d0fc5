#pragma once

#include <string>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of the edge daemon, from flags and environment variables.
struct EdgeSettings {
  std::string name;
  std::string failureDomain;
  /// host:port for callers.
  std::string listen;
  /// host:port where readiness and metrics are asked for.
  std::string adminListen;
  /// host:port for other edge daemons.
  std::string peerListen;
  /// host:port of the platform's store.
  std::string store;
  /// host:port of daemons that may be there, by commas; ports are theirs
  /// for other purposes and are not used.
  std::string seeds;
  /// Key prefix of the daemons' own entries in the store.
  std::string storePrefix = "zincstep/";
  /// Time after which an upstream that announced to leave must get no more
  /// work.
  Micros drainNotice = 2s;
  /// Time after which a withdrawn key must not run any more.
  Micros keyRevocation = 5s;
  /// Whether keys are refused without proof that they still hold.
  bool failsClosed = true;
  /// Time from the order to stop until the process is killed.
  double stopGraceSeconds = 8;
  /// Repeats that a service may get, as a share of its requests.
  double retryRatio = 0.2;
  /// Repeats beyond the share, of all daemons together.
  double retrySlack = 200;
  /// Link of this VM, in Mbit/s.
  double linkMbps = 1000;
  /// Memory that the process may take, in MB.
  double memoryMb = 256;
  std::string logLevel = "info";
};

/// Longest age of a peer's word that a daemon acts on: the drain notice less
/// the pause between looks at the age (0.15 s), a call of a slow store (0.25 s)
/// and 0.25 s for the way to an upstream and a daemon that is slow.
Micros MaxSyncStaleness(const EdgeSettings& aSettings);

/// Reads them; ends the process with all faults where there are any.
EdgeSettings ReadEdgeSettings(int aCount, char** aWords);

}  // namespace zincstep
