#pragma once

#include <utility>
#include <vector>

#include "Zincstep/Relay/EventSplitter.h"
#include "Zincstep/Relay/Exchange.h"
#include "Zincstep/Relay/RepairChoice.h"

namespace zincstep {

/// Exchange with a split model, whose response is a stream of events.
///
/// Forwards complete events as they arrive. If a member of the chain behind the
/// first is lost, reroutes the first upstream to another chain; if the first is
/// lost, a new run resumes after the last forwarded event.
class StreamExchange final : public Exchange, public CapacityWaiter {
 public:
  StreamExchange(RelayContext& aContext, AdmittedRequest aRequest);
  ~StreamExchange() override;

  void Start() override;
  Micros Silence(Instant aNow) const override {
    return this->headSent ? aNow - this->lastForwardedAt : Micros{0};
  }
  void OnTick(Instant aNow) override;
  void OnCallerDisconnected() override;
  StreamProgress ProgressAt(Instant aNow) const override;
  void ObserveMembers(Instant aNow) override;
  void OnReport(const UpstreamPtr& aUpstream,
                const Result<UpstreamReport>& aReport) override;
  StreamWait WaitState() const override;
  UpstreamPtr UpstreamToQuery(Instant aNow) override;
  double TokensAwaitingChain() const override {
    const bool awaitsChain = this->isWaiting || this->silentSince;
    return awaitsChain && this->headSent ? this->tokens : 0;
  }

  WaiterStart OnRoom(const std::vector<UpstreamPtr>& aUpstreams) override;
  void OnNoRoom(const char* aReason) override;

  void OnResponseHead(HttpHead aHead) override;
  bool OnResponseBody(std::string_view aPart) override;
  void OnResponsePause() override;
  void OnCallEnd(SingleCallEnd aEnd) override;

 private:
  /// Time without events after which a suspect member is replaced: a few usual
  /// gaps, so that a false suspicion does no harm.
  static constexpr Micros kMemberTimeout = 80ms;
  /// A member that is deregistered or releases its layers may still serve its
  /// running requests, so it is replaced only after this time without events.
  static constexpr Micros kDepartedTimeout = 400ms;

  bool HasResponseBegun() const override { return this->hasRunEvents; }
  bool HasSentHead() const override { return this->headSent; }
  std::optional<std::uint64_t> ForwardedEventId() const override {
    return this->splitter.ForwardedId();
  }
  void Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
               const char* aReason) override;
  void OnFinished() override;
  bool MayRunAgain() const override { return this->CanResume(); }
  ExchangeProgress TakeProgress() override;
  std::optional<Micros> ScheduledRetryAfter(ErrorKind aKind) override;
  void OnNotRunRefusal(ErrorKind aKind, Micros aRetryAfter) override;
  /// Adds the request to those that wait for room.
  void WaitForRoom();
  ScheduledRequest Scheduled() const;
  void TryChain();
  /// What the choice of a chain has to know besides the size of the request.
  RequestTiming Timing() const;
  /// Starts a run on a chain of `aUpstreams`, or ends the exchange if none may
  /// begin. Returns false if there is no chain.
  bool StartChain(const std::vector<UpstreamPtr>& aUpstreams);
  /// Whether the chain is chosen by the time in which it reads the tokens.
  bool IsEstimatedRerun() const {
    return this->headSent && this->EstimatesRepairs();
  }
  std::optional<PoolChain> ChooseChain(
      const std::vector<UpstreamPtr>& aUpstreams, Instant aNow);
  WaitCause CauseOfWait() const;
  /// Estimates the first event of a request that is sent now to `aFirst`.
  void ExpectFirstEvent(const LiveUpstream& aFirst);
  void WaitForChain();
  /// Checks a stream that waits for a chain or a retry.
  void OnWaitingTick(Instant aNow);
  /// Waits for a retry; for streams that have begun.
  void WaitForRetry();
  /// Whether a stream that has begun has a chain for a new run, which is then
  /// in `nextChain`, or may be handed over. To be asked before a retry is
  /// acquired: retries count from their acquisition, which has to be that of
  /// the run.
  bool CanBeginRun();
  /// Begins the run of a stream that waits for a retry, if there is one.
  void RetryWaiting();
  /// Share of the retry burst that this exchange may not use.
  double ReservedRetries() const;
  /// Counts this request's work at the members of a chain instead of at those
  /// of a former one, and the request at the first.
  void Reserve(const PoolChain& aChain);
  /// Ends the count of this request and its work.
  void Release();
  void ReleaseWork();
  /// Counts the request at `aUpstream` as its first stage; null: at none.
  void CountAt(const UpstreamPtr& aUpstream);
  void EndStream();
  void OnNotRun();
  void OnLost(const char* aReason);
  /// Whether another upstream may continue the stream.
  bool CanResume() const;
  /// Whether the open call of a stream that has begun is kept, as there is
  /// nowhere else to continue it: its upstream may only be silent. Otherwise
  /// `nextChain` may be set.
  bool KeepsSilentRun();
  /// Gives the current run up, if there is one, and the room that it holds.
  void LoseRun(const char* aReason);
  /// Continues the stream with a new run, or ends the exchange. If no new run
  /// is permitted or no chain is found for one, a call that is still open is
  /// left running, unless it can't deliver any more events.
  void Resume(const char* aReason);
  void Fail(const char* aReason);
  /// Error kind for a request that has not run; determines its Retry-After.
  ErrorKind NotRunKind();
  void CheckMembers(Instant aNow);
  /// Time without events after which members of the chain are probed.
  Micros ProbeTimeout() const;
  /// Probes the members that have not responded lately.
  void ProbeMembers(Instant aNow);
  void Repair(Instant aNow);
  bool EstimatesRepairs() const {
    return this->context.settings.features.repairEstimate != FeatureMode::Off;
  }
  /// Continues the stream without the members that are likely lost, before a
  /// probe has confirmed it. Returns false if there are none.
  bool LeaveLikelyLost(Instant aNow);
  /// Excludes a member from this and other repairs of this daemon for a while.
  void ExcludeFromRepairs(const UpstreamPtr& aUpstream, Instant aNow);
  bool IsLost(const PoolHop& aHop, Instant aNow) const;
  /// Whether a member can't continue the run: it has ended, or it has left or
  /// given up its layers, and no event has arrived for `kDepartedTimeout`.
  bool HasDeparted(const PoolHop& aHop, Instant aNow) const;
  /// Whether the open call of a stream that has begun waits for a member that
  /// has departed: no more events arrive, and the run only holds memory.
  bool IsStranded() const;
  /// Estimates the times of a reroute and of a new run, and chooses.
  RepairDecision DecideRepair(Instant aNow) const;
  /// Lost members of the chain with their work, and the usable upstreams that
  /// can read the stream's tokens.
  RepairInput ObserveRepair(Instant aNow) const;
  /// Whether an attempt and a retry are available for a new run.
  bool HasNewRun(Instant aNow) const;
  /// Returns a chain for a new run of a stream that has begun, or none. The
  /// failure domain `aLastDomain` is used only if no other has room.
  std::optional<PoolChain> ChooseForRerun(Instant aNow,
                                          const std::string& aLastDomain);
  /// Starts a new run on another chain if one has room.
  bool TryNewRun(const char* aReason, Instant aNow,
                 const std::string& aLastDomain);
  /// Time after the announcement by which streams have left an upstream.
  Micros LeavePeriod() const;
  /// Expected time until the stream ends, from the request's expected tokens
  /// and the average event gap.
  Micros ExpectedRemaining() const;
  /// Whether the stream should get a new run since its first upstream leaves.
  bool ShouldLeaveFirst(Instant aNow) const;
  /// Time that the new members of `aChain` take to read the stream's tokens.
  Micros ReadTimeOf(const PoolChain& aChain, Instant aNow) const;
  bool IsMember(const LiveUpstream& aUpstream) const;
  /// Returns whether a repair may start now; if so, schedules the next.
  bool TryStartRepair(Instant aNow);
  /// Returns the chain with its lost or leaving members replaced, if possible.
  std::optional<PoolChain> RepairedChain(
      Instant aNow, RepairScope aScope = RepairScope::FirstDomain);
  /// Migrates a running stream off members that leave or release layers.
  void MigrateChain(Instant aNow);
  void Reroute(const PoolChain& aChain);
  /// Records the tokens that the members of `aChain` have to read which are not
  /// in the present chain.
  void RecordReads(const PoolChain& aChain, Instant aNow);
  bool IsDeparting(const PoolHop& aHop, Instant aNow) const;
  /// Excludes the member of a rejected chain that is at fault. Returns false if
  /// no other chain should be tried now.
  bool ExcludeRejected(const PoolChain& aChain, const std::string& aAddress);
  void OnRepaired(PoolChain aChain, const Result<OrderOutcome>& aOutcome);
  void Exclude(const std::string& aAddress, Instant aNow, bool aIsDead);
  bool IsStream() const;
  Micros TimeSinceProgress(Instant aNow) const {
    return aNow - this->lastProgress;
  }

