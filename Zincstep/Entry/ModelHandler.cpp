#include "Zincstep/Entry/ModelHandler.h"

#include <algorithm>

#include "Zincstep/Entry/ModelRequest.h"

namespace zincstep {

namespace {

/// Request numbers of two incarnations of a daemon must not meet at an
/// engine, so that they begin at a random place.
constexpr std::uint64_t kFirstRequestSpread = std::uint64_t{1} << 52;

constexpr std::size_t kKeptRoutes = 512;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/// Times that a request without a token yet is begun.
constexpr int kMostStarts = 3;

}  // namespace

ModelHandler::ModelHandler(EntryContext& aContext, ClaimCoordinator& aClaims,
                           ModelPool& aPool)
    : context(aContext),
      claims(aClaims),
      pool(aPool),
      lastRequest(aContext.random.Below(kFirstRequestSpread)),
      routes(kKeptRoutes) {}

ModelHandler::~ModelHandler() = default;

ModelHandler::Request* ModelHandler::Find(std::uint64_t aRequest) {
  const auto found = this->requests.find(aRequest);
  return found == this->requests.end() || found->second->isOver
             ? nullptr
             : found->second.get();
}

void ModelHandler::Remove(std::uint64_t aRequest) {
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || found->second->isOver) {
    return;
  }
  found->second->isOver = true;
  this->byExchange.erase(found->second->exchange);
  // Callers up the stack may still use it: it is freed at the next tick.
  this->over.push_back(aRequest);
}

void ModelHandler::OnModelList(const HttpRequest& aRequest) {
  const Result<CallerInfo> facts = ReadCallerFacts(
      aRequest, *this->context.snapshot, LimitsOf(this->context.settings),
      this->context.clock.Now(), this->context.random);
  if (!facts) {
    this->context.Refuse(aRequest.exchange, facts.error());
    return;
  }
  this->context.callers.Respond(
      aRequest.exchange, JsonResponse(ModelListText(*this->context.snapshot,
                                                    *facts->organisation)));
}

