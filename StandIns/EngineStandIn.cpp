#include "StandIns/EngineStandIn.h"

#include <algorithm>

#include "StandIns/EngineBodies.h"

namespace zincstep::standins {

namespace {

using Json = nlohmann::json;

constexpr Micros kLateBy = 30ms;
constexpr Micros kIdleLife = 30s;

/// What all calls of one attempt have in common.
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
          [this](const HttpRequest& aRequest) { this->HandleGone(aRequest); }),
      client(this->server.Loop()),
      accelerator(this->server, this->settings.accelerator),
      version(this->settings.version) {}

void EngineStandIn::Run() {
  this->ReportLoad();
  this->server.Run();
}

/// Frees what a daemon that is gone could not free.
void EngineStandIn::DropIdle() {
  const Instant now = this->clock.Now();
  std::erase_if(this->sequences, [&](const auto& aEntry) {
    return now - aEntry.second.usedAt >= kIdleLife;
  });
}

void EngineStandIn::ReportLoad() {
  this->DropIdle();
  this->reportedLoad = static_cast<double>(this->sequences.size());
  this->server.After(this->settings.loadLag, [this] { this->ReportLoad(); });
}

void EngineStandIn::Reply(ExchangeId aExchange, int aStatus,
                          const Json& aJson) {
  HttpResponse answer = JsonResponse(aJson.dump());
  answer.status = aStatus;
  this->server.Http().Respond(aExchange, std::move(answer));
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
      this->Reply(aRequest.exchange, 200, Json::parse(WriteLoad(load)));
    } else if (aRequest.path == "/v1/faults") {
      this->HandleFaults(aRequest);
    } else if (aRequest.path == "/v1/orders") {
      this->HandleOrder(aRequest);
    } else {
      this->Reply(aRequest.exchange, 404, Json::object());
    }
  } catch (const Json::exception& fault) {
    this->Reply(aRequest.exchange, 400, Json{{"error", fault.what()}});
  }
}

void EngineStandIn::HandleGone(const HttpRequest& aRequest) {
  for (auto it = this->heads.begin(); it != this->heads.end(); ++it) {
    if (it->second.exchange == aRequest.exchange) {
      this->heads.erase(it);
      return;
    }
  }
}

void EngineStandIn::HandleFaults(const HttpRequest& aRequest) {
  const Json json = Json::parse(aRequest.body);
  EngineFaults& now = this->faults;
  now.stalled = json.value("stalled", now.stalled);
  now.stepFactor = json.value("step_factor", now.stepFactor);
  now.linkDelay =
      Micros{1000 * json.value("link_ms", now.linkDelay.count() / 1000)};
  now.duplicate = json.value("duplicate", now.duplicate);
  now.late = json.value("late", now.late);
  now.foreign = json.value("foreign", now.foreign);
  this->leaving = json.value("leaving", this->leaving);
  this->accelerator.SetFactor(now.stepFactor);
  this->accelerator.SetStalled(now.stalled);
  this->Reply(aRequest.exchange, 200, Json::object());
}

void EngineStandIn::HandleOrder(const HttpRequest& aRequest) {
  if (aRequest.method == "GET") {
    this->Reply(
        aRequest.exchange, 200,
        Json{{"version", this->version},
             {"layers",
              {this->settings.layers.first, this->settings.layers.last}},
             {"fence", this->highestFence},
             {"stray", this->strayOrders}});
    return;
  }
  const Json json = Json::parse(aRequest.body);
  const auto fence = json.at("fence").get<std::uint64_t>();
  const bool isOld = fence < this->highestFence;
  if (this->settings.checksFence && isOld) {
    this->Reply(aRequest.exchange, 409, Json{{"fence", this->highestFence}});
    return;
  }
  if (json.value("expected_version", this->version) != this->version) {
    this->Reply(aRequest.exchange, 412, Json{{"version", this->version}});
    return;
  }
  this->strayOrders += isOld ? 1 : 0;
  this->highestFence = std::max(this->highestFence, fence);
  const auto wanted = json.at("version").get<std::string>();
  this->Reply(aRequest.exchange, 202, Json{{"loads", wanted}});
  this->version.clear();
  this->server.After(this->settings.loadTime, [this, wanted] {
    this->version = wanted;
    this->sequences.clear();
  });
}

