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
enum class Reachability {
  /// Somebody accepts connections there.
  Reached,
  /// The other side has said that nobody does.
  Refused,
  /// Nothing has come back in time.
  Silent,
};

inline constexpr NameTable<Reachability, 3> kReachabilityNames{{
    {Reachability::Reached, "reached"},
    {Reachability::Refused, "refused"},
    {Reachability::Silent, "silent"},
}};

/// Connects within `aTimeout`, closes at once, and tells what became of it.
void CheckReachable(asio::io_context& aLoop, const TcpEndpoint& aEndpoint,
                    Micros aTimeout, std::function<void(Reachability)> aDone);

}  // namespace zincstep
