#pragma once

#include <memory>
#include <string>
#include <unordered_set>

#include "Zincstep/Net/CallerConnection.h"
#include "Zincstep/Net/ConnectionAcceptor.h"

namespace zincstep {

/// Connections that were closed without a request in progress.
struct ClosedConnections {
  std::size_t idle = 0;
  /// Those of them that never carried a request.
  std::size_t unused = 0;
  /// Those of them with bytes that had arrived and were not read.
  std::size_t unread = 0;
  /// Connections that were not closed in time as bytes had arrived.
  std::size_t kept = 0;
};

/// Accepts callers' connections on one address and owns them.
class CallerListener {
 public:
  CallerListener(asio::io_context& aLoop, CallerHandler& aHandler,
                 const Clock& aClock);

  /// Starts accepting at `host:port`; fails as `ListenOn`.
  Result<void> Start(const std::string& aAddress) {
    return this->acceptor.Start(aAddress);
  }
  /// Sets the limits of all connections, open ones included; see
  /// `CallerConnection::OnLimitsChanged`.
  void SetLimits(const CallerLimits& aLimits);
  /// Accepts the connections that are established already, and no others.
  void StopAccepting() { this->acceptor.AcceptPendingAndClose(); }
  /// Whether a connection expects a request; see
  /// `CallerConnection::ExpectsRequest`.
  bool ExpectsRequests() const;
  /// Closes connections that expect no request, and the others after their
  /// next response.
  ClosedConnections CloseIdle();
  /// Open connections that never carried a request.
  std::size_t Unused() const;
  /// Closes each connection after its next response that begins from now on,
  /// which carries `Connection: close`.
  void DisableKeepAlive();
  /// Enforces the timeouts; call periodically, several times per second.
  /// Returns the connections that were closed as idle.
  ClosedConnections Tick();
  /// Number of requests in progress.
  std::size_t Busy() const;
  /// Response bytes that are not written to the callers' sockets yet.
  std::size_t PendingBytes() const;
  /// Listening port, once started.
  std::uint16_t Port() const { return this->acceptor.Port(); }

 private:
  void OnConnection(asio::ip::tcp::socket aSocket);

  CallerHandler& handler;
  const Clock& clock;
  CallerLimits limits;
  ConnectionAcceptor acceptor;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections;
  bool keepsAlive = true;
};

}  // namespace zincstep
