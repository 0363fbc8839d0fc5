#pragma once

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>

#include "Zincstep/Peer/SharedTraffic.h"

namespace zincstep {

/// Connection that a peer opened; receives only.
class PeerReceiver : public std::enable_shared_from_this<PeerReceiver> {
 public:
  PeerReceiver(asio::ip::tcp::socket aSocket,
               const PeerTransportSettings& aSettings, PeerListener& aListener,
               SharedTraffic& aTraffic);

  /// Receives messages until the connection ends, and keeps this object until
  /// then.
  void Start() { this->ReadMessage(); }

 private:
  bool IsListenerBehind() const;
  void ScheduleRead();
  void ReadMessage();
  void ReadBody();
  void ReadBodyPart();
  void OnMessage();
  void Close();

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  const PeerTransportSettings& settings;
  PeerListener& listener;
  SharedTraffic& traffic;
  std::array<unsigned char, kPeerLengthBytes> head{};
  /// Size of the message that is being received.
  std::size_t length = 0;
  /// What was received of it, and room for the next part.
  std::string body;
};

}  // namespace zincstep
