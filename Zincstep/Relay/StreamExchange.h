#pragma once

#include <utility>
#include <vector>

#include "Zincstep/Relay/EventSplitter.h"
#include "Zincstep/Relay/Exchange.h"

namespace zincstep {

/// A request to a split model, answered by a stream of events.
///
/// Whole events are passed on as they come. When an upstream behind the
/// first one is lost, the first is ordered on to another chain; when the
/// first is lost, a new run goes on behind the last event passed on.
class StreamExchange final : public Exchange {
 public:
  StreamExchange(RelayContext& aContext, AdmittedRequest aRequest);
  ~StreamExchange() override;

  void Start() override;
  void OnTick(Instant aNow) override;
  void OnCallerDisconnected() override;
  void OnReport(const UpstreamPtr& aUpstream,
                const Result<UpstreamReport>& aReport) override;
  UpstreamPtr WantsReport(Instant aNow) override;

  void OnResponseHead(HttpHead aHead) override;
  void OnResponseBody(std::string_view aPart) override;
  void OnResponsePause() override;
  void OnCallEnd(SingleCallEnd aEnd) override;

 private:
  bool HasRunBegun() const override { return this->hasRunEvents; }
  void Abandon(const char* aReason) override { this->Fail(aReason); }
  void TryChain();
  void WaitForChain();
  /// A stream that has begun waits for the budget rather than end.
  void WaitForRetry();
  /// Share of the retry budget that this request may not use.
  double ReservedBudget() const;
  void Reserve(const PoolChain& aChain);
  void Release();
  void EndStream();
  void OnNotRun();
  void OnLost(const char* aReason);
  /// Whether another upstream may run the rest.
  bool MayResume() const;
  /// Goes on with a new run, or ends; a call that is still open stays as it
  /// is where no new run is allowed.
  void Resume(const char* aReason);
  void Fail(const char* aReason);
  /// As what a request is refused that has not run; it decides when the caller
  /// is asked to come back.
  ErrorKind NotRunKind();
  void CheckMembers(Instant aNow);
  /// Silence after which members are asked whether they live.
  Micros ProbeSilence() const;
  /// Asks members whether they live that have given no sign of it lately.
  void AskMembers(Instant aNow);
  void Repair(Instant aNow);
  /// Whether it is time for another attempt; that time begins anew.
  bool MayRepair(Instant aNow);
  /// The chain with its lost or leaving members replaced, if there is one.
  std::optional<PoolChain> RepairedChain(Instant aNow);
  /// Moves a running stream off members that leave or give layers up.
  void MoveOn(Instant aNow);
  void Reroute(const PoolChain& aChain);
  bool IsLeft(const PoolHop& aHop, Instant aNow) const;
  /// Leaves out a member that an upstream named; false: no other chain is to
  /// be tried now.
  bool Blame(const PoolChain& aChain, const std::string& aAddress);
  void OnRepaired(PoolChain aChain, const Result<OrderOutcome>& aOutcome);
  void Distrust(const std::string& aAddress, Instant aNow, bool aIsDead);
  bool IsStream() const;
  Micros Silence(Instant aNow) const { return aNow - this->lastProgress; }

  double tokens = 0;
  EventSplitter splitter;
  PoolChain chain;
  std::vector<std::pair<UpstreamPtr, double>> reserved;
  /// Members at fault for refused changes of the chain.
  std::vector<UpstreamPtr> blamed;
  HttpHead head;
  ResponseInfo facts;
  /// Whole events that wait to be passed on together.
  std::string ready;
  /// Body of an answer that is no stream.
  std::string body;
  bool isForeign = false;
  bool headSent = false;
  /// Whole events have come in the present run.
  bool hasRunEvents = false;
  bool isWaiting = false;
  /// It waits for the retry budget, not only for a chain.
  bool needsRetry = false;
  bool isRepairing = false;
  bool isHeldUp = false;
  Instant waitingSince;
  Instant lastProgress;
  /// When events were last passed on.
  Instant passedAt;
  /// The average pause, in seconds.
  double usualPause = 0;
  Instant nextRepair;
  /// Repairs of this stream so far, for its closing log line.
  int repairs = 0;
};

}  // namespace zincstep
