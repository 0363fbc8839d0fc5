#include "Zincstep/Net/TcpSocket.h"

#include <netinet/tcp.h>

#include <charconv>

namespace zincstep {

namespace {

/// An attempt to connect with the time that it has.
struct ReachAttempt {
  explicit ReachAttempt(asio::io_context& aLoop)
      : socket(aLoop), timer(aLoop) {}

  TcpSocket socket;
  asio::steady_timer timer;
  std::function<void(Reachability)> done;

  void Finish(Reachability aReachability) {
    if (const auto tell = std::exchange(this->done, nullptr)) {
      asio::error_code ignored;  // It is not used any more.
      this->socket.close(ignored);
      this->timer.cancel();
      tell(aReachability);
    }
  }
};

}  // namespace

void CheckReachable(asio::io_context& aLoop, const TcpEndpoint& aEndpoint,
                    Micros aTimeout, std::function<void(Reachability)> aDone) {
  const auto attempt = std::make_shared<ReachAttempt>(aLoop);
  attempt->done = std::move(aDone);
  attempt->socket.async_connect(
      aEndpoint, [attempt](const asio::error_code& aError) {
        attempt->Finish(aError ? Reachability::Refused : Reachability::Reached);
      });
  attempt->timer.expires_after(aTimeout);
  attempt->timer.async_wait([attempt](const asio::error_code& aError) {
    if (!aError) {
      attempt->Finish(Reachability::Silent);
    }
  });
}

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
