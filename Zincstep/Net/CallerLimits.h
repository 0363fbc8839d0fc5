#pragma once

#include <algorithm>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Limits of callers' connections; set by the configuration.
struct CallerLimits {
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 4 << 20;
  /// Timeout of the head of a request, since its first byte was read, and of
  /// its body, since the last bytes were read.
  Micros headerTimeout = 3s;
  /// Time that a connection may be idle between requests.
  Micros idleTimeout = 15s;

  bool operator==(const CallerLimits&) const = default;
  /// Returns the greater one of each limit.
  friend CallerLimits Widest(const CallerLimits& aOne,
                             const CallerLimits& aOther) {
    return {std::max(aOne.maxHeaderBytes, aOther.maxHeaderBytes),
            std::max(aOne.maxBodyBytes, aOther.maxBodyBytes),
            std::max(aOne.headerTimeout, aOther.headerTimeout),
            std::max(aOne.idleTimeout, aOther.idleTimeout)};
  }
};

}  // namespace zincstep
