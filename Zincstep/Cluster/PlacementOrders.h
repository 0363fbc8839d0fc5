#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Settings of the orders that place layers.
struct PlacementOrdersSettings {
  /// An upstream is asked how it is, this long after its load should have
  /// ended.
  Micros orderSlack = 1500ms;
  /// An order without an answer may be carried out seconds later.
  Micros unansweredPause = 2s;
  /// Pause after an order that was refused, or a report that failed.
  Micros refusedPause = 600ms;
  /// Between questions to an upstream that is still at its order.
  Micros checkPause = 1s;
  Micros reportTimeout = 500ms;
  /// Upstreams that are called at once. With 3,000 at once a daemon had 6,354
  /// connections, of 4,100 that its VM allows, and answers came too late.
  int maxConcurrentCalls = 64;
};

/// Gives orders to upstreams, and knows which are under way.
///
/// Each order names the count of orders that the upstream has taken, read from
/// the upstream just before: an order that is carried out late, or one of a
/// daemon that has lost the duty, is refused once any other has been taken.
/// An order that takes longer than it should is not given up unless the
/// upstream says so: many loads at once slow each other, and a second plan for
/// an upstream that still loads would undo the first.
class PlacementOrders {
 public:
  /// `aMayIssueOrders` tells whether this daemon has the duty; asked before
  /// each order.
  PlacementOrders(PlacementOrdersSettings aSettings, UpstreamControl& aControl,
                  ClusterView& aView, const Clock& aClock,
                  std::function<bool()> aMayIssueOrders);

  /// Gives an order, at once or when fewer upstreams are called.
  void Give(const ModelShape& aModel, const PlacementOrder& aOrder);
  /// What an upstream will hold by an order under way; none where there is no
  /// such order.
  std::optional<LayerRange> ExpectedOf(const UpstreamPtr& aUpstream,
                                       Instant aNow);
  bool IsUnderWay(const std::string& aId) const {
    return this->pending.contains(aId);
  }
  /// Forgets all orders; those of an earlier term may not have been taken.
  void Clear();

 private:
  /// What happens to an order when its time has passed.
  enum class AtEnd { Check, Forget };

  struct Order {
    /// The incarnation that it was given to, as `LiveUpstream::Number`; one
    /// that has started again holds and loads nothing of it.
    std::uint64_t incarnation = 0;
    LayerRange layers;
    Instant until;
    AtEnd atEnd = AtEnd::Check;
  };

  /// An order that waits to be given.
  struct Waiting {
    UpstreamPtr upstream;
    PlacementOrder order;
    Micros loadTime{0};
  };

  void GiveWaiting();
  void Begin(const Waiting& aWaiting);
  void EndCall();
  void OnReport(const Waiting& aWaiting, const Result<UpstreamReport>& aReport);
  void OnOrdered(const Waiting& aWaiting, const Result<OrderOutcome>& aOutcome);
  /// Asks an upstream whose order should have ended.
  void Check(const UpstreamPtr& aUpstream, Order& aOrder);
  void OnChecked(const UpstreamPtr& aUpstream, LayerRange aLayers,
                 const Result<UpstreamReport>& aReport);
  /// It has not answered a report.
  void OnSilent(LiveUpstream& aUpstream, const Error& aError);
  /// For so long the upstream counts as one that holds those layers.
  void Hold(const LiveUpstream& aUpstream, LayerRange aLayers, Micros aTime,
            AtEnd aAtEnd);

  PlacementOrdersSettings settings;
  UpstreamControl& control;
  ClusterView& view;
  const Clock& clock;
  std::function<bool()> mayIssueOrders;
  /// By id of the upstream.
  std::map<std::string, Order> pending;
  std::deque<Waiting> waiting;
  int called = 0;
};

}  // namespace zincstep
