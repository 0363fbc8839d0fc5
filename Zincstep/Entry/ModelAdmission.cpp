/// \file
/// How a request for tokens is admitted: its key, its limits, its turn in the
/// queue and its chain.

#include <algorithm>

#include "Zincstep/Entry/ModelRequest.h"

namespace zincstep {

namespace {

/// Tokens that an answer without a limit is expected to have.
constexpr int kUsualTokens = 256;
/// Share of the window up to which organisations under their share begin.
constexpr double kOverfill = 1.15;

FairQueueSettings QueueSettings(const EntrySettings& aSettings) {
  FairQueueSettings settings;
  settings.maxWait = aSettings.maxWait;
  return settings;
}

Result<const Model*> CheckAsked(const Snapshot& aSnapshot,
                                const Organisation& aOrganisation,
                                const CompletionRequest& aAsked) {
  const Model* model = aSnapshot.configuration.FindModel(aAsked.model);
  const auto& allowed = aOrganisation.models;
  const bool isAllowed =
      std::find(allowed.begin(), allowed.end(), aAsked.model) != allowed.end();
  if (model == nullptr || !isAllowed) {
    // The same answer for both: what others use is not for this caller.
    return Fail(ErrorKind::UnknownModel,
                "there is no model '" + aAsked.model + "'");
  }
  const auto& adapters = model->adapters;
  if (!aAsked.adapter.empty() && std::find(adapters.begin(), adapters.end(),
                                           aAsked.adapter) == adapters.end()) {
    return Fail(ErrorKind::UnknownModel,
                "there is no adapter '" + aAsked.adapter + "'");
  }
  const auto tokens =
      static_cast<int>(aAsked.prompt.size() / kBytesPerToken) + 1;
  if (tokens >= model->contextTokens) {
    return Fail(ErrorKind::RequestTooLarge,
                "the prompt is longer than the model's context");
  }
  if (aAsked.maxTokens && *aAsked.maxTokens > model->maxTokens) {
    return Fail(ErrorKind::BadRequest, "max_tokens: expected at most " +
                                           std::to_string(model->maxTokens));
  }
  return model;
}

}  // namespace

FairQueue& ModelHandler::QueueOf(const Request& aRequest) {
  return this->queues
      .try_emplace(aRequest.model->name, QueueSettings(this->context.settings))
      .first->second;
}

std::size_t ModelHandler::Waiting() const {
  std::size_t waiting = 0;
  for (const auto& [model, queue] : this->queues) {
    waiting += queue.Waiting();
  }
  return waiting;
}

void ModelHandler::OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
                           const Claim& aHolder) {
  Request* request = this->Find(aRequest);
  if (request == nullptr) {
    // The caller went while the witnesses were asked.
    this->claims.Release(aRequest);
    return;
  }
  if (aVerdict == ClaimVerdict::Won) {
    this->Admit(*request);
    return;
  }
  request->isKeyed = false;
  RespondToHeldClaim(this->context, request->exchange, aVerdict, aHolder,
                     request->digest);
  this->EndSpan(*request, "held");
  this->Remove(aRequest);
}

void ModelHandler::Admit(Request& aRequest) {
  const Instant now = this->context.clock.Now();
  const Organisation& organisation = *aRequest.facts.organisation;
  const Result<const Model*> model =
      CheckAsked(*aRequest.snapshot, organisation, aRequest.asked);
  if (!model) {
    this->RefuseWaiting(aRequest, model.error());
    return;
  }
  aRequest.model = *model;
  aRequest.promptTokens =
      1 + static_cast<double>(aRequest.asked.prompt.size()) / kBytesPerToken;
  aRequest.maxTokens = aRequest.asked.maxTokens.value_or(
      std::min(kUsualTokens, aRequest.model->maxTokens));
  const Result<void> allowed = this->context.limits.Admit(
      organisation.name, organisation.tokensPerSecond,
      aRequest.promptTokens + aRequest.maxTokens, now);
  if (!allowed) {
    this->RefuseWaiting(aRequest, allowed.error());
    return;
  }
  this->SetVersion(aRequest, this->pool.ServingVersion(aRequest.model->name,
                                                       this->context.random));
  if (aRequest.planner == nullptr) {
    this->RefuseWaiting(
        aRequest,
        {ErrorKind::NoCapacity, "the model has no upstreams here", {}});
    return;
  }
  FairQueue& queue = this->QueueOf(aRequest);
  if (queue.Waiting() == 0 && this->TryStart(aRequest)) {
    return;
  }
  if (aRequest.isOver) {
    return;
  }
  QueuedRequest queued;
  queued.id = aRequest.id;
  queued.organisation = organisation.name;
  queued.priority = aRequest.facts.priority;
  queued.weight = organisation.weight;
  queued.tokens = aRequest.promptTokens + aRequest.maxTokens;
  queued.startBy = aRequest.facts.deadline;
  const double rate = this->pool.OwnTokenRate(aRequest.model->name);
  const Result<void> joined = queue.Enqueue(std::move(queued), rate, now);
  if (!joined) {
    this->RefuseWaiting(aRequest, joined.error());
    return;
  }
  aRequest.isWaiting = true;
}

