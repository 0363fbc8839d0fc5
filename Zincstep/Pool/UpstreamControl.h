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

/// A request that stands still at an upstream, and on whom it waits.
struct StalledRequest {
  std::string requestId;
  /// Address of the upstream that does not answer.
  std::string waitsFor;
};

/// What an upstream reports of itself; some hundred milliseconds old.
struct UpstreamReport {
  LayerRange layers;
  /// Whether an order is under way.
  bool isBusy = false;
  /// Orders that it has taken since its start.
  std::uint64_t sequence = 0;
  /// Requests that run and that wait there.
  int running = 0;
  int queued = 0;
  /// Above 1 it is slower than its kind.
  double slowdown = 1;
  /// Memory for requests that is in use, and all of it, in tokens x layers.
  double memoryUsed = 0;
  double memoryTotal = 0;
  std::vector<StalledRequest> stalled;
  UpstreamNotice notice;
};

/// What an upstream says to an order.
enum class OrderStatus {
  /// Begun, or holds already.
  Accepted,
  /// Does not fit what it holds or has done.
  Refused,
  /// It does not know the request that the order is about.
  UnknownRequest,
};

/// An answer with the address that an upstream blames, if any.
struct OrderOutcome {
  OrderStatus status = OrderStatus::Refused;
  std::string atFault;
};

/// Calls to upstreams beside requests, on the loop's thread.
///
/// Failures: `UpstreamUnreachable` where nothing was sent, else
/// `DeadlineDuringRun` (no answer in time) or `ResponseIncomplete` (the
/// connection broke): an order may have been taken, or may still be.
class UpstreamControl {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  virtual ~UpstreamControl() = default;

  /// Finds out what becomes of a connection to its address, without a request:
  /// plain services answer no reports.
  virtual void ProbeConnection(const UpstreamEntry& aUpstream, Micros aTimeout,
                               std::function<void(Reachability)> aDone) = 0;
  /// Asks how an upstream is. Fails with `UpstreamEnded` where another
  /// incarnation answers at its address.
  virtual void Report(const UpstreamEntry& aUpstream, Micros aTimeout,
                      Done<UpstreamReport> aDone) = 0;
  /// Orders an upstream to hold `aLayers` if it has taken
  /// `aExpectedSequence` orders: a late or repeated order does nothing.
  virtual void Place(const UpstreamEntry& aUpstream, LayerRange aLayers,
                     std::uint64_t aExpectedSequence, ReleaseMode aReleaseMode,
                     Done<OrderOutcome> aDone) = 0;
  /// Orders a running request on to another chain with the same first hop.
  virtual void Reroute(const std::string& aRequestId, const PoolChain& aChain,
                       Done<OrderOutcome> aDone) = 0;
};

}  // namespace zincstep
