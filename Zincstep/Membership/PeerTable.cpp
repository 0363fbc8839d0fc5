#include "Zincstep/Membership/PeerTable.h"

namespace zincstep {

PeerTable::PeerTable(std::string aOwnVm, std::string aOwnDomain,
                     PeerTableSettings aSettings)
    : ownVm(std::move(aOwnVm)),
      ownDomain(std::move(aOwnDomain)),
      settings(aSettings) {}

void PeerTable::SetVms(const std::vector<VmEntry>& aVms,
                       const std::set<std::string>& aRegionDomains) {
  std::map<std::string, PeerInfo> next;
  for (const VmEntry& vm : aVms) {
    const bool isPeer = vm.role == VmRole::Entry && vm.name != this->ownVm &&
                        !vm.peerAddress.empty() &&
                        (vm.failureDomain == this->ownDomain ||
                         aRegionDomains.contains(vm.failureDomain));
    if (!isPeer) {
      continue;
    }
    PeerInfo& peer = next[vm.name];
    const auto known = this->peers.find(vm.name);
    if (known != this->peers.end()) {
      peer = known->second;
    }
    peer.vm = vm.name;
    peer.failureDomain = vm.failureDomain;
    peer.peerAddress = vm.peerAddress;
    // Leaving is sticky: the list can only add it.
    peer.stopping = peer.stopping || vm.leaving;
  }
  this->peers = std::move(next);
}

void PeerTable::OnGossip(const GossipMessage& aGossip, Instant aNow) {
  const auto found = this->peers.find(aGossip.vm);
  if (found == this->peers.end()) {
    return;
  }
  PeerInfo& peer = found->second;
  // A new incarnation on the same VM does not inherit the old one's state.
  const bool isNew = peer.member != aGossip.member;
  peer.member = aGossip.member;
  peer.address = aGossip.address;
  peer.revision = aGossip.revision;
  peer.membersVersion = aGossip.membersVersion;
  peer.handedTo = aGossip.handedTo;
  peer.stopping = aGossip.stopping || (peer.stopping && !isNew);
  peer.hasGossip = true;
  peer.lastSeenAt = aNow;
}

std::vector<const PeerInfo*> PeerTable::DomainPeers() const {
  std::vector<const PeerInfo*> found;
  for (const auto& [name, peer] : this->peers) {
    if (peer.failureDomain == this->ownDomain) {
      found.push_back(&peer);
    }
  }
  return found;
}

std::string PeerTable::OwnerOf(const std::string& aTask, Instant aNow) const {
  const std::uint64_t key = Hash64(aTask);
  std::string best = this->ownVm;
  std::uint64_t bestScore = RendezvousScore(key, this->ownVm);
  for (const PeerInfo* peer : this->DomainPeers()) {
    if (!this->IsLive(*peer, aNow) || peer->stopping) {
      continue;
    }
    const std::uint64_t score = RendezvousScore(key, peer->vm);
    if (score > bestScore) {
      best = peer->vm;
      bestScore = score;
    }
  }
  return best;
}

int PeerTable::LiveDaemons(Instant aNow) const {
  int count = 1;
  for (const PeerInfo* peer : this->DomainPeers()) {
    count += this->IsLive(*peer, aNow) ? 1 : 0;
  }
  return count;
}

std::string PeerTable::AddressOfMember(const std::string& aMember) const {
  for (const auto& [name, peer] : this->peers) {
    if (peer.member == aMember) {
      return peer.peerAddress;
    }
  }
  return {};
}

}  // namespace zincstep
