#pragma once

#include <functional>

#include "Zincstep/Edge/EdgeAdapters.h"
#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {

/// Makes the adapters on the daemon's loop.
using MakeEdgeAdapters = std::function<Result<EdgeAdapters>(
    asio::io_context&, const EdgeSettings&, StoreEraTracker&)>;

/// Runs the daemon until it is told to stop; gives its exit status.
int RunEdgeDaemon(const EdgeSettings& aSettings,
                  const MakeEdgeAdapters& aMakeAdapters);

}  // namespace zincstep
