#pragma once

#include <array>
#include <cstddef>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Purposes for which a daemon buffers bytes.
enum class BufferKind {
  /// Messages queued for peers; a message to several peers counts once.
  ToPeers,
  /// Messages of peers that are received but not parsed yet.
  FromPeers,
  /// Compressed lists and configurations that are cached.
  PackedLists,
  /// Response bytes that callers have not read yet.
  ToCallers,
  /// Long response bodies of upstreams that are not complete yet.
  FromUpstreams,
};

inline constexpr NameTable<BufferKind, 5> kBufferKindNames{{
    {BufferKind::ToPeers, "to_peers"},
    {BufferKind::FromPeers, "from_peers"},
    {BufferKind::PackedLists, "packed_lists"},
    {BufferKind::ToCallers, "to_callers"},
    {BufferKind::FromUpstreams, "from_upstreams"},
}};

/// Logs and exports how many bytes are buffered for which purpose.
///
/// A process that outgrows its VM is killed with all its requests, so growth
/// has to be visible before that.
class BufferedMemory {
 public:
  using Bytes = std::array<std::size_t, kBufferKindNames.size()>;

  BufferedMemory(Metrics& aMetrics, const Clock& aClock)
      : metrics(aMetrics), clock(aClock) {}

  /// Logs the bytes periodically, and at once if the sum has doubled since the
  /// last log line. Called several times per second.
  void Tick(const Bytes& aBytes);
  /// Updates the gauges.
  void Report(const Bytes& aBytes);

 private:
  void Log(const Bytes& aBytes, std::size_t aSum);

  Metrics& metrics;
  const Clock& clock;
  std::size_t lastLoggedSum = 0;
  Instant nextLogAt{};
};

}  // namespace zincstep
