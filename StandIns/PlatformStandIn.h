#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "StandIns/MemoryStore.h"
#include "StandIns/StandInServer.h"

namespace zincstep::standins {

/// Injected faults and rate limits of the stand-in platform, set at run time.
struct PlatformFaults {
  /// Every call fails, except those to the fault and counter endpoints.
  bool outage = false;
  /// Delay added to each call.
  Micros delay{0};
  /// Probability that a call takes effect but its response is lost.
  double lostResponseRate = 0;
  /// Limits in calls per second; 0 means no limit.
  double writeLimit = 0;
  double readLimit = 0;
  /// Failure domains whose calls fail. The domain of a call follows the slash
  /// in its User-Agent header; see `userAgent` of the settings.
  std::set<std::string> partitionedDomains;
};

/// Numbers of calls by kind, for measurements.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
};

/// Stand-in of the platform: key-value service and VM list over HTTP.
class PlatformStandIn {
 public:
  /// A VM change appears in the VM list after `aVmListLag`.
  PlatformStandIn(const std::string& aAddress, Micros aVmListLag,
                  std::uint64_t aSeed);

  /// Starts listening.
  Result<void> Start() { return this->server.Start(); }
  /// Serves until a signal or `Quit`.
  void Run() { this->server.Run(); }
  StandInServer& Server() { return this->server; }

 private:
  struct PendingWatch {
    ExchangeId exchange = 0;
    std::uint64_t afterRevision = 0;
    std::string key;
  };
  struct VmChange {
    Instant visibleAt;
    std::string name;
    /// Empty if the VM is removed.
    std::string json;
  };

  void Handle(const HttpRequest& aRequest);
  void HandleFaults(const HttpRequest& aRequest);
  void HandleCounts(const HttpRequest& aRequest);
  void Serve(const HttpRequest& aRequest);
  void ServeKey(const HttpRequest& aRequest, const std::string& aKey);
  void ServeSwap(const HttpRequest& aRequest, const std::string& aKey);
  void ServeList(const HttpRequest& aRequest);
  void ServeWatch(const HttpRequest& aRequest, const std::string& aKey);
  void ServeLease(const HttpRequest& aRequest);
  void ServeVms(const HttpRequest& aRequest);
  void Respond(ExchangeId aExchange, int aStatus, std::string aJson);
  void NotifyWatchers(const std::string& aKey);
  bool IsWithinLimits(bool aIsWrite);
  bool IsWrite(const HttpRequest& aRequest) const;

  SystemClock clock;
  MemoryStore store;
  Random random;
  Micros vmListLag;
  PlatformFaults faults;
  PlatformCounts counts;
  std::vector<PendingWatch> pendingWatches;
  std::deque<VmChange> vmChanges;
  std::map<std::string, std::string> vms;
  std::uint64_t vmsRevision = 1;
  std::deque<Instant> recentReads;
  std::deque<Instant> recentWrites;
  StandInServer server;
};

}  // namespace zincstep::standins
