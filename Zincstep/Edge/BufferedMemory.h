#pragma once

#include <array>
#include <cstddef>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// What a daemon holds memory for.
enum class BufferKind {
  /// Messages that wait for a peer to take them; what several are sent counts
  /// once.
  ToPeers,
  /// Messages of peers that have come and are not read yet.
  FromPeers,
  /// Lists that are kept packed.
  PackedLists,
  /// Bytes of answers that callers have not taken yet.
  ToCallers,
};

inline constexpr NameTable<BufferKind, 4> kBufferKindNames{{
    {BufferKind::ToPeers, "to_peers"},
    {BufferKind::FromPeers, "from_peers"},
    {BufferKind::PackedLists, "packed_lists"},
    {BufferKind::ToCallers, "to_callers"},
}};

/// Tells how many bytes are held for what.
///
/// A process that outgrows its VM is ended with all its requests: what grows
/// has to be seen before that.
class BufferedMemory {
 public:
  using Bytes = std::array<std::size_t, kBufferKindNames.size()>;

  BufferedMemory(Metrics& aMetrics, const Clock& aClock)
      : metrics(aMetrics), clock(aClock) {}

  /// Logs where it is time, or the sum has doubled since the last line; to be
  /// called several times a second.
  void Tick(const Bytes& aHeld);
  /// Sets the gauges.
  void Report(const Bytes& aHeld);

 private:
  void Log(const Bytes& aHeld, std::size_t aSum);

  Metrics& metrics;
  const Clock& clock;
  std::size_t lastTold = 0;
  Instant nextLogAt{};
};

}  // namespace zincstep
