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

/// Passes calls on to plain services, at most once where that is declared.
class ServiceHandler : private ClaimListener {
 public:
  ServiceHandler(EntryContext& aContext, ClaimCoordinator& aClaims);
  ~ServiceHandler() override;

  /// Takes a new configuration.
  void SetSnapshot(const Snapshot& aSnapshot);
  /// A caller calls something that is not under `/v1/`.
  void OnRequest(const HttpRequest& aRequest);
  /// The caller of an exchange has gone.
  void OnCallerDisconnected(ExchangeId aExchange);
  /// A call has ended; false where it was not one of this desk's.
  bool OnCallEnd(CallId aCall, const HttpCallResult& aResult);
  /// An upstream leaves.
  void SetLeaving(const std::string& aReplica);
  /// Time has passed.
  void OnTick(Instant aNow);

  std::size_t Open() const { return this->requests.size(); }

 private:
  struct Request;
  using BalancerPtr = std::shared_ptr<ServiceBalancer>;

  const PlainService* Match(const HttpRequest& aRequest) const;
  void OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
               const Claim& aHolder) override;
  void Try(Request& aRequest);
  HttpCall CallFor(const Request& aRequest, int aReplica, Micros aLeft) const;
  void OnAnswered(Request& aRequest, const HttpCallResult& aResult);
  void OnNoAnswer(Request& aRequest, const HttpCallResult& aResult);
  bool Retry(Request& aRequest);
  void End(Request& aRequest, const HttpResponse& aAnswer, bool aRan,
           const std::string& aOutcome);
  void GiveUp(Request& aRequest, const Error& aError);
  void Refuse(Request& aRequest, const Error& aError);

  EntryContext& context;
  ClaimCoordinator& claims;
  RetryBudget budget;
  std::uint64_t lastRequest;
  std::map<std::string, BalancerPtr> balancers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests;
  std::unordered_map<ExchangeId, std::uint64_t> byExchange;
  std::unordered_map<CallId, std::uint64_t> byCall;
  std::map<std::uint64_t, Instant> pauses;
};

}  // namespace zincstep
