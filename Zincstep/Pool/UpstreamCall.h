#pragma once

#include <optional>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Purpose of a call to an upstream. An upstream that states a limit counts
/// calls of all kinds.
enum class UpstreamCall { Request, Report, Order };

inline constexpr NameTable<UpstreamCall, 3> kUpstreamCallNames{{
    {UpstreamCall::Request, "request"},
    {UpstreamCall::Report, "report"},
    {UpstreamCall::Order, "order"},
}};

/// State that an upstream reports in the head of any response.
struct UpstreamNotice {
  /// Calls per second that it accepts from all daemons together; none: it
  /// states no limit.
  std::optional<double> callsPerSecond;
  /// It rejected the call and accepts none from this daemon for this time;
  /// none: not stated.
  std::optional<Micros> backoff;
  /// Whether it is leaving: it finishes the running requests and accepts no new
  /// ones.
  bool isLeaving = false;
};

}  // namespace zincstep
