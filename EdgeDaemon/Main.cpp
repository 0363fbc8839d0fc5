#include <cstdio>

#include "Zincstep/Edge/Edge.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Telemetry/Telemetry.h"
#include "platform/Platform.h"

namespace {

zincstep::Result<zincstep::EdgeAdapters> MakeAdapters(
    asio::io_context& aLoop, const zincstep::EdgeSettings& aSettings,
    zincstep::StoreEraTracker& aEras) {
  namespace platform = zincstep::platform;
  auto store = platform::MakeStore(aLoop, aSettings.store, aEras);
  if (!store) {
    return tl::unexpected(store.error());
  }
  return zincstep::EdgeAdapters{
      platform::MakeDialect(), platform::MakeDecoder(), std::move(*store),
      platform::MakeUpstreamControl(aLoop),
      platform::MakeClusterKeys(aSettings.storePrefix)};
}

}  // namespace

int main(int aArgumentCount, char** aArguments) {
  zincstep::PrepareProcess();
  const zincstep::EdgeSettings settings =
      zincstep::ReadEdgeSettings(aArgumentCount, aArguments);
  if (!zincstep::StartLog("zincstep-edge", settings.logLevel)) {
    std::fprintf(stderr, "zincstep-edge: --log-level: no such level\n");
    return 2;
  }
  zincstep::EndProcess(zincstep::RunEdgeDaemon(settings, MakeAdapters));
}