void EngineStandIn::HandleSequence(const HttpRequest& aRequest) {
  const std::string rest = aRequest.path.substr(kSequencePath.size());
  const std::uint64_t id = std::strtoull(rest.c_str(), nullptr, 10);
  if (rest.ends_with("/cache")) {
    this->HandleExport(aRequest, id);
    return;
  }
  const auto found = this->sequences.find(id);
  const auto attempt = QueryNumber(aRequest, "attempt", 0);
  const bool known =
      found != this->sequences.end() &&
      (aRequest.method == "DELETE" ? found->second.attempt <= attempt
                                   : found->second.attempt == attempt);
  if (!known) {
    this->Reply(aRequest.exchange, 404, Json::object());
    return;
  }
  if (aRequest.method == "DELETE") {
    this->sequences.erase(found);
    this->Reply(aRequest.exchange, 200, Json::object());
    return;
  }
  const Sequence& sequence = found->second;
  StageProgress progress;
  progress.holdsStep = sequence.holdsStep;
  progress.waitsForNext = sequence.waitsForNext;
  this->Reply(aRequest.exchange, 200, Json::parse(WriteProgress(progress)));
}

void EngineStandIn::HandleExport(const HttpRequest& aRequest,
                                 std::uint64_t aRequestId) {
  const auto found = this->sequences.find(aRequestId);
  const LayerRange wanted{static_cast<int>(QueryNumber(aRequest, "first", 0)),
                          static_cast<int>(QueryNumber(aRequest, "last", 0))};
  if (found == this->sequences.end() || !found->second.layers.Covers(wanted)) {
    this->Reply(aRequest.exchange, 404, Json::object());
    return;
  }
  const Sequence& sequence = found->second;
  Json caches = Json::array();
  for (int layer = wanted.first; layer < wanted.last; ++layer) {
    caches.push_back(
        sequence
            .caches[static_cast<std::size_t>(layer - sequence.layers.first)]);
  }
  this->server.After(this->faults.linkDelay,
                     [this, caches, exchange = aRequest.exchange] {
                       this->Reply(exchange, 200, Json{{"caches", caches}});
                     });
}

void EngineStandIn::HandleAttempt(const HttpRequest& aRequest) {
  Result<EngineAttempt> attempt = ReadAttempt(aRequest.body);
  if (!attempt || attempt->stages.empty() || attempt->prompt.empty()) {
    this->Reply(aRequest.exchange, 400, Json{{"error", "not an attempt"}});
    return;
  }
  if (this->leaving || attempt->version != this->version) {
    this->Reply(aRequest.exchange, 409, Json{{"version", this->version}});
    return;
  }
  Head head;
  head.exchange = aRequest.exchange;
  head.tokens = LayerMath::Tokenize(attempt->prompt);
  head.promptTokens = head.tokens.size();
  head.tokens.insert(head.tokens.end(), attempt->tokens.begin(),
                     attempt->tokens.end());
  head.attempt = std::move(*attempt);
  const std::uint64_t key = head.exchange;
  this->heads[key] = std::move(head);
  this->server.Http().StartStream(key, 200,
                                  {{"Content-Type", "application/x-ndjson"}});
  this->PrefillAttempt(key);
}

