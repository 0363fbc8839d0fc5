#pragma once

#include "Zincstep/Entry/ClaimCoordinator.h"
#include "Zincstep/Entry/EntryContext.h"
#include "Zincstep/Entry/ModelHandler.h"
#include "Zincstep/Entry/PeerHandler.h"
#include "Zincstep/Entry/ServiceHandler.h"

namespace zincstep {

/// Serves the operators' API: health, metrics and the daemon's state.
class StatusHandler {
 public:
  StatusHandler(EntryContext& aContext, ModelPool& aPool, ModelHandler& aModels,
                ServiceHandler& aServices, ClaimCoordinator& aClaims,
                PeerHandler& aPeers, const ConfigWatcher& aWatcher);

  /// Handles an operator's request; returns true if it requests a stop.
  bool OnRequest(const HttpRequest& aRequest);

 private:
  HttpResponse Ready() const;
  HttpResponse MetricsResponse();
  nlohmann::json Status() const;
  nlohmann::json Upstreams();
  nlohmann::json Organisations() const;
  nlohmann::json Chains(const std::string& aModel);
  HttpResponse Explain(const HttpRequest& aRequest);

  EntryContext& context;
  ModelPool& pool;
  ModelHandler& models;
  ServiceHandler& services;
  ClaimCoordinator& claims;
  PeerHandler& peers;
  const ConfigWatcher& watcher;
};

}  // namespace zincstep
