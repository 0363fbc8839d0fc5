#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Zincstep/Cluster/StoreFollower.h"
#include "Zincstep/Control/LeaseGuard.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Settings of the placement duty.
struct PlacementKeeperSettings {
  /// This daemon's name, which stands in the store while it has the duty.
  std::string name;
  /// Key of the duty.
  std::string key;
  /// Short, since nothing is placed between a holder's death and the lapse.
  LeaseGuardSettings lease{2s, 500ms};
  PlacementSettings placement;
  /// An order is taken for lost, and its upstream asked anew, this long
  /// after its loads should have ended.
  Micros orderSlack = 1500ms;
  /// An order without an answer may be carried out seconds later.
  Micros unansweredPause = 2s;
  /// Pause after an order that was refused, or a report that failed.
  Micros refusedPause = 600ms;
  Micros reportTimeout = 500ms;
  /// A failure domain is changed to serve better once its upstreams have been
  /// the same for so long: losses often come together.
  Micros steadyTime = 1s;
  /// An empty pool is laid out once no upstream has joined for so long:
  /// upstreams announce themselves about once in this time.
  Micros settleTime = 1300ms;
  /// One failure domain after the other is looked at for changes that serve
  /// better, this many times as far apart as a look takes: 1 ms for 13
  /// upstreams and 12 for 35, and the smallest VMs have an eighth of a core
  /// (actas-lima-grown scale-1: 0.11 of a core at the holder with four looks
  /// at all domains a second).
  int improveShare = 50;
  /// Upstreams that were cut off join again with what they hold, one after
  /// the other; their failure domain is planned once all had this long: two of
  /// the beats in which they write. With 1.5 s some were still missing after an
  /// outage of the store (actas-lima-grown trouble-3, second 40: six orders
  /// that cut what ran, 160 of 500 answers late to the end of the day).
  Micros rejoinTime = 2400ms;
  /// Longest wait for that.
  Micros longestSettle = 4s;
};

/// Takes the duty to place layers by a lease, and fulfils it.
///
/// At most one daemon has the duty. It compares what the upstreams hold
/// with the plan and gives orders for the difference. Each order names the
/// count of orders that the upstream has taken, read from the upstream
/// just before: an order that is carried out late, or one of a daemon that
/// has lost the duty, is refused once any other has been taken.
class PlacementKeeper {
 public:
  PlacementKeeper(PlacementKeeperSettings aSettings, AsyncStore& aStore,
                  UpstreamControl& aControl, ClusterView& aView,
                  const Clock& aClock);

  /// The duty's key as the daemons' own prefix shows it; empty: free.
  void OnHolder(const std::string& aName);
  /// Says whether this daemon hears from the store itself, and so may take
  /// the duty: of many daemons that find it free a few ask for it.
  void SetMayTake(std::function<bool()> aMayTake) {
    this->mayTake = std::move(aMayTake);
  }
  /// Tells what all callers need, in tokens in flight, where it is known.
  void SetDemand(std::function<std::optional<ObservedDemand>()> aDemand) {
    this->demand = std::move(aDemand);
  }
  /// Acts; to be called several times a second.
  void Tick();
  /// Gives up the duty, so that another daemon takes it at once.
  void Stop();

  bool HasDuty() const { return this->guard.IsHeld(this->clock.Now()); }

 private:
  struct Order {
    /// The incarnation that it was given to, as `LiveUpstream::Number`; one
    /// that has started again holds and loads nothing of it.
    std::uint64_t incarnation = 0;
    LayerRange layers;
    /// When the upstream is asked anew.
    Instant until;
  };

  void TakeDuty();
  void RenewDuty();
  void Act(Instant aNow);
  void NoteRejoins(const std::string& aService, Instant aNow);
  bool IsSettled(const std::string& aService, Instant aNow);
  std::vector<PlacedUpstream> Placed(const std::string& aService, Instant aNow);
  /// The failure domains whose upstreams have been the same for a while.
  std::set<std::string> SteadyDomains(
      const std::vector<PlacedUpstream>& aUpstreams, Instant aNow);
  /// The failure domain whose turn it is to be looked at; empty: none's.
  std::string NextImproved(const std::vector<PlacedUpstream>& aUpstreams,
                           Instant aNow);
  void Give(const ModelShape& aModel, const PlacementOrder& aOrder);
  void OnReport(const UpstreamPtr& aUpstream, const PlacementOrder& aOrder,
                Micros aLoadTime, const Result<UpstreamReport>& aReport);
  void OnOrdered(const UpstreamPtr& aUpstream, const PlacementOrder& aOrder,
                 Micros aLoadTime, const Result<OrderOutcome>& aOutcome);
  /// For so long the upstream counts as one that holds those layers.
  void Hold(const LiveUpstream& aUpstream, LayerRange aLayers, Micros aTime);

  PlacementKeeperSettings settings;
  AsyncStore& store;
  UpstreamControl& control;
  ClusterView& view;
  const Clock& clock;
  PlacementPlanner planner;
  LeaseGuard guard;
  std::uint64_t lease = 0;
  std::string holder;
  bool isAsking = false;
  bool isStopping = false;
  std::function<bool()> mayTake;
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

  std::map<std::string, Order> pending;
  std::map<std::string, Membership> memberships;
  std::string lastImproved;
  Instant nextImprove{};
  std::map<std::string, Growth> growths;
  /// Upstreams that were listed, and when one last joined each failure
  /// domain with layers that no order of ours gave it.
  std::set<std::string> listed;
  std::map<std::string, Instant> rejoinedAt;
};

}  // namespace zincstep
