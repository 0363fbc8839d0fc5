#include "Zincstep/Edge/PeerMembers.h"

#include <algorithm>
#include <set>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Consecutive responses without fresh lists after which a member counts as
/// unable to reach the store and the next one is queried. If the first ones all
/// fail, the store may be down for all; further members are given more time, so
/// that they do not start to read it one after the other.
constexpr int kMaxStale = 3;
constexpr int kMaxStaleLowRank = 12;
constexpr std::size_t kQuickSkipRanks = 3;
/// Up to this many daemons of a failure domain may each read the store, which
/// lets them serve sooner after a start. Above it, the number of calls at a
/// start or at the end of a partition would grow with the number of daemons.
constexpr std::size_t kMaxDirectReaders = 64;
/// Interval between queries to a skipped member.
constexpr Micros kSkipRetryInterval = 2s;
/// Lists that are older than this on arrival come from a peer that does not
/// reach the store itself.
constexpr Micros kMaxFreshListsAge = 1100ms;
/// Time that missing members are retained after the store was restored from a
/// backup. All write their entries again within a second, and updates are sent
/// once per second. Without the retained members each daemon would rank first
/// in its domain and read all lists.
constexpr Micros kRestoreGracePeriod = 3s;
/// Time that a peer without an entry is retained after it was last seen alive.
constexpr Micros kUnlistedTtl = 10s;
constexpr Micros kExpiryInterval = 1s;
/// Time between the first discovery of peers and leading the domain: daemons
/// that start together are discovered one after the other.
constexpr Micros kSettleDelay = 300ms;
/// Minimum time after which a daemon without any response reads the store
/// itself; the jitter adds up to three times as much. If all seeds are down,
/// hundreds of daemons would otherwise read all lists at once.
constexpr Micros kMinIsolationTimeout = 1s;
constexpr double kIsolationJitter = 3;
/// Time without any response from higher-ranked members after which a daemon
/// reads the store, plus the daemon's share of the isolation jitter.
constexpr Micros kNoResponseTimeout = 3s;
/// Number of daemons of a failure domain that a requester is sent: the first,
/// and two to query if that does not respond.
constexpr std::size_t kMaxDiscovered = 3;
/// Maximum number of remembered keys of entries that cannot be parsed.
constexpr std::size_t kMaxRefusedKeys = 1024;
/// Maximum length of a key in the log, in bytes; the store accepts longer ones.
constexpr std::size_t kMaxLoggedKeyBytes = 256;

}  // namespace

PeerMembers::PeerMembers(const EdgeSettings& aSettings, const Clock& aClock)
    : settings(aSettings),
      clock(aClock),
      self{aSettings.name, aSettings.peerListen, aSettings.failureDomain,
           aSettings.linkMbps},
      startedAt(aClock.Now()),
      lastResponseAt(aClock.Now()) {
  Random random{Hash64(aSettings.name)};
  const double factor = 1 + kIsolationJitter * random.Unit();
  this->isolationTimeout =
      FromSeconds(ToSeconds(kMinIsolationTimeout) * factor);
  this->order[this->self.failureDomain].insert(this->self);
}

void PeerMembers::StartWithoutPeers() {
  this->discoveredAt = this->clock.Now() - kSettleDelay;
}

bool PeerMembers::Precedence::operator()(const PeerName& aOne,
                                         const PeerName& aOther) const {
  return aOne.linkMbps != aOther.linkMbps ? aOne.linkMbps > aOther.linkMbps
                                          : aOne.name < aOther.name;
}

PeerName PeerMembers::ToPeerName(const std::string& aName,
                                 const Member& aMember) {
  return {aName, aMember.address, aMember.failureDomain, aMember.linkMbps};
}

std::vector<PeerMembers::Member*> PeerMembers::HigherRanked() {
  std::vector<Member*> higherRanked;
  for (const PeerName& peer : this->order.at(this->self.failureDomain)) {
    if (peer.name == this->self.name) {
      break;
    }
    higherRanked.push_back(&this->members.at(peer.name));
  }
  return higherRanked;
}

bool PeerMembers::AnyHigherRanked(
    const std::function<bool(const Member&)>& aPredicate) const {
  for (const PeerName& peer : this->order.at(this->self.failureDomain)) {
    if (peer.name == this->self.name) {
      return false;
    }
    if (aPredicate(this->members.at(peer.name))) {
      return true;
    }
  }
  return false;
}

std::size_t PeerMembers::Rank() const {
  const auto& domain = this->order.at(this->self.failureDomain);
  return static_cast<std::size_t>(
      std::distance(domain.begin(), domain.find(this->self)));
}

bool PeerMembers::IsSameDomain(const Member& aMember) const {
  return aMember.failureDomain == this->settings.failureDomain;
}

