#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Zincstep/Routes/Routes.h"

namespace zincstep {

class ClusterDecoder;

/// Decodes `aText` and indexes it; fails with `ConfigInvalid` if it is no
/// configuration.
Result<std::shared_ptr<const RouteTable>> BuildRouteTable(
    const ClusterDecoder& aDecoder, std::string_view aText);

/// Decodes and indexes configurations beside the event loop.
class ConfigurationBuilder {
 public:
  using Done = std::function<void(Result<std::shared_ptr<const RouteTable>>)>;

  virtual ~ConfigurationBuilder() = default;

  /// Decodes `aText` and indexes it; calls `aDone` on the event loop, never
  /// before this returns. Fails with `ConfigInvalid` if the text is no
  /// configuration, and otherwise if it may be decoded at another time.
  virtual void Start(std::shared_ptr<const std::string> aText, Done aDone) = 0;
};

}  // namespace zincstep
