#include "Zincstep/Entry/ModelHandler.h"

#include <algorithm>

#include "Zincstep/Entry/ModelRequest.h"

namespace zincstep {

namespace {

/// Request numbers start at a random value below this, so that those of two
/// incarnations of a daemon do not collide at an engine.
constexpr std::uint64_t kFirstRequestSpread = std::uint64_t{1} << 52;

constexpr std::size_t kMaxRoutes = 512;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/// Maximum number of starts of a request that has no token yet.
constexpr int kMaxStarts = 3;

}  // namespace

ModelHandler::ModelHandler(EntryContext& aContext, ClaimCoordinator& aClaims,
                           ModelPool& aPool)
    : context(aContext),
      claims(aClaims),
      pool(aPool),
      lastRequest(aContext.random.Below(kFirstRequestSpread)),
      routes(kMaxRoutes) {}

ModelHandler::~ModelHandler() = default;

ModelHandler::Request* ModelHandler::Find(std::uint64_t aRequest) {
  const auto found = this->requests.find(aRequest);
  return found == this->requests.end() || found->second->hasEnded
             ? nullptr
             : found->second.get();
}

void ModelHandler::Remove(std::uint64_t aRequest) {
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || found->second->hasEnded) {
    return;
  }
  found->second->hasEnded = true;
  this->byExchange.erase(found->second->exchange);
  // Functions up the call stack may still use it; the next tick frees it.
  this->ended.push_back(aRequest);
}

void ModelHandler::OnModelList(const HttpRequest& aRequest) {
  const Result<CallerInfo> caller = ParseCallerInfo(
      aRequest, *this->context.snapshot, LimitsOf(this->context.settings),
      this->context.clock.Now(), this->context.random);
  if (!caller) {
    this->context.Refuse(aRequest.exchange, caller.error());
    return;
  }
  this->context.callers.Respond(
      aRequest.exchange, JsonResponse(ModelListText(*this->context.snapshot,
                                                    *caller->organisation)));
}

void ModelHandler::OnRequest(const HttpRequest& aRequest, bool aIsChat) {
  const Instant now = this->context.clock.Now();
  Result<CallerInfo> caller = ParseCallerInfo(aRequest, *this->context.snapshot,
                                              LimitsOf(this->context.settings),
                                              now, this->context.random);
  if (!caller) {
    this->context.Refuse(aRequest.exchange, caller.error());
    return;
  }
  Result<CompletionRequest> completion = ReadCompletion(aRequest.body, aIsChat);
  if (!completion) {
    this->context.Refuse(aRequest.exchange, completion.error());
    return;
  }
  if (!this->context.AcceptsInStop(aRequest.exchange, caller->deadline)) {
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = ++this->lastRequest;
  request.exchange = aRequest.exchange;
  request.snapshot = this->context.snapshot;
  request.caller = std::move(*caller);
  request.completion = std::move(*completion);
  request.receivedAt = now;
  request.digest = RequestDigest(aRequest);
  request.isKeyed = !request.caller.idempotencyKey.empty();
  request.span = this->context.tracer.Begin("request", request.caller.trace);
  const std::uint64_t id = request.id;
  this->requests[id] = std::move(owned);
  this->byExchange[request.exchange] = id;
  this->context.metrics.Count("zincstep_requests_total", {{"kind", "model"}});
  if (request.isKeyed) {
    this->claims.Begin(id,
                       ClaimKey(request.caller.organisation->name,
                                request.caller.idempotencyKey),
                       request.digest, *this);
    return;
  }
  this->Admit(request);
}

void ModelHandler::Start(Request& aRequest, const Choice& aChoice) {
  const Instant now = this->context.clock.Now();
  const Organisation& organisation = *aRequest.caller.organisation;
  aRequest.isWaiting = false;
  aRequest.starts += 1;
  FairQueue& queue = this->QueueOf(aRequest);
  queue.OnBegin(organisation.name, organisation.weight,
                aRequest.ExpectedCharge());
  this->context.limits.Charge(organisation.name, aRequest.promptTokens, now);
  aRequest.head = {"cmpl-" + std::to_string(aRequest.id),
                   aRequest.completion.model, WallMicros() / kMicrosPerSecond,
                   aRequest.completion.isChat};
  StreamSettings settings;
  settings.maxTokens = aRequest.maxTokens;
  settings.deadline = aRequest.caller.deadline;
  settings.firstAttempt = aRequest.nextAttempt;
  aRequest.repairer = std::make_unique<PlannerRepairer>(aRequest.planner);
  aRequest.machine = std::make_unique<StreamMachine>(
      aRequest.id, aRequest.planner->GetFleet().layers, settings,
      *aRequest.repairer);
  aRequest.lastToken = now;
  this->context.metrics.Observe("zincstep_queue_seconds",
                                ToSeconds(now - aRequest.receivedAt));
  this->ApplyActions(aRequest, aRequest.machine->Start(aChoice.chain, now));
}

void ModelHandler::SettleCharge(Request& aRequest) {
  const double tokens = aRequest.machine->Filter().NextPosition();
  this->QueueOf(aRequest).OnEnd(aRequest.caller.organisation->name,
                                aRequest.ExpectedCharge(),
                                {aRequest.promptTokens, tokens});
}

void ModelHandler::ReleaseChain(Request& aRequest) {
  if (aRequest.currentChain) {
    aRequest.planner->OnEnd(*aRequest.currentChain);
    aRequest.currentChain.reset();
  }
}

void ModelHandler::ApplyActions(Request& aRequest,
                                const StreamActions& aActions) {
  for (const StreamAction& action : aActions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->StartAttemptOf(aRequest, *start);
    } else if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
      this->context.engines.Abandon(aRequest.id, abandon->attempt);
    } else if (const auto* release = std::get_if<ReleaseStages>(&action)) {
      this->ReleaseStagesOf(aRequest, *release);
    } else if (const auto* emit = std::get_if<EmitToken>(&action)) {
      this->Emit(aRequest, *emit);
    } else if (const auto* probe = std::get_if<ProbeStages>(&action)) {
      this->ProbeStagesOf(aRequest, *probe);
    } else if (const auto* hopFailure =
                   std::get_if<ReportHopFailure>(&action)) {
      aRequest.planner->Loads().OnFailure(hopFailure->replica,
                                          this->context.clock.Now());
      this->context.metrics.Count(
          "zincstep_hop_failures_total",
          {{"failure",
            std::string(NameIn(kHopFailureNames, hopFailure->failure))}});
    } else if (const auto* finish = std::get_if<FinishStream>(&action)) {
      this->Finish(aRequest, *finish);
    } else if (const auto* fail = std::get_if<FailStream>(&action)) {
      this->FailRunning(aRequest, *fail);
    }
  }
}

