#include "Zincstep/Edge/PeerExchange.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

constexpr const char* kMembersPrefix = "members/";
/// Life of a daemon's entry; a dead peer costs a message that is lost.
constexpr Micros kEntryLife = 12s;
/// Renewals come three to a life.
constexpr Micros kEntryKeep = 4s;
constexpr Micros kEntryRetry = 1s;
/// Work in flight lasts some seconds; told twice a second it is known to a
/// fraction of that.
constexpr Micros kGossipPause = 400ms;
/// Peers are asked once the own proof is older than this: two proofs that
/// should have come have not.
constexpr Micros kOwnProofAge = 1500ms;
constexpr Micros kQuestionPause = 400ms;
/// Peers that are asked at once.
constexpr std::size_t kAskedAtOnce = 2;
/// Up to so many members all are told of each other's work; beyond, those
/// of the own failure domain, whose upstreams they share most.
constexpr std::size_t kFewMembers = 16;
/// The domain's first daemon is asked for its proof this often: together
/// with the time between its proofs this stays well under the bound within
/// which a configuration must be in force.
constexpr Micros kReliancePause = 600ms;
/// Number of no question: what comes with it was not asked for.
constexpr std::uint64_t kUnasked = 0;
/// A question that was not answered by then is forgotten.
constexpr Micros kQuestionLife = 5s;
/// A peer's suspicion counts where nothing came through that upstream for
/// so long.
constexpr Micros kOwnEvidence = 300ms;

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

PeerExchange::PeerExchange(asio::io_context& aLoop,
                           const EdgeSettings& aSettings, AsyncStore& aStore,
                           ClusterView& aView, const Clock& aClock,
                           Random& aRandom, std::function<void()> aOnSuspicion)
    : loop(aLoop),
      settings(aSettings),
      store(aStore),
      view(aView),
      clock(aClock),
      random(aRandom),
      onSuspicion(std::move(aOnSuspicion)),
      seeds(SeedPeers(aSettings)) {
  PeerHubSettings hubSettings;
  hubSettings.listen = aSettings.peerListen;
  hubSettings.seed = Hash64(aSettings.name);
  this->hub = MakePeerHub(hubSettings, *this);
}

Result<void> PeerExchange::Start() { return this->hub->Start(); }

void PeerExchange::Stop() { this->hub->Stop(); }

void PeerExchange::OnPeerData(std::string aMessage) {
  // Comes on the hub's thread; all beliefs belong to the loop's.
  asio::post(this->loop, [this, text = std::move(aMessage)] {
    const auto message = ReadEdgePeerMessage(text);
    if (!message) {
      LogWarning("peer_message_refused", {{"reason", message.error().message}});
      return;
    }
    this->OnMessage(*message);
  });
}

void PeerExchange::OnMessage(const EdgePeerMessage& aMessage) {
  if (const auto* gossip = std::get_if<WorkGossip>(&aMessage.body)) {
    this->OnGossip(aMessage.sender, *gossip);
  } else if (const auto* want = std::get_if<ClusterWant>(&aMessage.body)) {
    this->Send(
        aMessage.replyTo,
        ClusterGive{want->question, this->view.CopyFor(want->configRevision,
                                                       want->upstreamsAt)});
  } else if (const auto* give = std::get_if<ClusterGive>(&aMessage.body)) {
    this->OnGive(*give);
  }
}

void PeerExchange::OnGossip(const std::string& aSender,
                            const WorkGossip& aGossip) {
  const Instant now = this->clock.Now();
  bool isNews = false;
  for (const auto& [id, upstream] : this->view.Directory().All()) {
    upstream->SetOthers(aSender, 0, now);
  }
  for (const UpstreamWork& work : aGossip.works) {
    const UpstreamPtr upstream = this->view.Directory().Find(work.id);
    if (!upstream) {
      continue;
    }
    upstream->SetOthers(aSender, work.work, now);
    if (work.isRefusing) {
      upstream->OnRefusal(now);
    }
    if (work.isSuspect && now - upstream->AnsweredAt() > kOwnEvidence &&
        !upstream->IsSuspect(now)) {
      LogInfo("upstream_suspected", {{"upstream", work.id}, {"by", aSender}});
      upstream->Suspect(now);
      isNews = true;
    }
  }
  if (isNews) {
    this->onSuspicion();
  }
}

void PeerExchange::GossipSoon() {
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

void PeerExchange::OnGive(const ClusterGive& aGive) {
  if (aGive.question == kUnasked) {
    // How long this was under way is not known: it proves nothing.
    ClusterCopy copy = aGive.copy;
    copy.proofAge.reset();
    this->view.OnCopy(copy, this->clock.Now());
    return;
  }
  const auto asked = this->questions.find(aGive.question);
  if (asked == this->questions.end()) {
    return;
  }
  const Instant askedAt = asked->second;
  this->questions.erase(asked);
  this->view.OnCopy(aGive.copy, askedAt);
}

void PeerExchange::PutMember(const StoreItem& aItem) {
  if (!aItem.key.starts_with(kMembersPrefix)) {
    return;
  }
  const std::string name = aItem.key.substr(std::strlen(kMembersPrefix));
  const auto json = nlohmann::json::parse(aItem.value, nullptr, false);
  if (!json.is_object() || name == this->settings.name) {
    return;
  }
  this->members[name] = {json.value("peer", ""),
                         json.value("failure_domain", "")};
}

void PeerExchange::OnMembers(const StoreRange& aRange) {
  this->members.clear();
  for (const StoreItem& item : aRange.items) {
    this->PutMember(item);
  }
}

void PeerExchange::OnMemberEvents(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    if (event.isRemoved && event.item.key.starts_with(kMembersPrefix)) {
      this->members.erase(event.item.key.substr(std::strlen(kMembersPrefix)));
    } else if (!event.isRemoved) {
      this->PutMember(event.item);
    }
  }
}

