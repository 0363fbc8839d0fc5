#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace zincstep {

/// Starts the log: JSON lines on stdout from `aLevel` on.
///
/// Lines are written by a thread of their own and never hold a caller up:
/// where the reader is too slow, the oldest that wait are dropped.
///
/// Levels are trace, debug, info, warn, error and off; false for others.
bool StartLog(const std::string& aProgram, const std::string& aLevel);

/// Writes what waits and ends the log's thread; the last use of the log.
void StopLog();

/// Writes an event with its fields as one line.
void LogInfo(const char* aEvent, const nlohmann::json& aFields = {});
void LogWarning(const char* aEvent, const nlohmann::json& aFields = {});
void LogError(const char* aEvent, const nlohmann::json& aFields = {});

}  // namespace zincstep
