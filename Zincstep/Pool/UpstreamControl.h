#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Zincstep/Net/TcpSocket.h"
#include "Zincstep/Pool/ChainChooser.h"
#include "Zincstep/Pool/Placement.h"
#include "Zincstep/Pool/UpstreamCall.h"

namespace zincstep {

/// A request that is stalled at an upstream, and the upstream that it waits
/// for.
struct StalledRequest {
  std::string requestId;
  /// Address of the upstream that does not respond.
  std::string waitsFor;
};

/// Report of an upstream on its state; some hundred milliseconds old.
struct UpstreamReport {
  LayerRange layers;
  /// Whether an order is in progress.
  bool isBusy = false;
  /// Orders that it has accepted since its start.
  std::uint64_t sequence = 0;
  /// Running and queued requests.
  int running = 0;
  int queued = 0;
  /// Time per step over the normal time of its kind.
  double slowdown = 1;
  /// Used and total memory for requests, in tokens x layers.
  double memoryUsed = 0;
  double memoryTotal = 0;
  std::vector<StalledRequest> stalled;
  UpstreamNotice notice;

  /// The load that the report announces, if it arrived at `aReceivedAt`.
  AnnouncedLoad Load(Instant aReceivedAt) const {
    return {this->running, this->queued, aReceivedAt - kUsualAge};
  }
  /// Usual age of a report's content (the platform's documentation).
  static constexpr Micros kUsualAge = 200ms;
};

/// Reply of an upstream to an order.
enum class OrderStatus {
  /// Started, or the upstream holds the layers already.
  Accepted,
  /// The order does not match its layers or its order sequence.
  Refused,
  /// The upstream does not know the request.
  UnknownRequest,
};

/// Reply to an order, with the address of the upstream that is at fault, if
/// stated.
struct OrderOutcome {
  OrderStatus status = OrderStatus::Refused;
  std::string atFault;
};

/// Control calls to upstreams, on the loop's thread.
///
/// Errors: `UpstreamUnreachable` if nothing was sent, else `DeadlineDuringRun`
/// (no response in time) or `ResponseIncomplete` (the connection broke): the
/// order may have been accepted, or may still be.
class UpstreamControl {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  virtual ~UpstreamControl() = default;

  /// Tests whether a connection to its address can be established, without
  /// sending a request: plain services answer no reports.
  virtual void ProbeConnection(const UpstreamEntry& aUpstream, Micros aTimeout,
                               std::function<void(Reachability)> aDone) = 0;
  /// Requests an upstream's report. Fails with `UpstreamEnded` if another
  /// incarnation answers at its address.
  virtual void Report(const UpstreamEntry& aUpstream, Micros aTimeout,
                      Done<UpstreamReport> aDone) = 0;
  /// Orders an upstream to hold `aLayers` if it has accepted
  /// `aExpectedSequence` orders, so that a late or repeated order has no
  /// effect.
  virtual void Place(const UpstreamEntry& aUpstream, LayerRange aLayers,
                     std::uint64_t aExpectedSequence, ReleaseMode aReleaseMode,
                     Done<OrderOutcome> aDone) = 0;
  /// Moves a running request to another chain with the same first hop.
  virtual void Reroute(const std::string& aRequestId, const PoolChain& aChain,
                       Done<OrderOutcome> aDone) = 0;
};

}  // namespace zincstep