void PeerExchange::Tick() {
  const Instant now = this->clock.Now();
  this->KeepEntry(now);
  if (now >= this->nextGossip) {
    this->nextGossip = now + kGossipPause;
    this->Gossip();
  }
  const Member* first = this->FirstPeer();
  if (first != nullptr && now >= this->nextReliance) {
    this->nextReliance = now + kReliancePause;
    this->Ask(first->address, now);
  }
  const auto age = this->view.ProofAge();
  if ((!age || *age > kOwnProofAge) && now >= this->nextQuestion) {
    this->nextQuestion = now + kQuestionPause;
    this->AskPeers(now);
  }
}

void PeerExchange::KeepEntry(Instant aNow) {
  if (this->isWriting || aNow < this->nextKeep) {
    return;
  }
  this->isWriting = true;
  this->nextKeep = aNow + kEntryKeep;
  if (this->lease == 0) {
    this->store.Grant(kEntryLife, [this](Result<std::uint64_t> aLease) {
      this->isWriting = false;
      if (!aLease) {
        this->nextKeep = this->clock.Now() + kEntryRetry;
        return;
      }
      this->lease = *aLease;
      this->WriteEntry();
    });
    return;
  }
  this->store.Renew(this->lease, [this](Result<bool> aRenewed) {
    this->isWriting = false;
    if (!aRenewed && aRenewed.error().kind == ErrorKind::LeaseLost) {
      this->lease = 0;
      this->nextKeep = this->clock.Now();
    }
  });
}

void PeerExchange::WriteEntry() {
  StoreChange change;
  change.key =
      this->settings.storePrefix + kMembersPrefix + this->settings.name;
  change.value =
      nlohmann::json{{"peer", this->settings.peerListen},
                     {"failure_domain", this->settings.failureDomain}}
          .dump();
  change.lease = this->lease;
  this->isWriting = true;
  this->store.Commit(change, [this, change](Result<StoreCommit> aDone) {
    if (aDone && aDone->present) {
      // An entry of this VM's earlier process: it is replaced.
      StoreChange again = change;
      again.expected = aDone->present->revision;
      this->store.Commit(again, [this](Result<StoreCommit> aAgain) {
        this->isWriting = false;
        if (!aAgain || !aAgain->done) {
          this->lease = 0;
          this->nextKeep = this->clock.Now() + kEntryRetry;
        }
      });
      return;
    }
    this->isWriting = false;
    if (!aDone) {
      this->lease = 0;
      this->nextKeep = this->clock.Now() + kEntryRetry;
    }
  });
}

void PeerExchange::Gossip() {
  const Instant now = this->clock.Now();
  WorkGossip gossip;
  for (const auto& [id, upstream] : this->view.Directory().All()) {
    const bool isSuspect = upstream->IsSuspect(now);
    const bool isRefusing = upstream->IsRefusing(now);
    if (upstream->own > 0 || isSuspect || isRefusing) {
      gossip.works.push_back({id, upstream->own, isSuspect, isRefusing});
    }
  }
  // An empty message is sent once, to take back what was told before.
  if (gossip.works.empty() && !this->toldWork) {
    return;
  }
  this->toldWork = !gossip.works.empty();
  const bool tellsAll = this->members.size() <= kFewMembers;
  for (const auto& [name, member] : this->members) {
    if (tellsAll || member.failureDomain == this->settings.failureDomain) {
      this->Send(member.address, gossip);
    }
  }
}

std::vector<std::string> PeerExchange::KnownAddresses() const {
  std::vector<std::string> known = this->seeds;
  for (const auto& [name, member] : this->members) {
    known.push_back(member.address);
  }
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  return known;
}

const PeerExchange::Member* PeerExchange::FirstPeer() const {
  for (const auto& [name, member] : this->members) {
    if (name >= this->settings.name) {
      return nullptr;
    }
    if (member.failureDomain == this->settings.failureDomain) {
      return &member;
    }
  }
  return nullptr;
}

void PeerExchange::OnConfiguration() {
  if (this->FirstPeer() != nullptr) {
    return;
  }
  for (const auto& [name, member] : this->members) {
    if (member.failureDomain == this->settings.failureDomain) {
      this->Send(member.address,
                 ClusterGive{kUnasked,
                             this->view.CopyFor(0, this->view.UpstreamsAt())});
    }
  }
}

void PeerExchange::Ask(const std::string& aAddress, Instant aNow) {
  std::erase_if(this->questions, [aNow](const auto& aQuestion) {
    return aNow - aQuestion.second > kQuestionLife;
  });
  const std::uint64_t question = ++this->lastQuestion;
  this->questions[question] = aNow;
  this->Send(aAddress, ClusterWant{question, this->view.ConfigRevision(),
                                   this->view.UpstreamsAt()});
}

void PeerExchange::AskPeers(Instant aNow) {
  std::vector<std::string> known = this->KnownAddresses();
  for (std::size_t i = 0; i < kAskedAtOnce && !known.empty(); ++i) {
    const std::size_t pick = this->random.Below(known.size());
    this->Ask(known[pick], aNow);
    known.erase(known.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void PeerExchange::Send(
    const std::string& aAddress,
    std::variant<WorkGossip, ClusterWant, ClusterGive> aBody) {
  this->hub->Send(aAddress, WriteEdgePeerMessage({this->settings.name,
                                                  this->settings.peerListen,
                                                  std::move(aBody)}));
}

}  // namespace zincstep
