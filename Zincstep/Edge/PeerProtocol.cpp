#include "Zincstep/Edge/PeerProtocol.h"

#include <sstream>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Minimum interval between messages with this daemon's work. Work in flight
/// lasts some seconds, so twice per second is precise enough.
constexpr Micros kGossipInterval = 400ms;
/// Maximum rate at which a daemon receives work messages, per second. Each
/// costs some 30 us including reception, so this is 0.3% of a core. In larger
/// failure domains each daemon sends less often, and has a smaller share of the
/// work.
constexpr double kMaxWorkMessageRate = 100;
/// Interval between reports of this daemon's demand: traffic rises and falls
/// within some seconds.
constexpr Micros kDemandInterval = 1s;
/// Intervals without a work message after which a daemon counts as stopped or
/// partitioned.
constexpr int kMaxMissedIntervals = 4;
/// Up to this many members, work is sent to all of them; above it, only to the
/// same failure domain, whose daemons share most of their upstreams.
constexpr std::size_t kMaxFullGossipMembers = 16;
/// Maximum backoff before a peer is reconnected: half the age at which a
/// validation through it would be missed.
constexpr Micros kMaxReconnectBackoff = 800ms;
constexpr double kBytesPerMb = 1 << 20;
/// Shares of the VM's memory for messages queued for sending and for received
/// messages that are not parsed yet: requests need many times that.
constexpr double kSendBufferShare = 0.05;
constexpr double kReceiveBufferShare = 0.05;

/// Returns the seeds' hosts with the port at which daemons listen for each
/// other.
std::vector<std::string> SeedPeers(const EdgeSettings& aSettings) {
  const std::string& own = aSettings.peerListen;
  const std::string port = own.substr(own.rfind(':'));
  std::vector<std::string> peers;
  std::istringstream list(aSettings.seeds);
  for (std::string seed; std::getline(list, seed, ',');) {
    const std::string peer = seed.substr(0, seed.rfind(':')) + port;
    if (!seed.empty() && peer != own) {
      peers.push_back(peer);
    }
  }
  return peers;
}

}  // namespace

PeerProtocol::PeerProtocol(asio::io_context& aLoop,
                           const EdgeSettings& aSettings, AsyncStore& aStore,
                           ClusterView& aView, const Clock& aClock,
                           Random& aRandom, Metrics& aMetrics,
                           StoreEraTracker& aEras, OnPeerSuspicion aOnSuspicion,
                           OnPeerCrashes aOnCrashes, OnPeerLimits aOnLimits,
                           LocalDemand aLocalDemand)
    : loop(aLoop),
      settings(aSettings),
      view(aView),
      clock(aClock),
      random(aRandom),
      onCrashes(std::move(aOnCrashes)),
      onLimits(std::move(aOnLimits)),
      localDemand(std::move(aLocalDemand)),
      eras(aEras),
      bytes(aMetrics),
      registrar(aSettings, aStore, aClock),
      responder(aView, aClock, aSettings.linkMbps),
      work(aView.Directory(), std::move(aOnSuspicion)),
      members(aSettings, aClock),
      seeds(SeedPeers(aSettings)),
      startedAt(aClock.Now()) {
  if (this->seeds.empty()) {
    this->members.StartWithoutPeers();
  }
  PeerTransportSettings transportSettings;
  transportSettings.listen = aSettings.peerListen;
  transportSettings.seed = Hash64(aSettings.name);
  transportSettings.maxReconnectBackoff = kMaxReconnectBackoff;
  const double memory = aSettings.memoryMb * kBytesPerMb;
  transportSettings.maxTotalQueuedBytes =
      static_cast<std::size_t>(memory * kSendBufferShare);
  transportSettings.maxQueuedBytes = transportSettings.maxTotalQueuedBytes;
  transportSettings.maxUnconsumedBytes =
      static_cast<std::size_t>(memory * kReceiveBufferShare);
  this->transport = MakePeerTransport(transportSettings, *this);
}

Result<void> PeerProtocol::Start() { return this->transport->Start(); }

void PeerProtocol::Stop() { this->transport->Stop(); }

void PeerProtocol::OnPeerData(std::string aMessage) {
  // Runs on the transport's thread; all state belongs to the loop's thread.
  asio::post(this->loop, [this, text = std::move(aMessage)] {
    this->transport->OnConsumed(text.size());
    const auto message = ReadEdgePeerMessage(text);
    if (!message) {
      LogWarning("peer_message_refused", {{"reason", message.error().message}});
      return;
    }
    this->bytes.AddReceived(KindOf(message->body), text.size());
    this->OnMessage(*message);
  });
}

