#include "Zincstep/Edge/EdgeDaemon.h"

#include <algorithm>

#include "Zincstep/Edge/EdgeProcess.h"

namespace zincstep {

namespace {

/// Delays between attempts to listen on an address that is in use. A restarted
/// daemon waits for its predecessor, or for the port of another process's
/// connection, which may be kept for 60 s after its end.
constexpr Micros kMinListenDelay = 50ms;
constexpr Micros kMaxListenDelay = 1s;
constexpr int kFailedStatus = 1;
constexpr int kWrongSettingsStatus = 2;

/// The daemon with what it needs for its whole life.
struct EdgeInstance {
  asio::io_context loop{1};
  StoreEraTracker eras;
  std::unique_ptr<EdgeProcess> daemon;
};

/// Creates the daemon, or returns the exit status if that fails.
tl::expected<std::unique_ptr<EdgeInstance>, int> MakeInstance(
    const EdgeSettings& aSettings, const MakeEdgeAdapters& aMakeAdapters) {
  try {
    auto instance = std::make_unique<EdgeInstance>();
    auto adapters = aMakeAdapters(instance->loop, aSettings, instance->eras);
    if (!adapters) {
      LogError("start_failed", {{"reason", adapters.error().message}});
      return tl::unexpected(kWrongSettingsStatus);
    }
    instance->daemon = std::make_unique<EdgeProcess>(
        aSettings, instance->loop, std::move(*adapters), instance->eras);
    return instance;
  } catch (const std::exception& error) {
    // The system has no more descriptors, threads or memory.
    LogError("start_failed", {{"reason", error.what()}});
    return tl::unexpected(kFailedStatus);
  }
}

/// Listens on all addresses; waits for those that are in use until a signal
/// stops the process.
Result<void> ListenOrStop(EdgeInstance& aInstance) {
  Micros delay = kMinListenDelay;
  for (;;) {
    Result<void> listening = aInstance.daemon->Listen();
    if (listening || listening.error().kind != ErrorKind::NotReady) {
      return listening;
    }
    LogWarning("listen_failed", {{"reason", listening.error().message},
                                 {"retry_ms", delay / 1ms}});
    aInstance.daemon->Run([&] { aInstance.loop.run_for(delay); });
    if (aInstance.daemon->IsStopping()) {
      return {};
    }
    delay = std::min(2 * delay, kMaxListenDelay);
  }
}

}  // namespace

int RunEdgeDaemon(const EdgeSettings& aSettings,
                  const MakeEdgeAdapters& aMakeAdapters) {
  LogInfo("starting", {{"name", aSettings.name}});
  const auto made = MakeInstance(aSettings, aMakeAdapters);
  if (!made) {
    return made.error();
  }
  EdgeInstance& instance = **made;
  const DeliverSignals delivery;
  const Result<void> listening = ListenOrStop(instance);
  if (!listening) {
    instance.daemon->Stop();
    LogError("start_failed", {{"reason", listening.error().message}});
    return kFailedStatus;
  }
  if (!instance.daemon->IsStopping()) {
    instance.daemon->Start();
    while (!instance.daemon->Run([&instance] { instance.loop.run(); })) {
    }
  }
  instance.daemon->Stop();
  return 0;
}

}  // namespace zincstep
