#pragma once

#include <cstdint>
#include <string>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of an entry daemon.
struct EntrySettings {
  std::string listen = "127.0.0.1:8080";
  std::string adminListen = "127.0.0.1:8081";
  std::string peerListen = "127.0.0.1:8082";
  std::string platform;
  std::string vm;
  std::string failureDomain;
  std::string logLevel = "info";
  std::string traceFile;
  /// Maximum size of a request body, in bytes.
  std::int64_t maxBodyBytes = 1 << 20;
  std::int64_t maxConnections = 4096;
  /// Time in which a request must be received completely.
  Micros readTimeout = 10s;
  /// Deadline of requests that specify none.
  Micros defaultDeadline = 120s;
  Micros maxDeadline = 300s;
  /// Maximum expected wait; a request with a longer one is refused.
  Micros maxWait = 1500ms;
  /// Time after SIGTERM in which requests are still accepted, so that the load
  /// balancer can detect that the daemon is not ready.
  Micros drainGrace = 5s;
  /// Time after SIGTERM after which the daemon stops with requests still open.
  Micros drainLimit = 330s;
  Micros gossipInterval = 1s;
  Micros loadInterval = 1s;
  Micros vmListInterval = 1s;
  /// Timeout of one watch of the configuration.
  Micros watchTimeout = 2s;
  /// Time after the start before member lists are planned, so that peers have
  /// gossiped.
  Micros settleTime = 3s;
  Micros leaseTtl = 9s;
  /// Maximum memory for idempotency keys, in MiB.
  std::int64_t keyMemoryMegabytes = 64;
  /// Minimum time between two changes of the agreed member lists.
  Micros memberListInterval = 75s;
  /// Seed of the random generators; 0 takes one from the system.
  std::int64_t seed = 0;
};

/// Reads the settings from flags and environment variables; exits the process
/// if they are invalid.
EntrySettings ReadEntrySettings(int aCount, char** aWords);

}  // namespace zincstep
