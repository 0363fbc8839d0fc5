/// \file
/// Detection of lost, silent or stalled members of a stream's chain.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

/// Members are probed after this many average event gaps without an event, and
/// after `kMinProbeTimeout` at the earliest. A stalled stream must continue
/// within some 200 ms to be in time, but each probe is charged for.
constexpr double kProbeEventGaps = 2.2;
constexpr Micros kMinProbeTimeout = 70ms;

}  // namespace

void StreamExchange::CheckMembers(Instant aNow) {
  if (!this->call || this->isReadingPaused) {
    return;
  }
  if (this->headSent && this->TimeSinceProgress(aNow) >= this->ProbeTimeout()) {
    this->ProbeMembers(aNow);
  }
  if (this->TimeSinceProgress(aNow) < kMemberTimeout) {
    bool hasDeparting = false;
    for (const PoolHop& hop : this->chain) {
      // With a send or an accepted reroute nothing has come from the member.
      if (!this->EstimatesRepairs() || !this->isReading) {
        hop.upstream->OnResponse(this->lastProgress);
      }
      hasDeparting = hasDeparting || this->IsDeparting(hop, aNow);
    }
    if (hasDeparting && this->headSent) {
      this->MigrateChain(aNow);
    } else if (this->EstimatesRepairs() && this->ShouldLeaveFirst(aNow) &&
               this->TryStartRepair(aNow)) {
      this->TryNewRun("the first upstream is leaving", aNow, "");
    }
    return;
  }
  if (this->upstream->HasEnded()) {
    // No event may ever arrive on its connection; the timeout for that is 1 s.
    this->Resume("the first upstream has restarted");
    return;
  }
  if (this->upstream->IsSuspect(aNow)) {
    this->Resume("the first upstream is lost");
    return;
  }
  const bool canCall = this->upstream->MayCall(aNow);
  if (this->headSent && !canCall &&
      this->TimeSinceProgress(aNow) >=
          this->context.settings.silentConnectionTimeout) {
    // The call limit permits no probe that could show whether it is alive: a
    // connection is also accepted for a stopped process, on which its streams
    // would stall until their deadline.
    this->context.connections.Quarantine(
        this->upstream->Entry().Incarnation().Text());
    this->Resume("no events, and the first upstream can't be queried");
    return;
  }
  if (this->EstimatesRepairs() && this->LeaveLikelyLost(aNow)) {
    return;
  }
  if (this->isMigrating && this->isReading &&
      aNow - this->lastForwardedAt +
              FromSeconds(this->context.repairs.firstEventSeconds) >=
          this->request.route->longestPause) {
    this->isMigrating = false;
    if (this->HasNewRun(aNow) &&
        this->TryNewRun("the new members have not continued the stream", aNow,
                        this->upstream->Entry().failureDomain)) {
      return;
    }
  }
  const bool hasLost = std::any_of(
      this->chain.begin() + 1, this->chain.end(),
      [&](const PoolHop& aHop) { return this->IsLost(aHop, aNow); });
  if (hasLost) {
    this->Repair(aNow);
  }
}

bool StreamExchange::HasDeparted(const PoolHop& aHop, Instant aNow) const {
  const LiveUpstream& member = *aHop.upstream;
  const bool isOverdue = this->TimeSinceProgress(aNow) >= kDepartedTimeout;
  const bool hasLeft =
      member.IsDeregistered() || !member.Entry().layers.Covers(aHop.layers);
  return member.HasEnded() || (isOverdue && hasLeft);
}

bool StreamExchange::IsLost(const PoolHop& aHop, Instant aNow) const {
  return this->HasDeparted(aHop, aNow) || aHop.upstream->IsSuspect(aNow);
}

StreamProgress StreamExchange::ProgressAt(Instant aNow) const {
  if (this->IsDone() || !this->call || !this->headSent || this->isReading ||
      this->isReadingPaused || this->isRepairing) {
    return StreamProgress::Unknown;
  }
  const Micros silence = this->TimeSinceProgress(aNow);
  if (silence < kMemberTimeout) {
    return StreamProgress::Progressing;
  }
  return silence >= this->ProbeTimeout() ? StreamProgress::Silent
                                         : StreamProgress::Unknown;
}

void StreamExchange::ObserveMembers(Instant aNow) {
  const StreamProgress progress = this->ProgressAt(aNow);
  if (progress == StreamProgress::Unknown) {
    return;
  }
  for (const PoolHop& hop : this->chain) {
    progress == StreamProgress::Silent
        ? hop.upstream->loss.CountSilent(aNow)
        : hop.upstream->OnResponse(this->lastProgress);
  }
}