void ModelHandler::SetVersion(Request& aRequest, const std::string& aVersion) {
  aRequest.version = aVersion;
  aRequest.planner = this->pool.Planner(aRequest.model->name, aVersion);
  aRequest.prefixHashes = PrefixHashes(
      aRequest.facts.organisation->name,
      aRequest.model->name + "/" + aVersion + "/" + aRequest.asked.adapter,
      aRequest.asked.prompt);
}

/// A chain in the request's version, or else in another one that runs: while
/// a version rolls, its last upstream may be paused before the next plan.
Result<Choice> ModelHandler::ChooseChain(Request& aRequest) {
  ChainChoiceInput facts;
  facts.now = this->context.clock.Now();
  facts.promptTokens = static_cast<int>(aRequest.promptTokens);
  facts.prefixHashes = aRequest.prefixHashes;
  Result<Choice> choice = aRequest.planner->Choose(facts, this->context.random);
  for (const std::string& version : aRequest.model->versions) {
    const PlannerPtr planner =
        this->pool.Planner(aRequest.model->name, version);
    if (choice || planner == nullptr || planner == aRequest.planner) {
      continue;
    }
    this->SetVersion(aRequest, version);
    facts.prefixHashes = aRequest.prefixHashes;
    choice = planner->Choose(facts, this->context.random);
  }
  return choice;
}

bool ModelHandler::TryStart(Request& aRequest) {
  const Result<Choice> choice = this->ChooseChain(aRequest);
  if (!choice) {
    this->RefuseWaiting(aRequest, choice.error());
    return false;
  }
  if (!choice->isWithinWindow && !this->MayOverfill(aRequest)) {
    return false;
  }
  this->context.tracer.Write("choose", aRequest.span.context, 0us,
                             {{"hops", choice->chain.hops.size()},
                              {"cached_tokens", choice->cachedTokens},
                              {"step_us", choice->stepSeconds * 1e6}});
  this->Start(aRequest, *choice);
  return true;
}

/// Whether a request may begin though its chain's window is full.
bool ModelHandler::MayOverfill(const Request& aRequest) {
  const Organisation& organisation = *aRequest.facts.organisation;
  const double most = kOverfill * aRequest.planner->LocalWindow();
  return aRequest.planner->InFlight() + 1 <= most &&
         this->QueueOf(aRequest).IsUnderShare(organisation.name,
                                              organisation.weight);
}

void ModelHandler::StartWaiting(FairQueue& aQueue, Instant aNow) {
  while (const std::optional<QueuedRequest> next = aQueue.Peek(aNow)) {
    Request* request = this->Find(next->id);
    ZINCSTEP_ASSERT(request != nullptr);
    if (!this->TryStart(*request) && !request->isOver) {
      break;
    }
    aQueue.Dequeue(next->id);
  }
}

void ModelHandler::RefuseExpired(FairQueue& aQueue, Instant aNow) {
  for (const QueuedRequest& late : aQueue.PopExpired(aNow)) {
    Request* request = this->Find(late.id);
    ZINCSTEP_ASSERT(request != nullptr);
    const bool deadline = request->facts.deadline <= aNow;
    this->RefuseWaiting(*request, {deadline ? ErrorKind::DeadlineBeforeRun
                                            : ErrorKind::Overloaded,
                                   "the request's turn did not come in time",
                                   {}});
  }
}

}  // namespace zincstep
