#include "Zincstep/Edge/PeerMembers.h"

#include <algorithm>
#include <set>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// So many answers in a row without fresh lists: the member does not reach the
/// store, and the next one is asked. Where the first ones do not, it may be
/// away for all: each further one is given more time, so that not one after
/// the other begins to ask it.
constexpr int kMostStale = 3;
constexpr int kMostStaleLater = 12;
constexpr std::size_t kQuicklyPassed = 3;
/// Up to so many daemons of a failure domain each may ask the store: they serve
/// sooner after a start. Beyond, the calls of a start, or of a cut that ends,
/// would grow with all daemons.
constexpr std::size_t kFewDaemons = 64;
/// Between questions to one that was passed over.
constexpr Micros kPassedOverPause = 2s;
/// Lists that are older when they are told come from a peer that does not
/// reach the store itself.
constexpr Micros kFreshLists = 1100ms;
/// Members that are missing from the list which the store has from a copy are
/// kept for so long: all write their entries again within a second, and these
/// are told once a second. Without them each daemon would be the first of its
/// domain and read all lists.
constexpr Micros kReturnTime = 3s;
/// A peer without an entry is remembered for so long after it was heard of.
constexpr Micros kUnlistedLife = 10s;
constexpr Micros kForgettingPause = 1s;
/// After it first heard who is there a daemon waits so long before it leads:
/// those that start together are heard of one after the other.
constexpr Micros kSettleTime = 300ms;
/// A daemon that nobody answers begins by itself after this time, and up to
/// three times as long after it: when all seeds are away, hundreds that began
/// at once would each read all lists.
constexpr Micros kShortestLoneliness = 1s;
constexpr double kLonelinessSpread = 3;
/// A daemon whose seniors do not answer at all asks the store after so long,
/// times the factor that it has drawn for its start.
constexpr Micros kIsolatedAfter = 3s;
/// Daemons of a failure domain that are named to an asker: the first, and two
/// that are asked where it does not answer.
constexpr std::size_t kNamed = 3;

}  // namespace

PeerMembers::PeerMembers(const EdgeSettings& aSettings, const Clock& aClock)
    : settings(aSettings),
      clock(aClock),
      own{aSettings.name, aSettings.peerListen, aSettings.failureDomain,
          aSettings.linkMbps},
      startedAt(aClock.Now()),
      answeredAt(aClock.Now()) {
  Random random{Hash64(aSettings.name)};
  const double factor = 1 + kLonelinessSpread * random.Unit();
  this->isolationTimeout = FromSeconds(ToSeconds(kShortestLoneliness) * factor);
  this->order[this->own.failureDomain].insert(this->own);
}

void PeerMembers::StartWithoutPeers() {
  this->discoveredAt = this->clock.Now() - kSettleTime;
}

bool PeerMembers::Precedence::operator()(const PeerName& aOne,
                                         const PeerName& aOther) const {
  return aOne.linkMbps != aOther.linkMbps ? aOne.linkMbps > aOther.linkMbps
                                          : aOne.name < aOther.name;
}

PeerName PeerMembers::NameOf(const std::string& aName, const Member& aMember) {
  return {aName, aMember.address, aMember.failureDomain, aMember.linkMbps};
}

std::vector<PeerMembers::Member*> PeerMembers::HigherRanked() {
  std::vector<Member*> seniors;
  for (const PeerName& peer : this->order.at(this->own.failureDomain)) {
    if (peer.name == this->own.name) {
      break;
    }
    seniors.push_back(&this->members.at(peer.name));
  }
  return seniors;
}

bool PeerMembers::AnyHigherRanked(
    const std::function<bool(const Member&)>& aHolds) const {
  for (const PeerName& peer : this->order.at(this->own.failureDomain)) {
    if (peer.name == this->own.name) {
      return false;
    }
    if (aHolds(this->members.at(peer.name))) {
      return true;
    }
  }
  return false;
}

std::size_t PeerMembers::Rank() const {
  const auto& near = this->order.at(this->own.failureDomain);
  return static_cast<std::size_t>(
      std::distance(near.begin(), near.find(this->own)));
}

bool PeerMembers::IsSameDomain(const Member& aMember) const {
  return aMember.failureDomain == this->settings.failureDomain;
}