void PeerProtocol::OnMessage(const EdgePeerMessage& aMessage) {
  if (const auto* gossip = std::get_if<WorkGossip>(&aMessage.body)) {
    this->OnGossip(aMessage.sender, *gossip);
  } else if (const auto* demand = std::get_if<DemandGossip>(&aMessage.body)) {
    this->demand.Update(aMessage.sender, demand->tokens, this->clock.Now(),
                        demand->failureDomain);
  } else if (const auto* crashes = std::get_if<CrashGossip>(&aMessage.body)) {
    this->onCrashes(*crashes, aMessage.replyTo);
  } else if (const auto* limits = std::get_if<LimitGossip>(&aMessage.body)) {
    this->onLimits(*limits, aMessage.sender, aMessage.replyTo);
  } else if (const auto* query = std::get_if<ClusterQuery>(&aMessage.body)) {
    this->eras.OnPeerReport(query->era);
    this->OnQuery(aMessage.sender, aMessage.replyTo, *query);
  } else if (const auto* response =
                 std::get_if<ClusterResponse>(&aMessage.body)) {
    this->eras.OnPeerReport(response->era);
    response->queryId == kUnsolicited
        ? this->OnHint(aMessage.replyTo, response->update)
        : this->OnResponse(*response);
  }
}

void PeerProtocol::OnRestored() {
  // Responses to these queries would have revisions of an earlier era.
  this->pendingQueries.clear();
  this->registrar.OnRestored(this->random);
  this->members.OnRestored();
  this->nextSyncQuery = {};
}

void PeerProtocol::OnGossip(const std::string& aSender,
                            const WorkGossip& aGossip) {
  this->work.Apply(aSender, aGossip, this->clock.Now());
  const auto member = this->members.All().find(aSender);
  if (this->capacity != nullptr && !aGossip.coversDomain &&
      member != this->members.All().end() &&
      this->members.IsSameDomain(member->second)) {
    this->capacity->Apply(aSender, aGossip);
  }
}

void PeerProtocol::ReportDomainWork() {
  const auto leader = this->members.All().find(this->placementLeader);
  if (this->members.Rank() > 0 || leader == this->members.All().end() ||
      this->members.IsSameDomain(leader->second) || this->ReportsToAll()) {
    return;
  }
  this->Send(leader->second.address,
             this->work.BuildForDomain(this->settings.failureDomain));
}

void PeerProtocol::OnQuery(const std::string& aSender,
                           const std::string& aAddress,
                           const ClusterQuery& aQuery) {
  const PeerName requester{aSender, aAddress, aQuery.failureDomain,
                           aQuery.linkMbps};
  if (aQuery.needsEntry) {
    this->members.OnQueryFrom(requester);
    this->registrar.OnQueryFrom(requester);
  }
  ClusterResponse response = this->responder.Respond(aQuery, this->Era());
  if (aQuery.requestsMembers) {
    response.members =
        this->members.HighestRanked(aQuery.failureDomain, aSender);
  }
  this->Send(aAddress, std::move(response));
}

void PeerProtocol::GossipSoon() {
  if (this->isGossipDue) {
    return;
  }
  // One message for everything found in this turn of the loop.
  this->isGossipDue = true;
  asio::post(this->loop, [this] {
    this->isGossipDue = false;
    this->Gossip();
  });
}

void PeerProtocol::OnMembersNamed(std::vector<PeerName> aNames) {
  const bool hadSyncSource = this->members.HasSyncSource();
  for (PeerName& peer : aNames) {
    peer.failureDomain = this->settings.failureDomain;
  }
  this->members.OnPeersDiscovered(aNames);
  if (!hadSyncSource && this->members.HasSyncSource()) {
    this->QuerySyncSources(this->clock.Now());
  }
}

void PeerProtocol::OnBootstrapEntries(const std::vector<StoreItem>& aItems) {
  this->members.OnBootstrapEntries(aItems);
  this->QuerySyncSources(this->clock.Now());
}

void PeerProtocol::OnDaemonEntries(const std::string& aPlacementLeader) {
  this->placementLeader = aPlacementLeader;
  this->registrar.OnEntries(this->view.Daemons().Items());
  const ItemList& daemons = this->view.Daemons().List();
  this->members.OnEntries(daemons.UpdateSince(this->entriesRevision));
  this->entriesRevision = daemons.At();
}

bool PeerProtocol::IsStarting() const { return !this->view.ListsAge(); }

