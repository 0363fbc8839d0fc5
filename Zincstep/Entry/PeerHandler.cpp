#include "Zincstep/Entry/PeerHandler.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr Micros kControllerInterval = 500ms;
constexpr Micros kConfigRequestInterval = 500ms;
/// Length of the digest prefix that identifies a piece within one file.
constexpr std::size_t kShortDigest = 12;

std::int64_t WallMicrosAt(Instant aAt, Instant aNow) {
  return WallMicros() - (aNow - aAt).count();
}

}  // namespace

PeerHandler::PeerHandler(EntryContext& aContext, ModelPool& aPool,
                         ClaimCoordinator& aClaims, ServiceHandler& aServices,
                         ConfigWatcher& aWatcher, DomainController& aController)
    : context(aContext),
      pool(aPool),
      claims(aClaims),
      services(aServices),
      watcher(aWatcher),
      controller(aController) {}

void PeerHandler::OnMessage(const PeerMessage& aMessage) {
  if (const auto* gossip = std::get_if<GossipMessage>(&aMessage.body)) {
    this->OnGossip(*gossip, aMessage.replyTo);
  } else if (const auto* order =
                 std::get_if<ClaimOrderMessage>(&aMessage.body)) {
    this->claims.OnOrder(aMessage.replyTo, *order);
  } else if (const auto* vote = std::get_if<ClaimVoteMessage>(&aMessage.body)) {
    this->claims.OnVote(aMessage.sender, aMessage.replyTo, *vote);
  } else if (const auto* request =
                 std::get_if<ConfigWantMessage>(&aMessage.body)) {
    this->OnConfigRequest(aMessage.replyTo, *request);
  } else if (const auto* response =
                 std::get_if<ConfigGiveMessage>(&aMessage.body)) {
    this->watcher.Submit(*response);
  } else if (const auto* lists =
                 std::get_if<MembersGiveMessage>(&aMessage.body)) {
    const Result<MemberLists> read = ReadMemberLists(lists->text);
    if (read) {
      this->ApplyMembers(*read);
    }
  } else if (std::holds_alternative<MembersWantMessage>(aMessage.body)) {
    this->context.Send(
        aMessage.replyTo,
        MembersGiveMessage{WriteMemberLists(this->context.members)});
  } else if (const auto* handOver =
                 std::get_if<HandOverMessage>(&aMessage.body)) {
    this->claims.OnHandOver(aMessage.replyTo, *handOver);
  } else if (std::holds_alternative<HandOverDoneMessage>(aMessage.body)) {
    this->claims.OnHandOverDone();
    this->Gossip();
  }
}

void PeerHandler::OnGossip(const GossipMessage& aGossip,
                           const std::string& aReplyTo) {
  const Instant now = this->context.clock.Now();
  this->context.peers.OnGossip(aGossip, now);
  this->context.limits.OnReport(aGossip.vm, aGossip.usages, now);
  for (const UpstreamLoad& load : aGossip.loads) {
    if (load.reachable) {
      this->pool.OnLoad(load.name, load.sequences, load.version);
    } else {
      this->pool.OnUnreachable(load.name);
    }
  }
  for (const std::string& upstream : aGossip.leaving) {
    this->MarkLeaving(upstream);
  }
  this->pausedBy[aGossip.vm] = aGossip.paused;
  this->ApplyPaused();
  if (!aGossip.handedTo.empty()) {
    this->context.members.handedTo[aGossip.member] = aGossip.handedTo;
  }
  const std::uint64_t activeRevision =
      this->context.snapshot ? this->context.snapshot->revision : 0;
  const bool isNew =
      aGossip.revision > activeRevision &&
      (aGossip.revision > this->requestedRevision ||
       now - this->lastConfigRequestAt >= kConfigRequestInterval);
  if (isNew) {
    this->lastConfigRequestAt = now;
    this->requestedRevision = aGossip.revision;
    ConfigWantMessage request{activeRevision, {}};
    if (this->context.snapshot) {
      for (const PieceName& name : this->context.snapshot->pieces.names) {
        request.haveDigests.push_back(name.digest.substr(0, kShortDigest));
      }
    }
    this->context.Send(aReplyTo, std::move(request));
  }
  if (aGossip.membersVersion > this->context.members.version) {
    this->context.Send(aReplyTo, MembersWantMessage{});
  }
}

