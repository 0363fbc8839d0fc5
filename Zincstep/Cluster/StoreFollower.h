#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Cluster/ObservedChanges.h"

namespace zincstep {

/// Keys of the store that hold what daemons follow.
struct ClusterKeys {
  /// The configuration.
  std::string configuration;
  /// Prefix of upstreams' entries; what follows is the id.
  std::string upstreams;
  /// Prefix under which daemons keep entries of their own.
  std::string daemons;
  /// What the entries of this failure domain's daemons begin with.
  std::string domainDaemons;
};

/// How long the follower of a prefix waits for what.
struct PrefixFollowerTiming {
  /// Longest wait of one watch.
  Micros watchWait = 6s;
  /// Pause before the next watch after one that told of changes.
  Micros gather = 200ms;
  Micros initialBackoff = 150ms;
  Micros maxBackoff = 1s;
};

/// Settings of a store follower.
struct StoreFollowerSettings {
  ClusterKeys keys;
  /// Time between proofs that the configuration is the newest one: well
  /// under the time within which one must be in force everywhere.
  Micros validationInterval = 700ms;
  /// While a peer proves for this daemon and tells it the lists, it looks
  /// this often whether that goes on, and asks the store by itself once
  /// either is older than `maxSyncStaleness`: one proof and its way (up to 1.2
  /// s with the pauses between questions) are overdue then.
  Micros syncCheckInterval = 150ms;
  Micros maxSyncStaleness = 1350ms;
  /// A daemon that may ask the store as it starts, or that reaches it again,
  /// leaves the lists to its teller. Where that has not told them by then it
  /// reads them itself: two questions to the teller and the teller's own
  /// reading take less.
  Micros syncSourceTimeout = 1200ms;
  /// The same where peers do answer, but not yet the one to rely on.
  Micros maxStartWait = 3s;
  /// So much later than the one before it does a daemon read the lists by
  /// itself.
  Micros syncTimeoutStep = 20ms;
  /// Daemons of a failure domain that read the upstreams' list however long it
  /// is when they start; the others leave a long one to them. When 300 that
  /// started together each read the 1.4 MB of 3,000 upstreams, all reads ran
  /// out of time, again and again, and nothing was served for 5 to 30 s.
  std::size_t listReaders = 3;
  /// Upstreams' entries: each wait is a call; changes often come in series.
  /// That an answer is lost shows in the next proof, not at the end of the
  /// wait.
  PrefixFollowerTiming upstreamPauses{6s, 200ms, 150ms, 1s};
  /// The daemons' own entries change seldom, and late news of them costs
  /// little.
  PrefixFollowerTiming ownPauses{15s, 1s, 150ms, 1s};
  Micros initialBackoff = 150ms;
  /// Longest pause between questions of one daemon while the store does not
  /// answer.
  Micros maxValidationInterval = 5600ms;
  /// Between reads of the domain's daemons while none is known.
  Micros bootstrapInterval = 500ms;
};

/// Follows all items under one prefix: reads them, then watches.
///
/// The connection of a watch may fall silent for good. Whoever hears in another
/// way that the store has changed calls `CatchUp`.
class PrefixFollower {
 public:
  using OnRange = std::function<void(StoreRange)>;
  using OnEvents = std::function<void(StoreEvents)>;
  /// More of the store's changes are known than before.
  using OnCaughtUp = std::function<void()>;

  PrefixFollower(asio::io_context& aLoop, AsyncStore& aStore,
                 const Clock& aClock, std::string aPrefix,
                 PrefixFollowerTiming aPauses, OnRange aOnRange,
                 OnEvents aOnEvents, OnCaughtUp aOnCaughtUp);

  /// Reads all anew; answers to earlier calls are passed over.
  void Restart();
  /// Makes no calls until the next restart.
  void Pause();
  bool IsPaused() const { return this->isPaused; }
  /// The store has reached a revision: where the watch has not told up to
  /// there, asks on a connection of its own for what is missing. A watch that
  /// should have told it is replaced.
  void CatchUp(StoreRevision aRevision);
  /// No change under the prefix lies between what is known and `aRevision`.
  void SkipTo(StoreRevision aRevision) {
    this->at = std::max(this->at, aRevision);
  }
  /// All changes up to this revision of the store are known.
  StoreRevision At() const { return this->at; }
  /// Whether all changes up to a revision of the store are known.
  bool Knows(StoreRevision aRevision) const {
    return this->isWatching && this->at >= aRevision;
  }

 private:
  /// What earlier calls answer is passed over from now on.
  void BeginRound();
  void Read(std::uint64_t aRound);
  void Watch(std::uint64_t aRound);
  void OnWatched(std::uint64_t aRound, Instant aBegan,
                 Result<StoreEvents> aEvents);
  /// What was asked for by `CatchUp` has come.
  void OnMissed(StoreRevision aRevision, Result<StoreEvents> aEvents);
  void Take(StoreEvents aEvents);
  void RetryLater(std::uint64_t aRound);
  void WatchLater(std::uint64_t aRound);

