#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Net/HttpParser.h"
#include "Zincstep/Net/TcpSocket.h"

namespace zincstep {

/// Settings of kept connections.
struct ConnectionPoolSettings {
  /// Longest time that a connection rests: the longer, the more often it has
  /// been closed or has fallen silent meanwhile. At the users' sizes the next
  /// call to a first upstream comes within 0.1 to 1.5 s.
  Micros maxIdleTime = 3s;
  /// Part of the time that the other side keeps a resting connection, as far as
  /// it tells: its close may be on the way.
  double keptShare = 0.5;
  /// Connections that rest for one upstream, which accepts about a thousand
  /// from all daemons together. Ends and beginnings of streams alternate at
  /// random: with 4, a quarter of the calls found none (actas-lima quiet-1).
  std::size_t maxIdleConnections = 12;
  /// After a connection turned out to be unfit, none is kept for that upstream
  /// for so long: what has gone wrong there goes on for some seconds.
  Micros quarantineTime = 4s;
};

/// Connections to upstreams that rest between two calls.
///
/// One is kept only behind an answer that came whole with nothing behind it,
/// and is given out only while nothing has come on it since: a surplus answer
/// belongs to nobody, and an end is seen before the call is sent. One that has
/// fallen silent shows no sign; callers find that out by a time-out and tell.
class ConnectionPool {
 public:
  ConnectionPool(ConnectionPoolSettings aSettings, const Clock& aClock)
      : settings(aSettings), clock(aClock) {}

  /// A connection to an upstream that is fit for another call, if one rests.
  std::optional<TcpSocket> Take(const std::string& aUpstream);
  /// A call has ended well on this connection; `aHead` is of its answer.
  void Put(const std::string& aUpstream, TcpSocket aSocket,
           const HttpHead& aHead);
  /// A connection to that upstream was unfit, or it does not answer.
  void Quarantine(const std::string& aUpstream);
  /// Closes all that rest: nobody knows what has become of them.
  void Clear() { this->byUpstream.clear(); }
  /// Connections that rest.
  std::size_t IdleCount() const;

 private:
  struct Rest {
    TcpSocket socket;
    Instant until;
  };

  /// Closes what has rested for too long.
  void Sweep(Instant aNow);

  ConnectionPoolSettings settings;
  const Clock& clock;
  std::map<std::string, std::vector<Rest>> byUpstream;
  std::map<std::string, Instant> quarantinedUntil;
  Instant nextSweep{};
};

}  // namespace zincstep
