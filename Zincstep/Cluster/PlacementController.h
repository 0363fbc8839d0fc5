#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Zincstep/Cluster/PlacementOrders.h"
#include "Zincstep/Cluster/PlanRunner.h"
#include "Zincstep/Cluster/StoreFollower.h"
#include "Zincstep/Control/LeaseGuard.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Settings of the placement duty.
struct PlacementControllerSettings {
  /// This daemon's name, which stands in the store while it has the duty.
  std::string name;
  /// Key of the duty.
  std::string key;
  /// Short, since nothing is placed between a holder's death and the lapse.
  LeaseGuardSettings lease{2s, 500ms};
  /// A plan that takes longer is told of, and its orders are dropped: they are
  /// for a pool that has changed since.
  Micros planTimeout = 2s;
  PlacementOrdersSettings orders;
  /// A failure domain is changed to serve better once its upstreams have been
  /// the same for so long: losses often come together.
  Micros stableTime = 1s;
  /// An empty pool is laid out once no upstream has joined for so long:
  /// upstreams announce themselves about once in this time.
  Micros settleTime = 1300ms;
  /// One failure domain after the other is looked at for changes that serve
  /// better, this many times as far apart as a look takes, as the smallest VMs
  /// have an eighth of a core.
  int improveShare = 50;
  /// Upstreams that were cut off join again with what they hold, one after
  /// the other; their failure domain is planned once all had this long: two of
  /// the beats in which they write. With 1.5 s some were still missing after an
  /// outage of the store (actas-lima-grown trouble-3, second 40: six orders
  /// that cut what ran, 160 of 500 answers late to the end of the day).
  Micros rejoinTime = 2400ms;
  /// Longest wait for that.
  Micros maxSettleTime = 4s;
};

/// Takes the duty to place layers by a lease, and fulfils it.
///
/// At most one daemon has the duty. It compares what the upstreams hold
/// with the plan and gives orders for the difference.
class PlacementController {
 public:
  PlacementController(PlacementControllerSettings aSettings, AsyncStore& aStore,
                      UpstreamControl& aControl, ClusterView& aView,
                      PlanRunner& aPlans, const Clock& aClock);

  /// The duty's key as the daemons' own prefix shows it; empty: free.
  void OnLeaderChanged(const std::string& aName);
  /// Says whether this daemon hears from the store itself, and so may take
  /// the duty: of many daemons that find it free a few ask for it.
  void SetMayCampaign(std::function<bool()> aMayCampaign) {
    this->mayCampaign = std::move(aMayCampaign);
  }
  /// Tells what all callers need, in tokens in flight, where it is known.
  void SetDemand(std::function<std::optional<ObservedDemand>()> aDemand) {
    this->demand = std::move(aDemand);
  }
  /// Acts; to be called several times a second.
  void Tick();
  /// Gives up the duty, so that another daemon takes it at once.
  void Stop();
  /// The store has come back from a copy: a duty that was held is void, and
  /// nobody takes it while whoever held it may not know that yet.
  void OnRestored();

  bool IsLeader() const { return this->guard.IsHeld(this->clock.Now()); }

 private:
  void AcquireLeadership();
  void RenewLeadership();
  /// The plan of a service that is being made, or was made last.
  struct Planning {
    bool isUnderWay = false;
    /// Whether its lateness has been told.
    bool isTold = false;
    /// Whether the pool was to be looked at meanwhile.
    bool isDue = false;
    Instant since{};
    /// The holder's term that it was made in.
    StoreRevision fence;
  };

  void Act(Instant aNow);
  void ActOn(const RoutedService& aService, Instant aNow);
  PlacementInput Observe(const RoutedService& aService, Instant aNow);
  void Plan(const RoutedService& aService, PlacementInput aSituation,
            Instant aNow);
  void OnPlan(const RoutedService& aService, const PlacementInput& aSituation,
              const PlanOutcome& aPlan);
  /// Whether the upstream is still as the plan found it.
  bool IsAsPlanned(const PlacedUpstream& aUpstream) const;
  /// Notes that a service's plan is due while another is under way.
  void OnBusy(const std::string& aService, Planning& aPlanning, Instant aNow);
  void NoteRejoins(const std::string& aService, Instant aNow);
  bool IsSettled(const std::string& aService, Instant aNow);
  std::vector<PlacedUpstream> Placed(const std::string& aService, Instant aNow);
  /// The failure domains whose upstreams have been the same for a while.
  std::set<std::string> StableDomains(
      const std::string& aService,
      const std::vector<PlacedUpstream>& aUpstreams, Instant aNow);
  /// The failure domain whose turn it is to be looked at; empty: none's.
  std::string NextImproved(const std::vector<PlacedUpstream>& aUpstreams,
                           Instant aNow);

  PlacementControllerSettings settings;
  AsyncStore& store;
  ClusterView& view;
  PlanRunner& plans;
  const Clock& clock;
  LeaseGuard guard;
  PlacementOrders orders;
  std::uint64_t lease = 0;
  /// The store's revision at which the duty was taken; no two terms have one.
  StoreRevision fence;
  std::string holder;
  bool isAsking = false;
  bool isStopping = false;
  std::function<bool()> mayCampaign;
  std::function<std::optional<ObservedDemand>()> demand;
  Instant nextAttempt{};
  /// How an empty pool has grown.
  struct Growth {
    std::size_t count = 0;
    Instant firstAt;
    Instant changedAt;
  };

  /// The upstreams of a failure domain, and since when they are the same.
  struct Membership {
    std::vector<std::string> ids;
    Instant since;
  };

  /// By service and failure domain.
  std::map<std::pair<std::string, std::string>, Membership> memberships;
  std::string lastImproved;
  Instant nextImprove{};
  /// Looks so far; see `PlacementInput::turn`.
  std::uint64_t looks = 0;
  /// By service.
  std::map<std::string, Planning> plannings;
  std::map<std::string, Growth> growths;
  /// Upstreams of a service that were listed, and the directory's changes then.
  struct Listing {
    std::uint64_t changes = 0;
    std::set<std::string> ids;
  };
  /// By service.
  std::map<std::string, Listing> listings;
  /// When an upstream last joined each failure domain with layers that no order
  /// of ours gave it.
  std::map<std::string, Instant> rejoinedAt;
};

}  // namespace zincstep