void PeerMembers::OnRestored() {
  this->retainMissingUntil = this->clock.Now() + kRestoreGracePeriod;
}

void PeerMembers::OnEntries(const ListUpdate& aChanges) {
  if (aChanges.isFull) {
    std::set<std::string> present;
    for (const StoreItem& item : aChanges.items) {
      present.insert(DaemonEntry::NameOf(item.key));
    }
    for (auto& [name, member] : this->members) {
      if (!present.contains(name)) {
        this->SetRevision(member, {});
      }
    }
    this->isListed = present.contains(this->self.name);
  }
  for (const StoreItem& item : aChanges.items) {
    this->ApplyEntry(item);
  }
  for (const std::string& key : aChanges.removed) {
    this->DropEntry(key);
  }
  this->ExpireUnlisted();
}

void PeerMembers::SetRevision(Member& aMember, StoreRevision aRevision) {
  if (this->IsSameDomain(aMember)) {
    this->listedInDomain -= aMember.revision.IsNone() ? 0 : 1;
    this->listedInDomain += aRevision.IsNone() ? 0 : 1;
  }
  aMember.revision = aRevision;
}

void PeerMembers::DropEntry(const std::string& aKey) {
  const std::string name = DaemonEntry::NameOf(aKey);
  const auto member = this->members.find(name);
  if (member != this->members.end()) {
    this->SetRevision(member->second, {});
  }
  this->isListed = this->isListed && name != this->self.name;
}

void PeerMembers::ApplyEntry(const StoreItem& aItem) {
  const auto entry = DaemonEntry::Parse(aItem.key, aItem.value);
  if (!entry) {
    this->DropEntry(aItem.key);
    this->RecordRefused(aItem);
    return;
  }
  this->refused.erase(aItem.key);
  if (entry->name == this->self.name) {
    this->isListed = true;
    return;
  }
  this->SetRevision(this->Put(*entry), aItem.revision);
}

void PeerMembers::RecordRefused(const StoreItem& aItem) {
  if (DaemonEntry::NameOf(aItem.key).empty()) {
    return;  // Another kind of entry.
  }
  // A bounded number of keys, so that keys that come and go take no memory.
  if (this->refused.size() >= kMaxRefusedKeys) {
    this->refused.clear();
  }
  StoreRevision& known = this->refused[aItem.key];
  if (aItem.revision <= known) {
    return;
  }
  known = aItem.revision;
  this->refusedEntries += 1;
  LogWarning("daemon_entry_refused",
             {{"key", aItem.key.substr(0, kMaxLoggedKeyBytes)},
              {"revision", aItem.revision.number}});
}

void PeerMembers::OnBootstrapEntries(const std::vector<StoreItem>& aItems) {
  for (const StoreItem& item : aItems) {
    this->ApplyEntry(item);
  }
  if (this->isListed) {
    // This daemon's entry is left from its last run, when all members were
    // listed.
    this->StartWithoutPeers();
  }
}

PeerMembers::Member& PeerMembers::Put(const PeerName& aPeer) {
  const auto [slot, isNew] = this->members.try_emplace(aPeer.name);
  Member& member = slot->second;
  const bool isSame = !isNew && member.address == aPeer.address &&
                      member.failureDomain == aPeer.failureDomain &&
                      member.linkMbps == aPeer.linkMbps;
  if (isSame) {
    return member;
  }
  if (!isNew) {
    this->RemoveFromOrder(aPeer.name, member);
  }
  member = Member{};  // Discards the earlier process.
  member.address = aPeer.address;
  member.failureDomain = aPeer.failureDomain;
  member.linkMbps = aPeer.linkMbps;
  this->order[aPeer.failureDomain].insert(aPeer);
  this->changes += 1;
  return member;
}

void PeerMembers::RemoveFromOrder(const std::string& aName, Member& aMember) {
  this->SetRevision(aMember, {});
  this->order.at(aMember.failureDomain).erase(ToPeerName(aName, aMember));
  this->changes += 1;
}

void PeerMembers::RecordLive(const PeerName& aPeer) {
  if (aPeer.name != this->self.name) {
    this->Put(aPeer).lastSeenAt = this->clock.Now();
  }
}

void PeerMembers::ExpireUnlisted() {
  const Instant now = this->clock.Now();
  if (now < this->retainMissingUntil) {
    return;
  }
  for (auto entry = this->members.begin(); entry != this->members.end();) {
    Member& member = entry->second;
    const bool isRetained =
        !member.revision.IsNone() || now - member.lastSeenAt < kUnlistedTtl;
    if (isRetained) {
      ++entry;
      continue;
    }
    this->RemoveFromOrder(entry->first, member);
    entry = this->members.erase(entry);
  }
}

