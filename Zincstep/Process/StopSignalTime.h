#pragma once

#include <optional>

#include "Zincstep/Core/Time.h"

namespace zincstep {

/// Records when the first signal that asks the process to stop arrives.
///
/// An event loop handles a signal when its turn comes, which may be seconds
/// later, while the kill comes a fixed time after the signal. The handlers that
/// are installed when this object is created are called afterwards, and
/// restored by its destructor. The process has one such object at a time.
class StopSignalTime {
 public:
  StopSignalTime();
  ~StopSignalTime();
  StopSignalTime(const StopSignalTime&) = delete;
  StopSignalTime& operator=(const StopSignalTime&) = delete;

  /// Time of the first signal on `SystemClock`; none before it. A signal that
  /// arrives while the process is suspended counts from its resumption.
  std::optional<Instant> ArrivedAt() const;
};

}  // namespace zincstep
