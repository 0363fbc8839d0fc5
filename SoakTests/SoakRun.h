#pragma once

#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep::soak {

/// Faults beside a request that crashes all upstreams of a service.
enum class ServiceFaults {
  /// A daemon is paused across the first crashes, in half of the runs.
  ShortPause,
  /// A daemon is paused for longer than upstreams take to restart.
  LongPause,
  /// Daemons are killed one after the other.
  KillsInTurn,
  /// All daemons are killed several times.
  KillsOfAll,
  /// No daemon reaches the store.
  StoreAway,
};

inline constexpr NameTable<ServiceFaults, 5> kServiceFaultsNames{{
    {ServiceFaults::ShortPause, "short-pause"},
    {ServiceFaults::LongPause, "long-pause"},
    {ServiceFaults::KillsInTurn, "kills"},
    {ServiceFaults::KillsOfAll, "kills-of-all"},
    {ServiceFaults::StoreAway, "store-away"},
}};

/// Settings of the check with a request that crashes all upstreams of a plain
/// service of few.
struct ServiceCrashSettings {
  int upstreams = 3;
  /// Whether upstreams that are down refuse connections; else their links
  /// accept and reset them.
  bool refusesWhenDown = false;
  /// Interval between sends of two copies of the request.
  Micros interval = 100ms;
  /// Time from the start of the request to the crash.
  Micros runTime = 50ms;
  ServiceFaults faults = ServiceFaults::ShortPause;
  /// Whether no sound request to the service has completed before.
  bool isCold = false;
};

/// Settings of one run.
struct SoakSettings {
  std::uint64_t seed = 1;
  /// Path of the daemon's program.
  std::string daemon;
  /// Folder for the daemons' logs.
  std::string logs;
  /// How long faults are injected.
  Micros faults = 10s;
  int daemons = 4;
  /// Upstreams of the model in each of the two failure domains.
  int modelUpstreams = 5;
  /// Whether a request that crashes upstreams is sent at the end.
  bool hasCrashingRequest = false;
  /// Whether requests that share a crashing part are sent at the end.
  bool hasCrashingPart = false;
  /// Whether a request that crashes all upstreams of a plain service is sent at
  /// the end.
  bool hasCrashingService = false;
  ServiceCrashSettings service;
  /// Whether upstreams set rate limits at the end.
  bool hasLimits = false;
  /// Whether links of exited upstreams accept connections and reset them
  /// only after a delay.
  bool hasLateLinks = false;
  /// Whether upstreams that a request has crashed restart within a fraction of
  /// a second.
  bool hasQuickRestarts = false;
  /// Whether the store is restored from backups during the run.
  bool hasRestores = false;
  /// Whether daemons are partitioned from all upstreams. Needs the daemon
  /// program of the soak, `zincstep-soak-edge`.
  bool hasPartitions = false;
  /// Whether daemons are stopped one after the other at the end, beside slow
  /// plain upstreams and without a configuration.
  bool hasStops = false;
  /// Whether daemons are stopped at the end beside streams of mixed lengths.
  bool hasStreamStops = false;
  /// Whether the configuration changes in storms at the end, beside stops,
  /// SIGHUP and upstreams that fall silent.
  bool hasChanges = false;
  /// Whether callers resume streams behind an event, on a route that is split
  /// over a service with layers and one without.
  bool hasResumes = false;
  /// Grace period of the daemons' stops.
  Micros stopGrace = 3s;
  /// Whether upstreams fail most of what they run at the end, while daemons are
  /// killed, stopped, paused and partitioned from the store.
  bool hasFailures = false;
  /// Whether upstreams are stopped for longer than a retry window at the end.
  bool hasStoppedUpstreams = false;
  /// Whether daemons are sent signals without a meaning, find their ports in
  /// use, read odd entries in the store, and start with an unread output or few
  /// descriptors.
  bool hasProcessFaults = false;
};

/// Result of one run.
struct SoakOutcome {
  std::size_t requests = 0;
  std::size_t completedRequests = 0;
  /// Injected faults in order, each with its time in seconds since the start.
  std::vector<std::string> faults;
  /// Violated invariants; empty if the run passed.
  std::vector<std::string> violations;
  /// What was compared with the limits on retries.
  std::string retries;
  /// Outcomes of the requests to stopping daemons; empty without these stops.
  std::string stops;
  /// Outcomes of the requests beside changes of the configuration, except those
  /// to stopping daemons; empty without such changes.
  std::string changes;
};

/// Runs daemon processes against stand-ins of the store and the upstreams,
/// injects faults drawn from the seed, and checks what callers and upstreams
/// observe.
SoakOutcome RunSoak(const SoakSettings& aSettings);

}  // namespace zincstep::soak
