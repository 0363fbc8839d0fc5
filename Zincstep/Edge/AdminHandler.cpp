#include "Zincstep/Edge/AdminHandler.h"

namespace zincstep {

void AdminHandler::OnRequest(
    const std::shared_ptr<CallerConnection>& aConnection,
    CallerMessage aMessage) {
  const std::string& target = aMessage.head.target;
  if (target == "/readyz") {
    const bool ready = this->isReady();
    aConnection->Answer(ready ? 200 : 503, {}, ready ? "ready" : "not ready");
  } else if (target == "/metrics") {
    aConnection->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                        this->metrics());
  } else if (target == "/status") {
    aConnection->Answer(200, {{"Content-Type", "application/json"}},
                        this->status());
  } else {
    aConnection->Answer(404, {}, "not found");
  }
}

}  // namespace zincstep
