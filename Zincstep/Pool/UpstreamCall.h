#pragma once

#include <optional>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// What a call to an upstream is for. An upstream that names a limit counts
/// all of them.
enum class UpstreamCall { Request, Report, Order };

inline constexpr NameTable<UpstreamCall, 3> kUpstreamCallNames{{
    {UpstreamCall::Request, "request"},
    {UpstreamCall::Report, "report"},
    {UpstreamCall::Order, "order"},
}};

/// What an upstream says of itself in the head of any answer.
struct UpstreamNotice {
  /// Calls a second that it takes from all daemons together; none: it names no
  /// limit.
  std::optional<double> callsPerSecond;
  /// It turns the call away and wants none from this daemon for so long; none:
  /// it does not say so.
  std::optional<Micros> backoff;
  /// It leaves: it finishes what it runs, and wants nothing new.
  bool isLeaving = false;
};

}  // namespace zincstep
