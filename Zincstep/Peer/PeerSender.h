#pragma once

#include <array>
#include <asio.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "Zincstep/Peer/SharedTraffic.h"

namespace zincstep {

/// Connection to one peer; sends only.
class PeerSender : public std::enable_shared_from_this<PeerSender> {
 public:
  PeerSender(asio::io_context& aLoop, asio::ip::tcp::endpoint aPeer,
             const PeerTransportSettings& aSettings, SharedTraffic& aTraffic,
             QueuedByteCounter& aTotalQueued, Random& aRandom);

  /// Queues a message and connects if there is no connection.
  void Send(PeerFrame aMessage);
  /// Queued bytes without the message that is being written.
  std::size_t DroppableBytes() const;
  /// Drops all queued messages but the one that is being written.
  void DropQueued();

 private:
  enum class State { Closed, Connecting, Open, Backoff };

  void Connect();
  void OnOpen();
  /// The peer never sends here: any end of a read is the connection's end.
  void WaitForClose();
  static std::size_t SizeOf(const PeerFrame& aMessage);
  void Write();
  void PopFront();
  void OnConnectionLost(const asio::error_code& aError);
  void StartBackoff();

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  asio::ip::tcp::endpoint peer;
  const PeerTransportSettings& settings;
  SharedTraffic& traffic;
  QueuedByteCounter& totalQueued;
  Random& random;
  State state = State::Closed;
  Micros backoff;
  std::deque<PeerFrame> queue;
  std::size_t queuedBytes = 0;
  /// Buffers of the message that is being written.
  std::vector<asio::const_buffer> parts;
  std::array<unsigned char, kPeerLengthBytes> length{};
  std::array<char, 64> discarded{};
  bool isWriting = false;
};

}  // namespace zincstep
