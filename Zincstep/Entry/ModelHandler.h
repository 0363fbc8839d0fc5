#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "Zincstep/Entry/ClaimCoordinator.h"
#include "Zincstep/Entry/ClaimResponse.h"
#include "Zincstep/Entry/EntryContext.h"
#include "Zincstep/Entry/ModelPool.h"
#include "Zincstep/Entry/ResponseWriter.h"
#include "Zincstep/Entry/RouteLog.h"
#include "Zincstep/Sequence/Sequence.h"

namespace zincstep {

/// Answers requests for tokens: admission, choice, streams, recovery.
class ModelHandler : private ClaimListener {
 public:
  ModelHandler(EntryContext& aContext, ClaimCoordinator& aClaims,
               ModelPool& aPool);
  ~ModelHandler() override;

  /// A caller asks for tokens.
  void OnRequest(const HttpRequest& aRequest, bool aIsChat);
  /// A caller asks which models it may use.
  void OnModelList(const HttpRequest& aRequest);
  /// The caller of an exchange has gone.
  void OnCallerDisconnected(ExchangeId aExchange);
  void OnToken(const TokenEvent& aEvent);
  void OnAttemptFailed(std::uint64_t aRequest, int aAttempt, int aStage,
                       HopFailure aFailure);
  void OnProgress(std::uint64_t aRequest, int aAttempt,
                  const std::vector<StageProgress>& aProgress);
  /// Time has passed, or capacity may have become free.
  void OnTick(Instant aNow);

  /// Requests that wait or run.
  std::size_t Open() const { return this->requests.size(); }
  std::size_t Waiting() const;
  /// The ways that the last requests took.
  const RouteLog& Routes() const { return this->routes; }
  /// Tokens that organisations were served, for operators.
  const std::map<std::string, double>& Served() const { return this->served; }

 private:
  struct Request;
  using RequestPtr = std::unique_ptr<Request>;

  void Admit(Request& aRequest);
  void SetVersion(Request& aRequest, const std::string& aVersion);
  Result<Choice> ChooseChain(Request& aRequest);
  bool TryStart(Request& aRequest);
  void Start(Request& aRequest, const Choice& aChoice);
  FairQueue& QueueOf(const Request& aRequest);
  void RefuseExpired(FairQueue& aQueue, Instant aNow);
  void StartWaiting(FairQueue& aQueue, Instant aNow);
  void OnClaim(std::uint64_t aRequest, ClaimVerdict aVerdict,
               const Claim& aHolder) override;
  void Carry(Request& aRequest, const StreamActions& aActions);
  void StartAttemptOf(Request& aRequest, const StartAttempt& aAction);
  void ReleaseOn(Request& aRequest, const ReleaseStages& aAction);
  void ProbeStagesOf(Request& aRequest, const ProbeStages& aAction);
  void Emit(Request& aRequest, const EmitToken& aAction);
  void Finish(Request& aRequest, const FinishStream& aAction);
  void FailRunning(Request& aRequest, const FailStream& aAction);
  bool StartAnew(Request& aRequest, const FailStream& aAction);
  void RefuseWaiting(Request& aRequest, const Error& aError);
  void EndCharge(Request& aRequest);
  bool MayOverfill(const Request& aRequest);
  void LeaveChain(Request& aRequest);
  void EndSpan(Request& aRequest, const std::string& aOutcome);
  void Remove(std::uint64_t aRequest);
  Request* Find(std::uint64_t aRequest);

  EntryContext& context;
  ClaimCoordinator& claims;
  ModelPool& pool;
  /// One queue a model: models do not share capacity.
  std::map<std::string, FairQueue> queues;
  std::uint64_t lastRequest;
  std::unordered_map<std::uint64_t, RequestPtr> requests;
  std::unordered_map<ExchangeId, std::uint64_t> byExchange;
  std::vector<std::uint64_t> over;
  std::map<std::string, double> served;
  RouteLog routes;
};

}  // namespace zincstep
