#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Relay/CrashReports.h"
#include "Zincstep/Relay/LivenessCheck.h"

namespace zincstep {

/// Receives events about requests that crash upstreams, on the loop's thread.
class CrashListener {
 public:
  virtual ~CrashListener() = default;

  /// This daemon observed that an upstream crashed under these requests.
  virtual void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) = 0;
  /// A report to `OnCrashes` is due to be repeated.
  virtual void OnReportDue(const std::vector<UpstreamCrash>& aCrashes) = 0;
  /// This daemon suspects that upstreams crashed under these requests, and
  /// reaches no other upstream that would confirm it.
  virtual void OnSuspected(const std::vector<UpstreamCrash>& aCrashes) = 0;
  /// It no longer suspects these.
  virtual void OnWithdrawn(const std::vector<UpstreamCrash>& aCrashes) = 0;
  /// A request with recorded crashes completed successfully on this daemon.
  virtual void OnCleared(Fingerprint aRequest) = 0;
  /// The request is blocked: it must not run from now on.
  virtual void OnBlocked(Fingerprint aRequest) = 0;
  /// This daemon marked an upstream as suspect.
  virtual void OnUpstreamSuspected() = 0;
};

/// Finds out whether an upstream crashed when a run on it was lost.
///
/// A lost run alone is no evidence of a crash: a live upstream may reset a
/// single response. So the detector probes the upstream, with growing backoff,
/// until its state is known. Meanwhile the tracker counts the run as a
/// possible crash. Closing the case on an accepted connection, or on a timeout
/// that a busy daemon noticed late, would let one request crash one upstream
/// after the other.
class CrashDetector {
 public:
  using UpstreamsOf =
      std::function<std::vector<UpstreamPtr>(const std::string&)>;
  using FindUpstream = std::function<UpstreamPtr(std::uint64_t)>;

  CrashDetector(CrashTracker& aTracker, UpstreamControl& aControl,
                const Clock& aClock, CrashListener& aListener);

  /// Sets the function that returns the upstreams of a service. From then on a
  /// failed connection shows a crash only if another upstream of the service
  /// accepts one: else this daemon may have lost its path to all of them.
  void SetUpstreams(UpstreamsOf aUpstreams) {
    this->upstreamsOf = std::move(aUpstreams);
  }

  /// Sets the function that finds a registered upstream by its number, null if
  /// there is none. From then on `Tick` also checks the suspected crashes of
  /// the shared list; call it once the registered upstreams are known.
  void SetFindUpstream(FindUpstream aFind) {
    this->findUpstream = std::move(aFind);
  }

  /// Sets the function that returns the number of requests that this daemon has
  /// running.
  void SetRunningRequests(std::function<std::size_t()> aRunning) {
    this->runningRequests = std::move(aRunning);
  }

  /// Records that a run of the request was lost, and starts to probe the
  /// upstream.
  void OnRunLost(const CrashCandidates& aCandidates,
                 const UpstreamPtr& aUpstream,
                 CrashEvidence aEvidence = CrashEvidence::NoResponse);
  /// Records that the upstream ran a request that was sent to it at `aSentAt`.
  void OnUpstreamResponded(const LiveUpstream& aUpstream, Instant aSentAt);
  /// Records that a request with these completed successfully on this daemon.
  void OnRequestCompleted(const CrashCandidates& aCandidates);
  /// Records a crash that this daemon observed or a peer reported.
  CrashVerdict OnCrash(const UpstreamCrash& aCrash, Provenance aProvenance);
  /// Records a crash that a peer suspects. Returns false if the request
  /// completed successfully here a short time ago.
  bool OnSuspectedByPeer(const UpstreamCrash& aCrash);
  /// Records that the peer no longer suspects it.
  void OnWithdrawnByPeer(const UpstreamCrash& aCrash) {
    this->tracker.OnWithdrawn(aCrash);
  }
  /// Records that the request completed successfully on another daemon.
  /// Returns true if this daemon had reported a crash under the request, or a
  /// suspicion, so that it must forward the update to the other daemons.
  bool OnClearedByPeer(Fingerprint aRequest);
  /// Sends the probes and reports that are due; call several times per second.
  void Tick();
  /// Records the suspected crashes of the shared list whose upstreams have
  /// ended: the daemons that would find out may have been killed. Call several
  /// times per second while the registered upstreams are known.
  void CheckListedSuspicions();
  /// Records that the registered upstreams are not known now, so that they do
  /// not show the end of one. Call several times per second meanwhile.
  void OnRegistryOutdated();

 private:
  /// A run that ended without a complete response.
  struct LostRun {
    CrashCandidates candidates;
    Instant at;
    CrashEvidence evidence = CrashEvidence::NoResponse;
    /// Whether peers know of the suspicion.
    bool isShared = false;
  };

