#include "Zincstep/Edge/PeerProtocol.h"

#include <limits>
#include <sstream>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Work in flight lasts some seconds; told twice a second it is known to a
/// fraction of that.
constexpr Micros kGossipPause = 400ms;
/// Messages of work that a daemon takes a second at most: each costs some 30 us
/// with its way in, so this is 0.3% of a core. Where more daemons share a
/// failure domain they tell their work less often, and each has a smaller part.
constexpr double kWorkMessages = 100;
/// Between two tellings of what this daemon's callers need: traffic rises and
/// falls within some seconds.
constexpr Micros kDemandPause = 1s;
/// Pauses after which a daemon that has told nothing has ended or is cut off.
constexpr int kMissedTellings = 4;
/// Peers are asked once the own proof is older than this: two proofs that
/// should have come have not.
constexpr Micros kOwnProofAge = 1300ms;
constexpr Micros kQuestionPause = 400ms;
/// The same for a daemon that has just started and knows nothing yet.
constexpr Micros kFirstQuestionPause = 100ms;
/// Questions that a daemon which has just started leaves to a teller that may
/// have started with it, and has to read the lists first.
constexpr int kMostUnansweredAtStart = 10;
/// A daemon that has just started has the configuration from the store, which
/// is closer than a peer of another failure domain, unless that takes longer
/// than this.
constexpr Micros kStorePatience = 400ms;
/// Time for the answer that tells of all upstreams; nobody else is asked for
/// them until then. A hundred entries take some milliseconds; who has too many
/// askers says so at once.
constexpr Micros kAllPatience = 200ms;
/// For so long a daemon that starts asks those of its own failure domain alone.
constexpr Micros kNearPatience = 200ms;
/// Stands for any version of the configuration: it is not to be told.
constexpr std::uint64_t kNoVersionWanted =
    std::numeric_limits<std::uint64_t>::max();
constexpr KnownRevisions kNothingWanted{kNotWanted, kNotWanted, kNotWanted,
                                        kNoVersionWanted};
/// Peers that are asked at once.
constexpr std::size_t kAskedAtOnce = 2;
/// Up to so many members all are told of each other's work; beyond, those
/// of the own failure domain, whose upstreams they share most.
constexpr std::size_t kFewMembers = 16;
/// The domain's first daemon is asked for its proofs this often: with the
/// time between its proofs and one answer that is lost, what it tells stays
/// under the age at which it is not relied on any more.
constexpr Micros kReliancePause = 250ms;
/// Number of no question: what comes with it is a hint of a newer
/// configuration, without its text.
constexpr std::uint64_t kUnasked = 0;
/// Between hints that are followed up: several may come of one configuration.
constexpr Micros kHintPause = 100ms;
/// Longest pause before a peer is connected to again: half the age at which
/// a proof that comes through it would be missed.
constexpr Micros kLongestReconnect = 800ms;
constexpr double kBytesPerMb = 1 << 20;
/// Shares of the VM's memory for messages that wait for peers, and for such as
/// have come and wait to be read: what requests need is many times that.
constexpr double kSendingShare = 0.05;
constexpr double kReceivingShare = 0.05;
/// A question that was not answered by then is forgotten.
constexpr Micros kQuestionLife = 5s;

/// The seeds' hosts with the port on which daemons speak here.
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
                           OwnDemand aOwnDemand)
    : loop(aLoop),
      settings(aSettings),
      view(aView),
      clock(aClock),
      random(aRandom),
      onSuspicion(std::move(aOnSuspicion)),
      onCrashes(std::move(aOnCrashes)),
      onLimits(std::move(aOnLimits)),
      ownDemand(std::move(aOwnDemand)),
      eras(aEras),
      bytes(aMetrics),
      entries(aSettings, aStore, aClock),
      answers(aView, aClock, aSettings.linkMbps),
      members(aSettings, aClock),
      seeds(SeedPeers(aSettings)),
      startedAt(aClock.Now()) {
  if (this->seeds.empty()) {
    this->members.StartWithoutPeers();
  }
  PeerTransportSettings hubSettings;
  hubSettings.listen = aSettings.peerListen;
  hubSettings.seed = Hash64(aSettings.name);
  hubSettings.maxReconnectBackoff = kLongestReconnect;
  const double memory = aSettings.memoryMb * kBytesPerMb;
  hubSettings.maxTotalQueuedBytes =
      static_cast<std::size_t>(memory * kSendingShare);
  hubSettings.maxQueuedBytes = hubSettings.maxTotalQueuedBytes;
  hubSettings.maxUnconsumedBytes =
      static_cast<std::size_t>(memory * kReceivingShare);
  this->transport = MakePeerTransport(hubSettings, *this);
}

Result<void> PeerProtocol::Start() { return this->transport->Start(); }

