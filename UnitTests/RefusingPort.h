#pragma once

#include <asio.hpp>
#include <string>

namespace zincstep {

/// A loopback address that refuses connections.
///
/// The port is bound and not listened on, so that no other listener, of this
/// process or of another, gets it.
class RefusingPort {
 public:
  explicit RefusingPort(asio::io_context& aLoop)
      : socket(aLoop, {asio::ip::address_v4::loopback(), 0}) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->socket.local_endpoint().port());
  }

 private:
  /// Opened and bound; never connected.
  asio::ip::tcp::socket socket;
};

}  // namespace zincstep
