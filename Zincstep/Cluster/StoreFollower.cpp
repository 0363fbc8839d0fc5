#include "Zincstep/Cluster/StoreFollower.h"

#include <utility>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// The shortest wait of a watch, for one that only requests the changes so far.
constexpr Micros kNoWait = 1ms;

/// Removes the prefix from the keys, as the view expects.
StoreRange WithoutPrefix(StoreRange aRange, const std::string& aPrefix) {
  for (StoreItem& item : aRange.items) {
    item.key.erase(0, aPrefix.size());
  }
  return aRange;
}

void LogStaleReadFailed(const std::string& aPrefix, const Error& aError) {
  LogInfo("stale_read_failed",
          {{"prefix", aPrefix}, {"reason", aError.message}});
}

}  // namespace

PrefixFollower::PrefixFollower(asio::io_context& aLoop, AsyncStore& aStore,
                               const Clock& aClock, std::string aPrefix,
                               PrefixFollowerTiming aTiming, OnRange aOnRange,
                               OnEvents aOnEvents, OnCaughtUp aOnCaughtUp)
    : store(aStore),
      clock(aClock),
      prefix(std::move(aPrefix)),
      timing(aTiming),
      onRange(std::move(aOnRange)),
      onEvents(std::move(aOnEvents)),
      onCaughtUp(std::move(aOnCaughtUp)),
      timer(aLoop),
      backoff(aTiming.initialBackoff) {}

void PrefixFollower::BeginRound() {
  this->round += 1;
  this->isWatching = false;
  this->isWatchPending = false;
  this->isCatchingUp = false;
  this->hasMissedChanges = false;
}

void PrefixFollower::Restart() {
  this->BeginRound();
  this->isPaused = false;
  this->backoff = this->timing.initialBackoff;
  this->Read(this->round);
}

void PrefixFollower::Pause() {
  this->BeginRound();
  this->isPaused = true;
  this->timer.cancel();
}

void PrefixFollower::Read(std::uint64_t aRound) {
  this->store.Range(this->prefix, [this, aRound](Result<StoreRange> aRange) {
    if (aRound != this->round) {
      return;
    }
    if (!aRange) {
      this->RetryLater(aRound);
      return;
    }
    this->backoff = this->timing.initialBackoff;
    this->at = aRange->at;
    try {
      this->onRange(WithoutPrefix(std::move(*aRange), this->prefix));
      this->isWatching = true;
      this->onCaughtUp();
    } catch (const std::exception&) {
      this->RetryLater(aRound);
      throw;
    }
    this->Watch(aRound);
  });
}

void PrefixFollower::Watch(std::uint64_t aRound) {
  this->isWatchPending = true;
  this->store.Watch(
      this->prefix, this->at, this->timing.watchTimeout,
      [this, aRound,
       startedAt = this->clock.Now()](Result<StoreEvents> aEvents) {
        if (aRound == this->round) {
          this->OnWatchResult(aRound, startedAt, std::move(aEvents));
        }
      });
}

void PrefixFollower::OnWatchResult(std::uint64_t aRound, Instant aStartedAt,
                                   Result<StoreEvents> aEvents) {
  this->isWatchPending = false;
  if (!aEvents) {
    // A failed watch may have missed changes, whatever the reason.
    LogInfo("store_watch_lost",
            {{"prefix", this->prefix},
             {"waited_ms", (this->clock.Now() - aStartedAt) / 1ms},
             {"at", this->at.number},
             {"reason", aEvents.error().message}});
    this->RetryLater(aRound);
    return;
  }
  const bool hadChanges = !aEvents->events.empty();
  try {
    this->ApplyEvents(std::move(*aEvents));
  } catch (const std::exception&) {
    // Some of the changes may be missing: the list is read again.
    this->RetryLater(aRound);
    throw;
  }
  hadChanges ? this->WatchLater(aRound) : this->Watch(aRound);
}

void PrefixFollower::ApplyEvents(StoreEvents aEvents) {
  this->at = std::max(this->at, aEvents.at);
  for (StoreEvent& event : aEvents.events) {
    event.item.key.erase(0, this->prefix.size());
  }
  this->onEvents(std::move(aEvents));
  this->onCaughtUp();
}

