#include "Zincstep/Net/TcpSocket.h"

#include <netinet/tcp.h>

#include <charconv>

namespace zincstep {

void SetSocketOptions(TcpSocket& aSocket, Micros aSilence) {
  asio::error_code ignored;  // A socket that is closed fails on its next use.
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int millis = static_cast<int>(aSilence / 1ms);
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
               sizeof(millis));
}

Result<TcpEndpoint> ParseEndpoint(std::string_view aAddress) {
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorKind::BadRequest,
                "no port in address: " + std::string(aAddress));
  }
  asio::error_code error;
  const auto host =
      asio::ip::make_address(std::string(aAddress.substr(0, colon)), error);
  const std::string_view digits = aAddress.substr(colon + 1);
  std::uint16_t port = 0;
  const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || read.ec != std::errc{}) {
    return Fail(ErrorKind::BadRequest,
                "not an IP number and port: " + std::string(aAddress));
  }
  return TcpEndpoint(host, port);
}

}  // namespace zincstep
