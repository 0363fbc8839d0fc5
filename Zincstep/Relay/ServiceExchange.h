#pragma once

#include <vector>

#include "Zincstep/Relay/Exchange.h"

namespace zincstep {

/// A request to a plain service, answered whole.
///
/// The answer is taken whole before it is passed on, so that one that
/// breaks off can be had from another upstream where that is allowed.
class ServiceExchange final : public Exchange {
 public:
  using Exchange::Exchange;

  void Start() override;
  void OnTick(Instant aNow) override;
  void OnCallerDisconnected() override;

  void OnResponseHead(HttpHead aHead) override;
  void OnResponseBody(std::string_view aPart) override;
  void OnCallEnd(SingleCallEnd aEnd) override;

 private:
  bool HasRunBegun() const override { return !this->facts.requestId.empty(); }
  void Abandon(const char* aReason) override;
  void TrySend();
  /// Refuses a request that no upstream may be sent now.
  void RefuseUnsent();
  void EndCall();
  /// The upstream of the open call is not the start that it was sent to.
  void OnStartedAgain();
  void OnFailure(const char* aReason);
  void OnNotRun(const char* aReason);
  bool MayRunAgain() const;

  std::vector<UpstreamPtr> tried;
  HttpHead head;
  ResponseInfo facts;
  std::string body;
  /// It waits for the daemon's first list of upstreams.
  bool isWaiting = false;
};

}  // namespace zincstep
