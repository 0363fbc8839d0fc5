#pragma once

#include <functional>
#include <string>

#include "Zincstep/Net/SingleCall.h"

namespace zincstep::soak {

/// Callers that keep their connections: each request goes on one that is open,
/// as long as the daemon keeps it, and is never sent again.
class SoakCaller {
 public:
  /// Fails with `UpstreamUnreachable` where nothing was sent, else with
  /// `ResponseIncomplete`: the connection broke; `DeadlineDuringRun`: no answer
  /// in time.
  using Done = std::function<void(const Result<HttpResponse>&)>;

  SoakCaller(asio::io_context& aLoop, const Clock& aClock);

  /// `aKeeps`: on a kept connection, which is kept again behind the answer.
  void Send(const TcpEndpoint& aDaemon, std::string aRequest, bool aKeeps,
            Micros aPatience, Done aDone);

 private:
  asio::io_context& loop;
  ConnectionPool pool;
};

}  // namespace zincstep::soak
