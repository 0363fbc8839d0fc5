#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Is told of requests that end upstreams, on the loop's thread.
class CrashListener {
 public:
  virtual ~CrashListener() = default;

  /// Found here: an upstream has ended under these requests.
  virtual void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) = 0;
  /// Found here: a request that was blamed has been answered whole.
  virtual void OnCleared(RequestFingerprint aRequest) = 0;
  /// From now on a request must not run.
  virtual void OnBlocked(RequestFingerprint aRequest) = 0;
  /// An upstream has come under suspicion.
  virtual void OnCrashSuspicion() = 0;
};

/// Finds out whether upstreams have ended under requests whose runs broke off.
///
/// A run that breaks off proves nothing: upstreams reset single answers and
/// live. Of 3,649 requests of a day with resets, 11 lost three runs in a row
/// so. Whoever has crashed accepts no connection a moment later.
class CrashWatch {
 public:
  CrashWatch(CrashLedger& aLedger, UpstreamControl& aControl,
             const Clock& aClock, CrashListener& aListener);

  /// A run of that request broke off before any of its answer came.
  void OnRunLost(RequestFingerprint aRequest, const UpstreamPtr& aUpstream);
  /// The request has been answered whole.
  void OnAnswered(RequestFingerprint aRequest);
  /// Takes what was found here or told by another daemon.
  CrashVerdict Take(const UpstreamCrash& aCrash, Evidence aEvidence);
  /// Takes that the request has been answered whole elsewhere. True: it was
  /// blamed by what was found here, so that the others have to be told.
  bool TakeCleared(RequestFingerprint aRequest);

 private:
  /// Requests whose runs at one upstream broke off.
  struct Question {
    UpstreamPtr upstream;
    std::vector<RequestFingerprint> requests;
    /// Runs that broke off after the present attempt to connect began, which
    /// may have come before the crash.
    std::vector<RequestFingerprint> later;
    int triesLeft = 0;
  };

  void Ask(std::uint64_t aUpstream);
  void OnReached(std::uint64_t aUpstream, Instant aLatest,
                 Reachability aReachability);
  void OnEnded(const Question& aQuestion);

  /// Requests that were blamed by this daemon first; the others believe it.
  std::unordered_set<RequestFingerprint> blamedHere;
  CrashLedger& ledger;
  UpstreamControl& control;
  const Clock& clock;
  CrashListener& listener;
  /// By the numbers of the upstreams.
  std::unordered_map<std::uint64_t, Question> questions;
};

}  // namespace zincstep
