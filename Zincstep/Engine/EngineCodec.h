#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "Zincstep/Engine/EngineClient.h"

namespace zincstep {

/// A line of an engine's token stream: a token, or the attempt's failure.
struct EngineLine {
  /// Whether `token` is valid; otherwise `failedStage` and `failure` are.
  bool isToken = false;
  TokenEvent token;
  int failedStage = -1;
  HopFailure failure = HopFailure::Dead;
};

/// Encodes the body of the call that starts an attempt.
std::string WriteAttempt(const EngineAttempt& aAttempt);
/// Parses the body of `WriteAttempt`; fails with `BadRequest`.
Result<EngineAttempt> ReadAttempt(std::string_view aBody);

/// Encodes one line of a token stream, with its line feed.
std::string WriteLine(const EngineLine& aLine);
/// Parses one line of a token stream; fails with `BadRequest`.
Result<EngineLine> ReadLine(std::string_view aText);

/// Encodes a stage's progress as JSON.
std::string WriteProgress(const StageProgress& aProgress);
/// Parses a stage's progress. Returns a default `StageProgress`, with
/// `hasResponded` unset, if the body is invalid.
StageProgress ReadProgress(std::string_view aBody);

/// Encodes an engine's load as JSON.
std::string WriteLoad(const EngineLoad& aLoad);
/// Parses an engine's load; fails with `UpstreamFailed`.
Result<EngineLoad> ReadLoad(std::string_view aBody);

/// Encodes a stage report as a JSON array; times are in microseconds.
nlohmann::json StageReportToJson(const StageReport& aReport);
/// Decodes a stage report; throws `nlohmann::json::exception` if it is invalid.
StageReport StageReportFromJson(const nlohmann::json& aJson);

}  // namespace zincstep