void PrefixFollower::CatchUp(StoreRevision aRevision) {
  if (!this->isWatching || this->at >= aRevision || this->isCatchingUp) {
    return;
  }
  this->isCatchingUp = true;
  this->store.Watch(
      this->prefix, this->at, kNoWait,
      [this, aRound = this->round, aRevision](Result<StoreEvents> aEvents) {
        if (aRound == this->round) {
          this->OnCatchUpEvents(aRevision, std::move(aEvents));
        }
      });
}

void PrefixFollower::OnCatchUpEvents(StoreRevision aRevision,
                                     Result<StoreEvents> aEvents) {
  this->isCatchingUp = false;
  if (!aEvents) {
    if (aEvents.error().kind == ErrorKind::HistoryLost) {
      // The stalled watch may end later and must not start a read too.
      this->BeginRound();
      this->RetryLater(this->round);
    }
    return;  // The next validation requests them again.
  }
  const bool hasChanges = !aEvents->events.empty() && aEvents->at > this->at;
  const StoreRevision before = this->at;
  if (aEvents->events.empty()) {
    this->at = std::max(this->at, aRevision);
  }
  this->hasMissedChanges = this->hasMissedChanges || hasChanges;
  try {
    this->ApplyEvents(std::move(*aEvents));
  } catch (const std::exception&) {
    this->BeginRound();
    this->RetryLater(this->round);
    throw;
  }
  if (hasChanges && this->at < aRevision) {
    this->CatchUp(aRevision);  // The response may hold only the first changes.
    return;
  }
  if (std::exchange(this->hasMissedChanges, false) && this->isWatchPending) {
    LogInfo("store_watch_replaced", {{"prefix", this->prefix},
                                     {"watch_at", before.number},
                                     {"at", this->at.number}});
    this->BeginRound();
    this->isWatching = true;
    this->Watch(this->round);
  }
}

void PrefixFollower::WatchLater(std::uint64_t aRound) {
  this->timer.expires_after(this->timing.batchDelay);
  this->timer.async_wait([this, aRound](const asio::error_code& aError) {
    if (!aError && aRound == this->round) {
      this->Watch(aRound);
    }
  });
}

void PrefixFollower::RetryLater(std::uint64_t aRound) {
  this->isWatching = false;
  this->timer.expires_after(this->backoff);
  this->backoff = std::min(this->backoff * 2, this->timing.maxBackoff);
  this->timer.async_wait([this, aRound](const asio::error_code& aError) {
    if (!aError && aRound == this->round) {
      this->Read(aRound);
    }
  });
}

StoreFollower::StoreFollower(asio::io_context& aLoop, AsyncStore& aStore,
                             StoreFollowerSettings aSettings,
                             ClusterView& aView, const Clock& aClock)
    : settings(std::move(aSettings)),
      store(aStore),
      view(aView),
      clock(aClock),
      validationTimer(aLoop),
      bootstrapTimer(aLoop),
      upstreams(
          aLoop, aStore, aClock, this->settings.keys.upstreams,
          this->settings.upstreamTiming,
          [this](const StoreRange& aRange) { this->view.OnUpstreams(aRange); },
          [this](const StoreEvents& aEvents) {
            this->RecordObserved(aEvents);
            this->view.OnUpstreamEvents(aEvents);
          },
          [this] { this->ValidateLists(); }),
      daemons(
          aLoop, aStore, aClock, this->settings.keys.daemons,
          this->settings.daemonTiming,
          [this](const StoreRange& aRange) { this->view.OnDaemons(aRange); },
          [this](const StoreEvents& aEvents) {
            this->RecordObserved(aEvents);
            this->view.OnDaemonEvents(aEvents);
          },
          [this] { this->ValidateLists(); }) {
  this->upstreams.Pause();
  this->daemons.Pause();
}

void StoreFollower::Start(bool aPeersFirst) {
  if (aPeersFirst) {
    this->awaitingPeersSince = this->clock.Now();
    this->ReadBootstrapDaemons();
  }
  this->Validate();
}

