#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace zincstep {

/// Duration in microseconds, the resolution of all decisions.
using Micros = std::chrono::microseconds;

/// Point on a monotonic clock; only differences are meaningful.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Micros>;

using namespace std::chrono_literals;

/// Source of monotonic time, injected so that tests can control it.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns the current instant; never decreases.
  virtual Instant Now() const = 0;
};

/// The VM's monotonic clock, including time in suspension (`CLOCK_BOOTTIME`).
///
/// `std::chrono::steady_clock` stops during suspension: after 5 s of it,
/// validations, leases and deadlines seemed as young as before, while the other
/// VMs had continued.
class SystemClock final : public Clock {
 public:
  Instant Now() const override {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant{std::chrono::duration_cast<Micros>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec))};
  }
};

/// Clock that changes only by `Advance`.
class FakeClock final : public Clock {
 public:
  Instant Now() const override { return this->now; }

  /// Advances the clock by `aDuration`.
  void Advance(Micros aDuration) { this->now += aDuration; }

 private:
  Instant now{Micros{1'000'000}};
};

/// Returns microseconds since the Unix epoch, for output to people and other
/// VMs; not for decisions.
inline std::int64_t WallMicros() {
  return std::chrono::duration_cast<Micros>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns `aDuration` in seconds, for rates.
inline double ToSeconds(Micros aDuration) {
  return static_cast<double>(aDuration.count()) / 1e6;
}

/// Returns `aSeconds` as microseconds, truncated.
inline Micros FromSeconds(double aSeconds) {
  return Micros{static_cast<std::int64_t>(aSeconds * 1e6)};
}

}  // namespace zincstep
