#include "Zincstep/Relay/CrashDetector.h"

#include <algorithm>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Timeout of the first attempt: many round trips. It doubles after each
/// inconclusive attempt, as the upstream may only be slow.
constexpr Micros kInitialProbeTimeout = 100ms;
/// A timeout noticed later than this shows only that this daemon was slow.
constexpr Micros kMaxTimeoutLateness = 30ms;
/// Maximum duration of a probe whose attempts are accepted.
constexpr Micros kMaxProbeDuration = 3s;
/// The same if an attempt failed, with the registered upstreams known. By then
/// the entry of a crashed upstream has lapsed, or its successor is listed.
constexpr Micros kMaxUnreachableDuration = 10s;
/// Maximum number of runs of one upstream that count although some of their
/// response had arrived. Each is reported to all daemons.
constexpr std::size_t kMaxBegunRuns = 128;
/// Size of `reported` at which requests that the tracker no longer has are
/// removed. Bounds its memory, as callers can send new requests at will.
constexpr std::size_t kMaxReported = 8192;
/// Number of suspicions from which a report takes no further run; the next
/// attempt of the probe reports the rest.
constexpr std::size_t kMaxShared = 256;
/// Interval between reports of all that is suspected: a third of the time for
/// which peers remember it.
constexpr Micros kRepetitionInterval = 4s;

}  // namespace

CrashDetector::CrashDetector(CrashTracker& aTracker, UpstreamControl& aControl,
                             const Clock& aClock, CrashListener& aListener)
    : tracker(aTracker),
      clock(aClock),
      listener(aListener),
      check(aControl, aClock, kMaxTimeoutLateness) {}

void CrashDetector::RecordSuspicions(const LostRun& aRun,
                                     std::uint64_t aUpstream) {
  if (aRun.evidence == CrashEvidence::NoResponse) {
    aRun.candidates.ForEach([&](Fingerprint aOne) {
      this->tracker.OnSuspected({aOne, aUpstream});
    });
  }
}

void CrashDetector::ResolveSuspicions(const LostRun& aRun,
                                      std::uint64_t aUpstream) {
  if (aRun.evidence == CrashEvidence::NoResponse) {
    aRun.candidates.ForEach([&](Fingerprint aOne) {
      this->tracker.OnSuspicionResolved({aOne, aUpstream});
    });
  }
}

void CrashDetector::AddRun(std::vector<LostRun>& aRuns, const LostRun& aRun) {
  if (aRun.evidence == CrashEvidence::NoResponse ||
      aRuns.size() < kMaxBegunRuns) {
    aRuns.push_back(aRun);
  }
}

void CrashDetector::OnRunLost(const CrashCandidates& aCandidates,
                              const UpstreamPtr& aUpstream,
                              CrashEvidence aEvidence) {
  const std::uint64_t number = aUpstream->Number();
  const LostRun run{aCandidates, this->clock.Now(), aEvidence};
  this->RecordSuspicions(run, number);
  const auto found = this->pendingProbes.find(number);
  if (found != this->pendingProbes.end()) {
    PendingProbe& probe = found->second;
    AddRun(probe.nextAt ? probe.runs : probe.laterRuns, run);
    return;
  }
  PendingProbe& probe = this->pendingProbes[number];
  probe.upstream = aUpstream;
  probe.runs = {run};
  probe.timeout = kInitialProbeTimeout;
  this->SendProbe(number);
}

void CrashDetector::OnUpstreamResponded(const LiveUpstream& aUpstream,
                                        Instant aSentAt) {
  const auto found = this->pendingProbes.find(aUpstream.Number());
  // If entries have start times, a response does not show which incarnation
  // sent it.
  const bool isAlive = found != this->pendingProbes.end() &&
                       found->second.nextAt &&
                       aUpstream.Entry().startTimeMs == 0 &&
                       aSentAt > found->second.runs.back().at;
  if (isAlive) {
    this->OnAlive(found->first, "it responded to a request");
  }
}

