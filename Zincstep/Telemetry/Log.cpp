#include "Zincstep/Telemetry/Log.h"

#include <signal.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <thread>

namespace zincstep {

namespace {

/// Maximum number of queued lines; when full, the oldest are dropped.
constexpr std::size_t kMaxQueuedLines = 4096;

void Write(spdlog::level::level_enum aLevel, const char* aEvent,
           const nlohmann::json& aFields) {
  if (!spdlog::should_log(aLevel)) {
    return;
  }
  nlohmann::json fields =
      aFields.is_object() ? aFields : nlohmann::json::object();
  fields["event"] = aEvent;
  const std::string text =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The pattern set in StartLog opens the object, so that the opening brace of
  // the fields is omitted.
  spdlog::log(aLevel, "{}", std::string_view(text).substr(1));
}

/// Starts the log's thread with all signals blocked. A program that blocks its
/// stop signals and waits for them does so after the log has started, and a
/// thread that does not block them would end the process by the default action.
void StartLogThread() {
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

}  // namespace

bool StartLog(const std::string& aProgram, const std::string& aLevel) {
  const auto level = spdlog::level::from_str(aLevel);
  const bool isKnownLevel = level != spdlog::level::off || aLevel == "off";
  StartLogThread();
  auto logger = std::make_shared<spdlog::async_logger>(
      aProgram, std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern(
      "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"level\":\"%l\","
      "\"program\":\"%n\",\"pid\":%P,%v",
      spdlog::pattern_time_type::utc);
  logger->set_level(level);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
  return isKnownLevel;
}

void StopLog() { spdlog::shutdown(); }

void WaitForLog(Micros aTimeout) {
  // The last line that was taken from the queue is written meanwhile.
  constexpr auto kPollInterval = std::chrono::milliseconds(10);
  const SystemClock clock;
  const Instant end = clock.Now() + aTimeout;
  const auto pool = spdlog::thread_pool();
  while (pool && pool->queue_size() > 0 && clock.Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  std::this_thread::sleep_for(kPollInterval);
}

void LogInfo(const char* aEvent, const nlohmann::json& aFields) {
  Write(spdlog::level::info, aEvent, aFields);
}

void LogWarning(const char* aEvent, const nlohmann::json& aFields) {
  Write(spdlog::level::warn, aEvent, aFields);
}

void LogError(const char* aEvent, const nlohmann::json& aFields) {
  Write(spdlog::level::err, aEvent, aFields);
}

}  // namespace zincstep
