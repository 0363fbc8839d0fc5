#pragma once

#include <vector>

#include "Zincstep/Relay/Exchange.h"

namespace zincstep {

/// Exchange with a plain service.
///
/// Buffers the complete response before forwarding it, so that a truncated one
/// can be fetched from another upstream if the route permits it.
class ServiceExchange final : public Exchange {
 public:
  using Exchange::Exchange;

  void Start() override;
  void OnTick(Instant aNow) override;
  void OnCallerDisconnected() override;

  void OnResponseHead(HttpHead aHead) override;
  bool OnResponseBody(std::string_view aPart) override;
  void OnCallEnd(SingleCallEnd aEnd) override;

 private:
  bool HasResponseBegun() const override {
    return !this->responseInfo.requestId.empty();
  }
  void Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
               const char* aReason) override;
  void TrySend();
  /// Refuses a request for which no upstream can be chosen.
  void RefuseUnsent();
  void EndCall();
  /// The upstream of the current call restarted since the request was sent.
  void OnUpstreamRestarted();
  void OnFailure(const char* aReason);
  void OnNotRun(const char* aReason);
  bool CanRunAgain() const;
  bool MayRunAgain() const override { return this->CanRunAgain(); }

  std::vector<UpstreamPtr> tried;
  HttpHead head;
  ResponseInfo responseInfo;
  BodyBuffer body = this->MakeBodyBuffer();
  /// Waits for the daemon's first list of upstreams.
  bool isWaiting = false;
};

}  // namespace zincstep
