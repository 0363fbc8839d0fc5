/// \file
/// How the crash detector probes an upstream, and what it concludes from each
/// result.

#include <algorithm>

#include "Zincstep/Relay/CrashDetector.h"

namespace zincstep {

namespace {

constexpr Micros kMaxProbeTimeout = 800ms;
/// Consecutive unanswered attempts that show a crash. One may be a lost SYN,
/// which is retransmitted only after the attempt timed out.
constexpr int kMinUnansweredProbes = 2;
/// Time after which an upstream that is not registered has ended: its entry may
/// be read late, or return.
constexpr Micros kMinUnregisteredTime = 3s;

}  // namespace

void CrashDetector::SendProbe(std::uint64_t aUpstream) {
  PendingProbe& probe = this->pendingProbes.at(aUpstream);
  probe.nextAt.reset();
  if (const char* reason = this->KnownEndOf(probe)) {
    this->OnEnded(aUpstream, reason);
    return;
  }
  if (!this->check.CanProbe(*probe.upstream)) {
    this->ProbeConnection(aUpstream);
    return;
  }
  this->check.RequestReport(
      probe.upstream, probe.timeout,
      [this, aUpstream](Liveness aLiveness, const UpstreamReport*) {
        this->OnReportResult(aUpstream, aLiveness);
      });
}

void CrashDetector::OnReportResult(std::uint64_t aUpstream,
                                   Liveness aLiveness) {
  switch (aLiveness) {
    case Liveness::Alive:
      this->OnAlive(aUpstream, "it returned a report");
      break;
    case Liveness::Ended:
      this->OnEnded(aUpstream, "another incarnation responds");
      break;
    case Liveness::Dropped:
      if (this->RecordUnanswered(aUpstream)) {
        this->OnNotReached(aUpstream, "it closes connections");
      } else {
        this->SendProbe(aUpstream);
      }
      break;
    case Liveness::TimedOut:
      this->pendingProbes.at(aUpstream).unansweredCount += 1;
      this->ProbeConnection(aUpstream);
      break;
    case Liveness::Unknown:
      this->ProbeConnection(aUpstream);
      break;
  }
}

void CrashDetector::ProbeConnection(std::uint64_t aUpstream) {
  PendingProbe& probe = this->pendingProbes.at(aUpstream);
  this->check.ProbeConnection(
      probe.upstream, probe.timeout,
      [this, aUpstream](Liveness aLiveness, const UpstreamReport*) {
        this->OnConnectionResult(aUpstream, aLiveness);
      });
}

void CrashDetector::OnConnectionResult(std::uint64_t aUpstream,
                                       Liveness aLiveness) {
  if (aLiveness == Liveness::Ended) {
    this->OnNotReached(aUpstream, "it refuses connections");
  } else if (aLiveness == Liveness::Unknown) {
    PendingProbe& probe = this->pendingProbes.at(aUpstream);
    probe.finding = "it accepts connections";
    this->ScheduleRetry(probe);
  } else if (this->RecordUnanswered(aUpstream)) {
    this->OnNotReached(aUpstream, aLiveness == Liveness::Dropped
                                      ? "it closes connections"
                                      : "connections time out");
  } else {
    this->ProbeConnection(aUpstream);
  }
}

void CrashDetector::OnNotReached(std::uint64_t aUpstream, const char* aReason) {
  PendingProbe& probe = this->pendingProbes.at(aUpstream);
  probe.finding = aReason;
  probe.wasUnreachable = true;
  this->MarkSuspect(probe.upstream);
  const UpstreamPtr witness = this->ChooseWitness(probe);
  if (!witness) {
    if (probe.unreachableWitnesses.empty()) {
      this->OnEnded(aUpstream, aReason);
    } else {
      probe.unreachableWitnesses.clear();
      this->ScheduleRetry(probe);
    }
    return;
  }
  this->check.ProbePath(
      witness, probe.timeout,
      [this, aUpstream, aReason, witness](bool aIsReached) {
        if (aIsReached) {
          this->OnEnded(aUpstream, aReason);
          return;
        }
        PendingProbe& pending = this->pendingProbes.at(aUpstream);
        pending.unreachableWitnesses.push_back(witness->Number());
        pending.witnessesFailed += 1;
        this->ScheduleRetry(pending);
      });
}

UpstreamPtr CrashDetector::ChooseWitness(const PendingProbe& aProbe) const {
  if (!this->upstreamsOf) {
    return nullptr;
  }
  const auto& excluded = aProbe.unreachableWitnesses;
  UpstreamPtr best;
  for (const UpstreamPtr& other :
       this->upstreamsOf(aProbe.upstream->Entry().service)) {
    const bool isExcluded = other == aProbe.upstream ||
                            other->IsDeregistered() ||
                            std::find(excluded.begin(), excluded.end(),
                                      other->Number()) != excluded.end();
    if (!isExcluded &&
        (!best || other->LastResponseAt() > best->LastResponseAt())) {
      best = other;
    }
  }
  return best;
}

void CrashDetector::CheckListedSuspicions() {
  const Instant now = this->clock.Now();
  const SuspectedCrashes listed = this->tracker.ListedSuspicions(now);
  if (!this->findUpstream || listed.empty()) {
    this->unregisteredSince.clear();
    return;
  }
  for (const auto& [request, upstreams] : listed) {
    for (const std::uint64_t number : upstreams) {
      if (this->HasListedEnded(number)) {
        const UpstreamCrash crash{request, number};
        this->tracker.OnWithdrawn(crash);
        this->OnCrash(crash, Provenance::Reported);
      }
    }
  }
}

bool CrashDetector::HasListedEnded(std::uint64_t aUpstream) {
  if (const UpstreamPtr upstream = this->findUpstream(aUpstream)) {
    this->unregisteredSince.erase(aUpstream);
    return upstream->HasEnded() || upstream->IsSucceeded();
  }
  const Instant now = this->clock.Now();
  const auto since = this->unregisteredSince.emplace(aUpstream, now).first;
  return now - since->second >= kMinUnregisteredTime;
}

bool CrashDetector::RecordUnanswered(std::uint64_t aUpstream) {
  PendingProbe& probe = this->pendingProbes.at(aUpstream);
  probe.unansweredCount += 1;
  return probe.unansweredCount >= kMinUnansweredProbes;
}

void CrashDetector::ScheduleRetry(PendingProbe& aProbe) {
  aProbe.unansweredCount = 0;
  // The next attempt also covers the runs lost during this one.
  aProbe.runs.insert(aProbe.runs.end(), aProbe.laterRuns.begin(),
                     aProbe.laterRuns.end());
  aProbe.laterRuns.clear();
  if (aProbe.wasUnreachable) {
    this->ShareSuspicions(aProbe);
  }
  aProbe.nextAt = this->clock.Now() + aProbe.timeout;
  aProbe.timeout = std::min(2 * aProbe.timeout, kMaxProbeTimeout);
}

}  // namespace zincstep