void PeerHandler::OnConfigRequest(const std::string& aReplyTo,
                                  const ConfigWantMessage& aRequest) {
  const SnapshotPtr& snapshot = this->context.snapshot;
  if (snapshot == nullptr || snapshot->revision <= aRequest.haveRevision) {
    return;
  }
  const std::set<std::string> knownDigests(aRequest.haveDigests.begin(),
                                           aRequest.haveDigests.end());
  ConfigGiveMessage response{snapshot->revision, snapshot->root, {}};
  for (const auto& [digest, text] : snapshot->pieces.texts) {
    if (!knownDigests.contains(digest.substr(0, kShortDigest))) {
      response.pieces.emplace_back(digest, text);
    }
  }
  this->context.Send(aReplyTo, std::move(response));
}

void PeerHandler::ApplyMembers(const MemberLists& aLists) {
  if (aLists.version <= this->context.members.version) {
    return;
  }
  const auto handedTo = this->context.members.handedTo;
  this->context.members = aLists;
  // Gossip about handovers can be ahead of the agreed lists.
  this->context.members.handedTo.insert(handedTo.begin(), handedTo.end());
}

void PeerHandler::MarkLeaving(const std::string& aUpstream) {
  if (!this->context.leavingUpstreams.OnLeaving(aUpstream)) {
    return;
  }
  this->pool.SetLeaving(aUpstream);
  this->services.SetLeaving(aUpstream);
}

void PeerHandler::ApplyPaused() {
  std::set<std::string> paused;
  for (const auto& [vm, upstreams] : this->pausedBy) {
    paused.insert(upstreams.begin(), upstreams.end());
  }
  if (this->lastReport.paused) {
    paused.insert(this->lastReport.paused->begin(),
                  this->lastReport.paused->end());
  }
  this->pool.SetPaused(paused);
}

void PeerHandler::OnControllerReport(const DomainControllerReport& aReport) {
  const bool pausedBefore =
      this->lastReport.paused && !this->lastReport.paused->empty();
  this->lastReport = aReport;
  const Instant now = this->context.clock.Now();
  if (aReport.vms) {
    const std::set<std::string> domains =
        this->context.snapshot ? this->context.snapshot->regionDomains
                               : std::set<std::string>();
    this->context.peers.SetVms(*aReport.vms, domains);
    std::vector<std::string> names;
    for (const PeerInfo* peer : this->context.peers.DomainPeers()) {
      names.push_back(peer->vm);
    }
    this->context.limits.SetPeers(names, now);
    bool hasChanges = false;
    for (const std::string& upstream :
         this->context.leavingUpstreams.OnVmList(*aReport.vms)) {
      this->pool.SetLeaving(upstream);
      this->services.SetLeaving(upstream);
      hasChanges = true;
    }
    if (hasChanges) {
      this->Gossip();
    }
  }
  if (aReport.members) {
    this->ApplyMembers(*aReport.members);
  }
  this->ApplyPaused();
  const bool pausedNow = aReport.paused && !aReport.paused->empty();
  if (pausedNow != pausedBefore) {
    this->Gossip();
  }
}

void PeerHandler::OnLoad(const std::string& aUpstream,
                         const Result<EngineLoad>& aLoad) {
  UpstreamLoad& localLoad = this->localLoads[aUpstream];
  localLoad.name = aUpstream;
  localLoad.reachable = aLoad.has_value();
  if (!aLoad) {
    this->pool.OnUnreachable(aUpstream);
    return;
  }
  localLoad.sequences = aLoad->sequences;
  localLoad.version = aLoad->version;
  this->pool.OnLoad(aUpstream, aLoad->sequences, aLoad->version);
  if (aLoad->leaving) {
    this->MarkLeaving(aUpstream);
  }
}

void PeerHandler::Gossip() {
  const Instant now = this->context.clock.Now();
  GossipMessage gossip;
  gossip.vm = this->context.settings.vm;
  gossip.member = this->context.member;
  gossip.failureDomain = this->context.settings.failureDomain;
  gossip.address = this->context.settings.adminListen;
  gossip.revision =
      this->context.snapshot ? this->context.snapshot->revision : 0;
  gossip.membersVersion = this->context.members.version;
  gossip.stopping = this->context.drain.IsStopping();
  gossip.handedTo = this->claims.HandedTo();
  gossip.usages = this->context.limits.Demands(now);
  for (const auto& [name, load] : this->localLoads) {
    gossip.loads.push_back(load);
  }
  gossip.leaving.assign(this->context.leavingUpstreams.Leaving().begin(),
                        this->context.leavingUpstreams.Leaving().end());
  if (this->lastReport.paused) {
    gossip.paused = *this->lastReport.paused;
  }
  const std::string text =
      WritePeerMessage({this->context.member, this->context.settings.peerListen,
                        std::move(gossip)});
  for (const PeerInfo* peer : this->context.peers.DomainPeers()) {
    this->context.transport.Send(peer->peerAddress, text);
  }
  this->nextGossip = now + this->context.settings.gossipInterval;
}