void PeerMembers::OnQueryFrom(const PeerName& aRequester) {
  this->RecordLive(aRequester);
}

void PeerMembers::OnPeersDiscovered(const std::vector<PeerName>& aMembers) {
  if (!this->discoveredAt) {
    this->discoveredAt = this->clock.Now();
  }
  for (const PeerName& peer : aMembers) {
    this->RecordLive(peer);
  }
}

std::vector<std::string> PeerMembers::DomainPeerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, member] : this->members) {
    if (this->IsSameDomain(member)) {
      addresses.push_back(member.address);
    }
  }
  return addresses;
}

bool PeerMembers::HasSyncSource() const {
  return this->AnyHigherRanked(
      [](const Member& aCandidate) { return !aCandidate.isSkipped; });
}

bool PeerMembers::HasFreshSyncSource() const {
  const Instant now = this->clock.Now();
  const Micros maxStaleness = MaxSyncStaleness(this->settings);
  // The last sync source counts until the next one has read the store.
  return this->HasSyncSource() &&
         this->AnyHigherRanked([&](const Member& aCandidate) {
           return now - aCandidate.freshListsAt <= maxStaleness;
         });
}

bool PeerMembers::MayQueryStore() const {
  const Instant now = this->clock.Now();
  if (this->isListed && this->listedInDomain < kMaxDirectReaders) {
    return true;
  }
  if (this->HasSyncSource()) {
    const Micros timeout =
        kNoResponseTimeout + this->isolationTimeout - kMinIsolationTimeout;
    return now - this->lastResponseAt >= timeout;
  }
  return this->discoveredAt ? now - *this->discoveredAt >= kSettleDelay
                            : now - this->startedAt >= this->isolationTimeout;
}

bool PeerMembers::IsUnusableSource(std::size_t aRank, const Member& aCandidate,
                                   int aMaxUnanswered) const {
  // A member that is granted more queries during a start has to read the lists
  // before it can send them.
  const int maxStale = aRank < kQuickSkipRanks
                           ? std::max(kMaxStale, aMaxUnanswered)
                           : kMaxStaleLowRank;
  return aCandidate.unanswered >= aMaxUnanswered ||
         aCandidate.stale >= maxStale;
}

std::vector<std::string> PeerMembers::NextSyncSources(int aMaxUnanswered) {
  const Instant now = this->clock.Now();
  if (now >= this->nextExpiry) {
    this->nextExpiry = now + kExpiryInterval;
    this->ExpireUnlisted();
  }
  std::vector<std::string> addresses;
  std::size_t rank = 0;
  for (Member* candidate : this->HigherRanked()) {
    Member& member = *candidate;
    if (!member.isSkipped &&
        this->IsUnusableSource(rank, member, aMaxUnanswered)) {
      LogInfo("peer_passed_over", {{"peer", member.address},
                                   {"unanswered", member.unanswered},
                                   {"stale", member.stale}});
      member.isSkipped = true;
      member.retryAt = now + kSkipRetryInterval;
    }
    if (!member.isSkipped) {
      member.unanswered += 1;
      addresses.push_back(member.address);
      return addresses;
    }
    // One at a time: without any fresh member, hundreds would be queried each
    // time.
    if (now >= member.retryAt && addresses.empty()) {
      member.retryAt = now + kSkipRetryInterval;
      addresses.push_back(member.address);
    }
    rank += 1;
  }
  return addresses;
}

void PeerMembers::OnResponse(const std::string& aAddress,
                             std::optional<Micros> aListsAge) {
  const std::vector<Member*> higherRanked = this->HigherRanked();
  const auto found = std::find_if(higherRanked.begin(), higherRanked.end(),
                                  [&](const Member* aCandidate) {
                                    return aCandidate->address == aAddress;
                                  });
  if (found == higherRanked.end()) {
    return;
  }
  Member& member = **found;
  const Instant now = this->clock.Now();
  this->lastResponseAt = now;
  member.unanswered = 0;
  if (aListsAge && *aListsAge <= kMaxFreshListsAge) {
    member.stale = 0;
    member.isSkipped = false;
    member.freshListsAt = now;
  } else {
    member.stale += 1;
  }
}

std::vector<PeerName> PeerMembers::HighestRanked(
    const std::string& aFailureDomain, const std::string& aRequester) const {
  std::vector<PeerName> peers;
  const auto found = this->order.find(aFailureDomain);
  if (found == this->order.end()) {
    return peers;
  }
  for (const PeerName& peer : found->second) {
    if (peers.size() == kMaxDiscovered) {
      break;
    }
    if (peer.name != aRequester) {
      peers.push_back(peer);
    }
  }
  return peers;
}

}  // namespace zincstep
