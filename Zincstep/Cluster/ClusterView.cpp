#include "Zincstep/Cluster/ClusterView.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Live upstreams whose entries expired while the store was unreachable
/// register again within about two seconds of its return. Until then a missing
/// entry does not mean that the upstream is gone.
constexpr Micros kReregistrationGrace = 2200ms;
/// If at least this share of a failure domain's upstreams is missing from a
/// peer's update, their entries have expired: so many do not leave at once.
/// Fewer may have left and get no more work.
constexpr double kMinExpiredShare = 0.5;
/// Time for which an upstream is ejected that was removed before a restore and
/// is in the restored list. A live one writes its entry within one or two
/// seconds; the entry of a dead one is removed after three missed writes.
constexpr Micros kRestoredEntryQuarantine = 4s;
/// Time for which removed incarnations are remembered; longer than the age of a
/// backup.
constexpr Micros kRemovedIncarnationTtl = 60s;

/// Upstreams that may change at once and be logged individually. Logging
/// thousands that registered or loaded layers took a tenth of a second on a
/// small VM.
constexpr std::size_t kMaxLoggedChanges = 64;

/// Maximum length of a key in the log, in bytes; the store accepts longer ones.
constexpr std::size_t kMaxLoggedKeyBytes = 256;

std::string ShortKey(const std::string& aKey) {
  return aKey.substr(0, kMaxLoggedKeyBytes);
}

void LogChanged(const UpstreamEntry& aEntry, StoreRevision aRevision) {
  LogInfo("upstream_changed",
          {{"upstream", aEntry.id},
           {"service", aEntry.service},
           {"address", aEntry.address},
           {"failure_domain", aEntry.failureDomain},
           {"state", NameIn(kAvailabilityNames, aEntry.state)},
           {"first_layer", aEntry.layers.first},
           {"last_layer", aEntry.layers.last},
           {"born", aEntry.startTimeMs},
           {"revision", aRevision.number}});
}

}  // namespace

ClusterView::ClusterView(const ClusterDecoder& aDecoder,
                         ClusterListener& aListener, const Clock& aClock)
    : decoder(aDecoder),
      listener(aListener),
      clock(aClock),
      config(aDecoder, aClock) {}

void ClusterView::OnConfiguration(const StoreItem& aItem,
                                  std::uint64_t aVersion) {
  this->UpdateEra(aItem.revision);
  if (this->config.OnStoreConfiguration(aItem, aVersion)) {
    this->listener.OnConfiguration();
  }
}

void ClusterView::OnRestored(std::uint64_t aEra) {
  this->era = aEra;
  this->storeReturnedAt = this->clock.Now();
  this->config.OnRestored(aEra);
}

ClusterView::UpdateSource ClusterView::UpdateSourceOf(StoreRevision aAt) const {
  const StoreRevision known = this->entries.At();
  return !known.IsNone() && known.era < aAt.era ? UpdateSource::RestoredList
                                                : UpdateSource::Current;
}

void ClusterView::KeepDraining(UpstreamEntry& aEntry) const {
  const UpstreamPtr known = this->directory.Find(aEntry.id);
  if (known && known->Entry().Incarnation() == aEntry.Incarnation() &&
      known->Entry().state == Availability::Draining) {
    aEntry.state = Availability::Draining;
  }
}

void ClusterView::QuarantineReturned(LiveUpstream& aUpstream) {
  if (this->recentlyRemoved.contains(aUpstream.Number())) {
    LogInfo("upstream_return_doubted", {{"upstream", aUpstream.Entry().id}});
    aUpstream.EjectUntil(this->clock.Now() + kRestoredEntryQuarantine);
  }
}

void ClusterView::Put(const StoreItem& aItem, UpdateSource aUpdateSource) {
  if (!this->entries.Put(aItem)) {
    return;
  }
  this->pendingRemovals.erase(aItem.key);
  auto decoded = this->decoder.DecodeUpstream(aItem.key, aItem.value);
  if (!decoded) {
    LogWarning("upstream_refused", {{"upstream", ShortKey(aItem.key)},
                                    {"revision", aItem.revision.number},
                                    {"reason", decoded.error().message}});
    // The upstream that the entry named before can no longer be relied on.
    this->refusedEntries += 1;
    this->invalidEntries.insert(aItem.key);
    this->Remove(aItem.key);
    return;
  }
  this->invalidEntries.erase(aItem.key);
  const bool isRestored = aUpdateSource == UpdateSource::RestoredList;
  if (isRestored) {
    this->KeepDraining(*decoded);
  }
  if (this->logsEach || decoded->state != Availability::Ready) {
    LogChanged(*decoded, aItem.revision);
  }
  this->directory.Put(std::move(*decoded), this->clock.Now());
  if (const UpstreamPtr upstream = this->directory.Find(aItem.key)) {
    if (isRestored) {
      this->QuarantineReturned(*upstream);
    }
    this->listener.OnUpstream(upstream);
  }
}

