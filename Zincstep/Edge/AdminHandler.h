#pragma once

#include <functional>
#include <string>

#include "Zincstep/Net/CallerConnection.h"

namespace zincstep {

/// Serves the admin endpoints of the daemon: readiness and metrics.
class AdminHandler final : public CallerHandler {
 public:
  AdminHandler(std::function<bool()> aIsReady,
               std::function<std::string()> aMetrics)
      : isReady(std::move(aIsReady)), metrics(std::move(aMetrics)) {}

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection&) override {}

 private:
  std::function<bool()> isReady;
  std::function<std::string()> metrics;
};

}  // namespace zincstep
