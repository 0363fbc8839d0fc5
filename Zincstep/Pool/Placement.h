#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

/// What becomes of requests at an upstream that gives layers up.
enum class ReleaseMode {
  /// They end first; the new layers are loaded after that.
  DrainRequests,
  /// They are cut off, and go on elsewhere.
  AbortRequests,
};

/// An upstream as placement sees it.
struct PlacedUpstream {
  std::string id;
  std::string failureDomain;
  std::string kind;
  /// What it holds, or will hold once a running order is done.
  LayerRange layers;
  /// Whether it gets orders: ready, answering, no order under way.
  bool acceptsOrders = true;
  /// Requests that it works on at once.
  int slots = 192;
  /// Its incarnation, as `LiveUpstream::Number`.
  std::uint64_t incarnation = 0;
};

/// An order: the upstream is to hold these layers instead of its own.
struct PlacementOrder {
  std::string id;
  LayerRange layers;
  ReleaseMode releaseMode = ReleaseMode::AbortRequests;
};

/// What callers need, as it was observed.
struct ObservedDemand {
  /// Tokens of requests that all failure domains together have in flight where
  /// everything is served, at the peak.
  double tokens = 0;
  /// How much of the assumption before any traffic still counts, from 1 down.
  double priorLeft = 1;
};

/// What a plan is made from.
struct PlacementInput {
  std::vector<PlacedUpstream> upstreams;
  /// What callers need; none where that is not known yet.
  std::optional<ObservedDemand> demand;
  /// Failure domains that have been as they are for a while: only these are
  /// changed to serve better, and not just to cover all layers.
  std::set<std::string> stableDomains;
  /// The only failure domain that is looked at for that now, as it takes some
  /// milliseconds; none: all of them.
  std::optional<std::string> domainToImprove = std::nullopt;
  /// Rises with each look: a domain with too many upstreams for one look is
  /// looked at in parts, each time from another one on.
  std::uint64_t passNumber = 0;
};

/// What a plan has cost: the layers and classes of upstreams that scores of
/// layouts have looked at, whatever the machine.
struct PlanCost {
  std::uint64_t steps = 0;
};

}  // namespace zincstep
