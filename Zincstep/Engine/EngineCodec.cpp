#include "Zincstep/Engine/EngineCodec.h"

#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

/// Maximum number of stage reports read from a token; the rest is ignored.
constexpr int kMaxStages = 256;

Json LayersToJson(const LayerRange& aLayers) {
  return Json::array({aLayers.first, aLayers.last});
}

LayerRange LayersFromJson(const Json& aJson) {
  return {aJson.at(0).get<int>(), aJson.at(1).get<int>()};
}

std::string Encode(const Json& aJson) { return WriteJson(aJson); }

Json StageToJson(const EngineStage& aStage) {
  Json json{{"address", aStage.address},
            {"layers", LayersToJson(aStage.layers)},
            {"cache", NameIn(kCacheSourceNames, aStage.source)}};
  if (aStage.source == CacheSource::Import) {
    json["import_from"] = aStage.importAddress;
  }
  return json;
}

EngineStage StageFromJson(const Json& aJson) {
  EngineStage stage;
  stage.address = aJson.at("address").get<std::string>();
  stage.layers = LayersFromJson(aJson.at("layers"));
  const auto source = aJson.at("cache").get<std::string>();
  stage.source = ValueIn(kCacheSourceNames, std::string_view(source))
                     .value_or(CacheSource::Replay);
  stage.importAddress = aJson.value("import_from", "");
  return stage;
}

/// Parses `aText` and decodes it by `aDecode`. Converts an exception of the
/// JSON library into an error of kind `aKind`.
template <class T, class Decode>
Result<T> ParseJson(std::string_view aText, ErrorKind aKind, Decode aDecode) {
  try {
    const Json json = ParseForeignJsonOrThrow(aText);
    return aDecode(json);
  } catch (const Json::exception& exception) {
    return Fail(aKind, exception.what());
  }
}

TokenEvent TokenFromJson(const Json& aJson) {
  TokenEvent event;
  event.request = aJson.at("request").get<std::uint64_t>();
  event.attempt = aJson.at("attempt").get<int>();
  event.position = aJson.at("position").get<int>();
  event.token = aJson.at("token").get<std::int32_t>();
  event.text = aJson.value("text", "");
  event.promptTokens = aJson.value("prompt_tokens", 0);
  event.cachedTokens = aJson.value("cached_tokens", 0);
  event.ends = aJson.value("ends", false);
  for (const Json& stage : aJson.at("stages")) {
    if (event.stages.size() < kMaxStages) {
      event.stages.push_back(StageReportFromJson(stage));
    }
  }
  return event;
}

Json TokenToJson(const TokenEvent& aEvent) {
  Json stages = Json::array();
  for (const StageReport& stage : aEvent.stages) {
    stages.push_back(StageReportToJson(stage));
  }
  return {{"request", aEvent.request},
          {"attempt", aEvent.attempt},
          {"position", aEvent.position},
          {"token", aEvent.token},
          {"text", aEvent.text},
          {"prompt_tokens", aEvent.promptTokens},
          {"cached_tokens", aEvent.cachedTokens},
          {"ends", aEvent.ends},
          {"stages", std::move(stages)}};
}

}  // namespace

Json StageReportToJson(const StageReport& aReport) {
  return Json::array({aReport.layers.first, aReport.layers.last,
                      aReport.queue.count(), aReport.compute.count(),
                      aReport.link.count()});
}

StageReport StageReportFromJson(const Json& aJson) {
  StageReport report;
  report.layers = LayersFromJson(aJson);
  report.queue = Micros{aJson.at(2).get<std::int64_t>()};
  report.compute = Micros{aJson.at(3).get<std::int64_t>()};
  report.link = Micros{aJson.at(4).get<std::int64_t>()};
  return report;
}

std::string WriteAttempt(const EngineAttempt& aAttempt) {
  Json stages = Json::array();
  for (const EngineStage& stage : aAttempt.stages) {
    stages.push_back(StageToJson(stage));
  }
  return Encode({{"request", aAttempt.request},
                 {"attempt", aAttempt.attempt},
                 {"model", aAttempt.model},
                 {"version", aAttempt.version},
                 {"adapter", aAttempt.adapter},
                 {"cache_salt", aAttempt.cacheSalt},
                 {"priority", NameIn(kPriorityNames, aAttempt.priority)},
                 {"prompt", aAttempt.prompt},
                 {"tokens", aAttempt.tokens},
                 {"max_tokens", aAttempt.maxTokens},
                 {"time_left_ms", aAttempt.timeLeft.count() / 1000},
                 {"stages", std::move(stages)}});
}

