#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/EdgeSettings.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// Speaks with the other edge daemons.
///
/// Tells those of the same failure domain how much work is in flight, and
/// asks any of them what it knows when the store does not answer. Daemons
/// find each other by entries in the store, and by the seeds.
class PeerExchange final : private PeerListener {
 public:
  PeerExchange(asio::io_context& aLoop, const EdgeSettings& aSettings,
               AsyncStore& aStore, ClusterView& aView, const Clock& aClock,
               Random& aRandom, std::function<void()> aOnSuspicion);

  Result<void> Start();
  void Stop();
  /// Tells and asks where it is time; to be called several times a second.
  void Tick();
  /// Whether another daemon proves for this failure domain: the one whose
  /// name is the first. The others ask it, so that the store does not have
  /// to answer all.
  bool MayRely() const { return this->FirstPeer() != nullptr; }
  /// Daemons that are known, this one included.
  std::size_t Daemons() const { return this->members.size() + 1; }
  /// A newer configuration is in force here: peers are told at once.
  void OnConfiguration();
  /// Tells this daemon's work and suspicions at once.
  void GossipSoon();
  /// Items under the daemons' own prefix, as they are.
  void OnMembers(const StoreRange& aRange);
  /// Changes under the daemons' own prefix.
  void OnMemberEvents(const StoreEvents& aEvents);

 private:
  struct Member {
    std::string address;
    std::string failureDomain;
  };

  void OnPeerData(std::string aMessage) override;
  void OnMessage(const EdgePeerMessage& aMessage);
  void OnGossip(const std::string& aSender, const WorkGossip& aGossip);
  void OnGive(const ClusterGive& aGive);
  void PutMember(const StoreItem& aItem);
  void KeepEntry(Instant aNow);
  void WriteEntry();
  void Gossip();
  void AskPeers(Instant aNow);
  std::vector<std::string> KnownAddresses() const;
  /// The domain's member of the first name; null where it is this one.
  const Member* FirstPeer() const;
  void Ask(const std::string& aAddress, Instant aNow);
  void Send(const std::string& aAddress,
            std::variant<WorkGossip, ClusterWant, ClusterGive> aBody);

  asio::io_context& loop;
  const EdgeSettings& settings;
  AsyncStore& store;
  ClusterView& view;
  const Clock& clock;
  Random& random;
  /// Called when a peer has told of a new suspicion.
  std::function<void()> onSuspicion;
  std::unique_ptr<PeerHub> hub;
  std::map<std::string, Member> members;
  std::vector<std::string> seeds;
  /// When each open question was asked.
  std::map<std::uint64_t, Instant> questions;
  std::uint64_t lastQuestion = 0;
  std::uint64_t lease = 0;
  Instant nextKeep{};
  Instant nextGossip{};
  Instant nextQuestion{};
  Instant nextReliance{};
  bool isWriting = false;
  bool isGossipDue = false;
  bool toldWork = false;
};

}  // namespace zincstep