  double tokens = 0;
  EventSplitter splitter;
  PoolChain chain;
  std::vector<std::pair<UpstreamPtr, double>> reserved;
  /// First stage at which this request is counted; null if at none.
  UpstreamPtr countedAt;
  /// Time that the request was expected to be queued when it was last sent.
  Micros expectedWait{0};
  /// Members at fault for rejected reroutes.
  std::vector<UpstreamPtr> excluded;
  HttpHead head;
  ResponseInfo responseInfo;
  /// Complete events to be forwarded together.
  std::string pendingEvents;
  /// Body of a response that is not a stream.
  BodyBuffer body = this->MakeBodyBuffer();
  bool isInvalidResponse = false;
  bool headSent = false;
  /// The current run has delivered complete events.
  bool hasRunEvents = false;
  /// Whether the service's requests are scheduled by priority.
  bool isScheduled = false;
  /// Id among the requests that wait for room; none: it doesn't wait.
  std::optional<std::uint64_t> waitingId;
  /// Whether it has started and counts as one of its organisation's.
  bool isCounted = false;
  bool isWaiting = false;
  /// Waits for a retry, not only for a chain.
  bool needsRetry = false;
  bool isRepairing = false;
  /// The last reroute since the last event was rejected.
  bool isRepairRejected = false;
  bool isReadingPaused = false;
  /// The members read the tokens; cleared by the next event.
  bool isReading = false;
  /// The stream was moved off leaving members while it progressed.
  bool isMigrating = false;
  /// Since when the new members of a rerouted stream read; none for a new run.
  Instant readingSince{};
  /// Chain of the next run, if it is chosen already.
  std::optional<PoolChain> nextChain;
  Instant waitingSince;
  /// Since when a waiting stream's request is blocked.
  std::optional<Instant> blockedSince;
  /// Since when a chain for a new run is sought beside a silent run.
  std::optional<Instant> silentSince;
  /// Searches for a chain since the last event.
  ChainSearches searches;
  Instant lastProgress;
  /// Time at which events were last forwarded.
  Instant lastForwardedAt;
  /// Moving average of the gap between events, in seconds.
  double averageEventGap = 0;
  Instant nextRepair;
  /// Number of completed repairs, for the log line at the end.
  int repairs = 0;
};

}  // namespace zincstep
