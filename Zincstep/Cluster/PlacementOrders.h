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
  /// Time after an order's expected load time at which the upstream's state is
  /// checked.
  Micros loadSlack = 1500ms;
  /// Added to the load time of an order without a response, which may be
  /// carried out seconds later.
  Micros unansweredDelay = 2s;
  /// Backoff after an order that was refused or whose upstream was busy.
  Micros refusedBackoff = 600ms;
  /// Interval between checks of an upstream that still loads.
  Micros checkInterval = 1s;
  Micros reportTimeout = 500ms;
  /// Maximum number of concurrent calls to upstreams. With 3,000 at once a
  /// daemon had 6,354 connections, over the 4,100 that its VM allows, and
  /// responses arrived too late.
  int maxConcurrentCalls = 64;
};

/// Sends orders to upstreams and tracks the pending ones.
///
/// Each order carries the number of orders that the upstream has accepted, read
/// from the upstream just before. An order that arrives late, or that a former
/// leader sent, is refused once any other has been accepted. An order that
/// takes longer than expected stays pending until the upstream reports
/// otherwise: many loads at once slow each other down, and a second plan for an
/// upstream that still loads would undo the first.
class PlacementOrders {
 public:
  /// `aMayIssueOrders` returns whether this daemon is the placement leader;
  /// called before each order.
  PlacementOrders(PlacementOrdersSettings aSettings, UpstreamControl& aControl,
                  ClusterView& aView, const Clock& aClock,
                  std::function<bool()> aMayIssueOrders);

  /// Sends an order, at once or when fewer calls are in flight.
  void Send(const ModelShape& aModel, const PlacementOrder& aOrder);
  /// Layers that an upstream will hold after its pending order; none if it has
  /// no pending order.
  std::optional<LayerRange> ExpectedOf(const UpstreamPtr& aUpstream,
                                       Instant aNow);
  bool IsPending(const std::string& aId) const {
    return this->pending.contains(aId);
  }
  /// Discards all orders. Orders of an earlier term may not have been accepted.
  void Clear();

 private:
  /// What to do with a pending order when it expires.
  enum class ExpiryAction { Check, Discard };

  struct Order {
    /// Incarnation that the order was sent to, as `LiveUpstream::Number`. A
    /// restarted upstream neither holds nor loads these layers.
    std::uint64_t incarnation = 0;
    LayerRange layers;
    Instant expiresAt;
    ExpiryAction expiryAction = ExpiryAction::Check;
  };

  /// An order that waits to be sent.
  struct QueuedOrder {
    UpstreamPtr upstream;
    PlacementOrder order;
    Micros loadTime{0};
  };

  void SendQueued();
  void StartOrder(const QueuedOrder& aQueued);
  void OnCallEnded();
  void OnReport(const QueuedOrder& aQueued,
                const Result<UpstreamReport>& aReport);
  void OnOrderResult(const QueuedOrder& aQueued,
                     const Result<OrderOutcome>& aOutcome);
  /// Requests a report from an upstream whose order should be complete.
  void Check(const UpstreamPtr& aUpstream, Order& aOrder);
  void OnChecked(const UpstreamPtr& aUpstream, LayerRange aLayers,
                 const Result<UpstreamReport>& aReport);
  /// The upstream did not respond to a report request.
  void OnReportFailed(LiveUpstream& aUpstream, const Error& aError);
  /// Counts the upstream as holding those layers for `aTime`.
  void Expect(const LiveUpstream& aUpstream, LayerRange aLayers, Micros aTime,
              ExpiryAction aExpiryAction);

  PlacementOrdersSettings settings;
  UpstreamControl& control;
  ClusterView& view;
  const Clock& clock;
  std::function<bool()> mayIssueOrders;
  /// By the id of the upstream.
  std::map<std::string, Order> pending;
  std::deque<QueuedOrder> queue;
  int callsInFlight = 0;
};

}  // namespace zincstep