void StoreFollower::ReadBootstrapDaemons() {
  const std::string& prefix = this->settings.keys.domainDaemons;
  this->store.RangeStale(
      prefix, StalePages::All, [this, prefix](Result<StoreRange> aRange) {
        if (!aRange) {
          LogStaleReadFailed(prefix, aRange.error());
          this->OnBootstrap({});
          return;
        }
        this->OnBootstrap(
            WithoutPrefix(std::move(*aRange), this->settings.keys.daemons)
                .items);
      });
}

void StoreFollower::OnBootstrap(const std::vector<StoreItem>& aDaemons) {
  const bool knowsPeers = !this->onBootstrap || this->onBootstrap(aDaemons);
  if (this->MayQueryStore()) {
    this->ReadStaleUpstreams();
    this->Validate();
    return;
  }
  if (knowsPeers) {
    return;
  }
  this->bootstrapTimer.expires_after(this->settings.bootstrapInterval);
  this->bootstrapTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->ReadBootstrapDaemons();
    }
  });
}

void StoreFollower::ReadStaleUpstreams() {
  const std::string& prefix = this->settings.keys.upstreams;
  const bool readsAll = this->Rank() < this->settings.listReaders;
  this->store.RangeStale(
      prefix, readsAll ? StalePages::All : StalePages::First,
      [this, prefix](Result<StoreRange> aRange) {
        if (!aRange) {
          LogStaleReadFailed(prefix, aRange.error());
        } else if (aRange->isComplete) {
          this->view.OnUpstreams(WithoutPrefix(std::move(*aRange), prefix));
        }
      });
}

bool StoreFollower::WaitsForPeers() const {
  if (!this->awaitingPeersSince || !this->HasSyncSource()) {
    return false;
  }
  const Micros elapsed = this->clock.Now() - *this->awaitingPeersSince;
  const auto rank = static_cast<std::int64_t>(this->Rank());
  const Micros timeout = this->IsFresh() ? this->settings.maxStartWait
                                         : this->settings.syncSourceTimeout;
  return elapsed < timeout + rank * this->settings.syncTimeoutStep;
}

bool StoreFollower::IsFresh() const {
  const auto validation = this->view.ValidationAge();
  const auto lists = this->view.ListsAge();
  // Before the first validation only the lists count.
  return lists && *lists <= this->settings.maxSyncStaleness &&
         (!validation || *validation <= this->settings.maxSyncStaleness);
}

bool StoreFollower::IsSyncingFromPeer() const {
  return this->hasFreshSyncSource && this->hasFreshSyncSource() &&
         this->IsFresh();
}

void StoreFollower::FollowLists(bool aShouldFollow) {
  // While the store does not respond, only validations call it, to detect its
  // return; then all is read again.
  const bool shouldFollow = aShouldFollow && this->isStoreReachable;
  for (PrefixFollower* follower : {&this->upstreams, &this->daemons}) {
    if (!shouldFollow && !follower->IsPaused()) {
      follower->Pause();
    } else if (shouldFollow && follower->IsPaused()) {
      follower->Restart();
    }
  }
}

void StoreFollower::Validate() {
  const bool isSyncing = this->IsSyncingFromPeer();
  if (isSyncing || !this->MayQueryStore()) {
    if (isSyncing && !this->isStoreReachable) {
      this->SetStoreReachable(StoreCommit{});  // The peer reaches it.
    }
    this->FollowLists(false);
    this->ValidateAfter(this->settings.syncCheckInterval);
    return;
  }
  if (this->isValidating) {
    return;
  }
  this->isValidating = true;
  StoreChange check;
  check.key = this->settings.keys.configuration;
  check.expected = this->view.AcceptedConfiguration();
  const StoreRevision checked = check.expected;
  const Instant startedAt = this->clock.Now();
  this->store.Commit(std::move(check), [this, checked, startedAt](
                                           Result<StoreCommit> aResult) {
    this->isValidating = false;
    // First: an exception must not end the validations.
    this->ValidateAfter(this->settings.validationInterval);
    this->OnValidationResult(checked, startedAt, std::move(aResult));
  });
}

