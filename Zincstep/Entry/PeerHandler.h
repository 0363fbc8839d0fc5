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

/// Speaks with the other entry daemons: load, demand, news, configuration.
class PeerHandler {
 public:
  PeerHandler(EntryContext& aContext, ModelPool& aPool,
              ClaimCoordinator& aClaims, ServiceHandler& aServices,
              ConfigWatcher& aWatcher, DomainController& aController);

  /// A message has come from a peer.
  void OnMessage(const PeerMessage& aMessage);
  /// The keeper has news.
  void OnControllerReport(const DomainControllerReport& aReport);
  /// An upstream has answered this daemon's question for its load.
  void OnLoad(const std::string& aUpstream, const Result<EngineLoad>& aLoad);
  /// Tells the peers at once, as after news.
  void Gossip();
  /// Time has passed.
  void OnTick(Instant aNow);

  const DomainControllerReport& LastReport() const { return this->lastReport; }
  /// The peer that takes over the claims of this daemon, or null.
  const PeerInfo* Successor() const;
  /// Daemons of this domain with what is in force there.
  std::vector<DaemonStatus> Daemons() const;

 private:
  void OnGossip(const GossipMessage& aGossip, const std::string& aReplyTo);
  void OnWant(const std::string& aReplyTo, const ConfigWantMessage& aWant);
  void ApplyMembers(const MemberLists& aLists);
  void NoteLeaving(const std::string& aUpstream);
  void ApplyPaused();
  void AskLoads();
  void UpdateController();

  EntryContext& context;
  ModelPool& pool;
  ClaimCoordinator& claims;
  ServiceHandler& services;
  ConfigWatcher& watcher;
  DomainController& controller;
  DomainControllerReport lastReport;
  /// Own last questions for load.
  std::map<std::string, UpstreamLoad> ownLoads;
  std::map<std::string, std::vector<std::string>> pausedBy;
  Instant nextGossip;
  Instant nextLoads;
  Instant nextTell;
  Instant lastWant;
  std::uint64_t wantedRevision = 0;
};

}  // namespace zincstep
