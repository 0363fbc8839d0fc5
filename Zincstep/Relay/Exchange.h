#pragma once

#include <memory>
#include <string>

#include "Zincstep/Net/SingleCall.h"
#include "Zincstep/Relay/EventSplitter.h"
#include "Zincstep/Relay/RelayContext.h"
#include "Zincstep/Relay/StreamWait.h"

namespace zincstep {

/// A request that passed admission, with its route, service and deadline.
struct AdmittedRequest {
  std::shared_ptr<CallerConnection> connection;
  CallerMessage message;
  RelayRequest info;
  /// Owns the targets of `route` and `service`.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  std::string organisation;
  int priority = 0;
  /// Deadline of the final response.
  Instant deadline;
  /// Whether another daemon forwarded it; then it is not forwarded again.
  bool isForwarded = false;
  /// Runs that may have begun before it was forwarded here.
  int priorRuns = 0;

  /// What may crash upstreams; equal for all attempts of a caller at it.
  CrashCandidates Candidates() const {
    return CandidatesOf(
        {this->message.head.method, this->info.host, this->message.head.target,
         this->organisation, this->message.body},
        this->service->name, this->info.promptParts);
  }
};

/// Whether events of a stream arrive.
enum class StreamProgress {
  /// Nothing can be said: it is not a stream, has not begun, or waits for
  /// upstreams to read its tokens.
  Unknown,
  Progressing,
  /// It progressed and has had no event for longer than usual.
  Silent,
};

/// What an exchange has done of a request that it hands over.
struct ExchangeProgress {
  LoadStatistics::Entry counted;
  bool mayHaveRun = false;
  int runs = 0;
  int sends = 0;
  Micros waited{0};
  Micros firstEventDelay{0};
  Micros maxEventGap{0};
  /// Set for a stream: the events that were forwarded to the caller.
  std::optional<EventSplitter> events;
  /// Whether the caller has received the head of the response.
  bool headSent = false;
  /// When events were last forwarded to the caller.
  Instant lastForwardedAt{};
};

/// Returns how long a request may take from `aNow` on, without what it usually
/// takes.
ExpectedDuration LongestDurationOf(const AdmittedRequest& aRequest,
                                   Instant aNow);

/// Handles one request from its admission to its final response.
///
/// Subclasses send the request to upstreams. `mayHaveRun` records whether any
/// of them may have run it, which decides the error that the caller gets.
/// Every exchange ends through `Finish`.
class Exchange : public SingleCallListener,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& aContext, AdmittedRequest aRequest);

  /// Sends the request to an upstream, or refuses it.
  virtual void Start() = 0;
  /// Checks timeouts; call several times per second.
  virtual void OnTick(Instant aNow) = 0;
  /// Cancels all work for a caller that closed its connection.
  virtual void OnCallerDisconnected();
  /// Returns whether its stream progresses.
  virtual StreamProgress ProgressAt(Instant) const {
    return StreamProgress::Unknown;
  }
  /// Records at the members of its chain whether its stream progresses.
  virtual void ObserveMembers(Instant) {}
  /// Receives an upstream's report of its stalled requests.
  virtual void OnReport(const UpstreamPtr&, const Result<UpstreamReport>&) {}
  /// Time since the last event of a stream that has begun; 0 for others.
  virtual Micros Silence(Instant) const { return Micros{0}; }
  /// Tokens of a stream that has begun and waits for a chain; 0 for others.
  virtual double TokensAwaitingChain() const { return 0; }
  /// Returns what a stream that has begun waits for.
  virtual StreamWait WaitState() const { return {}; }
  /// Returns the upstream whose report this exchange needs, or null.
  virtual UpstreamPtr UpstreamToQuery(Instant) { return nullptr; }

  /// Abandons this exchange if its request is blocked for this fingerprint and
  /// nothing of the current run's response has arrived.
  void OnBlocked(Fingerprint aBlocked);
  /// Gives the request its final response as the process is about to exit: that
  /// it has not run, or that it may have. A stream that has begun is truncated.
  void EndForExit();

  bool IsDone() const { return this->isDone; }
  const AdmittedRequest& Request() const { return this->request; }

 protected:
  /// Counts the request in the load statistics; `aTokens` is 0 for a plain
  /// service. To be called first.
  void CountArrival(double aTokens);
  /// Responds with an error of this daemon; ends the exchange.
  void Refuse(ErrorKind aKind, const char* aReason);
  /// Forwards a complete response of an upstream; ends the exchange.
  void ForwardResponse(const HttpHead& aHead, const std::string& aBody);
  /// Ends the exchange without sending anything to the caller.
  void Finish(const char* aOutcome, const char* aReason);
  /// Sends the request to `aUpstream`. Sets `call`, unless the address is
  /// invalid.
  void Send(const UpstreamPtr& aUpstream, const PoolChain* aChain);
  /// Id of the last event that was forwarded to the caller; none if there was
  /// none, or its id is no number.
  virtual std::optional<std::uint64_t> ForwardedEventId() const {
    return std::nullopt;
  }
  /// Pooled connections that the request may use; empty if the request must
  /// not be sent twice.
  std::optional<PooledConnections> ReusableConnections() const;
  /// Whether a run may begin now. A stream that has begun is continued in any
  /// case, as it could only be truncated instead.
  bool MayBeginRun() const;
  /// Gives the request its final response if `MayBeginRun` says no; returns
  /// whether it did. To be asked before each run and while one is waited for,
  /// without a call in progress.
  bool EndInsteadOfRun();
  /// Whether the caller has received the head of the response.
  virtual bool HasSentHead() const { return false; }
  /// Records what a stream that has begun and is silent waits for, as it is
  /// about to end before its response is complete. To be called before the call
  /// is cancelled.
  void RecordWait();
  /// Cancels the current call, if any.
  void CancelCall();
  /// Called once when the exchange ends.
  virtual void OnFinished() {}
  /// Returns the Retry-After of a refusal for lack of room, if the service's
  /// requests are scheduled by priority.
  virtual std::optional<Micros> ScheduledRetryAfter(ErrorKind) {
    return std::nullopt;
  }
  /// Called with the Retry-After of a refusal that was not run.
  virtual void OnNotRunRefusal(ErrorKind, Micros) {}
  /// Whether any of the current run's response has arrived. A request that
  /// crashes its upstream does so before that.
  virtual bool HasResponseBegun() const = 0;
  /// Ends the exchange and cancels the current run, which may have begun. The
  /// caller gets `aNotRun` if no upstream has the request, or else
  /// `aMayHaveRun`.
  virtual void Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
                       const char* aReason) = 0;
  /// Records that the current run ended without a complete response.
  void OnRunLost(const char* aReason);
  /// Has it checked whether the upstream of the current run has crashed.
  void SuspectCrash();
  /// Records that the upstream refused the request. Marks the upstream as ended
  /// if another incarnation responded at its address.
  void OnRefused(const ResponseInfo& aInfo, int aStatus);
  /// Applies the call limits that a response head names for the upstream.
  void ApplyNotice(const ResponseInfo& aInfo);
  /// Records how long the request took, for the decision which requests a
  /// stopping daemon accepts.
  void RecordDuration();
  /// Records that a run completed successfully.
  void OnRunCompleted();
  /// What the request carries that may crash upstreams; the same for all
  /// attempts at it.
  const CrashCandidates& Candidates();
  /// Whether the request is blocked because it crashes upstreams.
  bool IsBlocked();
  /// Marks an upstream as suspect, as it did not respond.
  void Suspect(LiveUpstream& aUpstream);
  /// Whether a stream that has been without progress since `aSince` looks for a
  /// chain or a daemon now; if so, schedules the next search.
  bool MaySearch(Instant aSince, Instant aNow);
  /// Acquires a retry if the send count and the retry window permit it;
  /// `aReserved` is the share of the burst that this retry may not use.
  bool TryAcquireRetry(double aReserved);
  /// Whether the request may be sent again after a failed connection attempt.
  /// Takes no retry, as the upstream received nothing.
  bool TryAcquireResend();
  /// Sets `callWait` to the shortest wait among the service's upstreams that
  /// only their call limit excludes. Returns false if there are none.
  bool UpdateCallWait(bool aIsFirstOfChain);
  /// Returns how many of the service's upstreams this daemon reaches.
  UpstreamReach Reach() const;
  /// Whether this daemon reaches few of the service's upstreams or none.
  bool IsCutOff() const;
  /// Whether a request is forwarded before any upstream is tried.
  bool SkipsUpstreams() const;
  /// Whether this daemon is cut off from the service, and another daemon may
  /// serve the request.
  bool MayHandOver();
  /// Hands the request over to be forwarded to another daemon, if this one is
  /// cut off from the service and the request may be sent again. Returns
  /// whether that ended this exchange; there must be no call in progress.
  bool TryHandOver();
  /// Whether the request may run once more after a run that may have begun.
  virtual bool MayRunAgain() const = 0;
  /// Called before the request is handed over; returns what was done of it.
  virtual ExchangeProgress TakeProgress();
  /// Records that the upstream responds on the current call's connection, which
  /// shows a path to the service if that is a new one.
  void OnConnected();
  /// Marks the upstream as suspect, as no connection to it was established.
  void OnNotConnected();
  /// Whether this daemon just started and its list of upstreams is still due.
  bool IsAwaitingUpstreams() const;
  /// Returns an empty buffer for a response's body.
  BodyBuffer MakeBodyBuffer() const {
    return {this->context.responseBytes,
            this->context.settings.maxResponseBytes};
  }
  /// Why a run whose call ended so has no usable response, for the log;
  /// `aIsInvalid`: as `IsInvalidResponse` says.
  static const char* LostReasonOf(SingleCallEnd aEnd, bool aIsInvalid);
  /// Whether a response belongs to another request, or was modified in
  /// transit.
  bool IsInvalidResponse(const HttpHead& aHead,
                         const ResponseInfo& aInfo) const;
  /// Response headers that are forwarded to the caller.
  static HttpHeaders ForwardedHeaders(const HttpHead& aHead);
  /// Value of Retry-After; below the time that the caller still waits.
  Micros ComputeRetryAfter(ErrorKind aKind);
  Instant Now() const { return this->context.clock.Now(); }

  RelayContext& context;
  AdmittedRequest request;
  std::shared_ptr<SingleCall> call;
  /// Upstream of the current or last call.
  UpstreamPtr upstream;
  /// Whether any upstream may have run the request.
  bool mayHaveRun = false;
  /// Number of runs that may have begun.
  int runs = 0;
  /// Number of sends, including those that were refused.
  int sends = 0;
  Instant sentAt;
  /// Shortest wait until the call limit of an otherwise usable upstream permits
  /// a call.
  Micros callWait{0};
  /// Time from the reading of the request to the first forwarded event, and the
  /// maximum gap between two forwarded events since.
  Micros firstEventDelay{0};
  Micros maxEventGap{0};
  /// Time that the request waited for room before its first start.
  Micros waited{0};
  /// Time from the reading of the request to its first event as expected at the
  /// last send before that event; 0: not known.
  Micros expectedFirstEvent{0};
  LoadStatistics::Entry counted;
  /// Why the last retry since the last event was denied: `Retry` or `Attempt`.
  std::optional<WaitCause> retryDenial;

 private:
  /// What the stream waited for at its end; none: it was not silent.
  std::optional<StreamWait> waitAtEnd;
  bool isDone = false;
  /// Computed on first use, as it costs some microseconds.
  std::optional<CrashCandidates> candidates;
  /// A denied retry is logged once per request.
  bool isRetryDenialLogged = false;
  /// Earliest time of the next search by `MaySearch`.
  Instant nextSearch{};
};

}  // namespace zincstep