  AsyncStore& store;
  const Clock& clock;
  std::string prefix;
  PrefixFollowerTiming pauses;
  OnRange onRange;
  OnEvents onEvents;
  OnCaughtUp onCaughtUp;
  asio::steady_timer timer;
  /// Rises with each restart; tells late answers from wanted ones.
  std::uint64_t round = 0;
  StoreRevision at;
  Micros retry;
  bool isPaused = false;
  /// All is read, and a watch tells of changes, or soon will.
  bool isWatching = false;
  /// A call of a watch is waiting for its answer.
  bool isWaiting = false;
  bool isCatchingUp = false;
  /// What was asked for by `CatchUp` has told changes that the watch has not.
  bool hasMissed = false;
};

/// Keeps a view up to the store: watches, and proofs of freshness.
class StoreFollower {
 public:
  StoreFollower(asio::io_context& aLoop, AsyncStore& aStore,
                StoreFollowerSettings aSettings, ClusterView& aView,
                const Clock& aClock);

  /// Begins; `aPeersFirst`: there may be peers that know the lists already, or
  /// read them for this daemon. The daemons of its failure domain are then read
  /// as they were lately, and a list of upstreams likewise where it is short.
  void Start(bool aPeersFirst);

  /// Says whether a peer asks the store for this daemon too.
  void SetHasFreshSyncSource(std::function<bool()> aHasFreshSyncSource) {
    this->hasFreshSyncSource = std::move(aHasFreshSyncSource);
  }
  /// Says whether this daemon is to ask the store where nobody does so for it.
  void SetMayQueryStore(std::function<bool()> aMayQueryStore) {
    this->mayAsk = std::move(aMayQueryStore);
  }
  /// Says whether a peer would tell this daemon once the store answers.
  void SetHasSyncSource(std::function<bool()> aHasSyncSource) {
    this->hasSyncSource = std::move(aHasSyncSource);
  }
  /// Says how many daemons of this failure domain come before this one.
  void SetRank(std::function<std::size_t()> aRank) {
    this->rank = std::move(aRank);
  }
  /// Told of the failure domain's daemons as they were lately; says whether any
  /// are known now, by whatever way.
  using OnBootstrapDaemons = std::function<bool(const std::vector<StoreItem>&)>;
  void SetOnBootstrapDaemons(OnBootstrapDaemons aOnBootstrap) {
    this->onBootstrap = std::move(aOnBootstrap);
  }
  /// Whether this daemon asks the store itself.
  bool IsDirect() const { return !this->own.IsPaused(); }
  /// The store has come back from a copy: all that is read or watched begins
  /// anew, and what was asked for before is void.
  void OnRestored();

 private:
  /// The revision that the store had at some time.
  struct StoreState {
    StoreRevision revision;
    Instant at;
  };

  /// Reads the domain's daemons until any are known.
  void ReadBootstrapDaemons();
  void OnBootstrap(const std::vector<StoreItem>& aDaemons);
  /// Reads the upstreams' list as it was lately, as a base for what peers tell;
  /// only the domain's first daemons read a long one.
  void ReadStaleUpstreams();
  std::size_t Rank() const { return this->rank ? this->rank() : 0; }
  bool MayAsk() const { return !this->mayAsk || this->mayAsk(); }
  bool HasSyncSource() const {
    return this->hasSyncSource && this->hasSyncSource();
  }
  void Validate();
  bool IsSyncingFromPeer() const;
  /// Whether what it knows is new enough to leave the store to a peer.
  bool IsFresh() const;
  /// Whether this daemon has just started, or reached the store again, and
  /// waits for its peers' answers.
  bool WaitsForPeers() const;
  /// Follows the lists, or leaves them to a peer.
  void FollowLists(bool aFollows);
  void ValidateAfter(Micros aPause);
  /// Pause between calls while the store does not answer.
  Micros PauseWhileAway() const;
  void OnValidationResult(StoreRevision aChecked, Instant aBegan,
                          Result<StoreCommit> aResult);
  void OnStoreState(StoreState aState);
  void NoteTold(const StoreEvents& aEvents);
  /// Changes under one prefix are none under the other.
  void SkipTold();
  /// Takes the lists as proven if they hold all that the store held at the
  /// last proof.
  void ValidateLists();
  void SetReached(const Result<StoreCommit>& aAnswer);

  StoreFollowerSettings settings;
  AsyncStore& store;
  ClusterView& view;
  const Clock& clock;
  asio::steady_timer validationTimer;
  asio::steady_timer bootstrapTimer;
  std::function<bool()> hasFreshSyncSource;
  std::function<bool()> mayAsk;
  std::function<bool()> hasSyncSource;
  std::function<std::size_t()> rank;
  OnBootstrapDaemons onBootstrap;
  PrefixFollower upstreams;
  PrefixFollower own;
  /// Of both prefixes, and of the configuration.
  ObservedChanges told;
  /// What the last proof told of the store.
  std::optional<StoreState> lastState;
  bool isReached = true;
  bool isValidating = false;
  /// When it began to wait for the peers' lists; none: it does not.
  std::optional<Instant> awaitingPeersSince;
};

}  // namespace zincstep