Result<EngineAttempt> ReadAttempt(std::string_view aBody) {
  const auto decode = [](const Json& aJson) {
    EngineAttempt attempt;
    attempt.request = aJson.at("request").get<std::uint64_t>();
    attempt.attempt = aJson.at("attempt").get<int>();
    attempt.model = aJson.at("model").get<std::string>();
    attempt.version = aJson.at("version").get<std::string>();
    attempt.adapter = aJson.value("adapter", "");
    attempt.cacheSalt = aJson.value("cache_salt", "");
    const auto priority = aJson.value("priority", "normal");
    attempt.priority = ValueIn(kPriorityNames, std::string_view(priority))
                           .value_or(Priority::Normal);
    attempt.prompt = aJson.at("prompt").get<std::string>();
    attempt.tokens = aJson.at("tokens").get<std::vector<std::int32_t>>();
    attempt.maxTokens = aJson.at("max_tokens").get<int>();
    attempt.timeLeft = Micros{1000 * aJson.value("time_left_ms", 0LL)};
    for (const Json& stage : aJson.at("stages")) {
      attempt.stages.push_back(StageFromJson(stage));
    }
    return attempt;
  };
  return ParseJson<EngineAttempt>(aBody, ErrorKind::BadRequest, decode);
}

std::string WriteLine(const EngineLine& aLine) {
  const Json json =
      aLine.isToken
          ? TokenToJson(aLine.token)
          : Json{{"failed_stage", aLine.failedStage},
                 {"failure", NameIn(kHopFailureNames, aLine.failure)}};
  return Encode(json) + "\n";
}

Result<EngineLine> ReadLine(std::string_view aText) {
  const auto decode = [](const Json& aJson) {
    EngineLine line;
    line.isToken = !aJson.contains("failed_stage");
    if (line.isToken) {
      line.token = TokenFromJson(aJson);
      return line;
    }
    line.failedStage = aJson.at("failed_stage").get<int>();
    const auto failure = aJson.at("failure").get<std::string>();
    line.failure = ValueIn(kHopFailureNames, std::string_view(failure))
                       .value_or(HopFailure::Dead);
    return line;
  };
  return ParseJson<EngineLine>(aText, ErrorKind::BadRequest, decode);
}

std::string WriteProgress(const StageProgress& aProgress) {
  return Encode({{"holds_step", aProgress.holdsStep},
                 {"waits_for_next", aProgress.waitsForNext}});
}

StageProgress ReadProgress(std::string_view aBody) {
  const auto decode = [](const Json& aJson) {
    StageProgress progress;
    progress.hasResponded = true;
    progress.holdsStep = aJson.at("holds_step").get<bool>();
    progress.waitsForNext = aJson.at("waits_for_next").get<bool>();
    return progress;
  };
  return ParseJson<StageProgress>(aBody, ErrorKind::UpstreamFailed, decode)
      .value_or(StageProgress{});
}

std::string WriteLoad(const EngineLoad& aLoad) {
  return Encode({{"name", aLoad.name},
                 {"sequences", aLoad.sequences},
                 {"slots", aLoad.slots},
                 {"version", aLoad.version},
                 {"leaving", aLoad.leaving}});
}

Result<EngineLoad> ReadLoad(std::string_view aBody) {
  const auto decode = [](const Json& aJson) {
    EngineLoad load;
    load.name = aJson.at("name").get<std::string>();
    load.sequences = aJson.at("sequences").get<double>();
    load.slots = aJson.value("slots", 0.0);
    load.version = aJson.value("version", "");
    load.leaving = aJson.value("leaving", false);
    return load;
  };
  return ParseJson<EngineLoad>(aBody, ErrorKind::UpstreamFailed, decode);
}

}  // namespace zincstep
