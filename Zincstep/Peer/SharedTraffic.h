#pragma once

#include <atomic>
#include <unordered_map>

#include "Zincstep/Peer/PeerTransport.h"

namespace zincstep {

/// Bytes before each message that hold its length, little-endian.
inline constexpr std::size_t kPeerLengthBytes = 4;

/// Counters that are read from several threads.
struct SharedTraffic {
  std::atomic<std::uint64_t> bytesOut{0};
  std::atomic<std::uint64_t> bytesIn{0};
  std::atomic<std::uint64_t> messagesOut{0};
  std::atomic<std::uint64_t> messagesIn{0};
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> totalQueuedBytes{0};
  std::atomic<std::uint64_t> unconsumedBytes{0};
};

/// Counts the bytes that are queued for all peers; shared bytes count once.
class QueuedByteCounter {
 public:
  explicit QueuedByteCounter(SharedTraffic& aTraffic) : traffic(aTraffic) {}

  void Add(const PeerFrame& aMessage) {
    this->traffic.totalQueuedBytes += aMessage.head.size();
    for (const SharedBytes& bytes : aMessage.shared) {
      if (++this->referenceCounts[bytes.get()] == 1) {
        this->traffic.totalQueuedBytes += bytes->size();
      }
    }
  }

  void Remove(const PeerFrame& aMessage) {
    this->traffic.totalQueuedBytes -= aMessage.head.size();
    for (const SharedBytes& bytes : aMessage.shared) {
      const auto found = this->referenceCounts.find(bytes.get());
      if (--found->second == 0) {
        this->traffic.totalQueuedBytes -= bytes->size();
        this->referenceCounts.erase(found);
      }
    }
  }

  std::size_t Total() const { return this->traffic.totalQueuedBytes; }

 private:
  SharedTraffic& traffic;
  /// Queued messages that refer to the same bytes.
  std::unordered_map<const std::string*, std::size_t> referenceCounts;
};

}  // namespace zincstep
