#pragma once

#include "Zincstep/Admission/WindowCounter.h"

namespace zincstep {

/// Settings of a retry window.
struct RetryWindowSettings {
  /// Length of the window.
  Micros window = 10s;
  /// Retries permitted for each request of the window.
  double perRequest = 0.08;
  /// Retries permitted in a window besides; this daemon's share.
  double burst = 10;
  /// Time from which the burst may be used. The former process of a restarted
  /// daemon may have used it up to a moment before its end.
  Instant burstFrom{};
};

/// Limits the retries of one service in any window of time to a share of the
/// window's requests and a burst.
///
/// Counts as the operators' limit for all daemons does, so that daemons whose
/// bursts sum to its slack use all of it, and no more.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowSettings aSettings)
      : settings(aSettings),
        requests(aSettings.window),
        retries(aSettings.window) {}

  /// Counts the first attempt of a caller's request.
  void OnRequest(Instant aNow) { this->requests.Add(aNow); }
  /// Acquires a retry. Returns false if the window has less than one left above
  /// the reserve for more important work: `aReserved` times the burst, rounded
  /// down to whole retries.
  bool TryAcquireRetry(Instant aNow, double aReserved = 0);
  /// Sets the burst, which changes with the number of daemons.
  void SetBurst(double aBurst) { this->settings.burst = aBurst; }
  /// Returns the retries left in the window; not negative.
  double Available(Instant aNow) const;

 private:
  RetryWindowSettings settings;
  WindowCounter requests;
  WindowCounter retries;
};

}  // namespace zincstep
