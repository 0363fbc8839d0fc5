/// \file
/// Detection of lost, slow or leaving members of a stream's chain, and repair
/// of the chain without them.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

/// Time without events after which a suspect member is replaced: a few usual
/// gaps, so that a false suspicion does no harm.
constexpr Micros kMemberTimeout = 80ms;
/// Members are probed after this many average event gaps without an event, and
/// after `kMinProbeTimeout` at the earliest. A stalled stream must continue
/// within some 200 ms to be in time, but each probe is charged for.
constexpr double kProbeEventGaps = 2.2;
constexpr Micros kMinProbeTimeout = 70ms;
/// A member that is deregistered or releases its layers may still serve its
/// running requests, so it is replaced only after this time without events.
constexpr Micros kDepartedTimeout = 400ms;
/// A leaving member serves for about 2 s more; a stream that still runs there
/// after this time is migrated.
constexpr Micros kMaxLeavingTime = 1s;
/// Time before the end of the drain notice by which streams have left: the new
/// members have to read their tokens, and a rejected reroute is tried again.
constexpr Micros kLeaveMargin = 700ms;
/// Time within which the streams of a leaving first upstream get a new run.
constexpr Micros kLeaveFirstSpread = 300ms;
/// Share of the expected answer that remains at least: answers may be longer
/// than expected.
constexpr double kMinRemainingShare = 0.25;
/// Backoff after a rejected reroute: the same would be rejected again for a
/// while, and each order is charged for.
constexpr Micros kRefusedRepairBackoff = 800ms;
/// Maximum number of members excluded before the backoff applies. Another chain
/// is tried at once when the first upstream names the member at fault.
constexpr std::size_t kMaxExcluded = 4;

bool SameMembers(const PoolChain& aOne, const PoolChain& aOther) {
  return std::equal(aOne.begin(), aOne.end(), aOther.begin(), aOther.end(),
                    [](const PoolHop& aLeft, const PoolHop& aRight) {
                      return aLeft.upstream == aRight.upstream &&
                             aLeft.layers == aRight.layers;
                    });
}

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

