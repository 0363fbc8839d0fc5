/// \file
/// The edge daemon with a link of its own to each upstream, so that a run can
/// partition single daemons: it replaces the host in upstreams' addresses by
/// `ZINCSTEP_SOAK_LINK_HOST`.

#include <cstdio>
#include <cstdlib>

#include "Zincstep/Edge/Edge.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Telemetry/Telemetry.h"
#include "platform/Platform.h"

namespace {

using namespace zincstep;

class LinkDecoder final : public ClusterDecoder {
 public:
  explicit LinkDecoder(std::string aHost) : host(std::move(aHost)) {}

  Result<RouteConfiguration> DecodeConfiguration(
      std::string_view aText) const override {
    return this->decoder->DecodeConfiguration(aText);
  }
  Result<RouteConfiguration> DecodeChange(
      std::string_view aText,
      const DecodedConfiguration& aFormer) const override {
    return this->decoder->DecodeChange(aText, aFormer);
  }
  Result<UpstreamEntry> DecodeUpstream(std::string_view aId,
                                       std::string_view aText) const override {
    auto entry = this->decoder->DecodeUpstream(aId, aText);
    if (entry) {
      entry->address =
          this->host + entry->address.substr(entry->address.rfind(':'));
    }
    return entry;
  }

 private:
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  std::string host;
};

Result<EdgeAdapters> MakeAdapters(asio::io_context& aLoop,
                                  const EdgeSettings& aSettings,
                                  StoreEraTracker& aEras) {
  auto store = platform::MakeStore(aLoop, aSettings.store, aEras);
  if (!store) {
    return tl::unexpected(store.error());
  }
  return EdgeAdapters{
      platform::MakeDialect(),
      std::make_unique<LinkDecoder>(std::getenv("ZINCSTEP_SOAK_LINK_HOST")),
      std::move(*store), platform::MakeUpstreamControl(aLoop),
      platform::MakeClusterKeys(aSettings.storePrefix)};
}

}  // namespace

int main(int aArgumentCount, char** aArguments) {
  PrepareProcess();
  if (std::getenv("ZINCSTEP_SOAK_LINK_HOST") == nullptr) {
    std::fprintf(stderr, "ZINCSTEP_SOAK_LINK_HOST is not set\n");
    return 2;
  }
  const EdgeSettings settings = ReadEdgeSettings(aArgumentCount, aArguments);
  if (!StartLog("zincstep-edge", settings.logLevel)) {
    return 2;
  }
  EndProcess(RunEdgeDaemon(settings, MakeAdapters));
}
