#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Zincstep/Admission/CrashSuspicions.h"
#include "Zincstep/Admission/Fingerprint.h"
#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of the crash tracker.
struct CrashTrackerSettings {
  /// Number of upstream crashes after which a request is blocked. Streams that
  /// lose the same upstream are resent together, so that an unrelated request
  /// can run on a crashing upstream once or twice. In a replay of 300 daemons,
  /// in which a third of the pool crashed four times, a value of 1 refused 226
  /// of 29,096 attempts of unrelated requests; 3 refused none.
  std::size_t maxCrashes = 3;
  /// The same for a part of prompts over all organisations. One organisation
  /// can't reach it alone, as its own use of the part is blocked before.
  std::size_t maxCrashesOfAll = 5;
  /// Crashes that are recorded of one request or part.
  std::size_t maxRecorded = 16;
  /// Maximum probability of the crashes that block a request of whose responses
  /// some had arrived, if it had no part in them.
  double maxChance = 1e-4;
  /// Running requests of this daemon that are assumed besides those it had at
  /// past crashes, of which one was lost.
  double assumedRunning = 20;
  /// Crashes that are remembered, and for how long.
  std::size_t maxCrashTimes = 256;
  Micros crashTimeRetention = 120s;
  /// Time after which a blocked request may run again, since the upstreams may
  /// run a fixed version by then. Each trial can crash `maxCrashes` upstreams.
  Micros blockDuration = 600s;
  /// Time for which a record with fewer than `maxCrashes` crashes is kept. A
  /// caller that retries does so many times within it.
  Micros crashRetention = 120s;
  /// Maximum number of records, about 200 bytes each; callers can create new
  /// requests without limit. Records of requests that are not blocked are
  /// evicted first, oldest first.
  std::size_t maxRequests = 4096;
  /// Number of completed requests that are remembered, and for how long. Many
  /// callers can send the same request, so that it runs on several upstreams
  /// that crash at once.
  std::size_t maxCompleted = 16384;
  Micros completedRetention = 60s;
  /// Time for which a crash that a peer suspects, or that is listed as
  /// suspected, counts, unless more is known of it: longer than a check takes.
  Micros peerSuspicionRetention = 12s;
  /// Retry-After of requests that are refused while a suspected crash is being
  /// confirmed; most checks take less time.
  Micros suspectedRetryAfter = 500ms;
};

/// Result of recording a crash against the request that ran.
enum class CrashVerdict {
  /// Not counted: the request completed successfully a short time ago.
  Ignored,
  /// Counted; the request's state is unchanged.
  Counted,
  /// Counted, and the request is blocked from now on.
  Blocked,
};

/// What a lost run shows of the request that it ran.
enum class CrashEvidence {
  /// Nothing of its response had arrived: true of few requests that run on an
  /// upstream at a time.
  NoResponse,
  /// Some of its response had arrived, as of most requests.
  ResponseBegun,
};

/// A crash of an upstream while it ran a request, or one with a part.
struct UpstreamCrash {
  Fingerprint candidate{};
  /// The upstream's incarnation, as `LiveUpstream::Number`.
  std::uint64_t upstream = 0;
  CrashEvidence evidence = CrashEvidence::NoResponse;
};

/// A request or part that must not run.
struct CrashBlock {
  Fingerprint candidate{};
  /// Time until it may run again.
  Micros remaining{0};
};

/// Counts the upstream crashes that happened while a request ran, and blocks
/// poison requests: those that crash every upstream that runs them, alone or by
/// a part of their prompts that others have too.
///
/// Retry limits and budgets apply to one attempt or to a whole service, so that
/// a poison request whose caller repeats it could crash one upstream after the
/// other: 22 of 39 in ten seconds. The tracker counts by fingerprint, over all
/// attempts and daemons. A crash ends every request that the upstream runs,
/// most of which may be unrelated to it. Therefore each incarnation counts
/// once, and a successful completion clears the count and makes the tracker
/// ignore crashes for the same request for `completedRetention`. Without this,
/// three upstreams that crashed within 60 ms blocked requests that all callers
/// shared, for ten minutes (one of 23 soak seeds).
///
/// A poison request may deliver much of its response first. Then nothing
/// distinguishes it from the others on its upstream but that it is present in
/// crash after crash. Such crashes block it once it was present in more of the
/// recent ones than a request is by chance.
///
/// Requests with a poison part share other parts with sound ones. A blocked
/// part therefore blocks no request that lacks what explains its crashes:
/// another blocked request or part that was carried in all of them.
class CrashTracker {
 public:
  explicit CrashTracker(CrashTrackerSettings aSettings)
      : settings(aSettings),
        sharedSuspicions(aSettings.maxRequests, aSettings.maxRecorded),
        listedSuspicions(aSettings.maxRequests, aSettings.maxRecorded) {}

