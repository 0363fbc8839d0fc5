#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

#include "Zincstep/Net/TcpSocket.h"

namespace zincstep::soak {

/// How a proxy treats its connections.
enum class LinkState {
  Up,
  /// No bytes are forwarded and neither side gets an error.
  Blackholed,
  /// Bytes are forwarded to the target but not back.
  OneWay,
  /// Open and new connections are reset.
  Reset,
};

/// Forwards loopback connections to one port and injects network faults.
class FaultProxy {
 public:
  FaultProxy(asio::io_context& aLoop, std::uint16_t aTarget);
  ~FaultProxy();

  /// Changes the state; `Reset` resets all open connections at once.
  void SetState(LinkState aState);
  /// Sets how long new connections stay open in the `Reset` state before they
  /// are reset, as with a proxy in front of a process that has exited.
  void SetResetDelay(Micros aDelay) { this->resetDelay = aDelay; }
  /// Sets the callback for each connection that is accepted and reset.
  void SetOnReset(std::function<void()> aOnReset) {
    this->onReset = std::move(aOnReset);
  }
  /// Stops forwarding on all open connections for good, without an error to
  /// either side; new connections work.
  void BlackholeOpen();
  /// Delays each chunk of bytes in both directions.
  void SetDelay(Micros aDelay) { this->delay = aDelay; }
  std::uint16_t Port() const;
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Port());
  }

 private:
  class Connection;

  void Accept();
  /// Resets a connection after the reset delay.
  void ResetLater(TcpSocket aSocket);
  bool CanForward(bool aIsToTarget) const;

  asio::io_context& loop;
  asio::ip::tcp::acceptor acceptor;
  TcpEndpoint target;
  LinkState state = LinkState::Up;
  Micros delay{0};
  Micros resetDelay{0};
  std::function<void()> onReset = [] {};
  std::unordered_set<std::shared_ptr<Connection>> connections;
};

}  // namespace zincstep::soak
