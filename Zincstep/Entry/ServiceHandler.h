#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "Zincstep/Entry/ClaimCoordinator.h"
#include "Zincstep/Entry/ClaimResponse.h"
#include "Zincstep/Entry/EntryContext.h"
#include "Zincstep/Routing/Routing.h"

namespace zincstep {

/// Forwards calls to plain services, at most once for calls that are not
/// repeatable.
class ServiceHandler : private ClaimListener {
 public:
  ServiceHandler(EntryContext& aContext, ClaimCoordinator& aClaims);
  ~ServiceHandler() override;

  /// Applies a new configuration; keeps the balancers of unchanged services.
  void SetSnapshot(const Snapshot& aSnapshot);
  /// Handles a request outside `/v1/`.
  void OnRequest(const HttpRequest& aRequest);
  /// Cancels the call of a caller that has disconnected, if it is repeatable.
  void OnCallerDisconnected(ExchangeId aExchange);
  /// Handles the end of a call; returns false if this handler did not start it.
  bool OnCallEnd(CallId aCall, const HttpCallResult& aResult);
  /// Marks a replica as leaving; it gets no new calls.
  void SetLeaving(const std::string& aReplica);
  /// Starts the retries that are due; must be called periodically.
  void OnTick(Instant aNow);
  /// Gives every request its final response, since the daemon ends.
  void EndForStop();

  /// Number of requests that have not ended.
  std::size_t OpenRequests() const { return this->requests.size(); }

 private:
  struct Request;
  using BalancerPtr = std::shared_ptr<ServiceBalancer>;

  const PlainService* Match(const HttpRequest& aRequest) const;
  void OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
               const Claim& aOwner) override;
  void StartAttempt(Request& aRequest);
  HttpCall CallFor(const Request& aRequest, int aReplica,
                   Micros aRemaining) const;
  void OnResponse(Request& aRequest, const HttpCallResult& aResult);
  void OnCallFailed(Request& aRequest, const HttpCallResult& aResult);
  bool Retry(Request& aRequest);
  void End(Request& aRequest, const HttpResponse& aResponse, bool aHasRun,
           const std::string& aOutcome);
  void FailRequest(Request& aRequest, const Error& aError);
  void Refuse(Request& aRequest, const Error& aError);

  EntryContext& context;
  ClaimCoordinator& claims;
  RetryBudget budget;
  std::uint64_t lastRequest;
  std::map<std::string, BalancerPtr> balancers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests;
  std::unordered_map<ExchangeId, std::uint64_t> byExchange;
  std::unordered_map<CallId, std::uint64_t> byCall;
  /// Requests in backoff, with the time of their next attempt.
  std::map<std::uint64_t, Instant> retryTimes;
};

}  // namespace zincstep
