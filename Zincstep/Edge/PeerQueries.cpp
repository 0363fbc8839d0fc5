/// \file
/// Queries of a daemon to its peers, and what their responses cause.

#include <limits>

#include "Zincstep/Edge/PeerProtocol.h"

namespace zincstep {

namespace {

/// Validation age above which peers are queried: two validations are overdue.
constexpr Micros kMaxOwnValidationAge = 1300ms;
constexpr Micros kQueryInterval = 400ms;
/// Interval between queries of a daemon that has just started and has no lists
/// yet.
constexpr Micros kStartQueryInterval = 100ms;
/// Consecutive unanswered queries that a starting daemon allows its sync
/// source, which may have started with it and has to read the lists first.
constexpr int kMaxUnansweredAtStart = 10;
/// Time that a starting daemon waits for the configuration from the store,
/// which is closer than a peer of another failure domain.
constexpr Micros kStoreConfigTimeout = 400ms;
/// Timeout of a query for the full list of upstreams; no other peer is queried
/// for it until then. A hundred entries take some milliseconds, and an
/// overloaded peer says so at once.
constexpr Micros kFullListTimeout = 200ms;
/// Time for which a starting daemon queries only its own failure domain.
constexpr Micros kSameDomainPeriod = 200ms;
/// Requests no configuration, whatever its version.
constexpr std::uint64_t kNoVersionRequested =
    std::numeric_limits<std::uint64_t>::max();
constexpr KnownRevisions kNothingRequested{kNotRequested, kNotRequested,
                                           kNotRequested, kNoVersionRequested};
/// Number of peers queried at once.
constexpr std::size_t kParallelQueries = 2;
/// Interval between queries to the sync source. Together with the interval
/// between its validations and one lost response, its reports stay below the
/// maximum staleness.
constexpr Micros kSyncInterval = 250ms;
/// Minimum interval between hints that are followed up: one configuration may
/// cause several.
constexpr Micros kHintInterval = 100ms;
/// Timeout of a pending query.
constexpr Micros kQueryTimeout = 5s;

}  // namespace

PeerFrame PeerProtocol::Hint() const {
  ClusterResponse hint;
  hint.era = this->Era();
  hint.queryId = kUnsolicited;
  hint.update = this->view.UpdateFor(kNothingRequested);
  return this->Encode(std::move(hint));
}

void PeerProtocol::OnResponse(const ClusterResponse& aResponse) {
  const auto found = this->pendingQueries.find(aResponse.queryId);
  if (found == this->pendingQueries.end()) {
    return;
  }
  const PendingQuery pending = found->second;
  this->pendingQueries.erase(found);
  if (aResponse.era < this->Era()) {
    return;  // The next query informs it of the era.
  }
  this->members.OnResponse(pending.address, aResponse.update.listsAge);
  if (pending.requestsMembers) {
    this->OnMembersNamed(aResponse.members);
    return;
  }
  ClusterUpdate update = aResponse.update;
  if (!pending.requestsUpstreams) {
    update.listsAge.reset();
  }
  this->CompareVersions(pending.address, update);
  const bool hadNoMembers = this->members.All().empty();
  this->view.OnUpdate(update, pending.sentAt);
  if (hadNoMembers && !this->members.All().empty() && this->IsStarting()) {
    this->QueryPeers(this->clock.Now());
  }
}

void PeerProtocol::CompareVersions(const std::string& aAddress,
                                   const ClusterUpdate& aUpdate) {
  const std::uint64_t own = this->view.ConfigVersion();
  // A version that is being built needs no query: one after each response would
  // repeat until it is active.
  const bool lacksText =
      aUpdate.configVersion > this->view.AcceptedConfigVersion() &&
      aUpdate.configText.empty();
  if (lacksText) {
    this->Query(aAddress, this->clock.Now(), QueryScope::Configuration);
    return;
  }
  if (aUpdate.configVersion != 0 && aUpdate.configVersion < own) {
    // The peer follows a store that has lost the version active here.
    this->SendFrame(aAddress, PeerMessageKind::Response, this->Hint());
  }
  this->view.OnPeersResponded();
}

void PeerProtocol::OnHint(const std::string& aAddress,
                          const ClusterUpdate& aUpdate) {
  const Instant now = this->clock.Now();
  const bool isNewer =
      aUpdate.configRevision > this->view.AcceptedConfiguration() ||
      aUpdate.configVersion > this->view.AcceptedConfigVersion();
  if (isNewer && now >= this->nextHintAt) {
    this->nextHintAt = now + kHintInterval;
    this->Query(aAddress, now, QueryScope::Configuration);
  }
}

void PeerProtocol::QueryIfOutdated(Instant aNow) {
  if (aNow < this->nextQuery) {
    return;
  }
  const auto isOld = [](std::optional<Micros> aAge) {
    return !aAge || *aAge > kMaxOwnValidationAge;
  };
  if (this->IsStarting() && !this->members.HasSyncSource()) {
    this->nextQuery = aNow + kStartQueryInterval;
    this->QuerySeeds(aNow);
  } else if (isOld(this->view.ValidationAge()) ||
             isOld(this->view.ListsAge())) {
    this->nextQuery = aNow + kQueryInterval;
    this->QueryPeers(aNow);
  }
}

void PeerProtocol::QuerySyncSources(Instant aNow) {
  const bool isStarting = this->IsStarting();
  this->nextSyncQuery =
      aNow + (isStarting ? kStartQueryInterval : kSyncInterval);
  const int maxUnanswered =
      isStarting ? kMaxUnansweredAtStart : PeerMembers::kMaxUnanswered;
  for (const std::string& address :
       this->members.NextSyncSources(maxUnanswered)) {
    this->Query(address, aNow);
  }
}

void PeerProtocol::QuerySeeds(Instant aNow) {
  for (const std::string& address : this->seeds) {
    this->Query(address, aNow, QueryScope::Members);
  }
}

void PeerProtocol::Query(const std::string& aAddress, Instant aNow,
                         QueryScope aScope) {
  std::erase_if(this->pendingQueries, [aNow](const auto& aPending) {
    return aNow - aPending.second.sentAt > kQueryTimeout;
  });
  const std::uint64_t number = ++this->lastQueryId;
  PendingQuery& pending = this->pendingQueries[number] = {aAddress, aNow};
  KnownRevisions known = this->view.Revisions();
  if (aScope == QueryScope::Members) {
    pending.requestsMembers = true;
    known = kNothingRequested;
  }
  if (known.config.IsNone() && aScope == QueryScope::Changes &&
      aNow - this->startedAt < kStoreConfigTimeout) {
    known.config = kNotRequested;
  }
  if (known.upstreams.IsNone()) {
    pending.requestsUpstreams = this->CanQueryFullList(aAddress, aNow);
    known.upstreams =
        pending.requestsUpstreams ? StoreRevision{} : kNotRequested;
    if (pending.requestsUpstreams) {
      this->fullListQuery = number;
    }
  }
  ClusterQuery query;
  query.era = this->Era();
  query.queryId = number;
  query.known = known;
  query.failureDomain = this->settings.failureDomain;
  query.linkMbps = this->settings.linkMbps;
  query.needsEntry = this->registrar.NeedsEntry();
  query.requestsMembers = pending.requestsMembers;
  this->Send(aAddress, std::move(query));
}

bool PeerProtocol::CanQueryFullList(const std::string& aAddress,
                                    Instant aNow) const {
  const auto fullList = this->pendingQueries.find(this->fullListQuery);
  if (fullList != this->pendingQueries.end() &&
      aNow - fullList->second.sentAt < kFullListTimeout) {
    return false;
  }
  const std::vector<std::string> sameDomain =
      this->members.DomainPeerAddresses();
  return sameDomain.empty() || !this->QueriesSameDomainOnly(aNow) ||
         std::find(sameDomain.begin(), sameDomain.end(), aAddress) !=
             sameDomain.end();
}

bool PeerProtocol::QueriesSameDomainOnly(Instant aNow) const {
  // Once this time has passed, members of the own domain may all have just
  // started too, and any peer is queried.
  return this->IsStarting() && aNow - this->startedAt < kSameDomainPeriod;
}

void PeerProtocol::QueryPeers(Instant aNow) {
  std::vector<std::string> known = this->QueriesSameDomainOnly(aNow)
                                       ? this->members.DomainPeerAddresses()
                                       : std::vector<std::string>{};
  if (known.empty()) {
    known = this->KnownAddresses();
  }
  for (std::size_t i = 0; i < kParallelQueries && !known.empty(); ++i) {
    const std::size_t pick = this->random.Below(known.size());
    this->Query(known[pick], aNow);
    known.erase(known.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

}  // namespace zincstep
