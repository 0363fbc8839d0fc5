#include "Zincstep/Net/ConnectionAcceptor.h"

#include "Zincstep/Net/TcpSocket.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Delay after a failed accept: 20 attempts per second cost nothing, and a
/// caller whose connection waits notices no more than a slow network.
constexpr Micros kRetryDelay = 50ms;

}  // namespace

ConnectionAcceptor::ConnectionAcceptor(asio::io_context& aLoop,
                                       OnConnection aOnConnection)
    : acceptor(aLoop),
      retryTimer(aLoop),
      onConnection(std::move(aOnConnection)) {}

Result<void> ConnectionAcceptor::Start(const std::string& aAddress) {
  Result<void> listening = ListenOn(this->acceptor, aAddress);
  if (!listening) {
    return listening;
  }
  asio::error_code error;
  this->port = this->acceptor.local_endpoint(error).port();
  this->Accept();
  return {};
}

void ConnectionAcceptor::Close() {
  asio::error_code ignored;  // There is no recovery from a failed close.
  this->acceptor.close(ignored);
  this->retryTimer.cancel();
}

void ConnectionAcceptor::AcceptPendingAndClose() {
  asio::error_code error;
  this->acceptor.non_blocking(true, error);
  // Otherwise `accept` waits for the next one when a connection was aborted.
  this->acceptor.set_option(asio::socket_base::enable_connection_aborted(true),
                            error);
  while (!error || error == asio::error::connection_aborted) {
    asio::ip::tcp::socket socket = this->acceptor.accept(error);
    if (!error) {
      this->onConnection(std::move(socket));
    }
  }
  this->Close();
}

void ConnectionAcceptor::Accept() {
  if (!this->acceptor.is_open()) {
    return;
  }
  this->acceptor.async_accept([this](const asio::error_code& aError,
                                     asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      this->RetryLater(aError);
      return;
    }
    // First: an exception of the callback must not end the accepting.
    this->Accept();
    if (const auto failed = std::exchange(this->failures, 0)) {
      LogInfo("accept_resumed", {{"port", this->port}, {"failures", failed}});
    }
    this->onConnection(std::move(aSocket));
  });
}

void ConnectionAcceptor::RetryLater(const asio::error_code& aError) {
  this->retryTimer.expires_after(kRetryDelay);
  this->retryTimer.async_wait([this](const asio::error_code& aWaitError) {
    if (!aWaitError) {
      this->Accept();
    }
  });
  this->failures += 1;
  if (this->failures == 1) {
    LogWarning("accept_failed",
               {{"port", this->port}, {"reason", aError.message()}});
  }
}

}  // namespace zincstep