void ModelHandler::StartAttemptOf(Request& aRequest,
                                  const StartAttempt& aAction) {
  const Instant now = this->context.clock.Now();
  this->ReleaseChain(aRequest);
  aRequest.planner->OnStart(aAction.chain);
  aRequest.currentChain = aAction.chain;
  const auto& replicas = aRequest.planner->GetFleet().replicas;
  EngineAttempt attempt;
  attempt.request = aRequest.id;
  attempt.attempt = aAction.attempt;
  attempt.model = aRequest.model->name;
  attempt.version = aRequest.version;
  attempt.adapter = aRequest.completion.adapter;
  attempt.cacheSalt = aRequest.caller.organisation->name;
  attempt.priority = aRequest.caller.priority;
  attempt.prompt = aRequest.completion.prompt;
  attempt.tokens = aRequest.machine->Tokens();
  attempt.maxTokens = aRequest.maxTokens;
  attempt.timeLeft = std::max<Micros>(1ms, aRequest.caller.deadline - now);
  attempt.traceParent = aRequest.span.context.Header();
  nlohmann::json hops = nlohmann::json::array();
  for (const AttemptStage& stage : aAction.stages) {
    const auto replica = static_cast<std::size_t>(stage.hop.replica);
    hops.push_back({{"upstream", replicas[replica].name},
                    {"layers", {stage.hop.layers.first, stage.hop.layers.last}},
                    {"cache", NameIn(kCacheSourceNames, stage.source)}});
    EngineStage engine;
    engine.address = replicas[replica].address;
    engine.layers = stage.hop.layers;
    engine.source = stage.source;
    if (stage.importFrom >= 0) {
      engine.importAddress =
          replicas[static_cast<std::size_t>(stage.importFrom)].address;
    }
    attempt.stages.push_back(std::move(engine));
  }
  aRequest.attempts.push_back(
      {{"attempt", aAction.attempt},
       {"from_token", aRequest.machine->Tokens().size()},
       {"after_ms", (now - aRequest.receivedAt).count() / 1000},
       {"hops", std::move(hops)}});
  if (aAction.attempt > 1) {
    aRequest.lastGapStart = aRequest.lastToken;
    this->context.metrics.Count("zincstep_recoveries_total");
    this->context.tracer.Write("recover", aRequest.span.context,
                               now - aRequest.lastToken,
                               {{"attempt", aAction.attempt},
                                {"tokens", aRequest.machine->Tokens().size()}});
  }
  this->context.engines.Start(std::move(attempt));
}

