#pragma once

#include <array>
#include <asio.hpp>
#include <memory>
#include <unordered_set>

#include "Zincstep/Net/TcpSocket.h"

namespace zincstep::soak {

/// What a proxy does with its connections.
enum class LinkState {
  Up,
  /// Nothing passes, and nobody is told.
  Silent,
  /// Bytes pass to the target; what it answers does not.
  OneWay,
  /// Open connections are reset, new ones too.
  Reset,
};

/// Forwards connections on loopback to one port and injects faults.
class FaultProxy {
 public:
  FaultProxy(asio::io_context& aLoop, std::uint16_t aTarget);
  ~FaultProxy();

  void Set(LinkState aState);
  /// All connections that are open now fall silent for good, and neither side
  /// is told; new ones work.
  void SilenceOpen();
  void SetDelay(Micros aDelay) { this->delay = aDelay; }
  std::uint16_t Port() const;
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Port());
  }

 private:
  class Pair;

  void Accept();
  bool Passes(bool aIsToTarget) const;

  asio::io_context& loop;
  asio::ip::tcp::acceptor acceptor;
  TcpEndpoint target;
  LinkState state = LinkState::Up;
  Micros delay{0};
  std::unordered_set<std::shared_ptr<Pair>> pairs;
};

}  // namespace zincstep::soak
