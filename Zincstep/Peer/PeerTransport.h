#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Bytes that are stored once, even if they are queued for several peers.
using SharedBytes = std::shared_ptr<const std::string>;

/// An outgoing message: a part for one peer, followed by parts that are sent to
/// several peers.
struct PeerFrame {
  std::string head;
  std::vector<SharedBytes> shared;

  /// Total size in bytes, without the length prefix.
  std::size_t Size() const;
  /// Returns all parts joined.
  std::string ToString() const;
};

/// Receives messages, on the transport's thread.
class PeerListener {
 public:
  virtual ~PeerListener() = default;

  /// Called with a complete message.
  virtual void OnPeerData(std::string aMessage) = 0;
};

/// Settings of a peer transport.
struct PeerTransportSettings {
  /// host:port to listen on.
  std::string listen = "127.0.0.1:0";
  /// A connection that announces a larger message is closed.
  std::size_t maxMessageBytes = 8 << 20;
  /// Bytes queued for one peer; new messages beyond that are dropped.
  std::size_t maxQueuedBytes = 16 << 20;
  /// Bytes queued for all peers; shared bytes count once. At the limit the
  /// peer with the most queued bytes loses its queue: it does not read, and the
  /// messages would be outdated by the time it does.
  std::size_t maxTotalQueuedBytes = 64 << 20;
  /// Bytes of received messages that the listener has not consumed yet, see
  /// `PeerTransport::OnConsumed`. Beyond that the transport stops reading, so
  /// that TCP slows the senders down. 0 means no limit, for a listener that
  /// does not report consumption.
  std::size_t maxUnconsumedBytes = 0;
  Micros initialReconnectBackoff = 100ms;
  Micros maxReconnectBackoff = 5s;
  /// Timeout of an attempt to connect. The kernel retransmits a SYN that was
  /// lost to a VM without power after 1 s at the earliest, and then at growing
  /// intervals; a new attempt sends one sooner.
  Micros connectTimeout = 300ms;
  /// A connection with bytes unacknowledged for so long is closed: a partition
  /// causes no error, and the messages queued behind it become outdated.
  Micros unacknowledgedTimeout = 1s;
  /// An incoming connection is closed after so long without a message.
  Micros idleTimeout = 30s;
  std::uint64_t seed = 1;
};

/// Counters of a peer transport.
struct PeerTraffic {
  std::uint64_t bytesOut = 0;
  std::uint64_t bytesIn = 0;
  std::uint64_t messagesOut = 0;
  std::uint64_t messagesIn = 0;
  /// Messages dropped from queues.
  std::uint64_t dropped = 0;
  /// Attempts to connect.
  std::uint64_t connects = 0;
  /// Bytes queued now; shared bytes count once.
  std::uint64_t totalQueuedBytes = 0;
  /// Received bytes that the listener has not consumed yet.
  std::uint64_t unconsumedBytes = 0;
};

/// Transports messages between daemons over TCP, on one thread.
///
/// A message is its length in four bytes, little-endian, followed by a
/// FlatBuffer. A daemon sends on connections that it opened and receives on
/// those that it accepted. A connection opens when there is a message to send.
/// Reconnects use exponential backoff with jitter, so that the return of a
/// failure domain causes no burst of connections.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// Starts listening; fails as `ListenOn`, and may be called again then.
  virtual Result<void> Start() = 0;
  /// Closes all connections and ends the thread.
  virtual void Stop() = 0;
  /// Listening port, once started.
  virtual std::uint16_t Port() const = 0;
  /// Queues a message to host:port, an IP address. Delivery is not guaranteed.
  virtual void Send(const std::string& aAddress, PeerFrame aMessage) = 0;
  void Send(const std::string& aAddress, std::string aMessage) {
    this->Send(aAddress, PeerFrame{std::move(aMessage), {}});
  }
  /// Called by the listener when it has processed a message of `aBytes` bytes.
  virtual void OnConsumed(std::size_t aBytes) = 0;
  /// Returns the counters; callable from any thread.
  virtual PeerTraffic Traffic() const = 0;
};

/// Creates a transport on Asio.
std::unique_ptr<PeerTransport> MakePeerTransport(
    PeerTransportSettings aSettings, PeerListener& aListener);

}  // namespace zincstep
