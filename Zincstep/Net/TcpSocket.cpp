#include "Zincstep/Net/TcpSocket.h"

#include <netinet/tcp.h>

#include <array>
#include <charconv>
#include <memory>

namespace zincstep {

namespace {

/// Whether both ends of a connection are `aSocket`.
bool IsConnectedToItself(const TcpSocket& aSocket) {
  asio::error_code localError;
  asio::error_code remoteError;
  const TcpEndpoint local = aSocket.local_endpoint(localError);
  const TcpEndpoint remote = aSocket.remote_endpoint(remoteError);
  return !localError && !remoteError && local == remote;
}

/// One attempt to connect, with its timeout.
class ReachabilityCheck
    : public std::enable_shared_from_this<ReachabilityCheck> {
 public:
  ReachabilityCheck(asio::io_context& aLoop,
                    std::function<void(Reachability)> aDone)
      : socket(aLoop), timer(aLoop), done(std::move(aDone)) {}

  void Start(const TcpEndpoint& aEndpoint, Micros aTimeout) {
    auto self = this->shared_from_this();
    Connect(this->socket, aEndpoint, [self](const asio::error_code& aError) {
      self->OnConnect(aError);
    });
    this->timer.expires_after(aTimeout);
    this->timer.async_wait([self](const asio::error_code& aError) {
      if (!aError) {
        self->Finish(self->isConnected ? Reachability::Reached
                                       : Reachability::Silent);
      }
    });
  }

 private:
  void OnConnect(const asio::error_code& aError) {
    if (!this->done) {
      return;
    }
    if (aError == asio::error::connection_refused) {
      this->Finish(Reachability::Refused);
    } else if (aError == asio::error::connection_reset) {
      this->Finish(Reachability::Dropped);
    } else if (!aError) {
      this->isConnected = true;
      this->WaitForClose();
    }
    // Other errors come from the network, not from the other side: wait for the
    // timeout.
  }

  void WaitForClose() {
    auto self = this->shared_from_this();
    this->socket.async_read_some(
        asio::buffer(this->unsolicited),
        [self](const asio::error_code& aError, std::size_t) {
          if (aError) {
            self->Finish(Reachability::Dropped);
          }
        });
  }

  void Finish(Reachability aReachability) {
    if (const auto callback = std::exchange(this->done, nullptr)) {
      asio::error_code ignored;  // The socket is no longer used.
      this->socket.close(ignored);
      this->timer.cancel();
      callback(aReachability);
    }
  }

  TcpSocket socket;
  asio::steady_timer timer;
  std::function<void(Reachability)> done;
  /// Bytes received without a request are ignored.
  std::array<char, 1> unsolicited{};
  bool isConnected = false;
};

}  // namespace

void CheckReachable(asio::io_context& aLoop, const TcpEndpoint& aEndpoint,
                    Micros aTimeout, std::function<void(Reachability)> aDone) {
  std::make_shared<ReachabilityCheck>(aLoop, std::move(aDone))
      ->Start(aEndpoint, aTimeout);
}

Result<void> ListenOn(asio::ip::tcp::acceptor& aAcceptor,
                      const std::string& aAddress) {
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  asio::error_code error;
  aAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    return {};
  }
  asio::error_code ignored;  // The acceptor is opened again on a retry.
  aAcceptor.close(ignored);
  return Fail(error == asio::error::address_in_use ? ErrorKind::NotReady
                                                   : ErrorKind::Internal,
              "cannot listen on " + aAddress + ": " + error.message());
}

void Connect(TcpSocket& aSocket, const TcpEndpoint& aEndpoint,
             std::function<void(const asio::error_code&)> aDone) {
  asio::error_code error;
  if (!aSocket.is_open()) {
    aSocket.open(aEndpoint.protocol(), error);
  }
  if (!error) {
    aSocket.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (error) {
    asio::post(aSocket.get_executor(),
               [error, done = std::move(aDone)] { done(error); });
    return;
  }
  aSocket.async_connect(
      aEndpoint, [&aSocket, done = std::move(aDone)](asio::error_code aError) {
        if (!aError && IsConnectedToItself(aSocket)) {
          asio::error_code ignored;  // Resets; the port must be free at once.
          aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
          aSocket.close(ignored);
          aError = asio::error::connection_refused;
        }
        done(aError);
      });
}

void SetSocketOptions(TcpSocket& aSocket, Micros aTimeout) {
  asio::error_code ignored;  // A closed socket fails on its next use.
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int millis = static_cast<int>(aTimeout / 1ms);
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
               sizeof(millis));
}

Result<TcpEndpoint> ParseEndpoint(std::string_view aAddress) {
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorKind::BadRequest,
                "address has no port: " + std::string(aAddress));
  }
  asio::error_code error;
  const auto host =
      asio::ip::make_address(std::string(aAddress.substr(0, colon)), error);
  const std::string_view digits = aAddress.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool isPort =
      parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  if (error || !isPort) {
    return Fail(
        ErrorKind::BadRequest,
        "address is not an IP address and port: " + std::string(aAddress));
  }
  return TcpEndpoint(host, port);
}

}  // namespace zincstep
