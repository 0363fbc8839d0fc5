#pragma once

#include <cstdint>
#include <random>

namespace zincstep {

/// Seeded random number generator, injected so that runs are reproducible.
class Random {
 public:
  explicit Random(std::uint64_t aSeed) : engine(aSeed) {}

  /// Returns a number in [0, 1).
  double Unit() {
    return static_cast<double>(this->engine() >> 11) * 0x1.0p-53;
  }

  /// Returns an integer in [0, `aBound`); `aBound` must not be zero.
  std::uint64_t Below(std::uint64_t aBound) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, aBound - 1)(this->engine);
  }

  /// Returns the engine, for the distributions of the standard library.
  std::mt19937_64& Engine() { return this->engine; }

 private:
  std::mt19937_64 engine;
};

}  // namespace zincstep
