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
  /// From its gossip; empty until it was heard.
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
  /// A peer that was silent for longer is not counted on.
  Micros silence = 3s;
};

/// The entry daemons of a region: the VM list joined with what is heard.
///
/// The list says who exists; gossip says who lives. A peer that is heard
/// is counted on even where the list has not shown it yet, and one that is
/// listed but silent is kept, yet given no duty. One that says that it is
/// stopping has no duty from then on, whatever the list says.
class PeerTable {
 public:
  PeerTable(std::string aOwnVm, std::string aOwnDomain,
            PeerTableSettings aSettings);

  /// Takes the entry daemons of a new VM list.
  void SetVms(const std::vector<VmEntry>& aVms,
              const std::set<std::string>& aRegionDomains);
  /// Takes a peer's gossip.
  void OnGossip(const GossipMessage& aGossip, Instant aNow);

  /// Peers in this daemon's own domain.
  std::vector<const PeerInfo*> DomainPeers() const;
  /// All peers.
  const std::map<std::string, PeerInfo>& All() const { return this->peers; }
  /// Whether a peer was heard of late.
  bool IsLive(const PeerInfo& aPeer, Instant aNow) const {
    return aPeer.hasGossip && aNow - aPeer.lastSeenAt <= this->settings.silence;
  }
  /// The VM of this domain that has a duty, by rendezvous hashing over
  /// those that are heard, this one included.
  std::string OwnerOf(const std::string& aDuty, Instant aNow) const;
  /// Whether this daemon has a duty.
  bool IsMine(const std::string& aDuty, Instant aNow) const {
    return this->OwnerOf(aDuty, aNow) == this->ownVm;
  }
  /// Daemons of this domain that are heard, this one included.
  int LiveDaemons(Instant aNow) const;
  /// Address of the peer that runs as `aMember`, or empty.
  std::string AddressOfMember(const std::string& aMember) const;

 private:
  std::string ownVm;
  std::string ownDomain;
  PeerTableSettings settings;
  std::map<std::string, PeerInfo> peers;
};

}  // namespace zincstep
