#pragma once

#include <functional>
#include <optional>
#include <string>

#include "Zincstep/Net/SingleCall.h"

namespace zincstep::soak {

/// How far a call got.
struct CallProgress {
  /// Whether its connection had carried a request before.
  bool isReused = false;
  /// Whether the head of a response was received.
  bool hasResponse = false;
};

/// Sends requests over pooled connections, which are reused as long as the
/// daemon keeps them open. A request is never retried.
class SoakCaller {
 public:
  /// Fails with `UpstreamUnreachable` if nothing was sent, with
  /// `ResponseIncomplete` if the connection broke, and with
  /// `DeadlineDuringRun` if no response arrived in time.
  using Done =
      std::function<void(const Result<HttpResponse>&, const CallProgress&)>;

  SoakCaller(asio::io_context& aLoop, const Clock& aClock);

  /// Closes the pooled connections; later ones rest for at most `aMaxIdleTime`.
  void SetMaxIdleTime(Micros aMaxIdleTime);
  /// The request uses a connection that is pooled under the name
  /// `aConnection`, if there is one, and returns it to the pool after the
  /// response; without a name, a connection of its own.
  void Send(const TcpEndpoint& aDaemon, std::string aRequest,
            std::optional<std::string> aConnection, Micros aTimeout,
            Done aDone);

 private:
  asio::io_context& loop;
  const Clock& clock;
  /// Replaced in place, as calls that run hold its address.
  std::optional<ConnectionPool> pool;
};

}  // namespace zincstep::soak
