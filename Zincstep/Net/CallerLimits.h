#pragma once

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Limits of callers' connections; they change with the configuration.
struct CallerLimits {
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 4 << 20;
  /// Time for a request to come whole from its first byte on.
  Micros headerTimeout = 3s;
  /// Time that a connection may rest between requests.
  Micros idleTimeout = 15s;
};

}  // namespace zincstep
