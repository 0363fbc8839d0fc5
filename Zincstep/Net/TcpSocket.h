#pragma once

#include <asio.hpp>
#include <functional>
#include <string_view>

#include "Zincstep/Core/Core.h"

namespace zincstep {

using TcpEndpoint = asio::ip::tcp::endpoint;
using TcpSocket = asio::ip::tcp::socket;

/// Parses `host:port`, where the host is an IP address; fails with
/// `BadRequest`.
Result<TcpEndpoint> ParseEndpoint(std::string_view aAddress);

/// Listens on `aAddress` (host:port), also while earlier connections to it are
/// open. Fails with `NotReady` while another socket uses the address, which may
/// be the local end of an outgoing connection; then `aAcceptor` is closed.
Result<void> ListenOn(asio::ip::tcp::acceptor& aAcceptor,
                      const std::string& aAddress);

/// Connects `aSocket` to `aEndpoint` and calls `aDone` later with the result;
/// `aDone` must keep the socket alive. All outgoing connections are opened
/// here.
///
/// Sets `SO_REUSEADDR`: without it a listener cannot bind to the local port of
/// this connection, until 60 s after its end. A dial to a port of the ephemeral
/// range on which nobody listens may get that port as its local one and connect
/// to itself; such a connection is closed and reported as refused.
void Connect(TcpSocket& aSocket, const TcpEndpoint& aEndpoint,
             std::function<void(const asio::error_code&)> aDone);

/// Sets the options of all connections: `TCP_NODELAY`, and `TCP_USER_TIMEOUT`,
/// which closes a connection whose bytes are unacknowledged for `aTimeout`.
void SetSocketOptions(TcpSocket& aSocket, Micros aTimeout);

/// Result of an attempt to connect.
///
/// None of these proves a working process: the kernel accepts connections for a
/// stopped process, and a proxy does for a process that has ended.
enum class Reachability {
  /// A connection was established and stayed open until the timeout.
  Reached,
  /// A connection was established and closed by the other side without a
  /// request, or reset.
  Dropped,
  /// The other side refused the connection.
  Refused,
  /// No response before the timeout.
  Silent,
};

/// Connects and observes the connection until `aTimeout`; then, or on an
/// earlier result, calls `aDone` once.
void CheckReachable(asio::io_context& aLoop, const TcpEndpoint& aEndpoint,
                    Micros aTimeout, std::function<void(Reachability)> aDone);

}  // namespace zincstep