void PeerMembers::OnRestored() {
  this->keepsMissingUntil = this->clock.Now() + kReturnTime;
}

void PeerMembers::OnEntries(const ListUpdate& aChanges) {
  if (aChanges.isWhole) {
    std::set<std::string> present;
    for (const StoreItem& item : aChanges.items) {
      present.insert(DaemonEntry::NameIn(item.key));
    }
    for (auto& [name, member] : this->members) {
      if (!present.contains(name)) {
        this->SetRevision(member, {});
      }
    }
    this->isListed = present.contains(this->own.name);
  }
  for (const StoreItem& item : aChanges.items) {
    this->ApplyEntry(item);
  }
  for (const std::string& key : aChanges.removed) {
    this->DropEntry(key);
  }
  this->ForgetUnlisted();
}

void PeerMembers::SetRevision(Member& aMember, StoreRevision aRevision) {
  if (this->IsSameDomain(aMember)) {
    this->listedNear -= aMember.revision.IsNone() ? 0 : 1;
    this->listedNear += aRevision.IsNone() ? 0 : 1;
  }
  aMember.revision = aRevision;
}

void PeerMembers::DropEntry(const std::string& aKey) {
  const std::string name = DaemonEntry::NameIn(aKey);
  const auto member = this->members.find(name);
  if (member != this->members.end()) {
    this->SetRevision(member->second, {});
  }
  this->isListed = this->isListed && name != this->own.name;
}

void PeerMembers::ApplyEntry(const StoreItem& aItem) {
  const auto entry = DaemonEntry::Read(aItem.key, aItem.value);
  if (!entry) {
    this->DropEntry(aItem.key);
    return;
  }
  if (entry->name == this->own.name) {
    this->isListed = true;
    return;
  }
  this->SetRevision(this->Put(*entry), aItem.revision);
}

void PeerMembers::OnBootstrapEntries(const std::vector<StoreItem>& aItems) {
  for (const StoreItem& item : aItems) {
    this->ApplyEntry(item);
  }
  if (this->isListed) {
    // The list is from after this domain's last start: all are in it.
    this->StartWithoutPeers();
  }
}

PeerMembers::Member& PeerMembers::Put(const PeerName& aPeer) {
  const auto [place, isNew] = this->members.try_emplace(aPeer.name);
  Member& member = place->second;
  const bool isSame = !isNew && member.address == aPeer.address &&
                      member.failureDomain == aPeer.failureDomain &&
                      member.linkMbps == aPeer.linkMbps;
  if (isSame) {
    return member;
  }
  if (!isNew) {
    this->Unsort(aPeer.name, member);
  }
  member = Member{};  // Another process, whatever the last one did.
  member.address = aPeer.address;
  member.failureDomain = aPeer.failureDomain;
  member.linkMbps = aPeer.linkMbps;
  this->order[aPeer.failureDomain].insert(aPeer);
  this->changes += 1;
  return member;
}

void PeerMembers::Unsort(const std::string& aName, Member& aMember) {
  this->SetRevision(aMember, {});
  this->order.at(aMember.failureDomain).erase(NameOf(aName, aMember));
  this->changes += 1;
}

void PeerMembers::Note(const PeerName& aPeer) {
  if (aPeer.name != this->own.name) {
    this->Put(aPeer).lastSeenAt = this->clock.Now();
  }
}

void PeerMembers::ForgetUnlisted() {
  const Instant now = this->clock.Now();
  if (now < this->keepsMissingUntil) {
    return;
  }
  for (auto entry = this->members.begin(); entry != this->members.end();) {
    Member& member = entry->second;
    const bool isKept =
        !member.revision.IsNone() || now - member.lastSeenAt < kUnlistedLife;
    if (isKept) {
      ++entry;
      continue;
    }
    this->Unsort(entry->first, member);
    entry = this->members.erase(entry);
  }
}

void PeerMembers::OnQueryFrom(const PeerName& aRequester) {
  this->Note(aRequester);
}

void PeerMembers::OnPeersDiscovered(const std::vector<PeerName>& aFirst) {
  if (!this->discoveredAt) {
    this->discoveredAt = this->clock.Now();
  }
  for (const PeerName& peer : aFirst) {
    this->Note(peer);
  }
}

