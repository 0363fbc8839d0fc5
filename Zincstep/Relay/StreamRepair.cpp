/// \file
/// Repair of a stream's chain without its lost members, in place or by a new
/// run.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

/// Backoff after a rejected reroute: the same would be rejected again for a
/// while, and each order is charged for.
constexpr Micros kRefusedRepairBackoff = 800ms;
/// Maximum number of members excluded before the backoff applies. Another chain
/// is tried at once when the first upstream names the member at fault.
constexpr std::size_t kMaxExcluded = 4;
/// Time without events from which on a stream may be rerouted through other
/// failure domains. It is late by then, and the traffic between domains makes
/// others late; but callers leave after 2 s without an event, and the new
/// members may need a second to read its tokens.
constexpr Micros kRemoteRepairSilence = 900ms;

}  // namespace

void StreamExchange::ExcludeFromRepairs(const UpstreamPtr& aUpstream,
                                        Instant aNow) {
  aUpstream->EjectUntil(aNow + this->context.settings.refusalBackoff);
  aUpstream->loss.Exclude(aNow);
  this->context.prober.Probe(aUpstream);
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

std::optional<PoolChain> StreamExchange::RepairedChain(Instant aNow,
                                                       RepairScope aScope) {
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
      this->EstimatesRepairs() ? RepairCost::ReadTime : RepairCost::FreeMemory,
      aScope);
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
  this->searches.Record(chosen.has_value(), aNow);
  if (!chosen) {
    return false;
  }
  const int runsBefore = this->runs;
  this->nextChain = std::move(chosen);
  this->Resume(aReason);
  this->nextChain.reset();
  return this->runs > runsBefore;
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
  auto repaired = this->RepairedChain(aNow);
  if (!repaired && this->Silence(aNow) >= kRemoteRepairSilence) {
    repaired = this->RepairedChain(aNow, RepairScope::AllDomains);
  }
  this->searches.Record(repaired.has_value(), aNow);
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
  this->isRepairRejected = !isAccepted;
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
