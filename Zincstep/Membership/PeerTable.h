#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Peer/Peer.h"
#include "Zincstep/Platform/Platform.h"

namespace zincstep {

/// Another entry daemon, as this one knows it.
struct PeerInfo {
  std::string vm;
  std::string failureDomain;
  std::string peerAddress;
  /// From its gossip; empty until the first message.
  std::string member;
  std::string address;
  std::uint64_t revision = 0;
  std::uint64_t membersVersion = 0;
  bool stopping = false;
  std::string handedTo;
  bool hasGossip = false;
  Instant lastSeenAt;
};

/// Settings of a peer table.
struct PeerTableSettings {
  /// A peer without a message for longer than this does not count as live.
  Micros peerTimeout = 3s;
};

/// The entry daemons of a region: the VM list joined with their gossip.
///
/// The VM list says which daemons exist, gossip which are live. A listed peer
/// that is not live is kept but gets no tasks. A peer that reports that it is
/// stopping gets no tasks from then on, whatever the list says.
class PeerTable {
 public:
  PeerTable(std::string aOwnVm, std::string aOwnDomain,
            PeerTableSettings aSettings);

  /// Applies the entry daemons of a new VM list.
  void SetVms(const std::vector<VmEntry>& aVms,
              const std::set<std::string>& aRegionDomains);
  /// Applies a peer's gossip.
  void OnGossip(const GossipMessage& aGossip, Instant aNow);

  /// Returns the peers in this daemon's own domain.
  std::vector<const PeerInfo*> DomainPeers() const;
  /// All peers.
  const std::map<std::string, PeerInfo>& All() const { return this->peers; }
  /// Whether a message of the peer arrived within `peerTimeout`.
  bool IsLive(const PeerInfo& aPeer, Instant aNow) const {
    return aPeer.hasGossip &&
           aNow - aPeer.lastSeenAt <= this->settings.peerTimeout;
  }
  /// Returns the VM of this domain that a task is assigned to, by rendezvous
  /// hashing over the live daemons, this one included.
  std::string OwnerOf(const std::string& aTask, Instant aNow) const;
  /// Whether a task is assigned to this daemon.
  bool IsMine(const std::string& aTask, Instant aNow) const {
    return this->OwnerOf(aTask, aNow) == this->ownVm;
  }
  /// Number of live daemons of this domain, this one included.
  int LiveDaemons(Instant aNow) const;
  /// Returns the address of the peer that runs as `aMember`, or an empty
  /// string.
  std::string AddressOfMember(const std::string& aMember) const;

 private:
  std::string ownVm;
  std::string ownDomain;
  PeerTableSettings settings;
  std::map<std::string, PeerInfo> peers;
};

}  // namespace zincstep