void StoreFollower::OnValidationResult(StoreRevision aChecked,
                                       Instant aStartedAt,
                                       Result<StoreCommit> aResult) {
  if (!aResult && aResult.error().kind == ErrorKind::StoreRestored) {
    this->ValidateAfter(Micros{0});
    return;
  }
  this->SetStoreReachable(aResult);
  // Lists are read only from a store that has just responded. When the reads
  // started together with the validation, 406 of them failed in an outage of
  // eight seconds (295 daemons).
  this->FollowLists(aResult && !this->IsSyncingFromPeer() &&
                    this->MayQueryStore() && !this->WaitsForPeers());
  Micros delay =
      aResult ? this->settings.validationInterval : this->UnreachableInterval();
  if (aResult && aResult->done) {
    this->view.OnValidated(aChecked, aStartedAt);
    this->OnStoreState({aResult->revision, aStartedAt});
  } else if (aResult && aResult->present) {
    this->view.OnConfiguration(*aResult->present);
    this->view.OnValidated(aResult->present->revision, aStartedAt);
    this->observed.Add(aResult->present->revision);
    if (this->view.AcceptedConfiguration() > aChecked) {
      delay = Micros{0};  // This response does not hold the store's revision.
    }
  }
  if (!this->view.Table()) {
    delay = this->settings.initialBackoff;
  }
  const Micros elapsed = this->clock.Now() - aStartedAt;
  this->ValidateAfter(std::max<Micros>(
      delay - elapsed, aResult ? Micros{0} : this->settings.initialBackoff));
}

void StoreFollower::OnRestored() {
  this->observed = ObservedChanges{};
  this->lastState.reset();
  if (this->HasSyncSource()) {
    // One daemon of the domain reads for all; its updates are of the new era.
    this->awaitingPeersSince = this->clock.Now();
  }
  for (PrefixFollower* follower : {&this->upstreams, &this->daemons}) {
    if (!follower->IsPaused()) {
      follower->Restart();
    }
  }
  this->ValidateAfter(Micros{0});
}

void StoreFollower::OnStoreState(StoreState aState) {
  this->lastState = aState;
  this->SkipObserved();
  this->ValidateLists();
  this->upstreams.CatchUp(aState.revision);
  this->daemons.CatchUp(aState.revision);
}

void StoreFollower::RecordObserved(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    this->observed.Add(event.item.revision);
  }
}

void StoreFollower::SkipObserved() {
  // Saves a catch-up call under the other prefix after each change: 120 of 980
  // calls to the store while the configuration changed often.
  for (PrefixFollower* follower : {&this->upstreams, &this->daemons}) {
    follower->SkipTo(this->observed.LastContiguous(follower->At()));
  }
  this->observed.DiscardUpTo(
      std::min(this->upstreams.At(), this->daemons.At()));
}

void StoreFollower::ValidateLists() {
  // A store that responds does not show that the watches work. On a connection
  // that had stalled, one delivered nothing for 6.7 s, and lists that were
  // reported as fresh all along held four upstreams that were gone.
  if (this->lastState &&
      this->upstreams.IsCompleteTo(this->lastState->revision) &&
      this->daemons.IsCompleteTo(this->lastState->revision)) {
    this->view.OnListsValidated(this->lastState->at);
  }
}

Micros StoreFollower::UnreachableInterval() const {
  // Lower-ranked daemons call less often, the more daemons rank higher.
  const auto share = static_cast<std::int64_t>(1 + this->Rank());
  return std::min(share * this->settings.validationInterval,
                  this->settings.maxValidationInterval);
}

void StoreFollower::ValidateAfter(Micros aDelay) {
  this->validationTimer.expires_after(aDelay);
  this->validationTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Validate();
    }
  });
}

void StoreFollower::SetStoreReachable(const Result<StoreCommit>& aResult) {
  if (aResult && !this->isStoreReachable && this->HasSyncSource()) {
    // A partitioned domain has reached the store again: one of its daemons
    // reads for all.
    this->awaitingPeersSince = this->clock.Now();
  }
  this->isStoreReachable = aResult.has_value();
  this->view.OnStoreReachable(this->isStoreReachable,
                              aResult ? "" : aResult.error().message);
}

}  // namespace zincstep
