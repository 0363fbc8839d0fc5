#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Relay/ServiceCapacity.h"

namespace zincstep {

struct RelayContext;
struct RelaySettings;

/// Result of starting a waiting request.
enum class WaiterStart {
  Started,
  /// No chain has room for it.
  NoChain,
  /// It was refused instead, for another reason.
  Ended,
};

/// A request that waits for room.
class CapacityWaiter {
 public:
  virtual ~CapacityWaiter() = default;

  /// Starts the request on some of `aUpstreams`.
  virtual WaiterStart OnRoom(const std::vector<UpstreamPtr>& aUpstreams) = 0;
  /// Refuses the request, which has not run.
  virtual void OnNoRoom(const char* aReason) = 0;
};

/// A request's properties that determine its place among those that wait.
struct ScheduledRequest {
  const RoutedService* service = nullptr;
  int priority = 0;
  std::string organisation;
  double tokens = 0;
};

/// When a request arrived and may start.
struct ScheduledTimes {
  Instant readAt;
  Micros latencyObjective{0};
  Instant deadline;
};

/// Starts the requests of services that serve different priorities in the order
/// of their urgency; see docs/design/load.md, part 2.
class CapacityScheduler {
 public:
  /// `aOnRoomChanged` is called after events that may have freed room; a pass
  /// should follow soon.
  CapacityScheduler(RelayContext& aContext,
                    std::function<void()> aOnRoomChanged)
      : context(aContext), onRoomChanged(std::move(aOnRoomChanged)) {}

  /// Whether the requests of a service are scheduled by priority: its routes
  /// have different ones. Priorities of organisations alone do not turn it on:
  /// operators change these for single organisations at any time, and a domain
  /// that was cut off then refused 309 requests that it had room for.
  bool Schedules(const RoutedService& aService);
  /// Records the arrival of a request, and adds it to the queue. Other requests
  /// may be refused for it, as may the request itself. Returns its id.
  std::uint64_t Enter(std::shared_ptr<CapacityWaiter> aWaiter,
                      const ScheduledRequest& aRequest,
                      const ScheduledTimes& aTimes, std::size_t aBodyBytes,
                      const std::function<Fingerprint()>& aFingerprint);
  /// Removes a request that waits.
  void Leave(const std::string& aService, std::uint64_t aId);
  /// Records that a request that was started has ended.
  void OnEnded(const ScheduledRequest& aRequest);
  /// Records that work of a service was started or has ended here.
  void OnWorkChanged(const std::string& aService);
  /// Records the time from the start of a request to its first event.
  void OnFirstEvent(const std::string& aService, Micros aDelay);
  /// Returns the Retry-After of a refused request; none if layers are missing.
  std::optional<Micros> RetryAfter(const ScheduledRequest& aRequest);
  /// Remembers a refused request, so that it precedes others if it returns as
  /// told.
  void OnRefused(const std::string& aService, Fingerprint aRequest,
                 Micros aRetryAfter);

  /// Starts and refuses waiting requests. `aReservedTokens` returns the tokens
  /// of a service's streams that have begun and wait for a chain.
  void RunPass(
      const std::function<double(const RoutedService&)>& aReservedTokens);
  /// Whether any request waits.
  bool HasWaiting() const { return !this->waiters.empty(); }

  /// Sets the daemons of the own failure domain, with this one, and the
  /// interval between their reports.
  void SetDomain(std::size_t aDaemons, Micros aReportInterval);
  /// Returns this daemon's demand by service and priority, for peers.
  std::vector<PriorityDemand> Demands() const;
  /// Returns the `aCount` largest organisations of this daemon, for peers.
  std::vector<OrganisationDemand> Organisations(std::size_t aCount) const;
  /// Applies the reports of a daemon of the own failure domain.
  void OnPeerDemands(const std::string& aPeer,
                     const std::vector<PriorityDemand>& aDemands,
                     const std::vector<OrganisationDemand>& aOrganisations);

 private:
  struct Waiter {
    std::string service;
    std::shared_ptr<CapacityWaiter> waiter;
    /// Why it is refused when it has waited too long.
    RoomRefusal reason = RoomRefusal::NoRoom;
  };

  ServiceCapacity& CapacityOf(const std::string& aService);
  CapacityInput InputOf(const RoutedService& aService) const;
  /// Determines the scheduled services again if the configuration has changed.
  void Refresh();
  void Refuse(std::uint64_t aId, RoomRefusal aReason);
  /// Starts the waiting requests of a service that have room.
  void StartWaiting(const RoutedService& aService, ServiceCapacity& aCapacity,
                    double aReservedTokens);
  /// Lets a waiting request start. Returns false if no chain has room for it.
  bool Start(std::uint64_t aId, ServiceCapacity& aCapacity,
             const std::vector<UpstreamPtr>& aUpstreams);
  /// Refuses the requests of a service that have waited too long.
  void RefuseExpired(const std::string& aService, ServiceCapacity& aCapacity);
  /// Starts all requests that wait for a service that is no longer scheduled.
  void ReleaseAll(const std::string& aService, ServiceCapacity& aCapacity);

  RelayContext& context;
  std::function<void()> onRoomChanged;
  /// Passes do not nest: a refusal may read the connection's next request.
  bool isPassRunning = false;
  std::shared_ptr<const RouteTable> table;
  std::map<std::string, ServiceCapacity> capacities;
  /// Services of the active configuration that are scheduled, and their most
  /// urgent priority.
  std::map<std::string, int> scheduled;
  std::unordered_map<std::uint64_t, Waiter> waiters;
  std::uint64_t lastId = 0;
  std::size_t domainDaemons = 1;
  Micros reportInterval = 400ms;
};

/// Priorities of the routes to each service with a split model.
std::map<std::string, std::set<int>> PrioritiesByService(
    const RouteConfiguration& aConfiguration);

}  // namespace zincstep
