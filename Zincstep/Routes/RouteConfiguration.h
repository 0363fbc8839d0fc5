#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Net/CallerLimits.h"

namespace zincstep {

/// How requests of a route may be run.
enum class RouteKind {
  /// May run more than once.
  Safe,
  /// Runs at most once per attempt of the caller.
  Unsafe,
  /// The response is a stream of numbered events.
  Streaming,
};

/// A service that receives a weighted share of a route's requests.
struct RouteTarget {
  std::string service;
  double weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// Targets and limits of the requests below a path of a host.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::Unsafe;
  /// Requests need no API key.
  bool isPublic = false;
  /// A stream may resume at another upstream after its last complete event.
  bool isResumable = false;
  /// Maximum duration of a request.
  Micros timeout = 30s;
  /// Latency objective of a response, or of the first event of a stream.
  Micros latencyObjective = 1s;
  /// Objective of the gap between the events of a stream.
  Micros longestPause = 1s;
  /// 0 is the most urgent.
  int priority = 0;
  /// Maximum runs on upstreams per attempt of the caller.
  int maxAttempts = 1;
  std::vector<RouteTarget> targets;

  bool operator==(const Route&) const = default;
};

/// An accelerator kind among the upstreams of a split model.
struct PoolKind {
  std::string name;
  /// Memory for layers and requests, in MB.
  double memoryMb = 0;
  /// Factor on the time of decode steps.
  double stepFactor = 1;
  /// Factor on the time of prompt processing.
  double readFactor = 1;

  bool operator==(const PoolKind&) const = default;
};

/// A model that is split by layers over the upstreams of a service.
struct ModelShape {
  std::string model;
  int layers = 0;
  double layerMb = 0;
  /// KV cache per token over all layers, in MB.
  double tokenMb = 0;
  /// Time of one decode step through all layers at factor 1.
  Micros stepTime = 1ms;
  /// Prompt tokens processed per second through all layers at factor 1.
  double readTokensPerSecond = 1;
  /// Typical length of prompts and of answers, in tokens.
  double usualPrompt = 0;
  double usualAnswer = 0;
  /// Time to load all layers.
  Micros loadTime = 10s;
  /// Number of loads that run in parallel without slowing each other.
  int loadsAtOnce = 1;
  std::vector<PoolKind> kinds;

  /// Returns the kind named `aName`, or null.
  const PoolKind* FindKind(std::string_view aName) const;

  bool operator==(const ModelShape&) const = default;
};

/// A service behind routes.
struct RoutedService {
  std::string name;
  std::string healthPath;
  /// Maximum connections that one upstream accepts from all callers together.
  int maxConnections = 0;
  /// Set if its upstreams hold layers of a split model.
  std::optional<ModelShape> model;

  bool operator==(const RoutedService&) const = default;
};

/// An organisation, identified by its API keys.
struct RoutedOrganisation {
  std::string name;
  /// Overrides the priority of the route, if set.
  std::optional<int> priority;
  std::vector<std::string> keys;

  bool operator==(const RoutedOrganisation&) const = default;
};

/// The complete configuration of routes by the operator.
struct RouteConfiguration {
  /// Increases with each configuration, not always by 1.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  /// Organisations whose keys admit requests; an empty list admits none. Absent
  /// where the deployment has no organisations, so that requests need no key.
  std::optional<std::vector<RoutedOrganisation>> organisations;
  CallerLimits limits;

  bool operator==(const RouteConfiguration&) const = default;
};

}  // namespace zincstep
