#include "Zincstep/Cluster/StoreFollower.h"

#include <utility>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Wait of a watch that asks for what is new by now, the shortest there is.
constexpr Micros kNoWait = 1ms;

/// A list with its keys as the view has them.
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
                               PrefixFollowerTiming aPauses, OnRange aOnRange,
                               OnEvents aOnEvents, OnCaughtUp aOnCaughtUp)
    : store(aStore),
      clock(aClock),
      prefix(std::move(aPrefix)),
      pauses(aPauses),
      onRange(std::move(aOnRange)),
      onEvents(std::move(aOnEvents)),
      onCaughtUp(std::move(aOnCaughtUp)),
      timer(aLoop),
      retry(aPauses.initialBackoff) {}

void PrefixFollower::BeginRound() {
  this->round += 1;
  this->isWatching = false;
  this->isWaiting = false;
  this->isCatchingUp = false;
  this->hasMissed = false;
}

void PrefixFollower::Restart() {
  this->BeginRound();
  this->isPaused = false;
  this->retry = this->pauses.initialBackoff;
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
    this->retry = this->pauses.initialBackoff;
    this->at = aRange->at;
    this->onRange(WithoutPrefix(std::move(*aRange), this->prefix));
    this->isWatching = true;
    this->onCaughtUp();
    this->Watch(aRound);
  });
}

void PrefixFollower::Watch(std::uint64_t aRound) {
  this->isWaiting = true;
  this->store.Watch(
      this->prefix, this->at, this->pauses.watchWait,
      [this, aRound, began = this->clock.Now()](Result<StoreEvents> aEvents) {
        if (aRound == this->round) {
          this->OnWatched(aRound, began, std::move(aEvents));
        }
      });
}

void PrefixFollower::OnWatched(std::uint64_t aRound, Instant aBegan,
                               Result<StoreEvents> aEvents) {
  this->isWaiting = false;
  if (!aEvents) {
    // A cut watch may have missed changes, whatever the reason.
    LogInfo("store_watch_lost",
            {{"prefix", this->prefix},
             {"waited_ms", (this->clock.Now() - aBegan) / 1ms},
             {"at", this->at.number},
             {"reason", aEvents.error().message}});
    this->RetryLater(aRound);
    return;
  }
  const bool hadNews = !aEvents->events.empty();
  this->Take(std::move(*aEvents));
  hadNews ? this->WatchLater(aRound) : this->Watch(aRound);
}

void PrefixFollower::Take(StoreEvents aEvents) {
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
          this->OnMissed(aRevision, std::move(aEvents));
        }
      });
}

void PrefixFollower::OnMissed(StoreRevision aRevision,
                              Result<StoreEvents> aEvents) {
  this->isCatchingUp = false;
  if (!aEvents) {
    if (aEvents.error().kind == ErrorKind::HistoryLost) {
      // The watch that should have told may end later: it must not read too.
      this->BeginRound();
      this->RetryLater(this->round);
    }
    return;  // The next proof asks again.
  }
  const bool isNews = !aEvents->events.empty() && aEvents->at > this->at;
  const StoreRevision before = this->at;
  if (aEvents->events.empty()) {
    this->at = std::max(this->at, aRevision);
  }
  this->hasMissed = this->hasMissed || isNews;
  this->Take(std::move(*aEvents));
  if (isNews && this->at < aRevision) {
    this->CatchUp(aRevision);  // The answer may hold the first changes alone.
    return;
  }
  if (std::exchange(this->hasMissed, false) && this->isWaiting) {
    LogInfo("store_watch_replaced", {{"prefix", this->prefix},
                                     {"watch_at", before.number},
                                     {"at", this->at.number}});
    this->BeginRound();
    this->isWatching = true;
    this->Watch(this->round);
  }
}

void PrefixFollower::WatchLater(std::uint64_t aRound) {
  this->timer.expires_after(this->pauses.gather);
  this->timer.async_wait([this, aRound](const asio::error_code& aError) {
    if (!aError && aRound == this->round) {
      this->Watch(aRound);
    }
  });
}

