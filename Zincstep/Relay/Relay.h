#pragma once

/// \file
/// Public header of the relay library: callers' requests on their way to
/// upstreams, and the answers on their way back.

#include <memory>
#include <unordered_map>
#include <vector>

#include "Zincstep/Relay/EventSplitter.h"
#include "Zincstep/Relay/Exchange.h"
#include "Zincstep/Relay/RelayContext.h"
#include "Zincstep/Relay/RelayDialect.h"

namespace zincstep {

/// Admits requests and carries them to their final answers.
class Relay final : public CallerHandler {
 public:
  explicit Relay(RelayContext aContext) : context(std::move(aContext)) {}

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection& aConnection) override;
  /// Looks at all limits of time; to be called many times a second.
  void Tick();

  /// Looks at them in the next turn of the loop: a belief has changed.
  void ScheduleTick();
  /// A request has been found to end whoever runs it: copies of it that are
  /// on their way end.
  void OnBlocked(RequestFingerprint aRequest);
  /// Requests that are not done.
  std::size_t Active() const {
    return this->exchanges.size() + this->early.size();
  }

 private:
  Result<AdmittedRequest> Admit(
      const std::shared_ptr<CallerConnection>& aConnection,
      CallerMessage aMessage) const;
  Result<void> CheckKey(AdmittedRequest& aRequest) const;
  Result<void> CheckCrashes(const AdmittedRequest& aRequest) const;
  void RefuseAtOnce(CallerConnection& aConnection, const std::string& aId,
                    const Error& aError);
  void AskReports(Instant aNow);
  /// Requests that came before the first configuration go on, or are refused
  /// once they have waited for long enough.
  void TakeEarly(Instant aNow);

  /// A request that came before this daemon knew any configuration.
  struct EarlyRequest {
    std::shared_ptr<CallerConnection> connection;
    CallerMessage message;
  };

  RelayContext context;
  std::vector<EarlyRequest> early;
  bool isTickDue = false;
  std::unordered_map<CallerConnection*, std::shared_ptr<Exchange>> exchanges;
  /// When an upstream was last asked for its stalled requests, by number.
  std::unordered_map<std::uint64_t, Instant> asked;
};

}  // namespace zincstep