void ModelHandler::ReleaseStagesOf(Request& aRequest,
                                   const ReleaseStages& aAction) {
  const auto& replicas = aRequest.planner->GetFleet().replicas;
  for (const int replica : aAction.replicas) {
    this->context.engines.Release(
        replicas[static_cast<std::size_t>(replica)].address, aRequest.id,
        aAction.attempt);
  }
}

void ModelHandler::ProbeStagesOf(Request& aRequest,
                                 const ProbeStages& aAction) {
  const auto& replicas = aRequest.planner->GetFleet().replicas;
  std::vector<std::string> addresses;
  for (const ChainHop& hop : aAction.chain.hops) {
    addresses.push_back(
        replicas[static_cast<std::size_t>(hop.replica)].address);
  }
  this->context.engines.Probe(aRequest.id, aAction.attempt, addresses);
}

void ModelHandler::Emit(Request& aRequest, const EmitToken& aAction) {
  const Instant now = this->context.clock.Now();
  const Organisation& organisation = *aRequest.caller.organisation;
  const bool isFirst = aAction.position == 0;
  this->context.metrics.Observe(
      isFirst ? "zincstep_first_token_seconds" : "zincstep_token_gap_seconds",
      ToSeconds(now - (isFirst ? aRequest.receivedAt : aRequest.lastToken)));
  aRequest.lastToken = now;
  this->context.limits.Charge(organisation.name, 1, now);
  this->served[organisation.name] += 1;
  aRequest.text += aAction.text;
  if (!aRequest.completion.stream) {
    return;
  }
  if (!aRequest.streamStarted) {
    aRequest.streamStarted = true;
    this->context.callers.StartStream(
        aRequest.exchange, 200,
        {{"Content-Type", "text/event-stream"},
         {"Cache-Control", "no-cache"},
         {"zincstep-request-id", aRequest.head.id}});
  }
  this->context.callers.Append(
      aRequest.exchange, TokenEventText(aRequest.head, aAction.text, isFirst));
}

void ModelHandler::Finish(Request& aRequest, const FinishStream& aAction) {
  const int tokens = aRequest.machine->Filter().NextPosition();
  const std::string body =
      FullResponseText(aRequest.head, aRequest.text, aAction.reason,
                       aRequest.actualPromptTokens, tokens);
  if (aRequest.completion.stream) {
    this->context.callers.Append(
        aRequest.exchange, EndEventText(aRequest.head, aAction.reason,
                                        aRequest.actualPromptTokens, tokens));
    this->context.callers.Finish(aRequest.exchange);
  } else {
    HttpResponse response = JsonResponse(body);
    response.headers.push_back({"zincstep-request-id", aRequest.head.id});
    this->context.callers.Respond(aRequest.exchange, std::move(response));
  }
  if (aRequest.isKeyed) {
    const CachedResponse cached{200, "application/json", body, false};
    this->claims.Finish(aRequest.id, &cached);
  }
  if (aRequest.currentChain) {
    aRequest.planner->RecordPrefix(aRequest.prefixHashes,
                                   *aRequest.currentChain);
    for (const ChainHop& hop : aRequest.currentChain->hops) {
      aRequest.planner->Loads().OnSuccess(hop.replica);
    }
  }
  this->ReleaseChain(aRequest);
  this->SettleCharge(aRequest);
  this->EndSpan(aRequest, "whole");
  this->Remove(aRequest.id);
}

bool ModelHandler::Restart(Request& aRequest, const FailStream& aAction) {
  // The caller has received nothing yet, so the request can start again,
  // perhaps in another version whose upstreams were not lost.
  const bool canRestart = aAction.tokens == 0 && aRequest.starts < kMaxStarts &&
                          aAction.error.kind == ErrorKind::ResponseIncomplete;
  if (!canRestart) {
    return false;
  }
  aRequest.nextAttempt = aRequest.machine->Filter().Attempt() + 1;
  this->ReleaseChain(aRequest);
  this->SettleCharge(aRequest);
  aRequest.machine.reset();
  aRequest.isRestarted = true;
  this->Admit(aRequest);
  return true;
}

void ModelHandler::FailRunning(Request& aRequest, const FailStream& aAction) {
  if (this->Restart(aRequest, aAction)) {
    return;
  }
  this->context.metrics.Count(
      "zincstep_failures_total",
      {{"kind", std::string(ErrorInfoFor(aAction.error.kind).name)}});
  if (aRequest.streamStarted) {
    this->context.callers.Append(aRequest.exchange,
                                 ErrorEventText(aAction.error, aAction.tokens));
    this->context.callers.Finish(aRequest.exchange);
  } else {
    this->context.callers.Respond(aRequest.exchange,
                                  ErrorResponse(aAction.error));
  }
  this->claims.Finish(aRequest.id, nullptr);
  this->ReleaseChain(aRequest);
  this->SettleCharge(aRequest);
  this->EndSpan(aRequest, std::string(ErrorInfoFor(aAction.error.kind).name));
  this->Remove(aRequest.id);
}

