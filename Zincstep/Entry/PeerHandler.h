#pragma once

#include <map>
#include <set>
#include <string>

#include "Zincstep/Entry/ClaimCoordinator.h"
#include "Zincstep/Entry/ConfigWatcher.h"
#include "Zincstep/Entry/DomainController.h"
#include "Zincstep/Entry/EntryContext.h"
#include "Zincstep/Entry/ModelPool.h"
#include "Zincstep/Entry/ServiceHandler.h"

namespace zincstep {

/// Exchanges load, demand, member lists and configurations with the other entry
/// daemons.
class PeerHandler {
 public:
  PeerHandler(EntryContext& aContext, ModelPool& aPool,
              ClaimCoordinator& aClaims, ServiceHandler& aServices,
              ConfigWatcher& aWatcher, DomainController& aController);

  /// Handles a message of a peer.
  void OnMessage(const PeerMessage& aMessage);
  /// Applies a report of the domain controller.
  void OnControllerReport(const DomainControllerReport& aReport);
  /// Handles the result of a load query.
  void OnLoad(const std::string& aUpstream, const Result<EngineLoad>& aLoad);
  /// Sends gossip to all peers at once, as after a change.
  void Gossip();
  /// Sends queries, gossip and controller input that are due; must be called
  /// periodically.
  void OnTick(Instant aNow);

  /// The last report of the domain controller.
  const DomainControllerReport& LastReport() const { return this->lastReport; }
  /// Returns the peer that takes over the claims of this daemon, or null.
  const PeerInfo* Successor() const;
  /// Returns the daemons of this domain with their active revisions.
  std::vector<DaemonStatus> Daemons() const;

 private:
  void OnGossip(const GossipMessage& aGossip, const std::string& aReplyTo);
  void OnConfigRequest(const std::string& aReplyTo,
                       const ConfigWantMessage& aRequest);
  void ApplyMembers(const MemberLists& aLists);
  void MarkLeaving(const std::string& aUpstream);
  void ApplyPaused();
  void QueryLoads();
  void UpdateController();

  EntryContext& context;
  ModelPool& pool;
  ClaimCoordinator& claims;
  ServiceHandler& services;
  ConfigWatcher& watcher;
  DomainController& controller;
  DomainControllerReport lastReport;
  /// Results of this daemon's latest load queries, by upstream.
  std::map<std::string, UpstreamLoad> localLoads;
  /// Paused upstreams that each peer reported, by the peer's VM.
  std::map<std::string, std::vector<std::string>> pausedBy;
  Instant nextGossip;
  Instant nextLoads;
  Instant nextControllerUpdate;
  Instant lastConfigRequestAt;
  std::uint64_t requestedRevision = 0;
};

}  // namespace zincstep
