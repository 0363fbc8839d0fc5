#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Kinds of messages between daemons, in the order of `EdgePeerBody`.
enum class PeerMessageKind { Work, Query, Response, Demand, Crashes, Limits };

inline constexpr NameTable<PeerMessageKind, 6> kPeerMessageNames{{
    {PeerMessageKind::Work, "work"},
    {PeerMessageKind::Query, "want"},
    {PeerMessageKind::Response, "give"},
    {PeerMessageKind::Demand, "demand"},
    {PeerMessageKind::Crashes, "crashes"},
    {PeerMessageKind::Limits, "limits"},
}};

static_assert(std::variant_size_v<EdgePeerBody> == kPeerMessageNames.size());

/// Returns the kind of a message.
PeerMessageKind KindOf(const EdgePeerBody& aBody);

/// Counts the bytes of messages between daemons by kind and direction.
///
/// The smallest VMs have 20 Mbit/s, so each daemon has to show which kind uses
/// them.
class PeerByteCount {
 public:
  explicit PeerByteCount(Metrics& aMetrics) : metrics(aMetrics) {}

  void AddSent(PeerMessageKind aKind, std::size_t aBytes);
  void AddReceived(PeerMessageKind aKind, std::size_t aBytes);
  /// Logs the bytes since the last log line, if it is due and there were any.
  /// Called several times per second.
  void Tick(Instant aNow);

 private:
  using Bytes = std::array<std::uint64_t, kPeerMessageNames.size()>;

  Metrics& metrics;
  Bytes sent{};
  Bytes received{};
  Instant nextLogAt{};
};

}  // namespace zincstep
