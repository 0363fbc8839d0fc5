#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Zincstep/Routes/Routes.h"

namespace zincstep {

class ClusterDecoder;

/// A configuration and the text that it was decoded from; the table is null
/// before the first one.
struct DecodedConfiguration {
  std::shared_ptr<const std::string> text;
  std::shared_ptr<const RouteTable> table;
};

/// Decodes `aText` and indexes it; fails with `ConfigInvalid` if it is no
/// configuration. Most of a new configuration is that of `aFormer`.
Result<std::shared_ptr<const RouteTable>> BuildRouteTable(
    const ClusterDecoder& aDecoder, std::string_view aText,
    const DecodedConfiguration& aFormer);

/// Decodes and indexes configurations beside the event loop.
class ConfigurationBuilder {
 public:
  using Done = std::function<void(Result<std::shared_ptr<const RouteTable>>)>;

  virtual ~ConfigurationBuilder() = default;

  /// Runs `BuildRouteTable`; calls `aDone` on the event loop, never before this
  /// returns. Fails with `ConfigInvalid` if the text is no
  /// configuration, and otherwise if it may be decoded at another time.
  virtual void Start(std::shared_ptr<const std::string> aText,
                     DecodedConfiguration aFormer, Done aDone) = 0;
};

}  // namespace zincstep
