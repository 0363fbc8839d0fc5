#include "Zincstep/Edge/PeerByteCount.h"

#include <numeric>

namespace zincstep {

namespace {

/// Interval between log lines.
constexpr Micros kLogInterval = 10s;

}  // namespace

PeerMessageKind KindOf(const EdgePeerBody& aBody) {
  return static_cast<PeerMessageKind>(aBody.index());
}

void PeerByteCount::AddSent(PeerMessageKind aKind, std::size_t aBytes) {
  this->sent[static_cast<std::size_t>(aKind)] += aBytes;
  this->metrics.Count("zincstep_peer_sent_bytes_total",
                      {{"kind", std::string(NameIn(kPeerMessageNames, aKind))}},
                      static_cast<double>(aBytes));
}

void PeerByteCount::AddReceived(PeerMessageKind aKind, std::size_t aBytes) {
  this->received[static_cast<std::size_t>(aKind)] += aBytes;
  this->metrics.Count("zincstep_peer_received_bytes_total",
                      {{"kind", std::string(NameIn(kPeerMessageNames, aKind))}},
                      static_cast<double>(aBytes));
}

void PeerByteCount::Tick(Instant aNow) {
  const auto sum = [](const Bytes& aBytes) {
    return std::accumulate(aBytes.begin(), aBytes.end(), std::uint64_t{0});
  };
  if (aNow < this->nextLogAt || sum(this->sent) + sum(this->received) == 0) {
    return;
  }
  const auto kind = [](const Bytes& aBytes, PeerMessageKind aKind) {
    return aBytes[static_cast<std::size_t>(aKind)];
  };
  LogInfo(
      "peer_bytes",
      {{"sent_work", kind(this->sent, PeerMessageKind::Work)},
       {"sent_want", kind(this->sent, PeerMessageKind::Query)},
       {"sent_give", kind(this->sent, PeerMessageKind::Response)},
       {"sent_other", kind(this->sent, PeerMessageKind::Demand) +
                          kind(this->sent, PeerMessageKind::Crashes) +
                          kind(this->sent, PeerMessageKind::Limits)},
       {"received_work", kind(this->received, PeerMessageKind::Work)},
       {"received_want", kind(this->received, PeerMessageKind::Query)},
       {"received_give", kind(this->received, PeerMessageKind::Response)},
       {"received_other", kind(this->received, PeerMessageKind::Demand) +
                              kind(this->received, PeerMessageKind::Crashes) +
                              kind(this->received, PeerMessageKind::Limits)}});
  this->sent.fill(0);
  this->received.fill(0);
  this->nextLogAt = aNow + kLogInterval;
}

}  // namespace zincstep