void ModelHandler::OnRequest(const HttpRequest& aRequest, bool aIsChat) {
  const Instant now = this->context.clock.Now();
  Result<CallerInfo> facts = ReadCallerFacts(aRequest, *this->context.snapshot,
                                             LimitsOf(this->context.settings),
                                             now, this->context.random);
  if (!facts) {
    this->context.Refuse(aRequest.exchange, facts.error());
    return;
  }
  Result<CompletionRequest> asked = ReadCompletion(aRequest.body, aIsChat);
  if (!asked) {
    this->context.Refuse(aRequest.exchange, asked.error());
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = ++this->lastRequest;
  request.exchange = aRequest.exchange;
  request.snapshot = this->context.snapshot;
  request.facts = std::move(*facts);
  request.asked = std::move(*asked);
  request.came = now;
  request.digest = RequestDigest(aRequest);
  request.isKeyed = !request.facts.idempotencyKey.empty();
  request.span = this->context.tracer.Begin("request", request.facts.trace);
  const std::uint64_t id = request.id;
  this->requests[id] = std::move(owned);
  this->byExchange[request.exchange] = id;
  this->context.metrics.Count("zincstep_requests_total", {{"kind", "model"}});
  if (request.isKeyed) {
    this->claims.Begin(id,
                       ClaimKey(request.facts.organisation->name,
                                request.facts.idempotencyKey),
                       request.digest, *this);
    return;
  }
  this->Admit(request);
}

void ModelHandler::Start(Request& aRequest, const Choice& aChoice) {
  const Instant now = this->context.clock.Now();
  const Organisation& organisation = *aRequest.facts.organisation;
  aRequest.isWaiting = false;
  aRequest.starts += 1;
  FairQueue& queue = this->QueueOf(aRequest);
  queue.OnBegin(organisation.name, organisation.weight,
                aRequest.ExpectedCharge());
  this->context.limits.Charge(organisation.name, aRequest.promptTokens, now);
  aRequest.head = {"cmpl-" + std::to_string(aRequest.id), aRequest.asked.model,
                   WallMicros() / kMicrosPerSecond, aRequest.asked.isChat};
  StreamSettings settings;
  settings.maxTokens = aRequest.maxTokens;
  settings.deadline = aRequest.facts.deadline;
  settings.firstAttempt = aRequest.nextAttempt;
  aRequest.repairer = std::make_unique<PlannerRepairer>(aRequest.planner);
  aRequest.machine = std::make_unique<StreamMachine>(
      aRequest.id, aRequest.planner->GetFleet().layers, settings,
      *aRequest.repairer);
  aRequest.lastToken = now;
  this->context.metrics.Observe("zincstep_queue_seconds",
                                ToSeconds(now - aRequest.came));
  this->Carry(aRequest, aRequest.machine->Start(aChoice.chain, now));
}

void ModelHandler::EndCharge(Request& aRequest) {
  const double tokens = aRequest.machine->Filter().NextPosition();
  this->QueueOf(aRequest).OnEnd(aRequest.facts.organisation->name,
                                aRequest.ExpectedCharge(),
                                {aRequest.promptTokens, tokens});
}

void ModelHandler::LeaveChain(Request& aRequest) {
  if (aRequest.heldChain) {
    aRequest.planner->OnEnd(*aRequest.heldChain);
    aRequest.heldChain.reset();
  }
}

void ModelHandler::Carry(Request& aRequest, const StreamActions& aActions) {
  for (const StreamAction& action : aActions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->StartAttemptOf(aRequest, *start);
    } else if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
      this->context.engines.Abandon(aRequest.id, abandon->attempt);
    } else if (const auto* release = std::get_if<ReleaseStages>(&action)) {
      this->ReleaseOn(aRequest, *release);
    } else if (const auto* emit = std::get_if<EmitToken>(&action)) {
      this->Emit(aRequest, *emit);
    } else if (const auto* probe = std::get_if<ProbeStages>(&action)) {
      this->ProbeStagesOf(aRequest, *probe);
    } else if (const auto* blame = std::get_if<ReportHopFailure>(&action)) {
      aRequest.planner->Loads().OnFailure(blame->replica,
                                          this->context.clock.Now());
      this->context.metrics.Count(
          "zincstep_hop_failures_total",
          {{"failure", std::string(NameIn(kHopFailureNames, blame->failure))}});
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
  this->LeaveChain(aRequest);
  aRequest.planner->OnStart(aAction.chain);
  aRequest.heldChain = aAction.chain;
  const auto& replicas = aRequest.planner->GetFleet().replicas;
  EngineAttempt attempt;
  attempt.request = aRequest.id;
  attempt.attempt = aAction.attempt;
  attempt.model = aRequest.model->name;
  attempt.version = aRequest.version;
  attempt.adapter = aRequest.asked.adapter;
  attempt.cacheSalt = aRequest.facts.organisation->name;
  attempt.priority = aRequest.facts.priority;
  attempt.prompt = aRequest.asked.prompt;
  attempt.tokens = aRequest.machine->Tokens();
  attempt.maxTokens = aRequest.maxTokens;
  attempt.timeLeft = std::max<Micros>(1ms, aRequest.facts.deadline - now);
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
       {"after_ms", (now - aRequest.came).count() / 1000},
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

void ModelHandler::ReleaseOn(Request& aRequest, const ReleaseStages& aAction) {
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
  const Organisation& organisation = *aRequest.facts.organisation;
  const bool isFirst = aAction.position == 0;
  this->context.metrics.Observe(
      isFirst ? "zincstep_first_token_seconds" : "zincstep_token_gap_seconds",
      ToSeconds(now - (isFirst ? aRequest.came : aRequest.lastToken)));
  aRequest.lastToken = now;
  this->context.limits.Charge(organisation.name, 1, now);
  this->served[organisation.name] += 1;
  aRequest.text += aAction.text;
  if (!aRequest.asked.stream) {
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
  const std::string whole =
      WholeAnswerText(aRequest.head, aRequest.text, aAction.reason,
                      aRequest.countedPrompt, tokens);
  if (aRequest.asked.stream) {
    this->context.callers.Append(aRequest.exchange,
                                 EndEventText(aRequest.head, aAction.reason,
                                              aRequest.countedPrompt, tokens));
    this->context.callers.Finish(aRequest.exchange);
  } else {
    HttpResponse answer = JsonResponse(whole);
    answer.headers.push_back({"zincstep-request-id", aRequest.head.id});
    this->context.callers.Respond(aRequest.exchange, std::move(answer));
  }
  if (aRequest.isKeyed) {
    const CachedResponse kept{200, "application/json", whole, false};
    this->claims.Finish(aRequest.id, &kept);
  }
  if (aRequest.heldChain) {
    aRequest.planner->RecordPrefix(aRequest.prefixHashes, *aRequest.heldChain);
    for (const ChainHop& hop : aRequest.heldChain->hops) {
      aRequest.planner->Loads().OnSuccess(hop.replica);
    }
  }
  this->LeaveChain(aRequest);
  this->EndCharge(aRequest);
  this->EndSpan(aRequest, "whole");
  this->Remove(aRequest.id);
}

bool ModelHandler::StartAnew(Request& aRequest, const FailStream& aAction) {
  // Without a token nothing of the answer stands: the request may begin
  // again, perhaps in another version, whose upstreams were not lost.
  const bool may = aAction.tokens == 0 && aRequest.starts < kMostStarts &&
                   aAction.error.kind == ErrorKind::ResponseIncomplete;
  if (!may) {
    return false;
  }
  aRequest.nextAttempt = aRequest.machine->Filter().Attempt() + 1;
  this->LeaveChain(aRequest);
  this->EndCharge(aRequest);
  aRequest.machine.reset();
  aRequest.isAnew = true;
  this->Admit(aRequest);
  return true;
}

void ModelHandler::FailRunning(Request& aRequest, const FailStream& aAction) {
  if (this->StartAnew(aRequest, aAction)) {
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
  this->LeaveChain(aRequest);
  this->EndCharge(aRequest);
  this->EndSpan(aRequest, std::string(ErrorInfoFor(aAction.error.kind).name));
  this->Remove(aRequest.id);
}

void ModelHandler::RefuseWaiting(Request& aRequest, const Error& aError) {
  if (aRequest.isAnew) {
    this->context.Refuse(
        aRequest.exchange,
        {ErrorKind::ResponseIncomplete, aError.message, aError.retryAfter});
    this->claims.Finish(aRequest.id, nullptr);
  } else {
    this->context.Refuse(aRequest.exchange, aError);
    this->claims.Release(aRequest.id);
  }
  this->EndSpan(aRequest, std::string(ErrorInfoFor(aError.kind).name));
  this->Remove(aRequest.id);
}

void ModelHandler::EndSpan(Request& aRequest, const std::string& aOutcome) {
  aRequest.span.attributes["outcome"] = aOutcome;
  aRequest.span.attributes["organisation"] = aRequest.facts.organisation->name;
  aRequest.span.attributes["model"] = aRequest.asked.model;
  if (aRequest.machine) {
    aRequest.span.attributes["tokens"] =
        aRequest.machine->Filter().NextPosition();
    aRequest.span.attributes["recoveries"] = aRequest.machine->Recoveries();
  }
  this->context.tracer.End(aRequest.span);
  if (!aRequest.head.id.empty()) {
    this->routes.Add(aRequest.head.id,
                     {{"request", aRequest.head.id},
                      {"organisation", aRequest.facts.organisation->name},
                      {"model", aRequest.asked.model},
                      {"version", aRequest.version},
                      {"outcome", aOutcome},
                      {"trace", aRequest.facts.trace.traceId},
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
    this->Carry(*request, request->machine->OnCallerDisconnected());
    this->claims.Finish(request->id, nullptr);
    this->LeaveChain(*request);
    this->EndCharge(*request);
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
    request->countedPrompt = aEvent.promptTokens;
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
  this->Carry(*request, actions);
}

void ModelHandler::OnAttemptFailed(std::uint64_t aRequest, int aAttempt,
                                   int aStage, HopFailure aFailure) {
  if (Request* request = this->Find(aRequest); request && request->machine) {
    this->Carry(*request,
                request->machine->OnFailure(aAttempt, aStage, aFailure,
                                            this->context.clock.Now()));
  }
}

void ModelHandler::OnProgress(std::uint64_t aRequest, int aAttempt,
                              const std::vector<StageProgress>& aProgress) {
  if (Request* request = this->Find(aRequest); request && request->machine) {
    this->Carry(*request, request->machine->OnProgress(aAttempt, aProgress));
  }
}

void ModelHandler::OnTick(Instant aNow) {
  for (auto& [model, queue] : this->queues) {
    this->RefuseExpired(queue, aNow);
    this->StartWaiting(queue, aNow);
  }
  for (const auto& [id, request] : this->requests) {
    if (!request->isOver && request->machine) {
      this->Carry(*request, request->machine->OnTimer(aNow));
    }
  }
  for (const std::uint64_t id : this->over) {
    this->requests.erase(id);
  }
  this->over.clear();
}

}  // namespace zincstep
