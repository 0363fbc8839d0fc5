#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Zincstep/Cluster/PlacementOrders.h"
#include "Zincstep/Cluster/PlanRunner.h"
#include "Zincstep/Cluster/SilenceMonitor.h"
#include "Zincstep/Cluster/StoreFollower.h"
#include "Zincstep/Control/LeaseGuard.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Settings of the placement controller.
struct PlacementControllerSettings {
  /// Name of this daemon, the value of `key` while it is the leader.
  std::string name;
  /// Store key of the placement leadership.
  std::string key;
  /// The TTL is short because nothing is placed between a leader's death and
  /// the expiry of its lease.
  LeaseGuardSettings lease{2s, 500ms};
  /// A plan that takes longer is logged, and its orders are dropped because the
  /// pool has changed since.
  Micros planTimeout = 2s;
  PlacementOrdersSettings orders;
  /// Time for which the upstreams of a failure domain must be unchanged before
  /// its placement is improved; several losses often come together.
  Micros stableTime = 1s;
  /// The initial placement of an empty pool is planned once no upstream has
  /// joined for this time. Upstreams register about once in this time.
  Micros settleTime = 1300ms;
  /// Failure domains are checked for improvements in turn. The interval between
  /// checks is this multiple of the time a check takes, as the smallest VMs
  /// have an eighth of a core.
  int improveIntervalFactor = 50;
  /// Partitioned upstreams rejoin one after the other, with the layers they
  /// hold. Their failure domain is planned once none has rejoined for this
  /// time, two intervals of their registration. With 1.5 s some were still
  /// missing after an outage of the store: six orders aborted running requests,
  /// and 160 of 500 responses were late from then on.
  Micros rejoinTime = 2400ms;
  /// Maximum wait for an empty pool to settle.
  Micros maxSettleTime = 4s;
  /// Whether domains are planned for the demand of their own callers; else it
  /// is divided in proportion to their memory.
  FeatureMode domainDemand = FeatureMode::Auto;
};

/// Acquires the placement leadership by a lease and places layers while it is
/// the leader.
///
/// At most one daemon is the leader. It compares the layers that the upstreams
/// hold with the plan and sends orders for the difference.
class PlacementController {
 public:
  PlacementController(PlacementControllerSettings aSettings, AsyncStore& aStore,
                      UpstreamControl& aControl, ClusterView& aView,
                      PlanRunner& aPlanRunner, const Clock& aClock);

  /// Sets the leader as read from the daemons' prefix; empty: none.
  void OnLeaderChanged(const std::string& aName);
  /// Sets the function that returns whether this daemon follows the store
  /// directly and so may become the leader. This limits how many daemons try to
  /// acquire a free leadership.
  void SetMayCampaign(std::function<bool()> aMayCampaign) {
    this->mayCampaign = std::move(aMayCampaign);
  }
  /// Sets the function that returns whether this daemon can send orders. A
  /// leader that can't gives up the leadership, as another may.
  void SetHasPath(std::function<bool()> aHasPath) {
    this->hasPath = std::move(aHasPath);
  }
  /// Returns for how long no daemon has been the leader, as far as known.
  Micros LeaderlessTime() const;
  /// Sets the function that returns the demand of all callers in tokens in
  /// flight, if known.
  void SetDemand(std::function<std::optional<ObservedDemand>()> aDemand) {
    this->demand = std::move(aDemand);
  }
  /// Renews the lease and plans; call periodically, several times per second.
  void Tick();
  /// Gives up the leadership, so that another daemon can acquire it at once.
  void Stop();
  /// The store was restored from a backup: a leadership acquired before is
  /// void. It is not acquired again until the TTL has passed, as the former
  /// leader may not know of the restore yet.
  void OnRestored();

  bool IsLeader() const { return this->guard.IsHeld(this->clock.Now()); }
  /// Targets by service and failure domain; none while this daemon is not the
  /// leader, or demand is not known by domain.
  std::map<std::string, std::map<std::string, DomainTarget>> Targets() const;

 private:
  void AcquireLeadership();
  /// Ends the lease, so that another daemon can acquire the leadership at once.
  void EndLease(const char* aReason);
  void RenewLeadership();
  /// State of a service's running or last plan.
  struct PlanState {
    bool isRunning = false;
    /// Whether a log line says that the plan is late.
    bool isLateLogged = false;
    /// Whether another plan was due while this one was running.
    bool isReplanDue = false;
    Instant since{};
    /// The leader's term that the plan was started in.
    StoreRevision fence;
  };

