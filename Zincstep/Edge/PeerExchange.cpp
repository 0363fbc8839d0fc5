#include "Zincstep/Edge/PeerExchange.h"

#include <limits>
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
constexpr Micros kOwnProofAge = 1300ms;
constexpr Micros kQuestionPause = 400ms;
/// The same for a daemon that has just started and knows nothing yet.
constexpr Micros kFirstQuestionPause = 100ms;
/// A daemon that has just started has the configuration from the store, which
/// is closer than a peer of another failure domain, unless that takes longer
/// than this.
constexpr Micros kStorePatience = 400ms;
/// Stands for any revision: it is not to be told.
constexpr std::uint64_t kNotWanted = std::numeric_limits<std::uint64_t>::max();
/// Peers that are asked at once.
constexpr std::size_t kAskedAtOnce = 2;
/// Up to so many members all are told of each other's work; beyond, those
/// of the own failure domain, whose upstreams they share most.
constexpr std::size_t kFewMembers = 16;
/// The domain's first daemon is asked for its proofs this often: with the
/// time between its proofs and one answer that is lost, what it tells stays
/// under the age at which it is not relied on any more.
constexpr Micros kReliancePause = 250ms;
/// So many questions in a row without an answer: it has ended or is cut off,
/// and the next member by name is asked.
constexpr int kMostUnanswered = 4;
/// After this it is asked again.
constexpr Micros kSilentTime = 4s;
/// Lists that are older when they are told come from a peer that does not
/// reach the store itself.
constexpr Micros kFreshLists = 1100ms;
/// Number of no question: what comes with it was not asked for.
constexpr std::uint64_t kUnasked = 0;
/// Longest pause before a peer is connected to again: half the age at which
/// a proof that comes through it would be missed.
constexpr Micros kLongestReconnect = 800ms;
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

PeerExchange::PeerExchange(asio::io_context& aLoop,
                           const EdgeSettings& aSettings, AsyncStore& aStore,
                           ClusterView& aView, const Clock& aClock,
                           Random& aRandom, OnToldSuspicion aOnSuspicion)
    : loop(aLoop),
      settings(aSettings),
      store(aStore),
      view(aView),
      clock(aClock),
      random(aRandom),
      onSuspicion(std::move(aOnSuspicion)),
      seeds(SeedPeers(aSettings)),
      startedAt(aClock.Now()) {
  const std::string host =
      aSettings.peerListen.substr(0, aSettings.peerListen.rfind(':') + 1);
  this->isSeed = this->seeds.empty() ||
                 ("," + aSettings.seeds).find("," + host) != std::string::npos;
  PeerHubSettings hubSettings;
  hubSettings.listen = aSettings.peerListen;
  hubSettings.seed = Hash64(aSettings.name);
  hubSettings.longestReconnect = kLongestReconnect;
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
    this->Send(aMessage.replyTo,
               ClusterGive{want->question, this->view.CopyFor(want->known)});
  } else if (const auto* give = std::get_if<ClusterGive>(&aMessage.body)) {
    this->OnGive(*give);
  }
}

void PeerExchange::OnGossip(const std::string& aSender,
                            const WorkGossip& aGossip) {
  const Instant now = this->clock.Now();
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
    if (work.pace > 1 && upstream->Pace(now) <= 1) {
      upstream->SetPace(work.pace, now, Evidence::Told);
    }
    if (work.isSuspect && !upstream->IsSuspect(now)) {
      this->onSuspicion(upstream);
    }
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
    copy.listsAge.reset();
    this->view.OnCopy(copy, this->clock.Now());
    return;
  }
  const auto asked = this->questions.find(aGive.question);
  if (asked == this->questions.end()) {
    return;
  }
  const Question question = asked->second;
  this->questions.erase(asked);
  this->NoteAnswer(question, aGive.copy);
  this->view.OnCopy(aGive.copy, question.askedAt);
}

void PeerExchange::NoteAnswer(const Question& aQuestion,
                              const ClusterCopy& aCopy) {
  Member* member = this->FindMember(aQuestion.address);
  if (member == nullptr) {
    return;
  }
  member->unanswered = 0;
  if (aCopy.listsAge && *aCopy.listsAge <= kFreshLists) {
    member->toldFreshAt = this->clock.Now();
  }
}

