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
  std::int64_t maxBodyBytes = 1 << 20;
  std::int64_t maxConnections = 4096;
  Micros readTimeout = 10s;
  Micros defaultDeadline = 120s;
  Micros maxDeadline = 300s;
  Micros maxWait = 1500ms;
  /// Time after SIGTERM in which requests are still taken, until the
  /// balancer has noticed that the daemon is not ready.
  Micros drainGrace = 5s;
  /// Time after SIGTERM after which the daemon ends whatever is left.
  Micros drainLimit = 330s;
  Micros gossipInterval = 1s;
  Micros loadInterval = 1s;
  Micros vmListInterval = 1s;
  /// Longest wait of one watch of the configuration.
  Micros watchWait = 2s;
  /// Time after the start in which peers are heard before member lists
  /// are made.
  Micros settle = 3s;
  Micros leaseTtl = 9s;
  std::int64_t keyMemoryMegabytes = 64;
  /// Least time between two changes of the agreed member lists.
  Micros memberListInterval = 75s;
  std::int64_t seed = 0;
};

/// Reads them from flags and variables; ends the process on faults.
EntrySettings ReadEntrySettings(int aCount, char** aWords);

}  // namespace zincstep