  /// Records that an upstream may have crashed while it ran a request, and that
  /// this daemon is checking. Until the check ends the suspicion counts towards
  /// `maxCrashes` for `BlockedFor`.
  void OnSuspected(const UpstreamCrash& aCrash);
  /// Records that this daemon has reported the suspicion to all daemons.
  void OnSuspicionShared(const UpstreamCrash& aCrash, Instant aNow) {
    this->sharedSuspicions.Add(aCrash.candidate, aCrash.upstream,
                               aNow + this->settings.peerSuspicionRetention);
  }
  /// Removes a suspicion: the check has ended, with or without a result.
  void OnSuspicionResolved(const UpstreamCrash& aCrash);
  /// Records that a peer suspects a crash and can't confirm it yet. Returns
  /// false if the request completed successfully here a short time ago.
  bool OnSuspectedByPeer(const UpstreamCrash& aCrash, Instant aNow);
  /// Removes a suspicion that was reported to all daemons: the reporter no
  /// longer has it.
  void OnWithdrawn(const UpstreamCrash& aCrash);
  /// Records that an upstream crashed, which ended `aLost` of the `aRunning`
  /// requests that this daemon had running; called before `OnCrash`. Only the
  /// first call for an upstream counts the running ones.
  void CountCrash(std::uint64_t aUpstream, std::size_t aLost,
                  std::size_t aRunning, Instant aNow);
  /// Records a crash that this daemon observed or that a peer reported.
  CrashVerdict OnCrash(const UpstreamCrash& aCrash, Instant aNow);
  /// Clears a request that completed successfully on this daemon. Returns
  /// whether crashes were recorded for it, or suspected by peers.
  bool OnCompleted(Fingerprint aCandidate, Instant aNow);
  /// Clears a request that completed successfully on another daemon. Returns
  /// whether crashes were recorded for it, or suspected by peers.
  bool Clear(Fingerprint aCandidate) {
    const bool wasSuspected = this->sharedSuspicions.Clear(aCandidate);
    const bool wasListed = this->listedSuspicions.Clear(aCandidate);
    return this->records.erase(aCandidate) > 0 || wasSuspected || wasListed;
  }
  /// Records that the block list is being read for the first time; requests
  /// that may be on it wait for that until `aUntil`.
  void AwaitBlockList(Instant aUntil) { this->awaitsBlockListUntil = aUntil; }
  /// Records that the block list has been read, or can't be.
  void OnBlockListRead() { this->awaitsBlockListUntil.reset(); }
  bool AwaitsBlockList(Instant aNow) const {
    return this->awaitsBlockListUntil && aNow < *this->awaitsBlockListUntil;
  }
  /// Replaces the block list, which all daemons share through the store.
  /// Requests that are no longer listed are cleared: they completed on another
  /// daemon, or their block has expired.
  void SetBlockList(const std::set<Fingerprint>& aListed, Instant aNow);
  /// Replaces the suspected crashes that all daemons share through the store.
  /// They count as those of a peer do.
  void SetListedSuspicions(const SuspectedCrashes& aListed, Instant aNow);