PeerExchange::Member* PeerExchange::FindMember(const std::string& aAddress) {
  for (auto& [name, member] : this->members) {
    if (member.address == aAddress) {
      return &member;
    }
  }
  return nullptr;
}

void PeerExchange::OnDaemonEntries() {
  std::map<std::string, Member> known;
  known.swap(this->members);
  for (const auto& [key, item] : this->view.Daemons().Items()) {
    if (!key.starts_with(kMembersPrefix)) {
      continue;
    }
    const std::string name = key.substr(std::strlen(kMembersPrefix));
    const auto json = nlohmann::json::parse(item.value, nullptr, false);
    if (!json.is_object() || name == this->settings.name) {
      continue;
    }
    Member& member = this->members[name] = known[name];
    const std::string address = json.value("peer", "");
    if (member.address != address) {
      member = Member{};  // Another process, whatever the last one did.
    }
    member.address = address;
    member.failureDomain = json.value("failure_domain", "");
  }
}

bool PeerExchange::IsNew() const { return !this->view.ListsAge(); }

void PeerExchange::Tick() {
  const Instant now = this->clock.Now();
  this->KeepEntry(now);
  if (now >= this->nextGossip) {
    this->nextGossip = now + kGossipPause;
    this->Gossip();
  }
  if (now >= this->nextReliance) {
    this->AskFirst(now);
  }
  const auto isOld = [](std::optional<Micros> aAge) {
    return !aAge || *aAge > kOwnProofAge;
  };
  const bool wantsPeers =
      isOld(this->view.ProofAge()) || isOld(this->view.ListsAge());
  if (wantsPeers && now >= this->nextQuestion) {
    this->nextQuestion =
        now + (this->IsNew() ? kFirstQuestionPause : kQuestionPause);
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
    const double pace = upstream->FoundPace(now);
    if (upstream->own > 0 || isSuspect || isRefusing || pace > 1) {
      gossip.works.push_back({id, upstream->own, isSuspect, isRefusing, pace});
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
    if (member.failureDomain == this->settings.failureDomain &&
        this->clock.Now() >= member.silentUntil) {
      return &member;
    }
  }
  return nullptr;
}

bool PeerExchange::MayRely() const {
  const Member* first = this->FirstPeer();
  return first != nullptr && this->clock.Now() - first->toldFreshAt <=
                                 LongestReliance(this->settings);
}

void PeerExchange::AskFirst(Instant aNow) {
  this->nextReliance = aNow + kReliancePause;
  while (const Member* first = this->FirstPeer()) {
    Member& member = *this->FindMember(first->address);
    if (member.unanswered < kMostUnanswered) {
      member.unanswered += 1;
      this->Ask(member.address, aNow);
      return;
    }
    LogInfo("peer_silent",
            {{"peer", member.address}, {"unanswered", member.unanswered}});
    member.unanswered = 0;
    member.silentUntil = aNow + kSilentTime;
  }
}

void PeerExchange::OnConfiguration() {
  if (this->FirstPeer() != nullptr) {
    // It was told without a proof, and keys need one.
    this->AskFirst(this->clock.Now());
    return;
  }
  for (const auto& [name, member] : this->members) {
    if (member.failureDomain == this->settings.failureDomain) {
      KnownRevisions known = this->view.Revisions();
      known.config = 0;
      this->Send(member.address,
                 ClusterGive{kUnasked, this->view.CopyFor(known)});
    }
  }
}

void PeerExchange::Ask(const std::string& aAddress, Instant aNow) {
  std::erase_if(this->questions, [aNow](const auto& aQuestion) {
    return aNow - aQuestion.second.askedAt > kQuestionLife;
  });
  const std::uint64_t question = ++this->lastQuestion;
  this->questions[question] = {aAddress, aNow};
  KnownRevisions known = this->view.Revisions();
  if (known.config == 0 && aNow - this->startedAt < kStorePatience) {
    known.config = kNotWanted;
  }
  this->Send(aAddress, ClusterWant{question, known});
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
