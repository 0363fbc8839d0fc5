#include "StandIns/EngineStandIn.h"

#include <algorithm>

#include "StandIns/EngineBodies.h"

namespace zincstep::standins {

namespace {

using Json = nlohmann::json;

constexpr Micros kLateTokenDelay = 30ms;
constexpr Micros kIdleSequenceTtl = 30s;

/// Returns the fields common to all stage calls of an attempt.
Json AttemptBody(const EngineAttempt& aAttempt) {
  Json body = Json::parse(WriteAttempt(aAttempt));
  body.erase("prompt");
  body.erase("tokens");
  return body;
}

}  // namespace

EngineStandIn::EngineStandIn(EngineStandInSettings aSettings)
    : settings(std::move(aSettings)),
      random(this->settings.seed),
      server(
          this->settings.address,
          [this](const HttpRequest& aRequest) { this->Handle(aRequest); },
          [this](const HttpRequest& aRequest) {
            this->OnCallerDisconnected(aRequest);
          }),
      client(this->server.Loop()),
      accelerator(this->server, this->settings.accelerator),
      version(this->settings.version) {}

void EngineStandIn::Run() {
  this->UpdateReportedLoad();
  this->server.Run();
}

/// Removes sequences that a daemon did not release before it stopped.
void EngineStandIn::RemoveIdleSequences() {
  const Instant now = this->clock.Now();
  std::erase_if(this->sequences, [&](const auto& aEntry) {
    return now - aEntry.second.usedAt >= kIdleSequenceTtl;
  });
}

void EngineStandIn::UpdateReportedLoad() {
  this->RemoveIdleSequences();
  this->reportedLoad = static_cast<double>(this->sequences.size());
  this->server.RunAfter(this->settings.loadLag,
                        [this] { this->UpdateReportedLoad(); });
}

void EngineStandIn::Respond(ExchangeId aExchange, int aStatus,
                            const Json& aJson) {
  HttpResponse response = JsonResponse(aJson.dump());
  response.status = aStatus;
  this->server.Http().Respond(aExchange, std::move(response));
}

void EngineStandIn::Handle(const HttpRequest& aRequest) {
  try {
    if (aRequest.path == "/v1/attempts") {
      this->HandleAttempt(aRequest);
    } else if (aRequest.path == "/v1/stage") {
      this->HandleStage(aRequest);
    } else if (aRequest.path.starts_with(kSequencePath)) {
      this->HandleSequence(aRequest);
    } else if (aRequest.path == "/v1/load") {
      const EngineLoad load{
          this->settings.name, this->reportedLoad,
          static_cast<double>(this->settings.accelerator.slots), this->version,
          this->leaving};
      this->Respond(aRequest.exchange, 200, Json::parse(WriteLoad(load)));
    } else if (aRequest.path == "/v1/faults") {
      this->HandleFaults(aRequest);
    } else if (aRequest.path == "/v1/orders") {
      this->HandleOrder(aRequest);
    } else {
      this->Respond(aRequest.exchange, 404, Json::object());
    }
  } catch (const Json::exception& error) {
    this->Respond(aRequest.exchange, 400, Json{{"error", error.what()}});
  }
}

void EngineStandIn::OnCallerDisconnected(const HttpRequest& aRequest) {
  for (auto it = this->activeAttempts.begin(); it != this->activeAttempts.end();
       ++it) {
    if (it->second.exchange == aRequest.exchange) {
      this->activeAttempts.erase(it);
      return;
    }
  }
}

void EngineStandIn::HandleFaults(const HttpRequest& aRequest) {
  const Json json = Json::parse(aRequest.body);
  EngineFaults& updated = this->faults;
  updated.stalled = json.value("stalled", updated.stalled);
  updated.stepFactor = json.value("step_factor", updated.stepFactor);
  updated.linkDelay =
      Micros{1000 * json.value("link_ms", updated.linkDelay.count() / 1000)};
  updated.duplicate = json.value("duplicate", updated.duplicate);
  updated.late = json.value("late", updated.late);
  updated.foreign = json.value("foreign", updated.foreign);
  this->leaving = json.value("leaving", this->leaving);
  this->accelerator.SetSlowdown(updated.stepFactor);
  this->accelerator.SetStalled(updated.stalled);
  this->Respond(aRequest.exchange, 200, Json::object());
}

void EngineStandIn::HandleOrder(const HttpRequest& aRequest) {
  if (aRequest.method == "GET") {
    this->Respond(
        aRequest.exchange, 200,
        Json{{"version", this->version},
             {"layers",
              {this->settings.layers.first, this->settings.layers.last}},
             {"fence", this->highestFence},
             {"stray", this->staleOrders}});
    return;
  }
  const Json json = Json::parse(aRequest.body);
  const auto fence = json.at("fence").get<std::uint64_t>();
  const bool isOld = fence < this->highestFence;
  if (this->settings.checksFence && isOld) {
    this->Respond(aRequest.exchange, 409, Json{{"fence", this->highestFence}});
    return;
  }
  if (json.value("expected_version", this->version) != this->version) {
    this->Respond(aRequest.exchange, 412, Json{{"version", this->version}});
    return;
  }
  this->staleOrders += isOld ? 1 : 0;
  this->highestFence = std::max(this->highestFence, fence);
  const auto requested = json.at("version").get<std::string>();
  this->Respond(aRequest.exchange, 202, Json{{"loads", requested}});
  this->version.clear();
  this->server.RunAfter(this->settings.loadTime, [this, requested] {
    this->version = requested;
    this->sequences.clear();
  });
}

void EngineStandIn::HandleSequence(const HttpRequest& aRequest) {
  const std::string suffix = aRequest.path.substr(kSequencePath.size());
  const std::uint64_t id = std::strtoull(suffix.c_str(), nullptr, 10);
  if (suffix.ends_with("/cache")) {
    this->HandleCacheExport(aRequest, id);
    return;
  }
  const auto found = this->sequences.find(id);
  const auto attempt = QueryNumber(aRequest, "attempt", 0);
  const bool isKnown =
      found != this->sequences.end() &&
      (aRequest.method == "DELETE" ? found->second.attempt <= attempt
                                   : found->second.attempt == attempt);
  if (!isKnown) {
    this->Respond(aRequest.exchange, 404, Json::object());
    return;
  }
  if (aRequest.method == "DELETE") {
    this->sequences.erase(found);
    this->Respond(aRequest.exchange, 200, Json::object());
    return;
  }
  const Sequence& sequence = found->second;
  StageProgress progress;
  progress.holdsStep = sequence.holdsStep;
  progress.waitsForNext = sequence.waitsForNext;
  this->Respond(aRequest.exchange, 200, Json::parse(WriteProgress(progress)));
}

void EngineStandIn::HandleCacheExport(const HttpRequest& aRequest,
                                      std::uint64_t aRequestId) {
  const auto found = this->sequences.find(aRequestId);
  const LayerRange requested{
      static_cast<int>(QueryNumber(aRequest, "first", 0)),
      static_cast<int>(QueryNumber(aRequest, "last", 0))};
  if (found == this->sequences.end() ||
      !found->second.layers.Covers(requested)) {
    this->Respond(aRequest.exchange, 404, Json::object());
    return;
  }
  const Sequence& sequence = found->second;
  Json caches = Json::array();
  for (int layer = requested.first; layer < requested.last; ++layer) {
    caches.push_back(
        sequence
            .caches[static_cast<std::size_t>(layer - sequence.layers.first)]);
  }
  this->server.RunAfter(
      this->faults.linkDelay, [this, caches, exchange = aRequest.exchange] {
        this->Respond(exchange, 200, Json{{"caches", caches}});
      });
}

void EngineStandIn::HandleAttempt(const HttpRequest& aRequest) {
  Result<EngineAttempt> attempt = ReadAttempt(aRequest.body);
  if (!attempt || attempt->stages.empty() || attempt->prompt.empty()) {
    this->Respond(aRequest.exchange, 400, Json{{"error", "invalid attempt"}});
    return;
  }
  if (this->leaving || attempt->version != this->version) {
    this->Respond(aRequest.exchange, 409, Json{{"version", this->version}});
    return;
  }
  ActiveAttempt active;
  active.exchange = aRequest.exchange;
  active.tokens = LayerMath::Tokenize(attempt->prompt);
  active.promptTokens = active.tokens.size();
  active.tokens.insert(active.tokens.end(), attempt->tokens.begin(),
                       attempt->tokens.end());
  active.attempt = std::move(*attempt);
  const std::uint64_t key = active.exchange;
  this->activeAttempts[key] = std::move(active);
  this->server.Http().StartStream(key, 200,
                                  {{"Content-Type", "application/x-ndjson"}});
  this->PrefillAttempt(key);
}

void EngineStandIn::PrefillAttempt(std::uint64_t aKey) {
  ActiveAttempt& active = this->activeAttempts.at(aKey);
  auto call = std::make_shared<StageCall>();
  call->body = AttemptBody(active.attempt);
  call->body["phase"] = "prefill";
  const LayerMath math = MakeLayerMath(call->body);
  Json inputs = Json::array();
  for (std::size_t i = 0; i + 1 < active.tokens.size(); ++i) {
    inputs.push_back(math.Embed(active.tokens[i], i));
  }
  call->body["positions"] = inputs.size();
  call->body["inputs"] = std::move(inputs);
  std::vector<std::uint64_t> prefixHashes;
  for (std::size_t n = kPrefixBlockTokens; n <= active.promptTokens;
       n += kPrefixBlockTokens) {
    const std::string_view bytes(
        reinterpret_cast<const char*>(active.tokens.data()), 4 * n);
    prefixHashes.push_back(Hash64(bytes, Hash64(active.attempt.cacheSalt)));
  }
  call->body["prefixes"] = prefixHashes;
  this->RunStage(call, [this, aKey](Json aResponse) {
    const auto found = this->activeAttempts.find(aKey);
    if (found == this->activeAttempts.end()) {
      return;
    }
    if (aResponse.contains("failed_stage")) {
      this->EndAttempt(aKey, &aResponse);
      return;
    }
    found->second.cachedTokens = aResponse.value("cached_tokens", 0);
    this->StepAttempt(aKey);
  });
}

void EngineStandIn::StepAttempt(std::uint64_t aKey) {
  ActiveAttempt& active = this->activeAttempts.at(aKey);
  auto call = std::make_shared<StageCall>();
  call->body = AttemptBody(active.attempt);
  call->body["phase"] = "step";
  const std::size_t position = active.tokens.size() - 1;
  const LayerMath math = MakeLayerMath(call->body);
  call->body["positions"] = position;
  call->body["inputs"] =
      Json::array({math.Embed(active.tokens.back(), position)});
  call->position = position;
  this->RunStage(call, [this, aKey](Json aResponse) {
    this->OnStepDone(aKey, aResponse);
  });
}

void EngineStandIn::OnStepDone(std::uint64_t aKey, const Json& aResponse) {
  const auto found = this->activeAttempts.find(aKey);
  if (found == this->activeAttempts.end()) {
    return;
  }
  if (aResponse.contains("failed_stage")) {
    this->EndAttempt(aKey, &aResponse);
    return;
  }
  ActiveAttempt& active = found->second;
  TokenEvent event;
  event.request = active.attempt.request;
  event.attempt = active.attempt.attempt;
  event.position = static_cast<int>(active.tokens.size() - active.promptTokens);
  event.token = aResponse.at("token").get<std::int32_t>();
  event.text = LayerMath::TextOf(event.token);
  event.promptTokens = static_cast<int>(active.promptTokens);
  event.cachedTokens = active.cachedTokens;
  for (const Json& stage : aResponse.at("reports")) {
    event.stages.push_back(StageReportFromJson(stage));
  }
  active.tokens.push_back(event.token);
  const bool isComplete = event.position + 1 >= active.attempt.maxTokens;
  this->SendToken(active, std::move(event));
  if (isComplete) {
    this->EndAttempt(aKey, nullptr);
    return;
  }
  this->StepAttempt(aKey);
}

void EngineStandIn::SendToken(ActiveAttempt& aActive, TokenEvent aEvent) {
  EngineLine line;
  line.isToken = true;
  line.token = std::move(aEvent);
  HttpServer& http = this->server.Http();
  const ExchangeId exchange = aActive.exchange;
  if (this->random.Unit() < this->faults.foreign) {
    EngineLine foreign = line;
    foreign.token.request += 1;
    http.Append(exchange, WriteLine(foreign));
  }
  const std::string text = WriteLine(line);
  http.Append(exchange, text);
  if (this->random.Unit() < this->faults.duplicate) {
    http.Append(exchange, text);
  }
  if (this->random.Unit() < this->faults.late) {
    this->server.RunAfter(kLateTokenDelay, [&http, exchange, text] {
      http.Append(exchange, text);
    });
  }
}

void EngineStandIn::EndAttempt(std::uint64_t aKey, const Json* aFailure) {
  const ActiveAttempt& active = this->activeAttempts.at(aKey);
  if (aFailure != nullptr) {
    EngineLine line;
    line.failedStage = aFailure->at("failed_stage").get<int>();
    const auto name = aFailure->at("failure").get<std::string>();
    line.failure = ValueIn(kHopFailureNames, std::string_view(name))
                       .value_or(HopFailure::Dead);
    this->server.Http().Append(active.exchange, WriteLine(line));
  }
  this->server.Http().Finish(active.exchange);
  this->activeAttempts.erase(aKey);
}

}  // namespace zincstep::standins