void PeerHandler::QueryLoads() {
  const Instant now = this->context.clock.Now();
  std::map<std::string, UpstreamLoad> retained;
  for (const auto& [name, address] : this->pool.Addresses()) {
    const bool isLocal =
        this->pool.IsLocal(name, this->context.settings.failureDomain);
    if (!isLocal || !this->context.peers.IsMine("load/" + name, now)) {
      continue;
    }
    const auto known = this->localLoads.find(name);
    if (known != this->localLoads.end()) {
      retained.insert(*known);
    }
    this->context.engines.QueryLoad(name, address);
  }
  this->localLoads = std::move(retained);
}

std::vector<DaemonStatus> PeerHandler::Daemons() const {
  const Instant now = this->context.clock.Now();
  std::vector<DaemonStatus> daemons;
  DaemonStatus local;
  local.vm = this->context.settings.vm;
  local.member = this->context.member;
  local.address = this->context.settings.adminListen;
  local.revision =
      this->context.snapshot ? this->context.snapshot->revision : 0;
  local.isLive = true;
  local.isStopping = this->context.drain.IsStopping();
  local.lastSeenAt = WallMicrosAt(now, now);
  daemons.push_back(std::move(local));
  for (const PeerInfo* peer : this->context.peers.DomainPeers()) {
    DaemonStatus status;
    status.vm = peer->vm;
    status.member = peer->member;
    status.address = peer->address;
    status.revision = peer->revision;
    status.isLive = this->context.peers.IsLive(*peer, now);
    status.isStopping = peer->stopping;
    status.lastSeenAt =
        peer->hasGossip ? WallMicrosAt(peer->lastSeenAt, now) : 0;
    daemons.push_back(std::move(status));
  }
  return daemons;
}

const PeerInfo* PeerHandler::Successor() const {
  const Instant now = this->context.clock.Now();
  const PeerInfo* best = nullptr;
  for (const PeerInfo* peer : this->context.peers.DomainPeers()) {
    const bool isEligible = this->context.peers.IsLive(*peer, now) &&
                            !peer->stopping && peer->handedTo.empty();
    if (isEligible && (best == nullptr || peer->vm < best->vm)) {
      best = peer;
    }
  }
  return best;
}

void PeerHandler::UpdateController() {
  const Instant now = this->context.clock.Now();
  DomainControllerInput input;
  input.snapshot = this->context.snapshot;
  input.isReader = this->context.peers.IsMine("reader", now);
  input.isStopping = this->context.drain.IsStopping();
  input.daemons = this->Daemons();
  input.handedTo = this->context.members.handedTo;
  input.leaving.assign(this->context.leavingUpstreams.Leaving().begin(),
                       this->context.leavingUpstreams.Leaving().end());
  if (!this->context.drain.IsStopping()) {
    input.live.push_back({this->context.member,
                          this->context.settings.failureDomain,
                          this->context.settings.peerListen});
  }
  for (const PeerInfo* peer : this->context.peers.DomainPeers()) {
    if (this->context.peers.IsLive(*peer, now) && !peer->stopping) {
      input.live.push_back(
          {peer->member, peer->failureDomain, peer->peerAddress});
    }
  }
  input.upstreams = this->pool.States(this->context.settings.failureDomain);
  for (UpstreamState& upstream : input.upstreams) {
    upstream.leaving = this->context.leavingUpstreams.IsLeaving(upstream.name);
  }
  this->watcher.SetReader(input.isReader);
  this->controller.SetInput(std::move(input));
}

void PeerHandler::OnTick(Instant aNow) {
  if (aNow >= this->nextLoads) {
    this->nextLoads = aNow + this->context.settings.loadInterval;
    this->QueryLoads();
    this->pool.SetDaemons(this->context.peers.LiveDaemons(aNow));
  }
  if (aNow >= this->nextGossip) {
    this->Gossip();
  }
  if (aNow >= this->nextControllerUpdate) {
    this->nextControllerUpdate = aNow + kControllerInterval;
    this->UpdateController();
  }
}

}  // namespace zincstep