bool CrashDetector::IsExpired(const PendingProbe& aProbe,
                              const LostRun& aRun) const {
  const Instant now = this->clock.Now();
  if (!aProbe.wasUnreachable) {
    return now - aRun.at >= kMaxProbeDuration;
  }
  // Only the registered upstreams can show the end of one that failed.
  return now - std::max(aRun.at, this->registryOutdatedAt) >=
         kMaxUnreachableDuration;
}

void CrashDetector::OnRegistryOutdated() {
  this->registryOutdatedAt = this->clock.Now();
  this->unregisteredSince.clear();
}

const char* CrashDetector::KnownEndOf(const PendingProbe& aProbe) const {
  const LiveUpstream& upstream = *aProbe.upstream;
  if (upstream.HasEnded()) {
    return "it has restarted";
  }
  if (upstream.IsSucceeded()) {
    return "another incarnation is listed at its address";
  }
  const Micros age = this->clock.Now() - aProbe.runs.front().at;
  return upstream.IsDeregistered() && age >= kMaxProbeDuration
             ? "it was deregistered"
             : nullptr;
}

void CrashDetector::Tick() {
  const Instant now = this->clock.Now();
  const auto due = this->reports.TakeDue(this->tracker, now);
  if (!due.empty()) {
    this->listener.OnReportDue(due);
  }
  if (this->nextRepetitionAt && now >= *this->nextRepetitionAt) {
    this->RepeatSuspicions();
  }
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, probe] : this->pendingProbes) {
    if (probe.nextAt) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    const PendingProbe& probe = this->pendingProbes.at(number);
    const bool isKnown = this->KnownEndOf(probe) != nullptr;
    if (!isKnown && this->IsExpired(probe, probe.runs.front())) {
      this->ExpireRuns(number);
    } else if (isKnown || now >= *probe.nextAt) {
      this->SendProbe(number);
    }
  }
}

void CrashDetector::ExpireRuns(std::uint64_t aUpstream) {
  PendingProbe& probe = this->pendingProbes.at(aUpstream);
  // The upstream may have crashed since the first loss, so each run has the
  // full duration before it expires.
  const auto firstRecent = std::find_if(
      probe.runs.begin(), probe.runs.end(),
      [&](const LostRun& aRun) { return !this->IsExpired(probe, aRun); });
  const std::vector<LostRun> expired(probe.runs.begin(), firstRecent);
  probe.runs.erase(probe.runs.begin(), firstRecent);
  this->ResolveRuns(probe, expired, "upstream_end_unproven",
                    "no crash was shown, and it is still registered");
  for (const LostRun& run : probe.runs) {
    this->RecordSuspicions(run, aUpstream);
  }
  if (probe.runs.empty()) {
    this->pendingProbes.erase(aUpstream);
  }
}

void CrashDetector::OnAlive(std::uint64_t aUpstream, const char* aReason) {
  const PendingProbe resolved = std::move(this->pendingProbes.at(aUpstream));
  this->pendingProbes.erase(aUpstream);
  this->ResolveRuns(resolved, resolved.runs, "upstream_lives_after_loss",
                    aReason);
  for (const LostRun& run : resolved.laterRuns) {
    this->OnRunLost(run.candidates, resolved.upstream, run.evidence);
  }
}

void CrashDetector::OnEnded(std::uint64_t aUpstream, const char* aReason) {
  PendingProbe ended = std::move(this->pendingProbes.at(aUpstream));
  this->pendingProbes.erase(aUpstream);
  ended.runs.insert(ended.runs.end(), ended.laterRuns.begin(),
                    ended.laterRuns.end());
  // A candidate of several runs counts by the strongest evidence.
  std::stable_partition(ended.runs.begin(), ended.runs.end(),
                        [](const LostRun& aRun) {
                          return aRun.evidence == CrashEvidence::NoResponse;
                        });
  this->RecordCrashes(ended, aReason);
  this->MarkSuspect(ended.upstream);
}

