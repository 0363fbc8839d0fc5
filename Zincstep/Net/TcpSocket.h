#pragma once

#include <asio.hpp>
#include <functional>
#include <string_view>

#include "Zincstep/Core/Core.h"

namespace zincstep {

using TcpEndpoint = asio::ip::tcp::endpoint;
using TcpSocket = asio::ip::tcp::socket;

/// The `host:port` text as an endpoint; fails with `BadRequest`.
Result<TcpEndpoint> ParseEndpoint(std::string_view aAddress);

/// Sets what each connection of the system needs: no delay of small
/// packets, and an end to connections whose other side takes no bytes for
/// `aSilence`.
void SetSocketOptions(TcpSocket& aSocket, Micros aSilence);

/// What became of an attempt to connect.
///
/// Connections are accepted by the kernel, also for a process that is stopped,
/// and by a proxy, also for a process that has ended: none of these shows that
/// a process works there.
enum class Reachability {
  /// A connection came up and stayed open as long as it was watched.
  Reached,
  /// A connection came up, and the other side closed it without a request.
  Dropped,
  /// The other side has said that nobody accepts connections.
  Refused,
  /// Nothing has come back in time.
  Silent,
};

/// Connects, and watches the connection until `aTimeout` is over.
void CheckReachable(asio::io_context& aLoop, const TcpEndpoint& aEndpoint,
                    Micros aTimeout, std::function<void(Reachability)> aDone);

}  // namespace zincstep
