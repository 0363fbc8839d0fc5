#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// Starts the log: JSON lines on stdout, of severity `aLevel` and above.
///
/// A background thread writes the lines, so that logging never blocks the
/// caller; if stdout is too slow, the oldest queued lines are dropped. The
/// thread receives no signals.
///
/// Levels are trace, debug, info, warn, error and off; returns false for any
/// other level.
bool StartLog(const std::string& aProgram, const std::string& aLevel);

/// Writes the queued lines and stops the log's thread. Nothing may be logged
/// afterwards.
void StopLog();

/// Waits until the queued lines are written, or until the timeout.
void WaitForLog(Micros aTimeout);

/// Logs an event with its fields as one line, with severity info.
void LogInfo(const char* aEvent, const nlohmann::json& aFields = {});
/// Logs an event with severity warn.
void LogWarning(const char* aEvent, const nlohmann::json& aFields = {});
/// Logs an event with severity error.
void LogError(const char* aEvent, const nlohmann::json& aFields = {});

}  // namespace zincstep