bool StreamExchange::IsLost(const PoolHop& aHop, Instant aNow) const {
  const LiveUpstream& member = *aHop.upstream;
  const bool isOverdue = this->TimeSinceProgress(aNow) >= kDepartedTimeout;
  const bool hasDeparted =
      member.IsDeregistered() || !member.Entry().layers.Covers(aHop.layers);
  return member.HasEnded() || member.IsSuspect(aNow) ||
         (isOverdue && hasDeparted);
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
    this->Resume("the first upstream is likely lost");
    return true;
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

void StreamExchange::ExcludeFromRepairs(const UpstreamPtr& aUpstream,
                                        Instant aNow) {
  aUpstream->EjectUntil(aNow + this->context.settings.refusalBackoff);
  aUpstream->loss.Exclude(aNow);
  this->context.prober.Probe(aUpstream);
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

bool StreamExchange::IsDeparting(const PoolHop& aHop, Instant aNow) const {
  if (aHop.upstream == this->upstream) {
    return false;
  }
  const bool releasesLayers =
      !aHop.upstream->Entry().layers.Covers(aHop.layers);
  if (releasesLayers || !this->EstimatesRepairs()) {
    return releasesLayers || aHop.upstream->IsLeaving(aNow, kMaxLeavingTime);
  }
  // New members read few prompts at a time if the streams move one after the
  // other.
  const Micros period = this->LeavePeriod();
  const Micros drawn =
      kMaxLeavingTime + FromSeconds(HashShareOf(this->request.info.id) *
                                    ToSeconds(period - kMaxLeavingTime));
  return aHop.upstream->IsLeaving(aNow, drawn) &&
         aHop.upstream->IsLeaving(aNow + this->ExpectedRemaining(), period);
}

Micros StreamExchange::LeavePeriod() const {
  return std::max(kMaxLeavingTime,
                  this->context.settings.drainNotice - kLeaveMargin);
}

Micros StreamExchange::ExpectedRemaining() const {
  const ModelShape& model = *this->request.service->model;
  const TokenUse& use = this->request.info.tokens;
  double expected = use.guessedOut > 0 ? use.guessedOut : model.usualAnswer;
  expected = use.maxOut > 0 ? std::min(expected, use.maxOut) : expected;
  // Events are numbered from 1, one for each token.
  const auto done = static_cast<double>(this->splitter.LastId().value_or(0));
  const double remaining =
      std::max(expected - done, kMinRemainingShare * expected);
  return FromSeconds(remaining * this->averageEventGap);
}

bool StreamExchange::ShouldLeaveFirst(Instant aNow) const {
  if (!this->headSent || this->isRepairing) {
    return false;
  }
  const Micros period = this->LeavePeriod();
  const Micros spread = std::min(kLeaveFirstSpread, period - kMaxLeavingTime);
  const Micros drawn = period - FromSeconds(HashShareOf(this->request.info.id) *
                                            ToSeconds(spread));
  return this->upstream->IsLeaving(aNow, drawn) &&
         this->upstream->IsLeaving(aNow + this->ExpectedRemaining(),
                                   this->context.settings.drainNotice) &&
         this->HasNewRun(aNow);
}

Micros StreamExchange::ReadTimeOf(const PoolChain& aChain, Instant aNow) const {
  Micros time{0};
  for (const PoolHop& hop : aChain) {
    const double rate = ChainChooser::ReadRate(*this->request.service->model,
                                               hop.upstream->Entry());
    if (!this->IsMember(*hop.upstream) && rate > 0) {
      time += hop.upstream->ReadWait(aNow) +
              FromSeconds(this->tokens * hop.layers.Size() / rate);
    }
  }
  return time;
}

bool StreamExchange::IsMember(const LiveUpstream& aUpstream) const {
  return std::any_of(this->chain.begin(), this->chain.end(),
                     [&](const PoolHop& aMember) {
                       return aMember.upstream.get() == &aUpstream;
                     });
}

bool StreamExchange::TryStartRepair(Instant aNow) {
  if (this->isRepairing || aNow < this->nextRepair) {
    return false;
  }
  this->nextRepair = aNow + this->context.settings.repairInterval;
  return true;
}

std::optional<PoolChain> StreamExchange::RepairedChain(Instant aNow) {
  std::vector<UpstreamPtr> atFault = this->excluded;
  if (this->EstimatesRepairs()) {
    for (const PoolHop& hop : this->chain) {
      const LiveUpstream& member = *hop.upstream;
      if (member.loss.IsExcluded(member.LastResponseAt(), aNow)) {
        atFault.push_back(hop.upstream);
      }
    }
  }
  return this->context.chains.Repair(
      *this->request.service->model,
      this->context.view.Directory().OfService(this->request.service->name),
      this->chain, atFault, this->tokens, aNow, this->context.random,
      this->EstimatesRepairs() ? RepairCost::ReadTime : RepairCost::FreeMemory);
}

bool StreamExchange::HasNewRun(Instant aNow) const {
  const RelaySettings& settings = this->context.settings;
  return this->headSent && this->CanResume() &&
         this->sends < settings.maxSends && aNow < this->request.deadline &&
         this->context.RetriesOf(this->request.service->name).Available(aNow) >=
             1;
}

RepairInput StreamExchange::ObserveRepair(Instant aNow) const {
  const ModelShape& model = *this->request.service->model;
  RepairInput input;
  for (std::size_t i = 1; i < this->chain.size(); ++i) {
    const PoolHop& hop = this->chain[i];
    const LiveUpstream& member = *hop.upstream;
    if (this->IsLost(hop, aNow) ||
        member.loss.IsExcluded(member.LastResponseAt(), aNow)) {
      // Streams of other daemons use other parts of its range.
      const LayerRange held = member.Entry().layers;
      input.lost.push_back({held.Covers(hop.layers) ? held : hop.layers,
                            member.loss.WorkAtLoss(member.Work(), aNow)});
    }
  }
  ObservePool(
      input, model,
      this->context.view.Directory().OfService(this->request.service->name),
      this->upstream->Entry().failureDomain, aNow);
  input.silence = aNow - this->lastForwardedAt;
  input.maxGap = this->request.route->longestPause;
  input.firstEventTime = FromSeconds(this->context.repairs.firstEventSeconds);
  input.mayRunAnew = this->HasNewRun(aNow);
  input.hash = HashShareOf(this->request.info.id);
  return input;
}

RepairDecision StreamExchange::DecideRepair(Instant aNow) const {
  if (!this->headSent) {
    return {};  // Nothing has been read yet that a new run would lose.
  }
  const RepairInput input = this->ObserveRepair(aNow);
  const RepairDecision decision = ChooseRepair(input);
  const std::string action(NameIn(kRepairActionNames, decision.action));
  const std::string reason(NameIn(kRepairReasonNames, decision.reason));
  double work = 0;
  for (const LostStage& stage : input.lost) {
    work += stage.work;
  }
  LogInfo("repair_chosen", {{"request", this->request.info.id},
                            {"choice", action},
                            {"reason", reason},
                            {"reroute_ms", decision.allRerouted / 1ms},
                            {"new_run_ms", decision.allRunAnew / 1ms},
                            {"reroute_share", decision.rerouteShare},
                            {"lost_members", input.lost.size()},
                            {"lost_work", work},
                            {"silent_ms", input.silence / 1ms}});
  this->context.metrics.Count("zincstep_repairs_chosen_total",
                              {{"choice", action}, {"reason", reason}});
  return decision;
}

std::optional<PoolChain> StreamExchange::ChooseForRerun(
    Instant aNow, const std::string& aLastDomain) {
  const std::vector<UpstreamPtr>& all =
      this->context.view.Directory().OfService(this->request.service->name);
  const ModelShape& model = *this->request.service->model;
  for (const std::string& domain :
       DrawDomains(model, all, aLastDomain, aNow, this->context.random)) {
    auto found = this->context.chains.ChooseByReadTime(
        model, all, domain, this->tokens, aNow, this->context.random);
    if (found) {
      return found;
    }
  }
  return this->context.chains.Choose(
      model, all, this->context.settings.failureDomain, this->tokens, aNow,
      this->context.random, this->Timing());
}

bool StreamExchange::TryNewRun(const char* aReason, Instant aNow,
                               const std::string& aLastDomain) {
  auto chosen = this->ChooseForRerun(aNow, aLastDomain);
  if (!chosen) {
    return false;
  }
  const int runsBefore = this->runs;
  this->nextChain = std::move(chosen);
  this->Resume(aReason);
  this->nextChain.reset();
  return this->runs > runsBefore;
}

void StreamExchange::MigrateChain(Instant aNow) {
  if (!this->upstream->MayCall(aNow) || !this->TryStartRepair(aNow)) {
    return;
  }
  const auto chain = this->RepairedChain(aNow);
  if (!chain || SameMembers(*chain, this->chain)) {
    return;
  }
  // The stream progresses, so it must not pause for longer than callers accept;
  // until the end of the period a later attempt may find fewer reads.
  const bool mayWait =
      this->EstimatesRepairs() &&
      std::none_of(this->chain.begin() + 1, this->chain.end(),
                   [&](const PoolHop& aHop) {
                     const LiveUpstream& member = *aHop.upstream;
                     return !member.Entry().layers.Covers(aHop.layers) ||
                            member.IsLeaving(aNow, this->LeavePeriod());
                   });
  const Micros pause =
      this->ReadTimeOf(*chain, aNow) + FromSeconds(this->averageEventGap);
  if (mayWait && pause > this->request.route->longestPause) {
    return;
  }
  this->Reroute(*chain);
}

UpstreamPtr StreamExchange::UpstreamToQuery(Instant aNow) {
  if (this->IsDone() || !this->call || !this->call->HasSent() ||
      this->isRepairing || this->isReadingPaused) {
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

void StreamExchange::Repair(Instant aNow) {
  if (!this->TryStartRepair(aNow)) {
    return;
  }
  if (!this->upstream->MayCall(aNow)) {
    this->Resume("the call limit of the first upstream permits no order");
    return;
  }
  if (this->EstimatesRepairs() &&
      this->DecideRepair(aNow).action == RepairAction::NewRun &&
      this->TryNewRun("a new run is expected to continue sooner", aNow,
                      this->upstream->Entry().failureDomain)) {
    return;
  }
  const auto repaired = this->RepairedChain(aNow);
  if (!repaired) {
    // No other upstream of its domain holds the lost layers; a chain in another
    // domain may.
    this->Resume("no other upstream holds the lost layers");
    return;
  }
  this->Reroute(*repaired);
}

void StreamExchange::Reroute(const PoolChain& aChain) {
  this->isRepairing = true;
  this->context.control.Reroute(
      this->request.info.id, aChain,
      [self =
           std::static_pointer_cast<StreamExchange>(this->shared_from_this()),
       aChain](const Result<OrderOutcome>& aOutcome) {
        self->OnRepaired(aChain, aOutcome);
      });
}

bool StreamExchange::ExcludeRejected(const PoolChain& aChain,
                                     const std::string& aAddress) {
  for (const PoolHop& hop : aChain) {
    if (hop.upstream->Entry().address != aAddress ||
        hop.upstream == this->upstream) {
      continue;
    }
    if (this->EstimatesRepairs()) {
      this->ExcludeFromRepairs(hop.upstream, this->Now());
    } else {
      hop.upstream->EjectUntil(this->Now() +
                               this->context.settings.refusalBackoff);
      this->context.prober.Probe(hop.upstream);
    }
    this->excluded.push_back(hop.upstream);
    return this->excluded.size() <= kMaxExcluded;
  }
  return false;
}

void StreamExchange::RecordReads(const PoolChain& aChain, Instant aNow) {
  for (const PoolHop& hop : aChain) {
    const double rate = ChainChooser::ReadRate(*this->request.service->model,
                                               hop.upstream->Entry());
    if (!this->IsMember(*hop.upstream) && rate > 0) {
      hop.upstream->AddRead(
          FromSeconds(this->tokens * hop.layers.Size() / rate), aNow);
    }
  }
}

void StreamExchange::OnRepaired(PoolChain aChain,
                                const Result<OrderOutcome>& aOutcome) {
  this->isRepairing = false;
  if (this->IsDone() || !this->call) {
    return;
  }
  const Instant now = this->Now();
  const bool isAccepted = aOutcome && aOutcome->status == OrderStatus::Accepted;
  LogInfo("stream_repaired",
          {{"request", this->request.info.id},
           {"taken", isAccepted},
           {"at_fault", aOutcome ? aOutcome->atFault : ""},
           {"silent_ms", this->TimeSinceProgress(now) / 1ms}});
  if (isAccepted) {
    this->repairs += 1;
    this->RecordReads(aChain, now);
    this->context.metrics.Count("zincstep_streams_repaired_total");
    this->chain = std::move(aChain);
    this->Reserve(this->chain);
    this->isMigrating = this->EstimatesRepairs() &&
                        this->TimeSinceProgress(now) < kMemberTimeout;
    this->lastProgress = now;
    this->isReading = true;
    this->readingSince = now;
    this->excluded.clear();
    return;
  }
  if (aOutcome && this->ExcludeRejected(aChain, aOutcome->atFault)) {
    // Several members may be lost at once, so another chain is tried now.
    this->nextRepair = now;
    if (this->TimeSinceProgress(now) >= kMemberTimeout) {
      this->Repair(now);
      return;
    }
  } else {
    this->nextRepair = now + kRefusedRepairBackoff;
  }
  if (this->TimeSinceProgress(now) >= kDepartedTimeout) {
    // The stream is stalled, and its domain can't continue it.
    this->Resume("the first upstream rejects another chain");
  }
}

}  // namespace zincstep
