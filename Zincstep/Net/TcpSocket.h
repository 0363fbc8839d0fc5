#pragma once

#include <asio.hpp>
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

}  // namespace zincstep