void ClusterView::PutAll(const std::vector<StoreItem>& aItems,
                         UpdateSource aUpdateSource, StoreRevision aAt) {
  this->logsEach = aItems.size() <= kMaxLoggedChanges;
  for (const StoreItem& item : aItems) {
    this->Put(item, aUpdateSource);
  }
  if (!this->logsEach) {
    LogInfo("upstreams_listed", {{"entries", aItems.size()},
                                 {"at", aAt.number},
                                 {"upstreams", this->directory.All().size()}});
  }
  this->logsEach = true;
}

Instant ClusterView::GraceEnd() const {
  return this->storeReturnedAt ? *this->storeReturnedAt + kReregistrationGrace
                               : this->clock.Now();
}

void ClusterView::ApplyPeerRemovals(const std::vector<std::string>& aIds,
                                    const ListUpdate& aUpdate) {
  if (aIds.empty()) {
    return;
  }
  const Instant now = this->clock.Now();
  // While the store is unreachable here, a peer may be the first to report that
  // it is back.
  const Instant localGraceEnd =
      this->isStoreReachable ? this->GraceEnd() : now + kReregistrationGrace;
  const Instant graceEnd = std::max(localGraceEnd, now + aUpdate.grace);
  const std::set<std::string> expired =
      graceEnd > now ? this->ExpiredDomains(aIds) : std::set<std::string>();
  const bool isRestored =
      this->UpdateSourceOf(aUpdate.at) == UpdateSource::RestoredList;
  for (const std::string& id : aIds) {
    const UpstreamPtr upstream = this->directory.Find(id);
    const bool mayHaveExpired =
        isRestored ||
        (upstream && expired.contains(upstream->Entry().failureDomain));
    this->OnEntryMissing(id, aUpdate.at, mayHaveExpired ? graceEnd : now);
  }
}

std::set<std::string> ClusterView::ExpiredDomains(
    const std::vector<std::string>& aIds) const {
  std::map<std::string, std::size_t> listedCounts;
  std::map<std::string, std::size_t> removedCounts;
  for (const auto& [id, upstream] : this->directory.All()) {
    listedCounts[upstream->Entry().failureDomain] += 1;
  }
  for (const std::string& id : aIds) {
    if (const UpstreamPtr upstream = this->directory.Find(id)) {
      removedCounts[upstream->Entry().failureDomain] += 1;
    }
  }
  std::set<std::string> expired;
  for (const auto& [domain, count] : removedCounts) {
    if (static_cast<double>(count) >=
        kMinExpiredShare * static_cast<double>(listedCounts[domain])) {
      expired.insert(domain);
    }
  }
  return expired;
}

void ClusterView::OnEntryMissing(const std::string& aId,
                                 StoreRevision aRevision, Instant aGraceEnd) {
  this->entries.Remove(aId, aRevision);
  this->invalidEntries.erase(aId);
  if (aGraceEnd > this->clock.Now()) {
    this->pendingRemovals.emplace(aId, aGraceEnd);
    return;
  }
  this->Remove(aId);
}

void ClusterView::Remove(const std::string& aId) {
  this->pendingRemovals.erase(aId);
  if (const UpstreamPtr upstream =
          this->directory.Remove(aId, this->clock.Now())) {
    LogInfo("upstream_gone", {{"upstream", aId},
                              {"address", upstream->Entry().address},
                              {"at", this->entries.At().number}});
    this->recentlyRemoved[upstream->Number()] = this->clock.Now();
    this->listener.OnUpstream(upstream);
  }
}

void ClusterView::OnUpstreams(const StoreRange& aRange) {
  if (aRange.at < this->entries.At()) {
    return;
  }
  this->UpdateEra(aRange.at);
  this->PutAll(aRange.items, this->UpdateSourceOf(aRange.at), aRange.at);
  for (const std::string& id : this->entries.AbsentFrom(aRange.items)) {
    this->OnEntryMissing(id, aRange.at, this->GraceEnd());
  }
  this->entries.OnFullRead(aRange.at);
}

void ClusterView::OnUpstreamUpdate(const ListUpdate& aUpdate) {
  if (!this->entries.ShouldApply(aUpdate)) {
    return;
  }
  this->UpdateEra(aUpdate.at);
  const UpdateSource source = this->UpdateSourceOf(aUpdate.at);
  this->ApplyPeerRemovals(this->entries.RemovedBy(aUpdate), aUpdate);
  this->PutAll(aUpdate.items, source, aUpdate.at);
  this->entries.FinishUpdate(aUpdate);
}

void ClusterView::OnUpstreamEvents(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    if (!event.isRemoved) {
      this->Put(event.item);
    } else if (!this->entries.HasNewer(event.item.key, event.item.revision)) {
      this->OnEntryMissing(event.item.key, event.item.revision,
                           this->GraceEnd());
    }
  }
  this->entries.AdvanceTo(aEvents.at);
}

