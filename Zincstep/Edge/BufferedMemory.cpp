#include "Zincstep/Edge/BufferedMemory.h"

#include <numeric>

namespace zincstep {

namespace {

/// Between two log lines while the sum does not double.
constexpr Micros kLinePause = 10s;
/// Less than this is not told.
constexpr std::size_t kFewestTold = 256 << 10;

}  // namespace

void BufferedMemory::Report(const Bytes& aHeld) {
  for (const auto& [kind, name] : kBufferKindNames) {
    this->metrics.Set(
        "zincstep_held_bytes",
        static_cast<double>(aHeld[static_cast<std::size_t>(kind)]),
        {{"for", std::string(name)}});
  }
}

void BufferedMemory::Tick(const Bytes& aHeld) {
  const std::size_t sum =
      std::accumulate(aHeld.begin(), aHeld.end(), std::size_t{0});
  const Instant now = this->clock.Now();
  const bool hasDoubled = sum >= 2 * this->lastTold;
  if (sum < kFewestTold || (now < this->nextLogAt && !hasDoubled)) {
    return;
  }
  this->nextLogAt = now + kLinePause;
  this->lastTold = sum;
  this->Log(aHeld, sum);
}

void BufferedMemory::Log(const Bytes& aHeld, std::size_t aSum) {
  const auto kind = [&aHeld](BufferKind aKind) {
    return aHeld[static_cast<std::size_t>(aKind)];
  };
  LogInfo("held_bytes", {{"to_peers", kind(BufferKind::ToPeers)},
                         {"from_peers", kind(BufferKind::FromPeers)},
                         {"packed_lists", kind(BufferKind::PackedLists)},
                         {"to_callers", kind(BufferKind::ToCallers)},
                         {"sum", aSum}});
}

}  // namespace zincstep
