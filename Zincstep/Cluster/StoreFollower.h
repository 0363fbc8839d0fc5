#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Zincstep/Cluster/ClusterView.h"

namespace zincstep {

/// Keys of the store that hold what daemons follow.
struct ClusterKeys {
  /// The configuration.
  std::string configuration;
  /// Prefix of upstreams' entries; what follows is the id.
  std::string upstreams;
  /// Prefix under which daemons keep entries of their own.
  std::string own;
};

/// Settings of a store follower.
struct StoreFollowerSettings {
  ClusterKeys keys;
  /// Time between proofs that the configuration is the newest one: well
  /// under the time within which one must be in force everywhere.
  Micros proofInterval = 900ms;
  /// While a peer proves for this daemon, it looks this often whether that
  /// goes on, and proves by itself once the newest proof is older than
  /// `longestReliance`: one proof and its way are overdue then.
  Micros reliancePause = 250ms;
  Micros longestReliance = 1700ms;
  /// Longest wait of one watch: a call each, so long; an answer that was
  /// lost goes unnoticed for that long, so not longer.
  Micros watchWait = 6s;
  /// Pause before the next watch after one that told of changes: a call is
  /// paid for, and changes often come in series.
  Micros gatherPause = 200ms;
  /// A proof that has no answer by then: the store is away.
  Micros proofTimeout = 1s;
  Micros firstRetry = 150ms;
  Micros longestRetry = 1s;
};

/// Follows all items under one prefix: reads them, then watches.
class PrefixFollower {
 public:
  using OnRange = std::function<void(StoreRange)>;
  using OnEvents = std::function<void(StoreEvents)>;

  PrefixFollower(asio::io_context& aLoop, AsyncStore& aStore,
                 std::string aPrefix, const StoreFollowerSettings& aSettings,
                 OnRange aOnRange, OnEvents aOnEvents);

  /// Reads all anew; answers to earlier calls are passed over.
  void Restart();

 private:
  void Read(std::uint64_t aRound);
  void Watch(std::uint64_t aRound);
  void RetryLater(std::uint64_t aRound);
  void WatchLater(std::uint64_t aRound);

  AsyncStore& store;
  std::string prefix;
  const StoreFollowerSettings& settings;
  OnRange onRange;
  OnEvents onEvents;
  asio::steady_timer timer;
  /// Rises with each restart; tells late answers from wanted ones.
  std::uint64_t round = 0;
  std::uint64_t at = 0;
  Micros retry;
};

/// Keeps a view up to the store: watches, and proofs of freshness.
class StoreFollower {
 public:
  StoreFollower(asio::io_context& aLoop, AsyncStore& aStore,
                StoreFollowerSettings aSettings, ClusterView& aView,
                const Clock& aClock);

  void Start();
  /// Items under the daemons' own prefix are told here.
  void SetOwnListener(PrefixFollower::OnRange aOnRange,
                      PrefixFollower::OnEvents aOnEvents);

  /// Says whether a peer proves that the configuration is the newest.
  void SetMayRely(std::function<bool()> aMayRely) {
    this->mayRely = std::move(aMayRely);
  }

  /// Whether the store has answered the last proof.
  bool IsReached() const { return this->isReached; }

 private:
  void Prove();
  bool Relies() const;
  void ProveAfter(Micros aPause);
  void OnProved(std::uint64_t aChecked, Instant aBegan,
                Result<StoreCommit> aResult);
  void SetReached(bool aReached);

  StoreFollowerSettings settings;
  AsyncStore& store;
  ClusterView& view;
  const Clock& clock;
  asio::steady_timer proofTimer;
  std::function<bool()> mayRely;
  PrefixFollower::OnRange onOwnRange;
  PrefixFollower::OnEvents onOwnEvents;
  PrefixFollower upstreams;
  PrefixFollower own;
  bool isReached = true;
};

}  // namespace zincstep
