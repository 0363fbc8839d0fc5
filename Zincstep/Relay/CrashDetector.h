#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Relay/LivenessCheck.h"

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
  virtual void OnUpstreamSuspected() = 0;
};

/// Finds out whether upstreams have ended under requests whose runs broke off.
///
/// A run that breaks off proves nothing: upstreams reset single answers and
/// live. So the upstream is asked. Until it is known whether it lives, the
/// ledger counts it as one that may have ended, and the question is asked again
/// at growing pauses. If a connection that is accepted, or a time-out that a
/// busy daemon noticed late, closed the question, the same request could end
/// one upstream after the other.
class CrashDetector {
 public:
  CrashDetector(CrashTracker& aLedger, UpstreamControl& aControl,
                const Clock& aClock, CrashListener& aListener);

  /// A run of that request broke off before any of its answer came.
  void OnRunLost(RequestFingerprint aRequest, const UpstreamPtr& aUpstream);
  /// An upstream has run a request that was sent to it at `aSentAt`.
  void OnUpstreamAnswered(const LiveUpstream& aUpstream, Instant aSentAt);
  /// The request has been answered whole.
  void OnAnswered(RequestFingerprint aRequest);
  /// Takes what was found here or told by another daemon.
  CrashVerdict Take(const UpstreamCrash& aCrash, Provenance aProvenance);
  /// Takes that the request has been answered whole elsewhere. True: it was
  /// blamed by what was found here, so that the others have to be told.
  bool OnClearedByPeer(RequestFingerprint aRequest);
  /// Asks again where it is due; to be called many times a second.
  void Tick();

 private:
  /// A run that broke off.
  struct LostRun {
    RequestFingerprint request{};
    Instant at;
  };

  /// What is being found out about one upstream.
  struct Question {
    UpstreamPtr upstream;
    /// In the order in which they broke off; never empty.
    std::vector<LostRun> runs;
    /// Runs that broke off after the present try began, which may have been
    /// before the crash.
    std::vector<LostRun> later;
    /// Time that each try has, and the pause before the next; both grow.
    Micros timeout{0};
    /// None: a try is under way.
    std::optional<Instant> nextAt;
    /// Tries in a row that no one answered.
    int unanswered = 0;
  };

  void Try(std::uint64_t aUpstream);
  void OnAsked(std::uint64_t aUpstream, Liveness aSign);
  void Connect(std::uint64_t aUpstream);
  void OnConnected(std::uint64_t aUpstream, Liveness aSign);
  /// Takes that one more try was not answered. True: so many in a row prove an
  /// end.
  bool CountUnanswered(std::uint64_t aUpstream);
  /// Nothing is known yet: asks again later.
  void Wait(Question& aQuestion);
  /// The list decides on runs about which nothing was known for too long.
  void GiveUp(std::uint64_t aUpstream);
  /// The upstream lives.
  void OnAlive(std::uint64_t aUpstream, const char* aReason);
  void OnEnded(std::uint64_t aUpstream, const char* aReason);
  /// Takes out of the ledger what was open about these runs.
  void Settle(const Question& aQuestion, const std::vector<LostRun>& aRuns,
              const char* aEvent, const char* aReason);
  void Blame(const Question& aQuestion, const char* aReason);
  void Suspect(const Question& aQuestion);

  /// Requests that were blamed by this daemon first; the others believe it.
  std::unordered_set<RequestFingerprint> blamedHere;
  CrashTracker& ledger;
  const Clock& clock;
  CrashListener& listener;
  LivenessCheck check;
  /// By the numbers of the upstreams.
  std::unordered_map<std::uint64_t, Question> questions;
};

}  // namespace zincstep
