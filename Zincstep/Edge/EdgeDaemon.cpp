#include "Zincstep/Edge/EdgeDaemon.h"

#include <csignal>

#include "Zincstep/Edge/EdgeProcess.h"

namespace zincstep {

int RunEdgeDaemon(const EdgeSettings& aSettings,
                  const MakeEdgeAdapters& aMakeAdapters) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context loop(1);
  StoreEraTracker eras;
  auto adapters = aMakeAdapters(loop, aSettings, eras);
  if (!adapters) {
    LogError("start_failed", {{"reason", adapters.error().message}});
    return 2;
  }
  EdgeProcess daemon(aSettings, loop, std::move(*adapters), eras);
  const Result<void> started = daemon.Start();
  if (!started) {
    LogError("start_failed", {{"reason", started.error().message}});
    return 1;
  }
  loop.run();
  daemon.Stop();
  return 0;
}

}  // namespace zincstep