  /// Whether no crash is recorded for any request.
  bool IsEmpty() const { return this->records.empty(); }
  bool HasCrashes(Fingerprint aCandidate) const {
    return this->records.contains(aCandidate);
  }
  /// Whether any request can be blocked; if not, callers can skip computing
  /// the fingerprint.
  bool MayBlock() const {
    return !this->records.empty() || !this->suspected.empty() ||
           !this->sharedSuspicions.IsEmpty() ||
           !this->listedSuspicions.IsEmpty();
  }
  /// Time for which a request must not run, because it is blocked or has
  /// suspected crashes; 0 if it may run.
  Micros BlockedFor(Fingerprint aCandidate, Instant aNow) const;
  /// Returns what blocks a request that carries these, if anything does.
  std::optional<CrashBlock> FindBlock(const CrashCandidates& aCarried,
                                      Instant aNow) const;
  /// All requests that are blocked at `aNow`.
  std::set<Fingerprint> Blocked(Instant aNow) const;
  /// Crashes, suspected and counted, of the requests that no daemon may run
  /// because of suspected ones.
  SuspectedCrashes HeldBack(Instant aNow) const;
  /// Suspected crashes that are on the shared list.
  SuspectedCrashes ListedSuspicions(Instant aNow) const;
  /// Crashes of the blocked requests that are not on the shared block list.
  std::vector<UpstreamCrash> UnlistedCrashes(Instant aNow) const;
  /// Removes expired records. Call periodically.
  void Tick(Instant aNow);

 private:
  struct Record {
    /// Incarnations that crashed while they ran the request.
    std::set<std::uint64_t> crashed;
    /// Those of them of whose response nothing had arrived.
    std::set<std::uint64_t> crashedFirst;
    Instant firstCrash{};
    Instant lastCrash{};
    bool isListed = false;
    /// Whether enough crashes were recorded.
    bool isBlocked = false;
  };

  /// Whether the suspected crashes, if confirmed, would block the request.
  bool HasPendingBlock(Fingerprint aCandidate, Instant aNow) const;
  /// Incarnations that crashed, or are suspected by all daemons to have
  /// crashed, under the request.
  std::set<std::uint64_t> SharedCrashes(Fingerprint aCandidate,
                                        Instant aNow) const;
  bool HasCompletedRecently(Fingerprint aCandidate, Instant aNow) const;
  /// Number of crashes that block a request or part.
  std::size_t LimitOf(Fingerprint aCandidate) const {
    return KindOf(aCandidate) == FingerprintKind::Part
               ? this->settings.maxCrashesOfAll
               : this->settings.maxCrashes;
  }
  /// Whether the request was present in more of the crashes since its first one
  /// than is probable by chance.
  bool IsImprobable(const Record& aRecord) const;
  static bool IsBlocked(const Record& aRecord) {
    return aRecord.isListed || aRecord.isBlocked;
  }
  /// Whether all recorded crashes of a part, or of a request of whose responses
  /// some had arrived, also carried another blocked candidate, which is not one
  /// of `aCarried`.
  bool IsExplained(Fingerprint aPart, const CrashCandidates& aCarried) const;
  Instant ExpiryOf(const Record& aRecord) const {
    return aRecord.lastCrash + (IsBlocked(aRecord)
                                    ? this->settings.blockDuration
                                    : this->settings.crashRetention);
  }
  void EvictIfFull();
  void EvictCompleted();

  CrashTrackerSettings settings;
  std::optional<Instant> awaitsBlockListUntil;
  std::unordered_map<Fingerprint, Record> records;
  /// Incarnations whose crash is suspected but not yet confirmed.
  std::unordered_map<Fingerprint, std::set<std::uint64_t>> suspected;
  /// Those that daemons have reported to all, and those listed in the store.
  CrashSuspicions sharedSuspicions;
  CrashSuspicions listedSuspicions;
  /// Time of each last successful completion. `completionOrder` has the keys
  /// by the time of an earlier one, and determines which is evicted.
  std::unordered_map<Fingerprint, Instant> completedAt;
  std::deque<std::pair<Fingerprint, Instant>> completionOrder;
  /// Recent crashes of any upstream, oldest first.
  std::deque<std::pair<Instant, std::uint64_t>> crashTimes;
  /// Sums over all crashes, with exponential decay by their number.
  double lostSum = 0;
  double runningSum = 0;
};

}  // namespace zincstep
