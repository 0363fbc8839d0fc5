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

/// Handles completion requests: admission, choice of chain, streaming and
/// recovery.
class ModelHandler : private ClaimListener {
 public:
  ModelHandler(EntryContext& aContext, ClaimCoordinator& aClaims,
               ModelPool& aPool);
  ~ModelHandler() override;

  /// Handles a completion request.
  void OnRequest(const HttpRequest& aRequest, bool aIsChat);
  /// Responds with the models that the caller's organisation may use.
  void OnModelList(const HttpRequest& aRequest);
  /// Cancels the request of a caller that has disconnected.
  void OnCallerDisconnected(ExchangeId aExchange);
  /// Handles a step that an engine sent; ignores unknown requests.
  void OnToken(const TokenEvent& aEvent);
  /// Handles a failed attempt; `aStage` is the stage at fault, or -1 if
  /// unknown.
  void OnAttemptFailed(std::uint64_t aRequest, int aAttempt, int aStage,
                       HopFailure aFailure);
  /// Handles the responses of the stages to a probe.
  void OnProgress(std::uint64_t aRequest, int aAttempt,
                  const std::vector<StageProgress>& aProgress);
  /// Starts queued requests, expires timeouts and frees ended requests; must be
  /// called periodically.
  void OnTick(Instant aNow);
  /// Gives every request its final response, since the daemon ends.
  void EndForStop();

  /// Number of queued and running requests.
  std::size_t OpenRequests() const { return this->requests.size(); }
  /// Number of queued requests.
  std::size_t Waiting() const;
  /// Routes of the latest requests.
  const RouteLog& Routes() const { return this->routes; }
  /// Number of tokens served to each organisation.
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
               const Claim& aOwner) override;
  void ApplyActions(Request& aRequest, const StreamActions& aActions);
  void StartAttemptOf(Request& aRequest, const StartAttempt& aAction);
  void ReleaseStagesOf(Request& aRequest, const ReleaseStages& aAction);
  void ProbeStagesOf(Request& aRequest, const ProbeStages& aAction);
  void Emit(Request& aRequest, const EmitToken& aAction);
  void Finish(Request& aRequest, const FinishStream& aAction);
  void FailRunning(Request& aRequest, const FailStream& aAction);
  bool Restart(Request& aRequest, const FailStream& aAction);
  void RefuseWaiting(Request& aRequest, const Error& aError);
  void SettleCharge(Request& aRequest);
  bool CanOverfill(const Request& aRequest);
  void ReleaseChain(Request& aRequest);
  void EndSpan(Request& aRequest, const std::string& aOutcome);
  void Remove(std::uint64_t aRequest);
  Request* Find(std::uint64_t aRequest);

  EntryContext& context;
  ClaimCoordinator& claims;
  ModelPool& pool;
  /// One queue per model, as models do not share capacity.
  std::map<std::string, FairQueue> queues;
  std::uint64_t lastRequest;
  std::unordered_map<std::uint64_t, RequestPtr> requests;
  std::unordered_map<ExchangeId, std::uint64_t> byExchange;
  /// Ended requests, freed at the next tick.
  std::vector<std::uint64_t> ended;
  std::map<std::string, double> served;
  RouteLog routes;
};

}  // namespace zincstep
