#pragma once

#include <functional>
#include <string>

#include "Zincstep/Net/CallerConnection.h"

namespace zincstep {

/// Serves the admin endpoints of the daemon: readiness, metrics and
/// status.
class AdminHandler final : public CallerHandler {
 public:
  AdminHandler(std::function<bool()> aIsReady,
               std::function<std::string()> aMetrics,
               std::function<std::string()> aStatus)
      : isReady(std::move(aIsReady)),
        metrics(std::move(aMetrics)),
        status(std::move(aStatus)) {}

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection&) override {}

 private:
  std::function<bool()> isReady;
  std::function<std::string()> metrics;
  std::function<std::string()> status;
};

}  // namespace zincstep
