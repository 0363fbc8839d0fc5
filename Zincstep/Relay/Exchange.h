#pragma once

#include <memory>
#include <string>

#include "Zincstep/Net/SingleCall.h"
#include "Zincstep/Relay/RelayContext.h"

namespace zincstep {

/// A request that was found proper: route, service, owner and times.
struct AdmittedRequest {
  std::shared_ptr<CallerConnection> connection;
  CallerMessage message;
  RelayRequest facts;
  /// Keeps what the pointers below point into.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  std::string organisation;
  int priority = 0;
  /// When it must have its final answer.
  Instant end;

  /// What makes this attempt and others the same request.
  RequestIdentity Identity() const {
    return {this->message.head.method, this->facts.host,
            this->message.head.target, this->organisation, this->message.body};
  }
};

/// One request from its admission to its final answer.
///
/// Knows at each moment what may be said of the request: it is sent to
/// upstreams by the subclasses, and `hasBegun` tells whether any of them
/// may have run it. Every end goes through `Finish`.
class Exchange : public SingleCallListener,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& aContext, AdmittedRequest aRequest);

  /// Sends the request, or refuses it.
  virtual void Start() = 0;
  /// Looks at limits of time; to be called several times a second.
  virtual void OnTick(Instant aNow) = 0;
  /// The caller has left: all work for it ends.
  virtual void OnCallerDisconnected();
  /// An upstream has reported on the requests that stand still there.
  virtual void OnReport(const UpstreamPtr&, const Result<UpstreamReport>&) {}
  /// An upstream whose report is wanted, or null.
  virtual UpstreamPtr WantsReport(Instant) { return nullptr; }

  /// A request has been found to end whoever runs it: this one ends, if it is
  /// the same and no event of its present run has come.
  void OnBlocked(RequestFingerprint aRequest);

  bool IsDone() const { return this->isDone; }
  const AdmittedRequest& Request() const { return this->request; }

 protected:
  /// Answers with an error of our own; ends the exchange.
  void Refuse(ErrorKind aKind, const char* aReason);
  /// Passes an upstream's whole answer on; ends the exchange.
  void PassOn(const HttpHead& aHead, const std::string& aBody);
  /// Ends the exchange; nothing is sent.
  void Finish(const char* aOutcome, const char* aReason);
  /// Connects and sends; `aUpstream` is where it goes.
  void Send(const UpstreamPtr& aUpstream, const PoolChain* aChain,
            std::optional<std::uint64_t> aLastEventId);
  /// The kept connections that the request may use; none where it must not be
  /// sent twice.
  std::optional<PooledConnections> Kept() const;
  /// Ends the present call, if any.
  void CancelCall();
  /// Whether any of the present run's answer has come: who crashes an upstream
  /// does so before.
  virtual bool HasRunBegun() const = 0;
  /// Ends the exchange and the run that is open, as one that may have run.
  virtual void Abandon(const char* aReason) = 0;
  /// The present run ends without its whole answer.
  void OnRunLost(const char* aReason);
  /// The upstream has refused the request; where another one answers at its
  /// address, it has ended.
  void OnRefused(const ResponseInfo& aFacts, int aStatus);
  /// Takes what the head of an answer says of the upstream.
  void ApplyNotice(const ResponseInfo& aFacts);
  /// A run has ended with its whole answer, a success.
  void OnRunWhole();
  /// What the request is, whichever attempt.
  RequestFingerprint Fingerprint();
  /// Whether it ends whoever runs it.
  bool IsBlocked();
  /// There is evidence that an upstream does not answer.
  void Suspect(LiveUpstream& aUpstream);
  /// Whether another send is allowed by count and budget; `aKept` is the
  /// share of the budget that it may not use.
  bool TryAcquireRetry(double aKept);
  /// Whether one is allowed after a connection that did not come up. The
  /// upstream got nothing, so that the budget is not touched.
  bool TryAcquireResend();
  /// Notes that the request would go to one of the service's upstreams if they
  /// took another call now. False: there is none of them.
  bool NoteCallWait(bool aIsFirstOfChain);
  /// Whether this daemon has just started and is about to hear of upstreams.
  bool AwaitsFirstList() const;
  /// Whether an answer of that kind can only be some other request's, or
  /// was changed on its way.
  bool IsForeign(const HttpHead& aHead, const ResponseInfo& aFacts) const;
  /// Fields of an answer that are the caller's too.
  static HttpHeaders PassedHeaders(const HttpHead& aHead);
  /// When the caller should come back: less than it will wait.
  Micros ComeBackAfter(ErrorKind aKind) const;
  Instant Now() const { return this->context.clock.Now(); }

  RelayContext& context;
  AdmittedRequest request;
  std::shared_ptr<SingleCall> call;
  /// Upstream of the present or last call.
  UpstreamPtr upstream;
  /// An upstream may have run the request.
  bool hasBegun = false;
  /// Upstreams that may have run it.
  int runs = 0;
  int sends = 0;
  Instant sentAt;
  /// Time until an upstream may be called that is held back by its limit alone.
  Micros callWait{0};
  /// Time from the request's reading to the first event that was passed on,
  /// and the longest pause between two since: what makes an answer late.
  Micros firstEventAfter{0};
  Micros longestPause{0};

 private:
  bool isDone = false;
  /// Made when it is first asked for, once an answer at the most: it costs some
  /// microseconds.
  std::optional<RequestFingerprint> fingerprint;
  /// The budget had no retry left when this request wanted one; logged once.
  bool wasRetryDenied = false;
};

}  // namespace zincstep