void ModelHandler::EndSpan(Request& aRequest, const std::string& aOutcome) {
  aRequest.span.attributes["outcome"] = aOutcome;
  aRequest.span.attributes["organisation"] = aRequest.caller.organisation->name;
  aRequest.span.attributes["model"] = aRequest.completion.model;
  if (aRequest.machine) {
    aRequest.span.attributes["tokens"] =
        aRequest.machine->Filter().NextPosition();
    aRequest.span.attributes["recoveries"] = aRequest.machine->Recoveries();
  }
  this->context.tracer.End(aRequest.span);
  if (!aRequest.head.id.empty()) {
    this->routes.Add(aRequest.head.id,
                     {{"request", aRequest.head.id},
                      {"organisation", aRequest.caller.organisation->name},
                      {"model", aRequest.completion.model},
                      {"version", aRequest.version},
                      {"outcome", aOutcome},
                      {"trace", aRequest.caller.trace.traceId},
                      {"attempts", aRequest.attempts}});
  }
}

void ModelHandler::OnCallerDisconnected(ExchangeId aExchange) {
  const auto found = this->byExchange.find(aExchange);
  if (found == this->byExchange.end()) {
    return;
  }
  Request* request = this->Find(found->second);
  this->context.metrics.Count("zincstep_callers_gone_total");
  if (request->isWaiting) {
    this->QueueOf(*request).Remove(request->id);
    this->claims.Release(request->id);
  } else if (request->machine) {
    this->ApplyActions(*request, request->machine->OnCallerDisconnected());
    this->claims.Finish(request->id, nullptr);
    this->ReleaseChain(*request);
    this->SettleCharge(*request);
  }
  this->EndSpan(*request, "caller_gone");
  this->Remove(request->id);
}

void ModelHandler::OnToken(const TokenEvent& aEvent) {
  Request* request = this->Find(aEvent.request);
  if (request == nullptr || !request->machine) {
    this->context.metrics.Count("zincstep_steps_total",
                                {{"verdict", "foreign"}});
    return;
  }
  if (aEvent.promptTokens > 0) {
    request->actualPromptTokens = aEvent.promptTokens;
  }
  const StepCounts before = request->machine->Filter().Counts();
  const Chain chain = request->machine->CurrentChain();
  const StreamActions actions =
      request->machine->OnToken(aEvent, this->context.clock.Now());
  const StepCounts& after = request->machine->Filter().Counts();
  for (std::size_t i = 0; i < after.size(); ++i) {
    if (after[i] == before[i]) {
      continue;
    }
    this->context.metrics.Count(
        "zincstep_steps_total",
        {{"verdict", std::string(kStepVerdictNames[i].second)}});
    const bool accepted = i == static_cast<std::size_t>(StepVerdict::Accepted);
    for (std::size_t hop = 0;
         accepted && hop < aEvent.stages.size() && hop < chain.hops.size();
         ++hop) {
      const auto& replica =
          request->planner->GetFleet()
              .replicas[static_cast<std::size_t>(chain.hops[hop].replica)];
      const double declared =
          replica.layerSeconds * chain.hops[hop].layers.Size();
      request->planner->Loads().OnStep(
          chain.hops[hop].replica,
          ToSeconds(aEvent.stages[hop].compute) / std::max(declared, 1e-6));
    }
  }
  this->ApplyActions(*request, actions);
}

void ModelHandler::OnAttemptFailed(std::uint64_t aRequest, int aAttempt,
                                   int aStage, HopFailure aFailure) {
  if (Request* request = this->Find(aRequest); request && request->machine) {
    this->ApplyActions(*request,
                       request->machine->OnFailure(aAttempt, aStage, aFailure,
                                                   this->context.clock.Now()));
  }
}

void ModelHandler::OnProgress(std::uint64_t aRequest, int aAttempt,
                              const std::vector<StageProgress>& aProgress) {
  if (Request* request = this->Find(aRequest); request && request->machine) {
    this->ApplyActions(*request,
                       request->machine->OnProgress(aAttempt, aProgress));
  }
}

void ModelHandler::OnTick(Instant aNow) {
  for (auto& [model, queue] : this->queues) {
    this->RefuseExpired(queue, aNow);
    this->StartWaiting(queue, aNow);
  }
  for (const auto& [id, request] : this->requests) {
    if (!request->hasEnded && request->machine) {
      this->ApplyActions(*request, request->machine->OnTimer(aNow));
    }
  }
  for (const std::uint64_t id : this->ended) {
    this->requests.erase(id);
  }
  this->ended.clear();
}

}  // namespace zincstep
