#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Cluster/ObservedChanges.h"

namespace zincstep {

/// Store keys that daemons follow.
struct ClusterKeys {
  /// Key of the configuration.
  std::string configuration;
  /// Prefix of upstreams' entries, followed by the upstream's id.
  std::string upstreams;
  /// Prefix of daemons' entries.
  std::string daemons;
  /// Prefix of the entries of daemons in this failure domain.
  std::string domainDaemons;
};

/// Timing of a prefix follower.
struct PrefixFollowerTiming {
  /// Maximum wait of one watch call.
  Micros watchTimeout = 6s;
  /// Delay before the next watch after one that returned changes, to gather
  /// changes into fewer calls.
  Micros batchDelay = 200ms;
  Micros initialBackoff = 150ms;
  Micros maxBackoff = 1s;
};

/// Settings of a store follower.
struct StoreFollowerSettings {
  ClusterKeys keys;
  /// Interval between validations of the configuration; well under the time
  /// within which a new one must be active everywhere.
  Micros validationInterval = 700ms;
  /// While a peer validates for this daemon and sends it the lists, their
  /// staleness is checked at this interval. The daemon queries the store itself
  /// once either is older than `maxSyncStaleness`: one validation and its
  /// delivery, up to 1.2 s with the query intervals, are then overdue.
  Micros syncCheckInterval = 150ms;
  Micros maxSyncStaleness = 1350ms;
  /// A daemon that may query the store when it starts or reaches the store
  /// again leaves the lists to its sync source. If it has not received them
  /// after this time, it reads them itself. Two queries to the sync source and
  /// the source's own reads take less.
  Micros syncSourceTimeout = 1200ms;
  /// The same timeout while peers already respond but no sync source is current
  /// yet.
  Micros maxStartWait = 3s;
  /// Added to the timeout for each daemon of the domain that ranks higher.
  Micros syncTimeoutStep = 20ms;
  /// Number of daemons per failure domain that read the upstreams' list at
  /// start however long it is; the others leave a long list to them. When 300
  /// daemons that started together each read the 1.4 MB of 3,000 upstreams, all
  /// reads timed out repeatedly and no requests were served for 5 to 30 s.
  std::size_t listReaders = 3;
  /// For the upstreams' entries. Each wait is a call, and changes often come in
  /// series. A lost response shows at the next validation, not only at the end
  /// of the wait.
  PrefixFollowerTiming upstreamTiming{6s, 200ms, 150ms, 1s};
  /// For the daemons' entries, which change seldom and where late changes cost
  /// little.
  PrefixFollowerTiming daemonTiming{15s, 1s, 150ms, 1s};
  Micros initialBackoff = 150ms;
  /// Maximum interval between calls of one daemon while the store does not
  /// respond.
  Micros maxValidationInterval = 5600ms;
  /// Interval between reads of the domain's daemons while none is known.
  Micros bootstrapInterval = 500ms;
};

/// Follows all items under one prefix: reads them once, then watches.
///
/// The connection of a watch may stall for good. Callers that learn in another
/// way that the store has changed call `CatchUp`.
class PrefixFollower {
 public:
  using OnRange = std::function<void(StoreRange)>;
  using OnEvents = std::function<void(StoreEvents)>;
  /// Called after each step that may have made more of the store's changes
  /// known.
  using OnCaughtUp = std::function<void()>;

  PrefixFollower(asio::io_context& aLoop, AsyncStore& aStore,
                 const Clock& aClock, std::string aPrefix,
                 PrefixFollowerTiming aTiming, OnRange aOnRange,
                 OnEvents aOnEvents, OnCaughtUp aOnCaughtUp);

  /// Reads all items again; responses to earlier calls are ignored.
  void Restart();
  /// Makes no calls until the next restart.
  void Pause();
  bool IsPaused() const { return this->isPaused; }
  /// Reports that the store has reached a revision. If the watch has not
  /// delivered changes up to it, requests them on a separate connection and
  /// replaces a watch that should have delivered them.
  void CatchUp(StoreRevision aRevision);
  /// Advances to a revision up to which no change under the prefix is missing.
  void SkipTo(StoreRevision aRevision) {
    this->at = std::max(this->at, aRevision);
  }
  /// Store revision up to which all changes are known.
  StoreRevision At() const { return this->at; }
  /// Whether all changes up to a store revision are known.
  bool IsCompleteTo(StoreRevision aRevision) const {
    return this->isWatching && this->at >= aRevision;
  }

 private:
  /// Starts a new round; responses to calls of earlier rounds are ignored.
  void BeginRound();
  void Read(std::uint64_t aRound);
  void Watch(std::uint64_t aRound);
  void OnWatchResult(std::uint64_t aRound, Instant aStartedAt,
                     Result<StoreEvents> aEvents);
  /// Handles the response to a call of `CatchUp`.
  void OnCatchUpEvents(StoreRevision aRevision, Result<StoreEvents> aEvents);
  void ApplyEvents(StoreEvents aEvents);
  void RetryLater(std::uint64_t aRound);
  void WatchLater(std::uint64_t aRound);

