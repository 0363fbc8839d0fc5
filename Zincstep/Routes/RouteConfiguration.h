#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Net/CallerLimits.h"

namespace zincstep {

/// What a route's requests allow.
enum class RouteKind {
  /// May run more than once.
  Safe,
  /// Runs at most once for each attempt of the caller.
  Unsafe,
  /// Answered by a stream of numbered events.
  Streaming,
};

/// One of the services that a route's requests are split over.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

/// Where the requests below a host's path go, and under which limits.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::Unsafe;
  /// Needs no key.
  bool isPublic = false;
  /// A stream may go on at another upstream behind its last whole event.
  bool isResumable = false;
  /// Longest time that a request may be held.
  Micros timeout = 30s;
  /// Time within which an answer (a stream's first event) is in time.
  Micros latencyObjective = 1s;
  /// Longest pause between events with which a stream is in time.
  Micros longestPause = 1s;
  /// 0 is the most urgent.
  int priority = 0;
  /// Upstreams that may run one attempt of a caller.
  int maxAttempts = 1;
  std::vector<RouteTarget> targets;
};

/// A kind of accelerator among the upstreams of a split model.
struct PoolKind {
  std::string name;
  /// Memory for layers and requests, in MB.
  double memoryMb = 0;
  /// Factor on the time of decode steps.
  double stepFactor = 1;
  /// Factor on the time of reading prompts.
  double readFactor = 1;
};

/// A model that is split by layers over the upstreams of a service.
struct ModelShape {
  std::string model;
  int layers = 0;
  double layerMb = 0;
  /// KV cache of a token over all layers, in MB.
  double tokenMb = 0;
  /// Time of one decode step through all layers at factor 1.
  Micros stepTime = 1ms;
  /// Prompt tokens read a second through all layers at factor 1.
  double readTokensPerSecond = 1;
  /// Usual length of prompts and of answers, in tokens.
  double usualPrompt = 0;
  double usualAnswer = 0;
  /// Time to load all layers.
  Micros loadTime = 10s;
  /// Loads that run at once without slowing each other.
  int loadsAtOnce = 1;
  std::vector<PoolKind> kinds;

  /// The kind named `aName`, or null.
  const PoolKind* FindKind(std::string_view aName) const;
};

/// A service behind routes.
struct RoutedService {
  std::string name;
  std::string healthPath;
  /// Connections that one upstream accepts from all callers together.
  int maxConnections = 0;
  /// Set where its upstreams hold layers of a split model.
  std::optional<ModelShape> model;
};

/// Those whose keys callers present.
struct RoutedOrganisation {
  std::string name;
  /// Goes before the route's where it is set.
  std::optional<int> priority;
  std::vector<std::string> keys;
};

/// Everything that an operator declares of routes, as one whole.
struct RouteConfiguration {
  /// Rises with each configuration, in uneven steps.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  std::vector<RoutedOrganisation> organisations;
  CallerLimits limits;
};

}  // namespace zincstep
