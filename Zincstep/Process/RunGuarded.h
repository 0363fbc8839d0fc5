#pragma once

#include <functional>

namespace zincstep {

/// Runs a loop until it ends, or until one of its handlers throws; returns
/// false in that case, and the caller runs the loop again.
///
/// Nearly all that a handler may throw is a lack of memory, which ends the
/// work of one connection or request. Ending the process instead cuts all
/// responses that it relays. A violated invariant still ends it
/// (`ZINCSTEP_ASSERT`, `std::logic_error`), as it would fail again on each
/// call. The exception is logged as `handler_failed` of `aName`.
///
/// A periodic handler has to schedule its next call before it does anything
/// that may throw.
bool RunGuarded(const char* aName, const std::function<void()>& aRun);

}  // namespace zincstep
