#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Accepts connections on one address until it is closed, on the loop's thread.
///
/// An accept that fails, usually because no descriptor is left, is repeated
/// after a delay: the connection stays in the kernel's queue, and an accept
/// that is repeated at once fails again at the full speed of a core.
class ConnectionAcceptor {
 public:
  using OnConnection = std::function<void(asio::ip::tcp::socket)>;

  ConnectionAcceptor(asio::io_context& aLoop, OnConnection aOnConnection);

  /// Starts accepting at `host:port`; fails as `ListenOn`.
  Result<void> Start(const std::string& aAddress);
  /// Stops accepting; connections in the kernel's queue are reset.
  void Close();
  /// Accepts the connections in the kernel's queue, then stops accepting.
  void AcceptPendingAndClose();
  /// Listening port, once started.
  std::uint16_t Port() const { return this->port; }

 private:
  void Accept();
  void RetryLater(const asio::error_code& aError);

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer retryTimer;
  OnConnection onConnection;
  std::uint16_t port = 0;
  /// Consecutive accepts that have failed.
  std::uint64_t failures = 0;
};

}  // namespace zincstep
