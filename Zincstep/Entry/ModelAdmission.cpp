/// \file
/// Admission of completion requests: idempotency key, limits, queue and choice
/// of chain.

#include <algorithm>

#include "Zincstep/Entry/ModelRequest.h"

namespace zincstep {

namespace {

/// Token limit of requests that specify none.
constexpr int kDefaultMaxTokens = 256;
/// Factor on the local window up to which organisations below their fair share
/// may start requests.
constexpr double kOverfillFactor = 1.15;

FairQueueSettings QueueSettings(const EntrySettings& aSettings) {
  FairQueueSettings settings;
  settings.maxWait = aSettings.maxWait;
  return settings;
}

/// Returns the model, or fails with the reason why the organisation cannot use
/// it for this request.
Result<const Model*> ValidateCompletion(const Snapshot& aSnapshot,
                                        const Organisation& aOrganisation,
                                        const CompletionRequest& aCompletion) {
  const Model* model = aSnapshot.configuration.FindModel(aCompletion.model);
  const auto& allowed = aOrganisation.models;
  const bool isAllowed = std::find(allowed.begin(), allowed.end(),
                                   aCompletion.model) != allowed.end();
  if (model == nullptr || !isAllowed) {
    // The same error for both, so that callers cannot find out which models
    // other organisations use.
    return Fail(ErrorKind::UnknownModel,
                "unknown model '" + aCompletion.model + "'");
  }
  const auto& adapters = model->adapters;
  if (!aCompletion.adapter.empty() &&
      std::find(adapters.begin(), adapters.end(), aCompletion.adapter) ==
          adapters.end()) {
    return Fail(ErrorKind::UnknownModel,
                "unknown adapter '" + aCompletion.adapter + "'");
  }
  const auto tokens =
      static_cast<int>(aCompletion.prompt.size() / kBytesPerToken) + 1;
  if (tokens >= model->contextTokens) {
    return Fail(ErrorKind::RequestTooLarge,
                "the prompt exceeds the model's context length");
  }
  if (aCompletion.maxTokens && *aCompletion.maxTokens > model->maxTokens) {
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
                           const Claim& aOwner) {
  Request* request = this->Find(aRequest);
  if (request == nullptr) {
    // The caller disconnected during the claim.
    this->claims.Release(aRequest);
    return;
  }
  if (aVerdict == ClaimVerdict::Won) {
    this->Admit(*request);
    return;
  }
  request->isKeyed = false;
  RespondToHeldClaim(this->context, request->exchange, aVerdict, aOwner,
                     request->digest);
  this->EndSpan(*request, "held");
  this->Remove(aRequest);
}

void ModelHandler::Admit(Request& aRequest) {
  const Instant now = this->context.clock.Now();
  const Organisation& organisation = *aRequest.caller.organisation;
  const Result<const Model*> model =
      ValidateCompletion(*aRequest.snapshot, organisation, aRequest.completion);
  if (!model) {
    this->RefuseWaiting(aRequest, model.error());
    return;
  }
  aRequest.model = *model;
  aRequest.promptTokens =
      1 +
      static_cast<double>(aRequest.completion.prompt.size()) / kBytesPerToken;
  aRequest.maxTokens = aRequest.completion.maxTokens.value_or(
      std::min(kDefaultMaxTokens, aRequest.model->maxTokens));
  const Result<void> admitted = this->context.limits.Admit(
      organisation.name, organisation.tokensPerSecond,
      aRequest.promptTokens + aRequest.maxTokens, now);
  if (!admitted) {
    this->RefuseWaiting(aRequest, admitted.error());
    return;
  }
  this->SetVersion(aRequest, this->pool.ServingVersion(aRequest.model->name,
                                                       this->context.random));
  if (aRequest.planner == nullptr) {
    this->RefuseWaiting(aRequest, {ErrorKind::NoCapacity,
                                   "no upstreams are available for the model",
                                   {}});
    return;
  }
  FairQueue& queue = this->QueueOf(aRequest);
  if (queue.Waiting() == 0 && this->TryStart(aRequest)) {
    return;
  }
  if (aRequest.hasEnded) {
    return;
  }
  QueuedRequest queued;
  queued.id = aRequest.id;
  queued.organisation = organisation.name;
  queued.level = static_cast<std::size_t>(aRequest.caller.priority);
  queued.weight = organisation.weight;
  queued.tokens = aRequest.promptTokens + aRequest.maxTokens;
  queued.startBy = aRequest.caller.deadline;
  const double rate = this->pool.LocalTokenRate(aRequest.model->name);
  const Result<void> enqueued = queue.Enqueue(std::move(queued), rate, now);
  if (!enqueued) {
    this->RefuseWaiting(aRequest, enqueued.error());
    return;
  }
  aRequest.isWaiting = true;
}

void ModelHandler::SetVersion(Request& aRequest, const std::string& aVersion) {
  aRequest.version = aVersion;
  aRequest.planner = this->pool.Planner(aRequest.model->name, aVersion);
  aRequest.prefixHashes = PrefixHashes(
      aRequest.caller.organisation->name,
      aRequest.model->name + "/" + aVersion + "/" + aRequest.completion.adapter,
      aRequest.completion.prompt);
}

/// Chooses a chain in the request's version, or else in another one. During a
/// rollout, a version's last upstream can be paused before the next plan is
/// computed.
Result<Choice> ModelHandler::ChooseChain(Request& aRequest) {
  ChainChoiceInput input;
  input.now = this->context.clock.Now();
  input.promptTokens = static_cast<int>(aRequest.promptTokens);
  input.prefixHashes = aRequest.prefixHashes;
  Result<Choice> choice = aRequest.planner->Choose(input, this->context.random);
  for (const std::string& version : aRequest.model->versions) {
    const PlannerPtr planner =
        this->pool.Planner(aRequest.model->name, version);
    if (choice || planner == nullptr || planner == aRequest.planner) {
      continue;
    }
    this->SetVersion(aRequest, version);
    input.prefixHashes = aRequest.prefixHashes;
    choice = planner->Choose(input, this->context.random);
  }
  return choice;
}

bool ModelHandler::TryStart(Request& aRequest) {
  const Result<Choice> choice = this->ChooseChain(aRequest);
  if (!choice) {
    this->RefuseWaiting(aRequest, choice.error());
    return false;
  }
  if (!choice->isWithinWindow && !this->CanOverfill(aRequest)) {
    return false;
  }
  this->context.tracer.Write("choose", aRequest.span.context, 0us,
                             {{"hops", choice->chain.hops.size()},
                              {"cached_tokens", choice->cachedTokens},
                              {"step_us", choice->stepSeconds * 1e6}});
  this->Start(aRequest, *choice);
  return true;
}

/// Whether a request may start although its chain's window is full.
bool ModelHandler::CanOverfill(const Request& aRequest) {
  const Organisation& organisation = *aRequest.caller.organisation;
  const double maxInFlight = kOverfillFactor * aRequest.planner->LocalWindow();
  return aRequest.planner->InFlight() + 1 <= maxInFlight &&
         this->QueueOf(aRequest).IsUnderShare(organisation.name,
                                              organisation.weight);
}

void ModelHandler::StartWaiting(FairQueue& aQueue, Instant aNow) {
  while (const std::optional<QueuedRequest> next = aQueue.Peek(aNow)) {
    Request* request = this->Find(next->id);
    ZINCSTEP_ASSERT(request != nullptr);
    if (!this->TryStart(*request) && !request->hasEnded) {
      break;
    }
    aQueue.Dequeue(next->id);
  }
}

void ModelHandler::RefuseExpired(FairQueue& aQueue, Instant aNow) {
  for (const QueuedRequest& expired : aQueue.PopExpired(aNow)) {
    Request* request = this->Find(expired.id);
    ZINCSTEP_ASSERT(request != nullptr);
    const bool isPastDeadline = request->caller.deadline <= aNow;
    this->RefuseWaiting(*request, {isPastDeadline ? ErrorKind::DeadlineBeforeRun
                                                  : ErrorKind::Overloaded,
                                   "the request was not started in time",
                                   {}});
  }
}

}  // namespace zincstep