void PeerProtocol::Tick() {
  const Instant now = this->clock.Now();
  this->bytes.Tick(now);
  this->work.Tick(now, kMaxMissedIntervals * this->GossipInterval());
  this->registrar.Tick(this->members.IsDomainLeader());
  if (now >= this->nextGossip) {
    this->nextGossip = now + this->GossipInterval();
    this->Gossip();
  }
  if (now >= this->nextDemand) {
    this->nextDemand = now + kDemandInterval;
    this->ReportDemand(now);
    this->ReportDomainWork();
  }
  if (now >= this->nextSyncQuery) {
    this->QuerySyncSources(now);
  }
  this->QueryIfOutdated(now);
}

void PeerProtocol::ReportDemand(Instant aNow) {
  const std::optional<double> local = this->localDemand();
  if (!local) {
    return;
  }
  // Without the feature this daemon reports as one that does not know it, and
  // the leader plans without domains.
  const std::string domain =
      this->settings.features.domainDemand == FeatureMode::Off
          ? ""
          : this->settings.failureDomain;
  if (this->placementLeader == this->settings.name) {
    this->demand.Update(this->settings.name, *local, aNow, domain);
  } else {
    this->SendToPlacementLeader(DemandGossip{*local, domain});
  }
}

void PeerProtocol::SendToPlacementLeader(EdgePeerBody aBody) {
  const auto leader = this->members.All().find(this->placementLeader);
  if (leader != this->members.All().end()) {
    this->Send(leader->second.address, std::move(aBody));
  }
}

std::size_t PeerProtocol::DomainPeers() const {
  return static_cast<std::size_t>(
      std::count_if(this->members.All().begin(), this->members.All().end(),
                    [this](const auto& aMember) {
                      return this->members.IsSameDomain(aMember.second);
                    }));
}

Micros PeerProtocol::GossipInterval() const {
  return std::max(kGossipInterval,
                  FromSeconds(static_cast<double>(this->DomainPeers()) /
                              kMaxWorkMessageRate));
}

bool PeerProtocol::ReportsToAll() const {
  return this->members.All().size() <= kMaxFullGossipMembers;
}

void PeerProtocol::Gossip() {
  WorkGossip demands;
  if (this->capacity != nullptr) {
    this->capacity->Fill(demands, this->DomainPeers() + 1,
                         this->GossipInterval());
  }
  auto outgoing = this->work.Build(std::move(demands), this->clock.Now());
  if (!outgoing) {
    return;
  }
  const bool hasSuspects = outgoing->hasSuspects;
  const PeerFrame message = this->Encode(std::move(outgoing->gossip));
  const bool sendsToAll = this->ReportsToAll();
  for (const auto& [name, member] : this->members.All()) {
    const bool isSameDomain = this->members.IsSameDomain(member);
    const bool isPlacementLeader = hasSuspects && name == this->placementLeader;
    if (sendsToAll || isSameDomain || isPlacementLeader) {
      this->SendFrame(member.address, PeerMessageKind::Work, message);
    }
  }
}

void PeerProtocol::Broadcast(EdgePeerBody aBody) {
  const PeerMessageKind kind = KindOf(aBody);
  const PeerFrame message = this->Encode(std::move(aBody));
  for (const auto& [name, member] : this->members.All()) {
    this->SendFrame(member.address, kind, message);
  }
}

std::vector<std::string> PeerProtocol::KnownAddresses() const {
  std::vector<std::string> known = this->seeds;
  for (const auto& [name, member] : this->members.All()) {
    known.push_back(member.address);
  }
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  return known;
}

void PeerProtocol::OnConfiguration() {
  if (this->members.HasSyncSource()) {
    return;  // The sync source has notified the others.
  }
  // The text is large, and after an outage all daemons have read it from the
  // store: those that lack it query for it.
  const PeerFrame hint = this->Hint();
  for (const std::string& address : this->members.DomainPeerAddresses()) {
    this->SendFrame(address, PeerMessageKind::Response, hint);
  }
}

PeerFrame PeerProtocol::Encode(EdgePeerBody aBody) const {
  return WriteEdgePeerMessage(
      {this->settings.name, this->settings.peerListen, std::move(aBody)});
}

void PeerProtocol::Send(const std::string& aAddress, EdgePeerBody aBody) {
  const PeerMessageKind kind = KindOf(aBody);
  this->SendFrame(aAddress, kind, this->Encode(std::move(aBody)));
}

void PeerProtocol::SendFrame(const std::string& aAddress, PeerMessageKind aKind,
                             const PeerFrame& aMessage) {
  this->bytes.AddSent(aKind, aMessage.Size());
  this->transport->Send(aAddress, aMessage);
}

}  // namespace zincstep
