/// \file
/// Stage calls of the stand-in engine: cache preparation, layer computation and
/// forwarding to the next stage.

#include <algorithm>

#include "StandIns/EngineBodies.h"
#include "StandIns/EngineStandIn.h"

namespace zincstep::standins {

namespace {

using Json = nlohmann::json;

constexpr Micros kNextStageConnectTimeout = 100ms;
constexpr Micros kNextStageTimeout = 30s;

LayerRange StageLayers(const Json& aBody, std::size_t aStage) {
  const Json& layers = aBody.at("stages").at(aStage).at("layers");
  return {layers.at(0).get<int>(), layers.at(1).get<int>()};
}

std::string StageField(const Json& aBody, std::size_t aStage,
                       const char* aKey) {
  return aBody.at("stages").at(aStage).value(aKey, "");
}

/// Returns the index of the last stage that recomputes its cache, or -1.
int FindLastReplayStage(const Json& aBody) {
  int last = -1;
  const Json& stages = aBody.at("stages");
  for (std::size_t i = 0; i < stages.size(); ++i) {
    if (stages.at(i).value("cache", "replay") == "replay") {
      last = static_cast<int>(i);
    }
  }
  return last;
}

}  // namespace

void EngineStandIn::HandleStage(const HttpRequest& aRequest) {
  auto call = std::make_shared<StageCall>();
  call->exchange = aRequest.exchange;
  call->body = Json::parse(aRequest.body);
  call->stage = call->body.at("stage").get<std::size_t>();
  call->position = call->body.value("positions", std::size_t{0});
  this->RunStage(call, [this, exchange = aRequest.exchange](Json aResponse) {
    this->Respond(exchange, 200, aResponse);
  });
}

Json EngineStandIn::MakeFailure(std::size_t aStage, HopFailure aFailure) const {
  return {{"failed_stage", aStage},
          {"failure", NameIn(kHopFailureNames, aFailure)}};
}

EngineStandIn::Sequence* EngineStandIn::OpenSequence(const StagePtr& aCall,
                                                     bool aMayCreate) {
  const auto request = aCall->body.at("request").get<std::uint64_t>();
  const int attempt = aCall->body.at("attempt").get<int>();
  if (!aMayCreate && !this->sequences.contains(request)) {
    return nullptr;
  }
  Sequence& sequence = this->sequences[request];
  sequence.usedAt = this->clock.Now();
  if (attempt < sequence.attempt) {
    return nullptr;
  }
  sequence.attempt = attempt;
  return &sequence;
}

void EngineStandIn::RunStage(StagePtr aCall, StageDone aDone) {
  aCall->receivedAt = this->clock.Now();
  const LayerRange layers = StageLayers(aCall->body, aCall->stage);
  const bool isPrefill = aCall->body.at("phase") == "prefill";
  const bool isLoaded = this->settings.layers.Covers(layers) &&
                        aCall->body.at("version") == this->version;
  const bool isRejected = isPrefill && this->leaving;
  Sequence* sequence =
      isLoaded && !isRejected ? this->OpenSequence(aCall, isPrefill) : nullptr;
  if (sequence == nullptr) {
    aDone(this->MakeFailure(aCall->stage, HopFailure::Refused));
    return;
  }
  sequence->holdsStep = true;
  sequence->waitsForNext = false;
  if (isPrefill) {
    this->PrepareCache(std::move(aCall), std::move(aDone));
  } else {
    this->ComputeStep(std::move(aCall), std::move(aDone));
  }
}

void EngineStandIn::PrepareCache(StagePtr aCall, StageDone aDone) {
  const LayerRange layers = StageLayers(aCall->body, aCall->stage);
  const std::string source = StageField(aCall->body, aCall->stage, "cache");
  Sequence& sequence =
      this->sequences[aCall->body.at("request").get<std::uint64_t>()];
  if (source == "import") {
    this->ImportCache(std::move(aCall), std::move(aDone));
    return;
  }
  const bool isReused = source == "keep";
  if (isReused && (sequence.layers != layers || sequence.caches.empty() ||
                   sequence.caches.front().size() < aCall->position)) {
    aDone(this->MakeFailure(aCall->stage, HopFailure::CacheLost));
    return;
  }
  if (!isReused) {
    sequence.layers = layers;
    sequence.caches.assign(static_cast<std::size_t>(layers.Size()), {});
  }
  this->ComputePrefill(std::move(aCall), std::move(aDone));
}

void EngineStandIn::ImportCache(StagePtr aCall, StageDone aDone) {
  const LayerRange layers = StageLayers(aCall->body, aCall->stage);
  HttpCall call;
  call.url = "http://" + StageField(aCall->body, aCall->stage, "import_from") +
             std::string(kSequencePath) +
             std::to_string(aCall->body.at("request").get<std::uint64_t>()) +
             "/cache?first=" + std::to_string(layers.first) +
             "&last=" + std::to_string(layers.last);
  call.connectTimeout = kNextStageConnectTimeout;
  this->client.Call(
      std::move(call), [this, aCall, aDone, layers](HttpCallResult aResult) {
        const Json json = Json::parse(aResult.body, nullptr, false);
        const bool isReceived = aResult.end == CallEnd::Answered &&
                                aResult.status == 200 && json.is_object();
        Sequence* sequence = isReceived ? this->OpenSequence(aCall) : nullptr;
        if (sequence == nullptr) {
          aDone(this->MakeFailure(aCall->stage, HopFailure::CacheLost));
          return;
        }
        sequence->layers = layers;
        sequence->caches = json.at("caches").get<std::vector<LayerCache>>();
        this->ComputePrefill(aCall, aDone);
      });
}

/// Returns the length in tokens of the prompt's prefix that is in the prefix
/// cache from an earlier prompt. `aShouldInsert` adds the missing blocks up to
/// the capacity of the cache.
int EngineStandIn::MatchPrefixCache(const Json& aBody, bool aShouldInsert) {
  int cached = 0;
  int tokens = 0;
  for (const Json& item : aBody.value("prefixes", Json::array())) {
    const auto hash = item.get<std::uint64_t>();
    tokens += static_cast<int>(kPrefixBlockTokens);
    if (this->prefixHashes.contains(hash)) {
      cached = tokens;
    } else if (aShouldInsert &&
               this->prefixHashes.size() < this->settings.prefixCapacity) {
      this->prefixHashes.insert(hash);
    }
  }
  return cached;
}

void EngineStandIn::ComputePrefill(StagePtr aCall, StageDone aDone) {
  // Stages after the last one that replays have their caches and compute
  // nothing, so no outputs are needed there.
  const bool isNeeded =
      static_cast<int>(aCall->stage) <= FindLastReplayStage(aCall->body);
  const Json inputs = aCall->body.at("inputs");
  if (!isNeeded || inputs.empty()) {
    this->ForwardToNextStage(std::move(aCall), std::move(aDone));
    return;
  }
  const LayerRange layers = StageLayers(aCall->body, aCall->stage);
  const int cached = this->MatchPrefixCache(aCall->body, true);
  aCall->body["cached_tokens"] = cached;
  const int tokens = std::max(1, static_cast<int>(inputs.size()) - cached);
  this->accelerator.Prefill(
      tokens, layers.Size(),
      [this, aCall, aDone, inputs](Micros aQueue, Micros aCompute) {
        aCall->queue = aQueue;
        aCall->compute = aCompute;
        Sequence* sequence = this->OpenSequence(aCall);
        if (sequence == nullptr) {
          aDone(this->MakeFailure(aCall->stage, HopFailure::Refused));
          return;
        }
        aCall->body["inputs"] =
            this->RunLayers(*sequence, inputs, 0, aCall->body);
        this->ForwardToNextStage(aCall, aDone);
      });
}

Json EngineStandIn::RunLayers(Sequence& aSequence, const Json& aInputs,
                              std::size_t aPosition, const Json& aBody) {
  const LayerMath math = MakeLayerMath(aBody);
  Json outputs = Json::array();
  for (LayerCache& cache : aSequence.caches) {
    cache.resize(aPosition);
  }
  for (const Json& input : aInputs) {
    Activation value = input.get<Activation>();
    for (int layer = aSequence.layers.first; layer < aSequence.layers.last;
         ++layer) {
      const auto slot =
          static_cast<std::size_t>(layer - aSequence.layers.first);
      value = math.RunLayer(layer, value, aSequence.caches[slot]);
    }
    outputs.push_back(value);
  }
  return outputs;
}

void EngineStandIn::ComputeStep(StagePtr aCall, StageDone aDone) {
  const LayerRange layers = StageLayers(aCall->body, aCall->stage);
  this->accelerator.Decode(layers.Size(), [this, aCall, aDone, layers](
                                              Micros aQueue, Micros aCompute) {
    aCall->queue = aQueue;
    aCall->compute = aCompute;
    Sequence* sequence = this->OpenSequence(aCall);
    const bool hasCache = sequence != nullptr && sequence->layers == layers &&
                          !sequence->caches.empty() &&
                          sequence->caches.front().size() >= aCall->position;
    if (!hasCache) {
      aDone(this->MakeFailure(aCall->stage, sequence == nullptr
                                                ? HopFailure::Refused
                                                : HopFailure::CacheLost));
      return;
    }
    aCall->body["inputs"] = this->RunLayers(*sequence, aCall->body.at("inputs"),
                                            aCall->position, aCall->body);
    this->ForwardToNextStage(aCall, aDone);
  });
}

void EngineStandIn::ForwardToNextStage(StagePtr aCall, StageDone aDone) {
  const auto request = aCall->body.at("request").get<std::uint64_t>();
  const LayerRange layers = StageLayers(aCall->body, aCall->stage);
  const std::size_t next = aCall->stage + 1;
  StageReport report{layers, aCall->queue, aCall->compute, 0us};
  const auto entry = this->sequences.find(request);
  if (entry == this->sequences.end()) {
    aDone(this->MakeFailure(aCall->stage, HopFailure::CacheLost));
    return;
  }
  Sequence& sequence = entry->second;
  sequence.holdsStep = false;
  if (next == aCall->body.at("stages").size()) {
    Json response{{"reports", Json::array({StageReportToJson(report)})},
                  {"total_us", (this->clock.Now() - aCall->receivedAt).count()},
                  {"cached_tokens", aCall->body.value("cached_tokens", 0)}};
    if (aCall->body.at("phase") == "step") {
      const auto output = aCall->body.at("inputs").at(0).get<Activation>();
      response["token"] = MakeLayerMath(aCall->body).Sample(output);
    }
    aDone(std::move(response));
    return;
  }
  sequence.waitsForNext = true;
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + StageField(aCall->body, next, "address") + "/v1/stage";
  aCall->body["stage"] = next;
  call.body = aCall->body.dump();
  call.connectTimeout = kNextStageConnectTimeout;
  call.timeout = kNextStageTimeout;
  const Instant sent = this->clock.Now();
  const auto send = [this, call, aCall, aDone, report, sent, next,
                     request]() mutable {
    this->client.Call(call, [this, aCall, aDone, report, sent, next,
                             request](HttpCallResult aResult) mutable {
      const auto found = this->sequences.find(request);
      if (found != this->sequences.end()) {
        found->second.waitsForNext = false;
      }
      Json response = Json::parse(aResult.body, nullptr, false);
      if (aResult.end != CallEnd::Answered || !response.is_object()) {
        aDone(this->MakeFailure(next, HopFailure::Dead));
        return;
      }
      if (response.contains("failed_stage")) {
        aDone(std::move(response));
        return;
      }
      const Micros roundTrip = this->clock.Now() - sent;
      report.link =
          roundTrip - Micros{response.at("total_us").get<std::int64_t>()};
      response["reports"].insert(response["reports"].begin(),
                                 StageReportToJson(report));
      response["total_us"] = (this->clock.Now() - aCall->receivedAt).count();
      aDone(std::move(response));
    });
  };
  this->server.RunAfter(this->faults.linkDelay, send);
}

}  // namespace zincstep::standins
