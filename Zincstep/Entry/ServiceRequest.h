#pragma once

/// \file
/// State of one call of a service; private to the service handler.

#include "Zincstep/Entry/ServiceHandler.h"

namespace zincstep {

/// One call of a service, from arrival to end.
struct ServiceHandler::Request {
  std::uint64_t id = 0;
  HttpRequest http;
  CallerInfo caller;
  SnapshotPtr snapshot;
  std::string service;
  BalancerPtr balancer;
  bool repeatable = false;
  bool isKeyed = false;
  bool isCallerDisconnected = false;
  /// An attempt was sent, so errors must not claim that it was not run.
  bool mayHaveRun = false;
  std::uint64_t digest = 0;
  int attempts = 0;
  int replica = -1;
  std::vector<int> failed;
  CallId call = 0;
  Instant attemptStartedAt;
  Instant receivedAt;
  Span span;
};

}  // namespace zincstep