std::vector<std::string> PeerMembers::DomainPeerAddresses() const {
  std::vector<std::string> near;
  for (const auto& [name, member] : this->members) {
    if (this->IsSameDomain(member)) {
      near.push_back(member.address);
    }
  }
  return near;
}

bool PeerMembers::HasSyncSource() const {
  return this->AnyHigherRanked(
      [](const Member& aCandidate) { return !aCandidate.isSkipped; });
}

bool PeerMembers::HasFreshSyncSource() const {
  const Instant now = this->clock.Now();
  const Micros longest = MaxSyncStaleness(this->settings);
  // Whoever told last holds until the next one has read the store.
  return this->HasSyncSource() &&
         this->AnyHigherRanked([&](const Member& aCandidate) {
           return now - aCandidate.toldFreshAt <= longest;
         });
}

bool PeerMembers::MayQueryStore() const {
  const Instant now = this->clock.Now();
  if (this->isListed && this->listedNear < kFewDaemons) {
    return true;
  }
  if (this->HasSyncSource()) {
    const Micros isolatedAfter =
        kIsolatedAfter + this->isolationTimeout - kShortestLoneliness;
    return now - this->answeredAt >= isolatedAfter;
  }
  return this->discoveredAt ? now - *this->discoveredAt >= kSettleTime
                            : now - this->startedAt >= this->isolationTimeout;
}

bool PeerMembers::IsUnusableSource(std::size_t aPlace, const Member& aCandidate,
                                   int aMaxUnanswered) const {
  // While a start gives it more questions, it has to read the lists first.
  const int mostStale = aPlace < kQuicklyPassed
                            ? std::max(kMostStale, aMaxUnanswered)
                            : kMostStaleLater;
  return aCandidate.unanswered >= aMaxUnanswered ||
         aCandidate.stale >= mostStale;
}

std::vector<std::string> PeerMembers::NextSyncSources(int aMaxUnanswered) {
  const Instant now = this->clock.Now();
  if (now >= this->nextForgetting) {
    this->nextForgetting = now + kForgettingPause;
    this->ForgetUnlisted();
  }
  std::vector<std::string> asked;
  std::size_t place = 0;
  for (Member* senior : this->HigherRanked()) {
    Member& member = *senior;
    if (!member.isSkipped &&
        this->IsUnusableSource(place, member, aMaxUnanswered)) {
      LogInfo("peer_passed_over", {{"peer", member.address},
                                   {"unanswered", member.unanswered},
                                   {"stale", member.stale}});
      member.isSkipped = true;
      member.askAgainAt = now + kPassedOverPause;
    }
    if (!member.isSkipped) {
      member.unanswered += 1;
      asked.push_back(member.address);
      return asked;
    }
    // One at a time: where none is fresh, hundreds would be asked each time.
    if (now >= member.askAgainAt && asked.empty()) {
      member.askAgainAt = now + kPassedOverPause;
      asked.push_back(member.address);
    }
    place += 1;
  }
  return asked;
}

void PeerMembers::OnAnswer(const std::string& aAddress,
                           std::optional<Micros> aListsAge) {
  const std::vector<Member*> seniors = this->HigherRanked();
  const auto found = std::find_if(seniors.begin(), seniors.end(),
                                  [&](const Member* aCandidate) {
                                    return aCandidate->address == aAddress;
                                  });
  if (found == seniors.end()) {
    return;
  }
  Member& member = **found;
  const Instant now = this->clock.Now();
  this->answeredAt = now;
  member.unanswered = 0;
  if (aListsAge && *aListsAge <= kFreshLists) {
    member.stale = 0;
    member.isSkipped = false;
    member.toldFreshAt = now;
  } else {
    member.stale += 1;
  }
}

std::vector<PeerName> PeerMembers::FirstOf(
    const std::string& aFailureDomain, const std::string& aRequester) const {
  std::vector<PeerName> named;
  const auto found = this->order.find(aFailureDomain);
  if (found == this->order.end()) {
    return named;
  }
  for (const PeerName& peer : found->second) {
    if (named.size() == kNamed) {
      break;
    }
    if (peer.name != aRequester) {
      named.push_back(peer);
    }
  }
  return named;
}

}  // namespace zincstep
