#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

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

/// What happens to new connections to a proxy.
enum class NewConnections {
  Accepted,
  Refused,
  /// The handshake does not complete.
  Hang,
};

/// Forwards loopback connections to one port and injects network faults.
class FaultProxy {
 public:
  /// Listens on any port of 127.0.0.1.
  FaultProxy(asio::io_context& aLoop, std::uint16_t aTarget);
  FaultProxy(asio::io_context& aLoop, const TcpEndpoint& aListen,
             std::uint16_t aTarget);
  ~FaultProxy();

  /// Changes the state; `Reset` resets all open connections at once.
  void SetState(LinkState aState);
  /// Open connections are not affected.
  void SetNewConnections(NewConnections aBehaviour);
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
  std::uint16_t Port() const { return this->endpoint.port(); }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Port());
  }

 private:
  class Connection;

  void Listen(int aBacklog);
  /// Fills the listening socket's queue, so that further handshakes hang.
  void FillQueue();
  void Accept();
  /// Resets a connection after the reset delay.
  void ResetLater(TcpSocket aSocket);
  bool CanForward(bool aIsToTarget) const;

  asio::io_context& loop;
  asio::ip::tcp::acceptor acceptor;
  TcpEndpoint endpoint;
  /// Incremented whenever the acceptor is closed.
  int generation = 0;
  /// Connections that keep the queue full.
  std::vector<std::shared_ptr<TcpSocket>> fillers;
  TcpEndpoint target;
  LinkState state = LinkState::Up;
  Micros delay{0};
  Micros resetDelay{0};
  std::function<void()> onReset = [] {};
  std::unordered_set<std::shared_ptr<Connection>> connections;
};

}  // namespace zincstep::soak
