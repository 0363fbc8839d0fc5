#include "Zincstep/Edge/EdgeDaemon.h"

#include "Zincstep/Edge/EdgeProcess.h"

namespace zincstep {

namespace {

constexpr int kFailedStatus = 1;
constexpr int kWrongSettingsStatus = 2;

/// The daemon with what it needs for its whole life.
struct EdgeInstance {
  asio::io_context loop{1};
  StoreEraTracker eras;
  std::unique_ptr<EdgeProcess> daemon;
};

/// Creates the daemon; `status` of the process is returned if that fails.
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
  const Result<void> listening = instance.daemon->Listen();
  if (!listening) {
    LogError("start_failed", {{"reason", listening.error().message}});
    return kFailedStatus;
  }
  if (!instance.daemon->IsStopping()) {
    instance.daemon->Start();
    instance.loop.run();
  }
  instance.daemon->Stop();
  return 0;
}

}  // namespace zincstep