void CrashDetector::ResolveRuns(const PendingProbe& aProbe,
                                const std::vector<LostRun>& aRuns,
                                const char* aEvent, const char* aReason) {
  LogInfo(aEvent, {{"upstream", aProbe.upstream->Entry().id},
                   {"reason", aReason},
                   {"found", aProbe.finding},
                   {"witnesses_failed", aProbe.witnessesFailed},
                   {"asked_ms", (this->clock.Now() - aRuns.front().at) / 1ms},
                   {"requests", aRuns.size()}});
  for (const LostRun& run : aRuns) {
    this->ResolveSuspicions(run, aProbe.upstream->Number());
  }
  this->WithdrawSuspicions(aRuns, aProbe.upstream->Number());
}

void CrashDetector::ShareSuspicions(PendingProbe& aProbe) {
  std::vector<UpstreamCrash> suspicions;
  for (LostRun& run : aProbe.runs) {
    if (run.isShared || run.evidence != CrashEvidence::NoResponse ||
        suspicions.size() >= kMaxShared) {
      continue;
    }
    run.isShared = true;
    run.candidates.ForEach([&](Fingerprint aOne) {
      suspicions.push_back({aOne, aProbe.upstream->Number()});
      this->tracker.OnSuspicionShared(suspicions.back(), this->clock.Now());
      this->AddReported(aOne);
    });
  }
  if (!suspicions.empty()) {
    LogInfo("crash_suspected", {{"upstream", aProbe.upstream->Entry().id},
                                {"found", aProbe.finding},
                                {"candidates", suspicions.size()}});
    this->listener.OnSuspected(suspicions);
    this->nextRepetitionAt = this->nextRepetitionAt.value_or(
        this->clock.Now() + kRepetitionInterval);
  }
}

void CrashDetector::RepeatSuspicions() {
  std::vector<UpstreamCrash> suspicions;
  for (const auto& [key, probe] : this->pendingProbes) {
    const std::uint64_t number = probe.upstream->Number();
    for (const LostRun& run : probe.runs) {
      if (!run.isShared || suspicions.size() >= kMaxShared) {
        continue;
      }
      run.candidates.ForEach([&](Fingerprint aOne) {
        suspicions.push_back({aOne, number});
        this->tracker.OnSuspicionShared(suspicions.back(), this->clock.Now());
      });
    }
  }
  this->nextRepetitionAt.reset();
  if (!suspicions.empty()) {
    this->nextRepetitionAt = this->clock.Now() + kRepetitionInterval;
    this->listener.OnSuspected(suspicions);
  }
}

void CrashDetector::WithdrawSuspicions(const std::vector<LostRun>& aRuns,
                                       std::uint64_t aUpstream) {
  std::vector<UpstreamCrash> withdrawn;
  for (const LostRun& run : aRuns) {
    if (run.isShared) {
      run.candidates.ForEach([&](Fingerprint aOne) {
        withdrawn.push_back({aOne, aUpstream});
        this->tracker.OnWithdrawn(withdrawn.back());
      });
    }
  }
  if (!withdrawn.empty()) {
    this->listener.OnWithdrawn(withdrawn);
  }
}

