#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

/// What becomes of requests at an upstream that releases layers.
enum class ReleaseMode {
  /// Running requests complete first; then the new layers are loaded.
  DrainRequests,
  /// Running requests are aborted and resume on other upstreams.
  AbortRequests,
};

inline constexpr NameTable<ReleaseMode, 2> kReleaseModeNames{{
    {ReleaseMode::DrainRequests, "drain"},
    {ReleaseMode::AbortRequests, "abort"},
}};

/// State of an upstream as input of the placement.
struct PlacedUpstream {
  std::string id;
  std::string failureDomain;
  std::string kind;
  /// Layers that it holds, or will hold after the order in progress.
  LayerRange layers;
  /// Whether it may get orders: ready, responding, no order in progress.
  bool acceptsOrders = true;
  /// Requests that it runs concurrently.
  int slots = 192;
  /// Its incarnation, as `LiveUpstream::Number`.
  std::uint64_t incarnation = 0;
  /// Tokens of the requests that run through it, as far as known.
  double runningTokens = 0;
};

/// An order to hold these layers instead of the present ones.
struct PlacementOrder {
  std::string id;
  LayerRange layers;
  ReleaseMode releaseMode = ReleaseMode::AbortRequests;
};

/// Observed demand of the callers of one failure domain, wherever their
/// requests were served; in tokens of requests in flight.
struct DomainDemand {
  /// Decaying peak.
  double peak = 0;
  double current = 0;
  /// Rate of change per second, over the last `DemandSum::kTrendSpan`.
  double trend = 0;
};

/// Observed demand of callers.
struct ObservedDemand {
  /// Peak of the tokens of requests in flight in all failure domains, if every
  /// request were served.
  double tokens = 0;
  /// Weight of the assumed demand before any traffic, decreasing from 1.
  double priorWeight = 1;
  /// By failure domain of the callers; empty if a daemon reports demand without
  /// its domain.
  std::map<std::string, DomainDemand> byDomain = {};
};

/// Input of a plan.
struct PlacementInput {
  std::vector<PlacedUpstream> upstreams;
  /// Demand; none if it is not known yet.
  std::optional<ObservedDemand> demand;
  /// Failure domains that have not changed for a while. Only these are changed
  /// to serve more; the others are only changed to cover all layers.
  std::set<std::string> stableDomains;
  /// The only failure domain to improve in this pass, since improving one takes
  /// some milliseconds; none: all of them.
  std::optional<std::string> domainToImprove = std::nullopt;
  /// Incremented with each pass. A domain with too many upstreams for one pass
  /// is improved in parts, each time starting at another upstream.
  std::uint64_t passNumber = 0;
  /// Tokens of requests in flight to plan for in each failure domain, see
  /// `DemandTargets`; empty: the demand is divided in proportion to memory.
  std::map<std::string, double> targets = {};
};

/// Cost of a plan: layers and classes of upstreams that the scores of layouts
/// evaluated, independent of the machine.
struct PlanCost {
  std::uint64_t steps = 0;
};

}  // namespace zincstep
