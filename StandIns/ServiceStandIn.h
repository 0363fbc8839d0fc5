#pragma once

#include <map>
#include <string>

#include "StandIns/StandInServer.h"

namespace zincstep::standins {

/// Injected faults of a stand-in service, set at run time.
struct ServiceFaults {
  /// Delay added to each request.
  Micros delay{0};
  /// Number of upcoming requests that are run without a response.
  int lostResponses = 0;
  /// Every request is rejected with status 503, except to the fault and run
  /// counter endpoints.
  bool outage = false;
};

/// A simple HTTP service that counts how often each request was run.
class ServiceStandIn {
 public:
  ServiceStandIn(const std::string& aAddress, std::string aName);

  /// Starts listening.
  Result<void> Start() { return this->server.Start(); }
  /// Serves until a signal or `Quit`.
  void Run() { this->server.Run(); }
  StandInServer& Server() { return this->server; }

 private:
  void Handle(const HttpRequest& aRequest);
  void HandleFaults(const HttpRequest& aRequest);
  void RunRequest(const HttpRequest& aRequest);

  std::string name;
  std::map<std::string, int> runs;
  ServiceFaults faults;
  int openRequests = 0;
  StandInServer server;
};

}  // namespace zincstep::standins