void CrashDetector::RecordCrashes(const PendingProbe& aProbe,
                                  const char* aReason) {
  const UpstreamPtr& upstream = aProbe.upstream;
  std::vector<UpstreamCrash> crashes;
  this->tracker.CountCrash(upstream->Number(), aProbe.runs.size(),
                           this->runningRequests() + aProbe.runs.size(),
                           this->clock.Now());
  for (const LostRun& run : aProbe.runs) {
    this->ResolveSuspicions(run, upstream->Number());
    std::vector<std::string> counted;
    run.candidates.ForEach([&](Fingerprint aOne) {
      const UpstreamCrash crash{aOne, upstream->Number(), run.evidence};
      const bool isUnrelated =
          this->OnCrash(crash, Provenance::Observed) == CrashVerdict::Ignored;
      const auto isRecorded = [&](const UpstreamCrash& aOther) {
        return aOther.candidate == aOne;
      };
      if (isUnrelated ||
          std::any_of(crashes.begin(), crashes.end(), isRecorded)) {
        return;
      }
      crashes.push_back(crash);
      counted.push_back(TextOf(aOne));
    });
    LogInfo("upstream_ended_under",
            {{"fingerprint", TextOf(run.candidates.request)},
             {"upstream", upstream->Entry().id},
             {"reason", aReason},
             {"witnesses_failed", aProbe.witnessesFailed},
             {"asked_ms", (this->clock.Now() - run.at) / 1ms},
             {"counted", counted},
             {"has_events", run.evidence == CrashEvidence::ResponseBegun},
             {"beside", aProbe.runs.size() - 1}});
  }
  if (!crashes.empty()) {
    this->listener.OnCrashes(crashes);
    this->reports.Add(crashes, this->clock.Now());
  }
}

void CrashDetector::MarkSuspect(const UpstreamPtr& aUpstream) {
  const Instant now = this->clock.Now();
  if (!aUpstream->IsSuspect(now)) {
    aUpstream->Suspect(now);
    LogInfo("upstream_suspected", {{"upstream", aUpstream->Entry().id},
                                   {"reason", "it crashed during a request"}});
    this->listener.OnUpstreamSuspected();
  }
}

CrashVerdict CrashDetector::OnCrash(const UpstreamCrash& aCrash,
                                    Provenance aProvenance) {
  const Instant now = this->clock.Now();
  if (aProvenance == Provenance::Reported) {
    this->tracker.CountCrash(aCrash.upstream, 0, this->runningRequests(), now);
  }
  const CrashVerdict verdict = this->tracker.OnCrash(aCrash, now);
  if (verdict != CrashVerdict::Ignored && aProvenance == Provenance::Observed) {
    this->AddReported(aCrash.candidate);
  }
  if (verdict == CrashVerdict::Blocked) {
    const FingerprintKind kind = KindOf(aCrash.candidate);
    LogWarning("request_blocked",
               {{"fingerprint", TextOf(aCrash.candidate)},
                {"kind", NameIn(kFingerprintKindNames, kind)},
                {"told", aProvenance == Provenance::Reported}});
    this->listener.OnBlocked(aCrash.candidate);
  }
  return verdict;
}

void CrashDetector::AddReported(Fingerprint aCandidate) {
  if (this->reported.size() >= kMaxReported) {
    std::erase_if(this->reported, [this](Fingerprint aRequest) {
      return !this->tracker.HasCrashes(aRequest);
    });
  }
  this->reported.insert(aCandidate);
}

bool CrashDetector::OnSuspectedByPeer(const UpstreamCrash& aCrash) {
  return this->tracker.OnSuspectedByPeer(aCrash, this->clock.Now());
}

void CrashDetector::OnRequestCompleted(const CrashCandidates& aCandidates) {
  const Instant now = this->clock.Now();
  aCandidates.ForEach([&](Fingerprint aOne) {
    const bool wasReported = this->reported.erase(aOne) > 0;
    if (!this->tracker.OnCompleted(aOne, now) && !wasReported) {
      return;
    }
    LogInfo("request_cleared", {{"fingerprint", TextOf(aOne)}});
    this->listener.OnCleared(aOne);
  });
}

bool CrashDetector::OnClearedByPeer(Fingerprint aRequest) {
  if (this->tracker.Clear(aRequest)) {
    LogInfo("request_cleared", {{"fingerprint", TextOf(aRequest)}});
  }
  return this->reported.erase(aRequest) > 0;
}

}  // namespace zincstep