void EngineStandIn::PrefillAttempt(std::uint64_t aKey) {
  Head& head = this->heads.at(aKey);
  auto call = std::make_shared<StageCall>();
  call->body = AttemptBody(head.attempt);
  call->body["phase"] = "prefill";
  const LayerMath math = MathOf(call->body);
  Json inputs = Json::array();
  for (std::size_t i = 0; i + 1 < head.tokens.size(); ++i) {
    inputs.push_back(math.Embed(head.tokens[i], i));
  }
  call->body["positions"] = inputs.size();
  call->body["inputs"] = std::move(inputs);
  std::vector<std::uint64_t> prefixHashes;
  for (std::size_t n = kPrefixBlock; n <= head.promptTokens;
       n += kPrefixBlock) {
    const std::string_view bytes(
        reinterpret_cast<const char*>(head.tokens.data()), 4 * n);
    prefixHashes.push_back(Hash64(bytes, Hash64(head.attempt.cacheSalt)));
  }
  call->body["prefixes"] = prefixHashes;
  this->RunStage(call, [this, aKey](Json aAnswer) {
    const auto found = this->heads.find(aKey);
    if (found == this->heads.end()) {
      return;
    }
    if (aAnswer.contains("failed_stage")) {
      this->EndHead(aKey, &aAnswer);
      return;
    }
    found->second.cachedTokens = aAnswer.value("cached_tokens", 0);
    this->StepAttempt(aKey);
  });
}

void EngineStandIn::StepAttempt(std::uint64_t aKey) {
  Head& head = this->heads.at(aKey);
  auto call = std::make_shared<StageCall>();
  call->body = AttemptBody(head.attempt);
  call->body["phase"] = "step";
  const std::size_t position = head.tokens.size() - 1;
  const LayerMath math = MathOf(call->body);
  call->body["positions"] = position;
  call->body["inputs"] =
      Json::array({math.Embed(head.tokens.back(), position)});
  call->position = position;
  this->RunStage(
      call, [this, aKey](Json aAnswer) { this->OnStepDone(aKey, aAnswer); });
}

void EngineStandIn::OnStepDone(std::uint64_t aKey, const Json& aAnswer) {
  const auto found = this->heads.find(aKey);
  if (found == this->heads.end()) {
    return;
  }
  if (aAnswer.contains("failed_stage")) {
    this->EndHead(aKey, &aAnswer);
    return;
  }
  Head& head = found->second;
  TokenEvent event;
  event.request = head.attempt.request;
  event.attempt = head.attempt.attempt;
  event.position = static_cast<int>(head.tokens.size() - head.promptTokens);
  event.token = aAnswer.at("token").get<std::int32_t>();
  event.text = LayerMath::TextOf(event.token);
  event.promptTokens = static_cast<int>(head.promptTokens);
  event.cachedTokens = head.cachedTokens;
  for (const Json& stage : aAnswer.at("reports")) {
    event.stages.push_back(StageReportFromJson(stage));
  }
  head.tokens.push_back(event.token);
  const bool full = event.position + 1 >= head.attempt.maxTokens;
  this->SendToken(head, std::move(event));
  if (full) {
    this->EndHead(aKey, nullptr);
    return;
  }
  this->StepAttempt(aKey);
}

void EngineStandIn::SendToken(Head& aHead, TokenEvent aEvent) {
  EngineLine line;
  line.isToken = true;
  line.token = std::move(aEvent);
  HttpServer& http = this->server.Http();
  const ExchangeId exchange = aHead.exchange;
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
    this->server.After(
        kLateBy, [&http, exchange, text] { http.Append(exchange, text); });
  }
}

void EngineStandIn::EndHead(std::uint64_t aKey, const Json* aFailure) {
  const Head& head = this->heads.at(aKey);
  if (aFailure != nullptr) {
    EngineLine line;
    line.failedStage = aFailure->at("failed_stage").get<int>();
    const auto name = aFailure->at("failure").get<std::string>();
    line.failure = ValueIn(kHopFailureNames, std::string_view(name))
                       .value_or(HopFailure::Dead);
    this->server.Http().Append(head.exchange, WriteLine(line));
  }
  this->server.Http().Finish(head.exchange);
  this->heads.erase(aKey);
}

}  // namespace zincstep::standins
