#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {

/// Builds this daemon's `WorkGossip` and applies those of the other daemons.
class WorkExchange {
 public:
  /// Called with an upstream that a peer suspects and this daemon does not.
  using OnPeerSuspicion = std::function<void(const UpstreamPtr&)>;

  /// Called with the name of a daemon and how many upstreams that take requests
  /// directly it suspects, by service.
  using OnPeerReach = std::function<void(
      const std::string&, const std::map<std::string, std::size_t>&)>;

  WorkExchange(const UpstreamDirectory& aDirectory,
               OnPeerSuspicion aOnSuspicion)
      : directory(aDirectory), onSuspicion(std::move(aOnSuspicion)) {}

  void SetOnPeerReach(OnPeerReach aOnReach) {
    this->onReach = std::move(aOnReach);
  }

  /// This daemon's work.
  struct Outgoing {
    WorkGossip gossip;
    /// Whether the message names suspects.
    bool hasSuspects = false;
  };

  /// Returns the message to be sent now, with the demands of `aDemands`; none
  /// if there is nothing to report. An empty message is returned once, to clear
  /// the work sent before.
  std::optional<Outgoing> Build(WorkGossip aDemands, Instant aNow);
  /// Returns a message with the work of all daemons at the upstreams of a
  /// failure domain, as known to this daemon, for the placement leader.
  WorkGossip BuildForDomain(const std::string& aDomain) const;
  /// Replaces the former work of `aSender`, and records what it reports of
  /// upstreams.
  void Apply(const std::string& aSender, const WorkGossip& aGossip,
             Instant aNow);
  /// Removes the work of daemons whose last message is older than `aMaxAge`.
  void Tick(Instant aNow, Micros aMaxAge) { this->work.Tick(aNow, aMaxAge); }

 private:
  void ApplyDomainWork(const WorkGossip& aGossip, Instant aNow);

  const UpstreamDirectory& directory;
  OnPeerSuspicion onSuspicion;
  /// None if never set.
  OnPeerReach onReach;
  PeerWork work;
  bool hasSentWork = false;
};

}  // namespace zincstep
