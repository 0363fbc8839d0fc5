#pragma once

#include <functional>

#include "Zincstep/Edge/EdgeAdapters.h"
#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {

/// Creates the adapters on the daemon's event loop.
using MakeEdgeAdapters = std::function<Result<EdgeAdapters>(
    asio::io_context&, const EdgeSettings&, StoreEraTracker&)>;

/// Runs the daemon until SIGTERM or SIGINT. Returns the exit status: 0 after a
/// regular stop, 1 if a listener cannot be started, 2 if an adapter cannot be
/// created.
int RunEdgeDaemon(const EdgeSettings& aSettings,
                  const MakeEdgeAdapters& aMakeAdapters);

}  // namespace zincstep
