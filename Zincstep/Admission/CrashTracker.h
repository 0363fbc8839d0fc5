#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "Zincstep/Admission/RequestFingerprint.h"
#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Settings of the ledger of crashes.
struct CrashTrackerSettings {
  /// Upstreams that may end under one request. Streams that are cut together
  /// are sent on together, so that innocent ones may be there once or twice:
  /// with one, 226 of 29,096 attempts were refused beside a third of the pool
  /// that ended four times, with three none (replay of 300 daemons).
  std::size_t maxCrashes = 3;
  /// Time after which a blocked request is tried again: the upstreams may run
  /// a mended version by then. Each trial may end three of them.
  Micros blockedTime = 600s;
  /// Time after which fewer crashes are forgotten: a caller that repeats has
  /// come back many times by then.
  Micros memory = 120s;
  /// Requests that are remembered at once, some 200 bytes each; callers make
  /// new ones at will. Those that are not blocked go first, the oldest before.
  std::size_t maxRequests = 4096;
  /// Requests answered whole that are remembered, and for how long. Identical
  /// ones of many callers may be on several upstreams that end at once.
  std::size_t maxAnswered = 4096;
  Micros answeredTime = 60s;
  /// Retry-After of requests that are held back until it is known whether
  /// upstreams have ended under them; most questions take less.
  Micros holdTime = 500ms;
};

/// What a crash says of the request that ran.
enum class CrashVerdict {
  /// It has been answered whole lately: it ends nobody.
  Ignored,
  Counted,
  /// It is blocked from now on.
  Blocked,
};

/// An upstream that ended while it ran a request.
struct UpstreamCrash {
  RequestFingerprint request{};
  /// The incarnation, as `LiveUpstream::Number`.
  std::uint64_t upstream = 0;
};

/// Remembers under which requests upstreams have ended, and blocks a request
/// that ends whoever runs it.
///
/// Attempts, retries and budgets are counted within one attempt or for a whole
/// service, so that a request whose caller repeats it could end one upstream
/// after the other: 22 of 39 in ten seconds. Here it is counted by what it is,
/// over attempts and daemons. A crash ends everything that an upstream runs, so
/// that whoever was there may be innocent: crashes count once for each
/// incarnation, and an answer that comes whole takes all of them back and
/// speaks for the same request for a while. Without that, three upstreams that
/// ended within 60 ms blocked the requests that all callers shared, for ten
/// minutes (one of 23 seeds of the soak).
class CrashTracker {
 public:
  explicit CrashTracker(CrashTrackerSettings aSettings) : settings(aSettings) {}

  /// An upstream may have ended under a request, which is being found out here.
  /// Requests with as many of these as block one are held back meanwhile.
  void OnSuspected(const UpstreamCrash& aCrash);
  /// It has been found out, or cannot be.
  void OnSuspicionResolved(const UpstreamCrash& aCrash);
  /// An upstream has ended under a request, as this daemon found or was told.
  CrashVerdict OnCrash(const UpstreamCrash& aCrash, Instant aNow);
  /// The request was answered whole here. True: it had been blamed.
  bool OnAnswered(RequestFingerprint aRequest, Instant aNow);
  /// The request was answered whole elsewhere. True: it had been blamed.
  bool Clear(RequestFingerprint aRequest) {
    return this->records.erase(aRequest) > 0;
  }
  /// All requests that are blocked by common knowledge. One that was and is no
  /// more has been answered elsewhere, or its time has passed.
  void SetBlockList(const std::set<RequestFingerprint>& aRequests,
                    Instant aNow);

  /// Whether no request is blamed.
  bool IsEmpty() const { return this->records.empty(); }
  bool HasCrashes(RequestFingerprint aRequest) const {
    return this->records.contains(aRequest);
  }
  /// Whether any request may have to wait: else none needs to be looked up.
  bool MayBlock() const {
    return !this->records.empty() || !this->suspected.empty();
  }
  /// For how long a request must not run, blocked or held back; zero: it may.
  Micros BlockedFor(RequestFingerprint aRequest, Instant aNow) const;
  /// All that must not run.
  std::set<RequestFingerprint> Blocked(Instant aNow) const;
  /// The crashes because of which a request is blocked that is not on the list.
  std::vector<UpstreamCrash> UnlistedCrashes(Instant aNow) const;
  /// Forgets what has passed; to be called now and then.
  void Tick(Instant aNow);

 private:
  struct Record {
    /// Incarnations that have ended.
    std::set<std::uint64_t> crashed;
    Instant lastCrash{};
    bool isListed = false;
  };

  /// Whether ends that are being found out would block it.
  bool IsHeld(RequestFingerprint aRequest, Instant aNow) const;
  bool IsAnsweredLately(RequestFingerprint aRequest, Instant aNow) const;
  bool IsBlocked(const Record& aRecord) const {
    return aRecord.isListed ||
           aRecord.crashed.size() >= this->settings.maxCrashes;
  }
  Instant EndOf(const Record& aRecord) const {
    return aRecord.lastCrash + (this->IsBlocked(aRecord)
                                    ? this->settings.blockedTime
                                    : this->settings.memory);
  }
  void MakeRoom();

  CrashTrackerSettings settings;
  std::unordered_map<RequestFingerprint, Record> records;
  /// Incarnations of which it is being found out whether they have ended.
  std::unordered_map<RequestFingerprint, std::set<std::uint64_t>> suspected;
  /// When each was last answered; the oldest of the queue goes first.
  std::unordered_map<RequestFingerprint, Instant> answered;
  std::deque<RequestFingerprint> answeredInOrder;
};

}  // namespace zincstep
