#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace zincstep {

/// A span of time in whole microseconds, the unit of every decision.
using Micros = std::chrono::microseconds;

/// A point on a monotonic clock; only differences have a meaning.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Micros>;

using namespace std::chrono_literals;

/// Source of monotonic time, passed in so that tests can set it by hand.
class Clock {
 public:
  virtual ~Clock() = default;

  /// The present instant; it never goes back.
  virtual Instant Now() const = 0;
};

/// The machine's monotonic clock with the time in which it was suspended.
///
/// The usual steady clock stands still meanwhile: after five seconds away a
/// proof, a lease or a deadline looked as old as before, while the others had
/// gone on.
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

/// A clock that stands still until it is advanced.
class FakeClock final : public Clock {
 public:
  Instant Now() const override { return this->now; }

  /// Moves the clock on by `aSpan`.
  void Advance(Micros aSpan) { this->now += aSpan; }

 private:
  Instant now{Micros{1'000'000}};
};

/// Microseconds since 1970, for what people and other VMs read; never for
/// a decision.
inline std::int64_t WallMicros() {
  return std::chrono::duration_cast<Micros>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Length of `aSpan` in seconds, for rates.
inline double ToSeconds(Micros aSpan) {
  return static_cast<double>(aSpan.count()) / 1e6;
}

/// `aSeconds` as a whole number of microseconds.
inline Micros FromSeconds(double aSeconds) {
  return Micros{static_cast<std::int64_t>(aSeconds * 1e6)};
}

}  // namespace zincstep