  /// Done by all daemons: the next leader may be elected during a silence.
  void ObserveSilences(Instant aNow);
  void PlanServices(Instant aNow);
  void PlanService(const RoutedService& aService, Instant aNow);
  PlacementInput Observe(const RoutedService& aService, Instant aNow);
  /// Returns the tokens to plan for in each domain; see
  /// `PlacementInput::targets`.
  std::map<std::string, double> UpdateTargets(const RoutedService& aService,
                                              const PlacementInput& aInput,
                                              Instant aNow);
  void StartPlan(const RoutedService& aService, PlacementInput aInput,
                 Instant aNow);
  void OnPlan(const RoutedService& aService, const PlacementInput& aInput,
              const PlanOutcome& aOutcome);
  /// Whether the upstream is still in the state that the plan assumed.
  bool IsAsPlanned(const PlacedUpstream& aUpstream) const;
  /// Whether an order has to wait as it takes layers from an upstream while
  /// others, which the plan takes for lost, may be silent for a common cause.
  bool IsPostponed(const RoutedService& aService,
                   const PlacedUpstream& aUpstream,
                   const PlacementOrder& aOrder, Instant aNow) const;
  /// Records that a plan is due while another one is running.
  void OnPlanStillRunning(const std::string& aService, PlanState& aState,
                          Instant aNow);
  void UpdateRejoins(const std::string& aService, Instant aNow);
  bool IsSettled(const std::string& aService, Instant aNow);
  std::vector<PlacedUpstream> PlacedUpstreams(const std::string& aService,
                                              Instant aNow);
  /// Returns the failure domains whose upstreams have been unchanged for
  /// `stableTime`.
  std::set<std::string> StableDomains(
      const std::string& aService,
      const std::vector<PlacedUpstream>& aUpstreams, Instant aNow);
  /// Returns the failure domain to check for improvements next; empty if none
  /// is due.
  std::string NextDomainToImprove(const std::vector<PlacedUpstream>& aUpstreams,
                                  Instant aNow);

  PlacementControllerSettings settings;
  AsyncStore& store;
  ClusterView& view;
  PlanRunner& planRunner;
  const Clock& clock;
  LeaseGuard guard;
  PlacementOrders orders;
  std::uint64_t lease = 0;
  /// Store revision at which the leadership was acquired; unique to each term.
  StoreRevision fence;
  std::string leader;
  bool isStoreCallPending = false;
  bool isStopping = false;
  std::function<bool()> mayCampaign;
  std::function<bool()> hasPath;
  /// None while a daemon is the leader.
  std::optional<Instant> leaderlessSince;
  std::function<std::optional<ObservedDemand>()> demand;
  Instant nextAttemptAt{};
  /// How an empty pool has grown.
  struct Growth {
    std::size_t count = 0;
    Instant firstAt;
    Instant changedAt;
  };

  /// The upstreams of a failure domain and since when they are unchanged.
  struct DomainMembers {
    std::vector<std::string> ids;
    Instant since;
  };

  /// By service and failure domain.
  std::map<std::pair<std::string, std::string>, DomainMembers> domainMembers;
  std::string lastImproved;
  Instant nextImproveAt{};
  /// Number of improvement checks so far; see `PlacementInput::turn`.
  std::uint64_t improvementChecks = 0;
  /// By service. Kept here and not in the planner, which runs on another thread
  /// and whose plans may be dropped, and not in the demand, which is that of
  /// all services together.
  std::map<std::string, DemandTargets> targets;
  /// The term that `targets` are from: a new leader computes them anew.
  StoreRevision targetsFence;
  /// By service.
  std::map<std::string, PlanState> planStates;
  std::map<std::string, Growth> growths;
  /// The listed upstreams of a service and the directory's change count then.
  struct Listing {
    std::uint64_t changes = 0;
    std::set<std::string> ids;
  };
  /// By service.
  std::map<std::string, Listing> listings;
  /// By service.
  std::map<std::string, SilenceMonitor> silences;
  /// When an upstream last joined each failure domain with layers that no order
  /// of this daemon placed there.
  std::map<std::string, Instant> rejoinedAt;
};

}  // namespace zincstep