void PrefixFollower::RetryLater(std::uint64_t aRound) {
  this->isWatching = false;
  this->timer.expires_after(this->retry);
  this->retry = std::min(this->retry * 2, this->pauses.maxBackoff);
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
          this->settings.upstreamPauses,
          [this](const StoreRange& aRange) { this->view.OnUpstreams(aRange); },
          [this](const StoreEvents& aEvents) {
            this->NoteTold(aEvents);
            this->view.OnUpstreamEvents(aEvents);
          },
          [this] { this->ValidateLists(); }),
      own(
          aLoop, aStore, aClock, this->settings.keys.daemons,
          this->settings.ownPauses,
          [this](const StoreRange& aRange) { this->view.OnDaemons(aRange); },
          [this](const StoreEvents& aEvents) {
            this->NoteTold(aEvents);
            this->view.OnDaemonEvents(aEvents);
          },
          [this] { this->ValidateLists(); }) {
  this->upstreams.Pause();
  this->own.Pause();
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
  if (this->MayAsk()) {
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
  const Micros waited = this->clock.Now() - *this->awaitingPeersSince;
  const auto rank = static_cast<std::int64_t>(this->Rank());
  const Micros patience = this->IsFresh() ? this->settings.maxStartWait
                                          : this->settings.syncSourceTimeout;
  return waited < patience + rank * this->settings.syncTimeoutStep;
}

bool StoreFollower::IsFresh() const {
  const auto proof = this->view.ValidationAge();
  const auto lists = this->view.ListsAge();
  // Before the first proof the lists count alone.
  return lists && *lists <= this->settings.maxSyncStaleness &&
         (!proof || *proof <= this->settings.maxSyncStaleness);
}

bool StoreFollower::IsSyncingFromPeer() const {
  return this->hasFreshSyncSource && this->hasFreshSyncSource() &&
         this->IsFresh();
}

void StoreFollower::FollowLists(bool aFollows) {
  // While the store does not answer, one kind of call finds out when it does
  // again; all is read anew then.
  const bool reads = aFollows && this->isReached;
  for (PrefixFollower* follower : {&this->upstreams, &this->own}) {
    if (!reads && !follower->IsPaused()) {
      follower->Pause();
    } else if (reads && follower->IsPaused()) {
      follower->Restart();
    }
  }
}

void StoreFollower::Validate() {
  const bool relies = this->IsSyncingFromPeer();
  if (relies || !this->MayAsk()) {
    if (relies && !this->isReached) {
      this->SetReached(StoreCommit{});  // By the peer that asks it.
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
  check.expected = this->view.ConfigStoreRevision();
  const StoreRevision checked = check.expected;
  const Instant began = this->clock.Now();
  this->store.Commit(
      std::move(check), [this, checked, began](Result<StoreCommit> aResult) {
        this->isValidating = false;
        this->OnValidationResult(checked, began, std::move(aResult));
      });
}

void StoreFollower::OnValidationResult(StoreRevision aChecked, Instant aBegan,
                                       Result<StoreCommit> aResult) {
  if (!aResult && aResult.error().kind == ErrorKind::StoreRestored) {
    this->ValidateAfter(Micros{0});
    return;
  }
  this->SetReached(aResult);
  // Lists are read only from a store that has just answered: begun beside the
  // proof, 406 reads were in vain in an outage of eight seconds (295 daemons).
  this->FollowLists(aResult && !this->IsSyncingFromPeer() && this->MayAsk() &&
                    !this->WaitsForPeers());
  Micros pause =
      aResult ? this->settings.validationInterval : this->PauseWhileAway();
  if (aResult && aResult->done) {
    this->view.OnValidated(aChecked, aBegan);
    this->OnStoreState({aResult->revision, aBegan});
  } else if (aResult && aResult->present) {
    this->view.OnConfiguration(*aResult->present);
    this->view.OnValidated(aResult->present->revision, aBegan);
    this->told.Add(aResult->present->revision);
    if (this->view.ConfigStoreRevision() > aChecked) {
      pause = Micros{0};  // This proof has not told the store's revision.
    }
  }
  if (!this->view.Table()) {
    pause = this->settings.initialBackoff;
  }
  const Micros taken = this->clock.Now() - aBegan;
  this->ValidateAfter(std::max<Micros>(
      pause - taken, aResult ? Micros{0} : this->settings.initialBackoff));
}

void StoreFollower::OnRestored() {
  this->told = ObservedChanges{};
  this->lastState.reset();
  if (this->HasSyncSource()) {
    // One daemon of the domain reads for all; what it tells is of the new era.
    this->awaitingPeersSince = this->clock.Now();
  }
  for (PrefixFollower* follower : {&this->upstreams, &this->own}) {
    if (!follower->IsPaused()) {
      follower->Restart();
    }
  }
  this->ValidateAfter(Micros{0});
}

void StoreFollower::OnStoreState(StoreState aState) {
  this->lastState = aState;
  this->SkipTold();
  this->ValidateLists();
  this->upstreams.CatchUp(aState.revision);
  this->own.CatchUp(aState.revision);
}

void StoreFollower::NoteTold(const StoreEvents& aEvents) {
  for (const StoreEvent& event : aEvents.events) {
    this->told.Add(event.item.revision);
  }
}

void StoreFollower::SkipTold() {
  // Saves the question for what is new under the other prefix after each
  // change, 120 of 980 calls of the store on a day with many changes.
  for (PrefixFollower* follower : {&this->upstreams, &this->own}) {
    follower->SkipTo(this->told.LastContiguous(follower->At()));
  }
  this->told.DiscardUpTo(std::min(this->upstreams.At(), this->own.At()));
}

void StoreFollower::ValidateLists() {
  // That the store answers does not show that the watches do: on a connection
  // that had fallen silent one told nothing for 6.7 s, and lists that were
  // called fresh all along held four upstreams that were gone.
  if (this->lastState && this->upstreams.Knows(this->lastState->revision) &&
      this->own.Knows(this->lastState->revision)) {
    this->view.OnListsValidated(this->lastState->at);
  }
}

Micros StoreFollower::PauseWhileAway() const {
  // Daemons after the first ask the less often the more ask before them.
  const auto share = static_cast<std::int64_t>(1 + this->Rank());
  return std::min(share * this->settings.validationInterval,
                  this->settings.maxValidationInterval);
}

void StoreFollower::ValidateAfter(Micros aPause) {
  this->validationTimer.expires_after(aPause);
  this->validationTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Validate();
    }
  });
}

void StoreFollower::SetReached(const Result<StoreCommit>& aAnswer) {
  if (aAnswer && !this->isReached && this->HasSyncSource()) {
    // A domain that was cut off is back: one of its daemons reads for all.
    this->awaitingPeersSince = this->clock.Now();
  }
  this->isReached = aAnswer.has_value();
  this->view.OnStoreReachable(this->isReached,
                              aAnswer ? "" : aAnswer.error().message);
}

}  // namespace zincstep
