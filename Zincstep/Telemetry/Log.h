#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace zincstep {

/// Starts the log: JSON lines on stdout from `aLevel` on.
///
/// Levels are trace, debug, info, warn, error and off; false for others.
bool StartLog(const std::string& aProgram, const std::string& aLevel);

/// Writes an event with its fields as one line.
void LogInfo(const char* aEvent, const nlohmann::json& aFields = {});
void LogWarning(const char* aEvent, const nlohmann::json& aFields = {});
void LogError(const char* aEvent, const nlohmann::json& aFields = {});

}  // namespace zincstep
