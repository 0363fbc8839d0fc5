#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// Kinds of messages between daemons, in the order of `EdgePeerBody`.
enum class PeerMessageKind { Work, Want, Give, Demand, Crashes, Limits };

inline constexpr NameTable<PeerMessageKind, 6> kPeerMessageNames{{
    {PeerMessageKind::Work, "work"},
    {PeerMessageKind::Want, "want"},
    {PeerMessageKind::Give, "give"},
    {PeerMessageKind::Demand, "demand"},
    {PeerMessageKind::Crashes, "crashes"},
    {PeerMessageKind::Limits, "limits"},
}};

static_assert(std::variant_size_v<EdgePeerBody> == kPeerMessageNames.size());

/// The kind of a message.
PeerMessageKind KindOf(const EdgePeerBody& aBody);

/// Counts the bytes of messages between daemons by kind and direction.
///
/// The smallest VMs have 20 Mbit/s: which kind takes them has to be seen at
/// each of them.
class PeerByteCount {
 public:
  explicit PeerByteCount(Metrics& aMetrics) : metrics(aMetrics) {}

  void AddSent(PeerMessageKind aKind, std::size_t aBytes);
  void AddReceived(PeerMessageKind aKind, std::size_t aBytes);
  /// Logs the bytes since the last such line where it is time and there were
  /// any; to be called several times a second.
  void Tick(Instant aNow);

 private:
  using Bytes = std::array<std::uint64_t, kPeerMessageNames.size()>;

  Metrics& metrics;
  Bytes sent{};
  Bytes received{};
  Instant nextLogAt{};
};

}  // namespace zincstep
