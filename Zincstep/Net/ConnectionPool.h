#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Net/HttpParser.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {

/// Settings of pooled connections.
struct ConnectionPoolSettings {
  /// Maximum time that a connection stays idle. The longer it is, the more
  /// often the connection has been closed or stopped responding in the
  /// meantime. At the users' load, calls to a first upstream are 0.1 to 1.5 s
  /// apart.
  Micros maxIdleTime = 3s;
  /// Share of the upstream's `Keep-Alive` timeout, if it sends one, for which a
  /// connection is reused; close to the timeout, a close may be in flight.
  double keepAliveShare = 0.5;
  /// Maximum idle connections per upstream, which accepts about 1000 from all
  /// daemons together. Streams start and end in random order: with 4, a quarter
  /// of the calls found no idle connection.
  std::size_t maxIdleConnections = 12;
  /// After a pooled connection failed, no connection to that upstream is pooled
  /// for so long: the causes of such failures last for some seconds.
  Micros quarantineTime = 4s;
};

/// Pool of idle connections to upstreams.
///
/// A connection enters the pool only after a completely written request and a
/// complete response without surplus bytes, and is reused only if nothing was
/// received on it since: surplus bytes belong to no request, and a close is
/// detected before the call is sent. A connection that no longer responds
/// cannot be detected; users of the pool find it by a timeout and call
/// `Quarantine`.
class ConnectionPool {
 public:
  ConnectionPool(ConnectionPoolSettings aSettings, const Clock& aClock)
      : settings(aSettings), clock(aClock) {}

  /// Removes and returns a usable idle connection to an upstream, if any.
  std::optional<TcpSocket> Acquire(const std::string& aUpstream);
  /// Adds the connection of a completed call, or closes it if it may not be
  /// pooled. `aHead` is the head of the call's response.
  void Put(const std::string& aUpstream, TcpSocket aSocket,
           const HttpHead& aHead);
  /// Closes the idle connections to an upstream and pools none for a while.
  /// Called when a pooled connection failed or the upstream does not respond.
  void Quarantine(const std::string& aUpstream);
  /// Closes all idle connections; called after this VM was suspended, when
  /// their state is unknown.
  void Clear() { this->idleByUpstream.clear(); }
  /// Number of idle connections.
  std::size_t IdleCount() const;

 private:
  struct IdleConnection {
    TcpSocket socket;
    Instant expiresAt;
  };

  /// Closes expired connections.
  void Sweep(Instant aNow);

  ConnectionPoolSettings settings;
  const Clock& clock;
  std::map<std::string, std::vector<IdleConnection>> idleByUpstream;
  std::map<std::string, Instant> quarantinedUntil;
  Instant nextSweep{};
};

}  // namespace zincstep