  AsyncStore& store;
  const Clock& clock;
  std::string prefix;
  PrefixFollowerTiming timing;
  OnRange onRange;
  OnEvents onEvents;
  OnCaughtUp onCaughtUp;
  asio::steady_timer timer;
  /// Rises with each restart; identifies late responses.
  std::uint64_t round = 0;
  StoreRevision at;
  Micros backoff;
  bool isPaused = false;
  /// All items are read, and a watch is running or about to start.
  bool isWatching = false;
  /// A watch call awaits its response.
  bool isWatchPending = false;
  bool isCatchingUp = false;
  /// `CatchUp` returned changes that the watch did not deliver.
  bool hasMissedChanges = false;
};

/// Keeps a cluster view current: follows the lists and validates their
/// freshness and that of the configuration.
class StoreFollower {
 public:
  StoreFollower(asio::io_context& aLoop, AsyncStore& aStore,
                StoreFollowerSettings aSettings, ClusterView& aView,
                const Clock& aClock);

  /// Starts following. With `aPeersFirst` there may be peers that know the
  /// lists or read them for this daemon: the domain's daemons are then read by
  /// a stale read, and so are the upstreams if the list is short.
  void Start(bool aPeersFirst);

  /// Sets the function that returns whether a peer queries the store for this
  /// daemon too.
  void SetHasFreshSyncSource(std::function<bool()> aHasFreshSyncSource) {
    this->hasFreshSyncSource = std::move(aHasFreshSyncSource);
  }
  /// Sets the function that returns whether this daemon is to query the store
  /// if no peer does so for it.
  void SetMayQueryStore(std::function<bool()> aMayQueryStore) {
    this->mayQueryStore = std::move(aMayQueryStore);
  }
  /// Sets the function that returns whether some peer would send updates once
  /// the store responds.
  void SetHasSyncSource(std::function<bool()> aHasSyncSource) {
    this->hasSyncSource = std::move(aHasSyncSource);
  }
  /// Sets the function that returns how many daemons of this failure domain
  /// rank higher.
  void SetRank(std::function<std::size_t()> aRank) {
    this->rank = std::move(aRank);
  }
  /// Called with the domain's daemons from a stale read; returns whether any
  /// are known now, from whatever source.
  using OnBootstrapDaemons = std::function<bool(const std::vector<StoreItem>&)>;
  void SetOnBootstrapDaemons(OnBootstrapDaemons aOnBootstrap) {
    this->onBootstrap = std::move(aOnBootstrap);
  }
  /// Whether this daemon reads and watches the store itself.
  bool IsDirect() const { return !this->daemons.IsPaused(); }
  /// The store was restored from a backup: reads and watches start again, and
  /// pending calls are void.
  void OnRestored();

 private:
  /// A revision of the store and the time at which it was current.
  struct StoreState {
    StoreRevision revision;
    Instant at;
  };

  /// Reads the domain's daemons until any are known.
  void ReadBootstrapDaemons();
  void OnBootstrap(const std::vector<StoreItem>& aDaemons);
  /// Reads the upstreams with a stale read as a base for peers' updates. Only
  /// the domain's highest-ranked daemons read more than one page.
  void ReadStaleUpstreams();
  std::size_t Rank() const { return this->rank ? this->rank() : 0; }
  bool MayQueryStore() const {
    return !this->mayQueryStore || this->mayQueryStore();
  }
  bool HasSyncSource() const {
    return this->hasSyncSource && this->hasSyncSource();
  }
  void Validate();
  bool IsSyncingFromPeer() const;
  /// Whether the known state is fresh enough to leave the store to a peer.
  bool IsFresh() const;
  /// Whether this daemon has just started or reached the store again and still
  /// waits for its peers' responses.
  bool WaitsForPeers() const;
  /// Follows the lists, or leaves them to a peer.
  void FollowLists(bool aShouldFollow);
  void ValidateAfter(Micros aDelay);
  /// Interval between calls while the store does not respond.
  Micros UnreachableInterval() const;
  void OnValidationResult(StoreRevision aChecked, Instant aStartedAt,
                          Result<StoreCommit> aResult);
  void OnStoreState(StoreState aState);
  void RecordObserved(const StoreEvents& aEvents);
  /// Skips revisions observed under the other prefix or of the configuration: a
  /// change under one is none under the other.
  void SkipObserved();
  /// Marks the lists as validated if they are complete up to the store's
  /// revision at the last validation.
  void ValidateLists();
  void SetStoreReachable(const Result<StoreCommit>& aResult);

  StoreFollowerSettings settings;
  AsyncStore& store;
  ClusterView& view;
  const Clock& clock;
  asio::steady_timer validationTimer;
  asio::steady_timer bootstrapTimer;
  std::function<bool()> hasFreshSyncSource;
  std::function<bool()> mayQueryStore;
  std::function<bool()> hasSyncSource;
  std::function<std::size_t()> rank;
  OnBootstrapDaemons onBootstrap;
  PrefixFollower upstreams;
  PrefixFollower daemons;
  /// Changes of both prefixes and of the configuration.
  ObservedChanges observed;
  /// State of the store at the last validation.
  std::optional<StoreState> lastState;
  bool isStoreReachable = true;
  bool isValidating = false;
  /// When the wait for the peers' lists began; none if not waiting.
  std::optional<Instant> awaitingPeersSince;
};

}  // namespace zincstep
