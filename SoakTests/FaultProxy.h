#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
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
  /// New connections to a link that resets are open for so long before: those
  /// of a proxy in front of a process that has ended.
  void SetResetDelay(Micros aDelay) { this->resetDelay = aDelay; }
  /// Is told of each connection that is accepted and reset.
  void SetOnReset(std::function<void()> aOnReset) {
    this->onReset = std::move(aOnReset);
  }
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
  /// Closes a connection hard once the delay of resets is over.
  void ResetLater(TcpSocket aSocket);
  bool Passes(bool aIsToTarget) const;

  asio::io_context& loop;
  asio::ip::tcp::acceptor acceptor;
  TcpEndpoint target;
  LinkState state = LinkState::Up;
  Micros delay{0};
  Micros resetDelay{0};
  std::function<void()> onReset = [] {};
  std::unordered_set<std::shared_ptr<Pair>> pairs;
};

}  // namespace zincstep::soak