void ClusterView::OnUpdate(const ClusterUpdate& aUpdate, Instant aQueriedAt) {
  if (!aUpdate.configText.empty()) {
    this->OnConfiguration({"", aUpdate.configText, aUpdate.configRevision},
                          aUpdate.configVersion);
    const bool isNewerAtPeer = aUpdate.configVersion > this->ConfigVersion();
    if (isNewerAtPeer && this->config.OnPeerConfiguration(
                             aUpdate.configText, aUpdate.configVersion)) {
      this->listener.OnConfiguration();
    }
  }
  if (aUpdate.validationAge) {
    this->OnValidated(aUpdate.configRevision,
                      aQueriedAt - *aUpdate.validationAge);
  }
  if (aUpdate.upstreams) {
    this->OnUpstreamUpdate(*aUpdate.upstreams);
  }
  if (aUpdate.daemons && this->daemons.OnUpdate(*aUpdate.daemons)) {
    this->listener.OnDaemonEntries();
  }
  const bool mayBeIncomplete =
      this->entries.MayBeIncomplete() || this->daemons.List().MayBeIncomplete();
  if (aUpdate.listsAge && !mayBeIncomplete) {
    this->OnListsValidated(aQueriedAt - *aUpdate.listsAge);
  }
}

void ClusterView::OnDaemons(const StoreRange& aRange) {
  this->UpdateEra(aRange.at);
  this->daemons.OnRange(aRange);
  this->listener.OnDaemonEntries();
}

void ClusterView::OnDaemonEvents(const StoreEvents& aEvents) {
  this->daemons.OnEvents(aEvents);
  if (!aEvents.events.empty()) {
    this->listener.OnDaemonEntries();
  }
}

void ClusterView::OnListsValidated(Instant aAt) {
  if (!this->listsValidatedAt || *this->listsValidatedAt < aAt) {
    this->listsValidatedAt = aAt;
  }
}

std::optional<Micros> ClusterView::ListsAge() const {
  if (!this->listsValidatedAt) {
    return std::nullopt;
  }
  return this->clock.Now() - *this->listsValidatedAt;
}

KnownRevisions ClusterView::Revisions() const {
  // Revisions of an earlier era mean nothing to the sender.
  const auto ofCurrentEra = [this](StoreRevision aRevision) {
    return aRevision.era == this->era ? aRevision : StoreRevision{};
  };
  return {this->AcceptedConfiguration(),
          ofCurrentEra(this->entries.QuerySince()),
          ofCurrentEra(this->daemons.List().QuerySince()),
          this->AcceptedConfigVersion()};
}

void ClusterView::OnStoreReachable(bool aReachable,
                                   const std::string& aReason) {
  if (aReachable == this->isStoreReachable) {
    return;
  }
  this->isStoreReachable = aReachable;
  if (aReachable) {
    this->storeReturnedAt = this->clock.Now();
    LogInfo("store_regained", {});
  } else {
    LogWarning("store_lost", {{"reason", aReason}});
  }
}

bool ClusterView::MayLackEntries() const {
  return !this->isStoreReachable || this->GraceEnd() > this->clock.Now();
}

void ClusterView::Tick() {
  const Instant now = this->clock.Now();
  std::vector<std::string> expired;
  for (const auto& [id, at] : this->pendingRemovals) {
    if (now >= at) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    this->Remove(id);
  }
  std::erase_if(this->recentlyRemoved, [now](const auto& aEntry) {
    return now - aEntry.second > kRemovedIncarnationTtl;
  });
  this->config.Tick();
}

ClusterUpdate ClusterView::UpdateFor(const KnownRevisions& aKnown) const {
  ClusterUpdate update;
  update.configRevision = this->ConfigStoreRevision();
  update.configVersion = this->ConfigVersion();
  update.validationAge = this->ConfigStoreRevision().IsNone()
                             ? std::nullopt
                             : this->ValidationAge();
  if (this->LacksConfigText(aKnown)) {
    update.configText = this->ConfigText();
  }
  // Lists of an earlier era are not sent.
  const bool hasCurrentUpstreams = this->entries.At().era == this->era;
  const bool hasCurrentDaemons = this->daemons.At().era == this->era;
  if (hasCurrentUpstreams && hasCurrentDaemons) {
    update.listsAge = this->ListsAge();
  }
  if (hasCurrentUpstreams && aKnown.upstreams < this->entries.At()) {
    update.upstreams = this->entries.UpdateSince(aKnown.upstreams);
    update.upstreams->grace = this->RemainingGrace();
  }
  if (hasCurrentDaemons && aKnown.daemons < this->daemons.At()) {
    update.daemons = this->daemons.List().UpdateSince(aKnown.daemons);
  }
  return update;
}

}  // namespace zincstep