  /// Pending probe of one upstream.
  struct PendingProbe {
    UpstreamPtr upstream;
    /// Runs in the order of their loss; never empty.
    std::vector<LostRun> runs;
    /// Runs lost after the current attempt began. The attempt may have been
    /// answered before a crash that these runs caused.
    std::vector<LostRun> laterRuns;
    /// Timeout of each attempt and backoff before the next; both grow.
    Micros timeout{0};
    /// Time of the next attempt; empty while an attempt is in flight.
    std::optional<Instant> nextAt;
    /// Consecutive attempts without a response.
    int unansweredCount = 0;
    /// Other upstreams that accepted no connection either, by number.
    std::vector<std::uint64_t> unreachableWitnesses;
    /// For the log: what the last attempt found, and attempts at which a
    /// witness accepted no connection.
    const char* finding = "";
    /// Whether an attempt failed. Then nothing but the upstream's end, or a
    /// path that has come back, explains an accepted connection.
    bool wasUnreachable = false;
    std::size_t witnessesFailed = 0;
  };

  /// Only a run without a response makes its request suspected: most others
  /// that an upstream runs have no part in its crash.
  void RecordSuspicions(const LostRun& aRun, std::uint64_t aUpstream);
  void ResolveSuspicions(const LostRun& aRun, std::uint64_t aUpstream);
  /// Adds a run to a probe, unless it has enough of that kind.
  static void AddRun(std::vector<LostRun>& aRuns, const LostRun& aRun);
  void SendProbe(std::uint64_t aUpstream);
  void OnReportResult(std::uint64_t aUpstream, Liveness aLiveness);
  void ProbeConnection(std::uint64_t aUpstream);
  void OnConnectionResult(std::uint64_t aUpstream, Liveness aLiveness);
  /// Records one more attempt without a response. Returns true if the number
  /// of consecutive ones shows that the upstream crashed.
  bool RecordUnanswered(std::uint64_t aUpstream);
  /// Schedules another attempt, as this one had no conclusive result.
  void ScheduleRetry(PendingProbe& aProbe);
  /// Reports the possible crashes of a probe that has failed to all daemons:
  /// each may have lost another run of the same request.
  void ShareSuspicions(PendingProbe& aProbe);
  /// Reports what all daemons were told and is still suspected once more: a
  /// peer may have missed it, and forgets it after a time.
  void RepeatSuspicions();
  /// Withdraws what was reported of these runs.
  void WithdrawSuspicions(const std::vector<LostRun>& aRuns,
                          std::uint64_t aUpstream);
  /// Whether a run has been inconclusive for as long as it may be.
  bool IsExpired(const PendingProbe& aProbe, const LostRun& aRun) const;
  /// Why the upstream is known to have ended without an attempt; null if it is
  /// not.
  const char* KnownEndOf(const PendingProbe& aProbe) const;
  /// Resolves runs whose probe stayed inconclusive for too long, by whether
  /// the upstream is still registered.
  void ExpireRuns(std::uint64_t aUpstream);
  /// The upstream accepts no connection. Records a crash if another upstream
  /// does, or if there is no other.
  void OnNotReached(std::uint64_t aUpstream, const char* aReason);
  /// Returns another upstream of the same service that has not been found
  /// unreachable in this probe, the last one that responded; null if there is
  /// none.
  UpstreamPtr ChooseWitness(const PendingProbe& aProbe) const;
  /// The upstream is alive.
  void OnAlive(std::uint64_t aUpstream, const char* aReason);
  /// The upstream crashed or restarted.
  void OnEnded(std::uint64_t aUpstream, const char* aReason);
  /// Removes the possible crashes of these runs from the tracker.
  void ResolveRuns(const PendingProbe& aProbe,
                   const std::vector<LostRun>& aRuns, const char* aEvent,
                   const char* aReason);
  /// Whether an upstream of a listed suspicion has ended, by what is
  /// registered.
  bool HasListedEnded(std::uint64_t aUpstream);
  /// Records a crash for each run of the probe and notifies the listener.
  void RecordCrashes(const PendingProbe& aProbe, const char* aReason);
  /// Records that a crash or a suspicion of the request was reported.
  void AddReported(Fingerprint aCandidate);
  void MarkSuspect(const UpstreamPtr& aUpstream);

  /// Requests of which this daemon reported a crash or a suspicion. Peers
  /// recorded it, so it also has to report when such a request is cleared.
  std::unordered_set<Fingerprint> reported;
  CrashReports reports;
  UpstreamsOf upstreamsOf;
  FindUpstream findUpstream;
  /// Time of the next report of all that is suspected; none if nothing is.
  std::optional<Instant> nextRepetitionAt;
  /// Last time at which the registered upstreams were not known.
  Instant registryOutdatedAt{};
  /// Since when upstreams of listed suspicions have not been registered.
  std::unordered_map<std::uint64_t, Instant> unregisteredSince;
  std::function<std::size_t()> runningRequests = [] { return 0; };
  CrashTracker& tracker;
  const Clock& clock;
  CrashListener& listener;
  LivenessCheck check;
  /// Keyed by `LiveUpstream::Number`.
  std::unordered_map<std::uint64_t, PendingProbe> pendingProbes;
};

}  // namespace zincstep