void PeerProtocol::Stop() { this->transport->Stop(); }

void PeerProtocol::OnPeerData(std::string aMessage) {
  // Comes on the hub's thread; all beliefs belong to the loop's.
  asio::post(this->loop, [this, text = std::move(aMessage)] {
    this->transport->OnTaken(text.size());
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
  } else if (const auto* told = std::get_if<DemandGossip>(&aMessage.body)) {
    this->demand.Tell(aMessage.sender, told->tokens, this->clock.Now());
  } else if (const auto* crashes = std::get_if<CrashGossip>(&aMessage.body)) {
    this->onCrashes(*crashes, aMessage.replyTo);
  } else if (const auto* limits = std::get_if<LimitGossip>(&aMessage.body)) {
    this->onLimits(*limits, aMessage.sender, aMessage.replyTo);
  } else if (const auto* want = std::get_if<ClusterWant>(&aMessage.body)) {
    this->eras.OnTold(want->era);
    this->OnWant(aMessage.sender, aMessage.replyTo, *want);
  } else if (const auto* give = std::get_if<ClusterGive>(&aMessage.body)) {
    this->eras.OnTold(give->era);
    give->question == kUnasked ? this->OnHint(aMessage.replyTo, give->copy)
                               : this->OnGive(*give);
  }
}

void PeerProtocol::OnRestored() {
  // What was asked for before would be answered in revisions of another era.
  this->questions.clear();
  this->entries.OnRestored(this->random);
  this->members.OnRestored();
  this->nextSyncQuery = {};
}

PeerFrame PeerProtocol::Hint() const {
  ClusterGive hint;
  hint.era = this->Era();
  hint.question = kUnasked;
  hint.copy = this->view.UpdateFor(kNothingWanted);
  return this->Write(std::move(hint));
}

void PeerProtocol::OnGossip(const std::string& aSender,
                            const WorkGossip& aGossip) {
  const Instant now = this->clock.Now();
  std::vector<PeerShare> shares;
  shares.reserve(aGossip.works.size());
  for (const UpstreamWork& work : aGossip.works) {
    const UpstreamPtr upstream =
        this->view.Directory().FindNumber(work.upstream);
    if (!upstream) {
      continue;
    }
    if (work.work > 0) {
      shares.push_back({upstream, work.work});
    }
    if (work.pace > 1 && upstream->Slowdown(now) <= 1) {
      upstream->SetSlowdown(work.pace, now, Provenance::Told);
    }
    if (work.isSuspect && !upstream->IsSuspect(now)) {
      this->onSuspicion(upstream);
    }
  }
  this->work.Tell(aSender, std::move(shares), now);
}

void PeerProtocol::OnWant(const std::string& aSender,
                          const std::string& aAddress,
                          const ClusterWant& aWant) {
  const PeerName asker{aSender, aAddress, aWant.failureDomain, aWant.linkMbps};
  if (aWant.wantsEntry) {
    this->members.OnQueryFrom(asker);
    this->entries.OnQueryFrom(asker);
  }
  ClusterGive give = this->answers.To(aWant, this->Era());
  if (aWant.wantsNames) {
    give.names = this->members.FirstOf(aWant.failureDomain, aSender);
  }
  this->Send(aAddress, std::move(give));
}

void PeerProtocol::GossipSoon() {
  if (this->isGossipDue) {
    return;
  }
  // One message for all that is found in this turn of the loop.
  this->isGossipDue = true;
  asio::post(this->loop, [this] {
    this->isGossipDue = false;
    this->Gossip();
  });
}

void PeerProtocol::OnGive(const ClusterGive& aGive) {
  const auto asked = this->questions.find(aGive.question);
  if (asked == this->questions.end()) {
    return;
  }
  const Question question = asked->second;
  this->questions.erase(asked);
  if (aGive.era < this->Era()) {
    return;  // It hears of the era by the next question.
  }
  this->members.OnAnswer(question.address, aGive.copy.listsAge);
  if (question.wantsNames) {
    this->OnNames(aGive.names);
    return;
  }
  ClusterUpdate copy = aGive.copy;
  if (!question.wantsUpstreams) {
    copy.listsAge.reset();
  }
  this->CompareVersions(question.address, copy);
  const bool knewNobody = this->members.All().empty();
  this->view.OnUpdate(copy, question.askedAt);
  if (knewNobody && !this->members.All().empty() && this->IsNew()) {
    this->AskPeers(this->clock.Now());
  }
}

void PeerProtocol::OnNames(std::vector<PeerName> aNames) {
  const bool hadTeller = this->members.HasSyncSource();
  for (PeerName& peer : aNames) {
    peer.failureDomain = this->settings.failureDomain;
  }
  this->members.OnPeersDiscovered(aNames);
  if (!hadTeller && this->members.HasSyncSource()) {
    this->QuerySyncSources(this->clock.Now());
  }
}

void PeerProtocol::OnBootstrapEntries(const std::vector<StoreItem>& aItems) {
  this->members.OnBootstrapEntries(aItems);
  this->QuerySyncSources(this->clock.Now());
}

void PeerProtocol::CompareVersions(const std::string& aAddress,
                                   const ClusterUpdate& aCopy) {
  const std::uint64_t own = this->view.ConfigVersion();
  const bool lacksText = aCopy.configVersion > own && aCopy.configText.empty();
  if (lacksText) {
    this->Ask(aAddress, this->clock.Now(), Wanted::Configuration);
    return;
  }
  if (aCopy.configVersion != 0 && aCopy.configVersion < own) {
    // The store's copy has lost what is in force here.
    this->SendText(aAddress, PeerMessageKind::Give, this->Hint());
  }
  this->view.OnPeersAnswered();
}

void PeerProtocol::OnHint(const std::string& aAddress,
                          const ClusterUpdate& aCopy) {
  const Instant now = this->clock.Now();
  const bool isNews = aCopy.configRevision > this->view.ConfigStoreRevision() ||
                      aCopy.configVersion > this->view.ConfigVersion();
  if (isNews && now >= this->nextHintTaken) {
    this->nextHintTaken = now + kHintPause;
    this->Ask(aAddress, now, Wanted::Configuration);
  }
}

void PeerProtocol::OnDaemonEntries(const std::string& aPlacementLeader) {
  this->placementLeader = aPlacementLeader;
  this->entries.OnEntries(this->view.Daemons().Items());
  const ItemList& daemons = this->view.Daemons().List();
  this->members.OnEntries(daemons.UpdateSince(this->entriesAt));
  this->entriesAt = daemons.At();
}

bool PeerProtocol::IsNew() const { return !this->view.ListsAge(); }

void PeerProtocol::Tick() {
  const Instant now = this->clock.Now();
  this->bytes.Tick(now);
  this->work.Tick(now, kMissedTellings * this->GossipPause());
  this->entries.Keep(this->members.IsDomainLeader());
  if (now >= this->nextGossip) {
    this->nextGossip = now + this->GossipPause();
    this->Gossip();
  }
  if (now >= this->nextDemand) {
    this->nextDemand = now + kDemandPause;
    this->ReportDemand(now);
  }
  if (now >= this->nextSyncQuery) {
    this->QuerySyncSources(now);
  }
  if (now < this->nextQuestion) {
    return;
  }
  const auto isOld = [](std::optional<Micros> aAge) {
    return !aAge || *aAge > kOwnProofAge;
  };
  if (this->IsNew() && !this->members.HasSyncSource()) {
    this->nextQuestion = now + kFirstQuestionPause;
    this->AskSeeds(now);
  } else if (isOld(this->view.ValidationAge()) ||
             isOld(this->view.ListsAge())) {
    this->nextQuestion = now + kQuestionPause;
    this->AskPeers(now);
  }
}

void PeerProtocol::QuerySyncSources(Instant aNow) {
  const bool isNew = this->IsNew();
  this->nextSyncQuery = aNow + (isNew ? kFirstQuestionPause : kReliancePause);
  const int most = isNew ? kMostUnansweredAtStart : PeerMembers::kMaxUnanswered;
  for (const std::string& address : this->members.NextSyncSources(most)) {
    this->Ask(address, aNow);
  }
}

void PeerProtocol::AskSeeds(Instant aNow) {
  for (const std::string& address : this->seeds) {
    this->Ask(address, aNow, Wanted::Names);
  }
}

void PeerProtocol::ReportDemand(Instant aNow) {
  const std::optional<double> own = this->ownDemand();
  if (!own) {
    return;
  }
  if (this->placementLeader == this->settings.name) {
    this->demand.Tell(this->settings.name, *own, aNow);
  } else {
    this->SendToPlacementLeader(DemandGossip{*own});
  }
}

void PeerProtocol::SendToPlacementLeader(EdgePeerBody aBody) {
  const auto holder = this->members.All().find(this->placementLeader);
  if (holder != this->members.All().end()) {
    this->Send(holder->second.address, std::move(aBody));
  }
}

Micros PeerProtocol::GossipPause() const {
  const auto tellers =
      std::count_if(this->members.All().begin(), this->members.All().end(),
                    [this](const auto& aMember) {
                      return this->members.IsSameDomain(aMember.second);
                    });
  return std::max(kGossipPause,
                  FromSeconds(static_cast<double>(tellers) / kWorkMessages));
}

void PeerProtocol::Gossip() {
  const Instant now = this->clock.Now();
  WorkGossip gossip;
  bool hasSuspects = false;
  for (const auto& [id, upstream] : this->view.Directory().All()) {
    const bool isSuspect = upstream->IsSuspect(now);
    hasSuspects = hasSuspects || isSuspect;
    const double pace = upstream->ObservedSlowdown(now);
    if (upstream->own > 0 || isSuspect || pace > 1) {
      gossip.works.push_back(
          {upstream->Number(), upstream->own, isSuspect, pace});
    }
  }
  // An empty message is sent once, to take back what was told before.
  if (gossip.works.empty() && !this->toldWork) {
    return;
  }
  this->toldWork = !gossip.works.empty();
  const PeerFrame message = this->Write(std::move(gossip));
  const bool tellsAll = this->members.All().size() <= kFewMembers;
  for (const auto& [name, member] : this->members.All()) {
    const bool shares = this->members.IsSameDomain(member);
    const bool places = hasSuspects && name == this->placementLeader;
    if (tellsAll || shares || places) {
      this->SendText(member.address, PeerMessageKind::Work, message);
    }
  }
}

void PeerProtocol::Broadcast(EdgePeerBody aBody) {
  const PeerMessageKind kind = KindOf(aBody);
  const PeerFrame message = this->Write(std::move(aBody));
  for (const auto& [name, member] : this->members.All()) {
    this->SendText(member.address, kind, message);
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
    return;  // Who told it has told the others.
  }
  // The text is large, and after an outage everybody has it from the store:
  // those that lack it ask for it.
  const PeerFrame hint = this->Hint();
  for (const std::string& address : this->members.DomainPeerAddresses()) {
    this->SendText(address, PeerMessageKind::Give, hint);
  }
}

void PeerProtocol::Ask(const std::string& aAddress, Instant aNow,
                       Wanted aWanted) {
  std::erase_if(this->questions, [aNow](const auto& aQuestion) {
    return aNow - aQuestion.second.askedAt > kQuestionLife;
  });
  const std::uint64_t number = ++this->lastQuestion;
  Question& question = this->questions[number] = {aAddress, aNow};
  KnownRevisions known = this->view.Revisions();
  if (aWanted == Wanted::Names) {
    question.wantsNames = true;
    known = kNothingWanted;
  }
  if (known.config.IsNone() && aWanted == Wanted::News &&
      aNow - this->startedAt < kStorePatience) {
    known.config = kNotWanted;
  }
  if (known.upstreams.IsNone()) {
    question.wantsUpstreams = this->MayAskForAll(aAddress, aNow);
    known.upstreams = question.wantsUpstreams ? StoreRevision{} : kNotWanted;
    if (question.wantsUpstreams) {
      this->questionForAll = number;
    }
  }
  ClusterWant want;
  want.era = this->Era();
  want.question = number;
  want.known = known;
  want.failureDomain = this->settings.failureDomain;
  want.linkMbps = this->settings.linkMbps;
  want.wantsEntry = this->entries.WantsEntry();
  want.wantsNames = question.wantsNames;
  this->Send(aAddress, std::move(want));
}

bool PeerProtocol::MayAskForAll(const std::string& aAddress,
                                Instant aNow) const {
  const auto open = this->questions.find(this->questionForAll);
  if (open != this->questions.end() &&
      aNow - open->second.askedAt < kAllPatience) {
    return false;
  }
  const std::vector<std::string> near = this->members.DomainPeerAddresses();
  return near.empty() || !this->AsksNearOnly(aNow) ||
         std::find(near.begin(), near.end(), aAddress) != near.end();
}

bool PeerProtocol::AsksNearOnly(Instant aNow) const {
  // Where those that are near have all begun anew too, anybody is asked.
  return this->IsNew() && aNow - this->startedAt < kNearPatience;
}

void PeerProtocol::AskPeers(Instant aNow) {
  std::vector<std::string> known = this->AsksNearOnly(aNow)
                                       ? this->members.DomainPeerAddresses()
                                       : std::vector<std::string>{};
  if (known.empty()) {
    known = this->KnownAddresses();
  }
  for (std::size_t i = 0; i < kAskedAtOnce && !known.empty(); ++i) {
    const std::size_t pick = this->random.Below(known.size());
    this->Ask(known[pick], aNow);
    known.erase(known.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

PeerFrame PeerProtocol::Write(EdgePeerBody aBody) const {
  return WriteEdgePeerMessage(
      {this->settings.name, this->settings.peerListen, std::move(aBody)});
}

void PeerProtocol::Send(const std::string& aAddress, EdgePeerBody aBody) {
  const PeerMessageKind kind = KindOf(aBody);
  this->SendText(aAddress, kind, this->Write(std::move(aBody)));
}

void PeerProtocol::SendText(const std::string& aAddress, PeerMessageKind aKind,
                            const PeerFrame& aMessage) {
  this->bytes.AddSent(aKind, aMessage.Size());
  this->transport->Send(aAddress, aMessage);
}

}  // namespace zincstep
