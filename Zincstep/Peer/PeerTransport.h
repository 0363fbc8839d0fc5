#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Bytes that are kept once, however many peers they are sent to.
using SharedBytes = std::shared_ptr<const std::string>;

/// A message as it is sent: what is written for one peer, and behind it what
/// others are sent as well.
struct PeerFrame {
  std::string head;
  std::vector<SharedBytes> shared;

  std::size_t Size() const;
  /// All of it in one piece.
  std::string ToString() const;
};

/// Is told of messages; called on the hub's own thread.
class PeerListener {
 public:
  virtual ~PeerListener() = default;

  /// A whole message has come.
  virtual void OnPeerData(std::string aMessage) = 0;
};

/// Settings of a peer hub.
struct PeerTransportSettings {
  /// host:port to listen on.
  std::string listen = "127.0.0.1:0";
  std::size_t maxMessageBytes = 8 << 20;
  /// Bytes that may wait for one peer; more are dropped, newest first.
  std::size_t maxQueuedBytes = 16 << 20;
  /// Bytes that may wait for all peers, where what several are sent counts
  /// once. At the bound the peer for which most waits loses it: it does not
  /// read, and what it is told is out of date when it does.
  std::size_t maxTotalQueuedBytes = 64 << 20;
  /// Bytes of messages that the listener has not taken yet, see
  /// `PeerTransport::OnConsumed`. Beyond that nothing more is read, which holds
  /// up those that send. 0: without bound, for a listener that does not tell.
  std::size_t maxUnconsumedBytes = 0;
  Micros initialReconnectBackoff = 100ms;
  Micros maxReconnectBackoff = 5s;
  /// A connection that is not up by then is given up: an opening packet that
  /// was lost to a VM without power comes again after a second at the
  /// earliest, and each time later.
  Micros connectTimeout = 300ms;
  /// A connection whose bytes were not taken for so long is broken: a cut says
  /// nothing, and what waits behind it is out of date.
  Micros unacknowledged = 1s;
  /// A connection that carried nothing for so long is closed.
  Micros idleTimeout = 30s;
  std::uint64_t seed = 1;
};

/// What the hub has sent and received.
struct PeerTraffic {
  std::uint64_t bytesOut = 0;
  std::uint64_t bytesIn = 0;
  std::uint64_t messagesOut = 0;
  std::uint64_t messagesIn = 0;
  std::uint64_t dropped = 0;
  std::uint64_t connects = 0;
  /// Bytes that wait to be sent now.
  std::uint64_t totalQueuedBytes = 0;
  /// Bytes that the listener has not taken yet.
  std::uint64_t unconsumedBytes = 0;
};

/// Carries messages between entry daemons over TCP, on one thread.
///
/// Each message is its length in four bytes, then a FlatBuffer. A daemon
/// sends on connections that it opened and receives on those it accepted.
/// Connections open when there is something to send, and again after a
/// pause that doubles and is drawn at random, so that the return of a
/// whole domain makes no storm.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// Starts to listen; fails where the address is taken.
  virtual Result<void> Start() = 0;
  /// Closes all and ends the thread.
  virtual void Stop() = 0;
  /// Port that is listened on.
  virtual std::uint16_t Port() const = 0;
  /// Sends to host:port; may be lost, as anything over a network.
  virtual void Send(const std::string& aAddress, PeerFrame aMessage) = 0;
  void Send(const std::string& aAddress, std::string aMessage) {
    this->Send(aAddress, PeerFrame{std::move(aMessage), {}});
  }
  /// The listener is done with a message of so many bytes.
  virtual void OnConsumed(std::size_t aBytes) = 0;
  /// Counts so far.
  virtual PeerTraffic Traffic() const = 0;
};

/// A hub by Asio.
std::unique_ptr<PeerTransport> MakePeerTransport(
    PeerTransportSettings aSettings, PeerListener& aListener);

}  // namespace zincstep
