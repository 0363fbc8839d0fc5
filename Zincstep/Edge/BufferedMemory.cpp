#include "Zincstep/Edge/BufferedMemory.h"

#include <numeric>

namespace zincstep {

namespace {

/// Interval between log lines while the sum does not double.
constexpr Micros kLogInterval = 10s;
/// Sums below this are not logged.
constexpr std::size_t kMinLoggedSum = 256 << 10;

}  // namespace

void BufferedMemory::Report(const Bytes& aBytes) {
  for (const auto& [kind, name] : kBufferKindNames) {
    this->metrics.Set(
        "zincstep_held_bytes",
        static_cast<double>(aBytes[static_cast<std::size_t>(kind)]),
        {{"for", std::string(name)}});
  }
}

void BufferedMemory::Tick(const Bytes& aBytes) {
  const std::size_t sum =
      std::accumulate(aBytes.begin(), aBytes.end(), std::size_t{0});
  const Instant now = this->clock.Now();
  const bool hasDoubled = sum >= 2 * this->lastLoggedSum;
  if (sum < kMinLoggedSum || (now < this->nextLogAt && !hasDoubled)) {
    return;
  }
  this->nextLogAt = now + kLogInterval;
  this->lastLoggedSum = sum;
  this->Log(aBytes, sum);
}

void BufferedMemory::Log(const Bytes& aBytes, std::size_t aSum) {
  const auto kind = [&aBytes](BufferKind aKind) {
    return aBytes[static_cast<std::size_t>(aKind)];
  };
  LogInfo("held_bytes", {{"to_peers", kind(BufferKind::ToPeers)},
                         {"from_peers", kind(BufferKind::FromPeers)},
                         {"packed_lists", kind(BufferKind::PackedLists)},
                         {"to_callers", kind(BufferKind::ToCallers)},
                         {"from_upstreams", kind(BufferKind::FromUpstreams)},
                         {"sum", aSum}});
}

}  // namespace zincstep