bool StreamExchange::LeaveLikelyLost(Instant aNow) {
  if (!this->headSent || aNow < this->nextRepair || this->isRepairing) {
    return false;
  }
  std::vector<MemberEvidence> evidence;
  evidence.reserve(this->chain.size());
  for (const PoolHop& hop : this->chain) {
    const LiveUpstream& member = *hop.upstream;
    const bool hasResponded = aNow - member.LastResponseAt() < kMemberTimeout;
    evidence.push_back(
        {member.loss.IsSuspectedByPeer(member.LastResponseAt(), aNow),
         hasResponded ? 0 : member.loss.SilentStreams(aNow)});
  }
  const std::vector<std::size_t> lost = FindLikelyLost(evidence);
  if (lost.empty()) {
    return false;
  }
  if (lost.front() == 0) {
    if (!this->HasNewRun(aNow)) {
      return false;
    }
    this->upstream->loss.OnLoss(this->upstream->Work(), aNow);
    this->ExcludeFromRepairs(this->upstream, aNow);
    const int runsBefore = this->runs;
    this->Resume("the first upstream is likely lost");
    return this->runs > runsBefore;
  }
  for (const std::size_t member : lost) {
    const UpstreamPtr& upstream = this->chain[member].upstream;
    upstream->loss.OnLoss(upstream->Work(), aNow);
    this->ExcludeFromRepairs(upstream, aNow);
    LogInfo("member_likely_lost",
            {{"request", this->request.info.id},
             {"upstream", upstream->Entry().id},
             {"peer_suspects", evidence[member].isSuspectedByPeer},
             {"silent_streams", evidence[member].silentStreams}});
  }
  this->Repair(aNow);
  return true;
}

Micros StreamExchange::ProbeTimeout() const {
  return std::max(kMinProbeTimeout,
                  FromSeconds(kProbeEventGaps * this->averageEventGap));
}

void StreamExchange::ProbeMembers(Instant aNow) {
  for (const PoolHop& hop : this->chain) {
    if (aNow - hop.upstream->LastResponseAt() >= kMinProbeTimeout) {
      this->context.prober.Probe(hop.upstream);
    }
  }
}

UpstreamPtr StreamExchange::UpstreamToQuery(Instant aNow) {
  if (this->IsDone() || !this->call || !this->call->HasSent() ||
      this->isRepairing || this->isReadingPaused) {
    return nullptr;
  }
  // Each query is charged for; a suspect upstream is probed, less often.
  if (this->silentSince && this->upstream->IsSuspect(aNow)) {
    return nullptr;
  }
  const Micros limit = this->headSent
                           ? this->context.settings.eventTimeout
                           : this->context.settings.firstEventTimeout;
  return this->TimeSinceProgress(aNow) >= limit ? this->upstream : nullptr;
}

void StreamExchange::OnReport(const UpstreamPtr& aUpstream,
                              const Result<UpstreamReport>& aReport) {
  const Instant now = this->Now();
  if (this->IsDone() || !this->call || aUpstream != this->upstream ||
      this->TimeSinceProgress(now) < kMemberTimeout) {
    return;
  }
  if (!aReport) {
    this->Suspect(*aUpstream);
    this->Resume("the first upstream does not respond");
    return;
  }
  LogInfo("stream_silent", {{"request", this->request.info.id},
                            {"upstream", aUpstream->Entry().id},
                            {"silent_ms", this->TimeSinceProgress(now) / 1ms},
                            {"running", aReport->running},
                            {"queued", aReport->queued},
                            {"memory_used", aReport->memoryUsed},
                            {"memory_total", aReport->memoryTotal},
                            {"own_view", aUpstream->Work()},
                            {"pace", aReport->slowdown},
                            {"first", this->chain.front().layers.last},
                            {"hops", this->chain.size()},
                            {"stalled", aReport->stalled.size()}});
  for (const StalledRequest& stalled : aReport->stalled) {
    if (stalled.requestId == this->request.info.id) {
      LogInfo("stream_stalled", {{"request", stalled.requestId},
                                 {"waits_for", stalled.waitsFor}});
      this->Exclude(stalled.waitsFor, now, true);
      this->Repair(now);
      return;
    }
  }
  const Micros limit = this->context.settings.silentConnectionTimeout;
  if (aReport->queued == 0 && this->TimeSinceProgress(now) >= limit) {
    this->context.connections.Quarantine(
        aUpstream->Entry().Incarnation().Text());
    this->Resume("its connection delivers nothing");
  }
}

}  // namespace zincstep
