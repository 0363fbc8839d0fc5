#pragma once

#include <vector>

#include "Zincstep/Relay/Exchange.h"
#include "Zincstep/Relay/ForwardChooser.h"

namespace zincstep {

/// Header with the number of runs of a forwarded request that may have begun.
inline constexpr const char* kRunsHeader = "zincstep-runs";
/// Header with the version of the configuration by which the forwarding daemon
/// admitted a request.
inline constexpr const char* kAdmittedVersionHeader =
    "zincstep-admitted-version";
/// Header with the version of the configuration by which a daemon refused to
/// admit a forwarded request.
inline constexpr const char* kRefusingVersionHeader =
    "zincstep-refusing-version";

/// Exchange through another daemon, which sends the request to upstreams in
/// place of this one.
///
/// The other daemon receives the caller's request unmodified but for the time
/// left, and checks key and route itself. It is told by which version of the
/// configuration the request was admitted, so that one whose key or route was
/// removed meanwhile is still admitted there for the time in which daemons that
/// have not noticed the removal may use it. It never forwards the request
/// again, so that a request takes one hop between daemons at most.
class ForwardExchange final : public Exchange {
 public:
  ForwardExchange(RelayContext& aContext, AdmittedRequest aRequest,
                  const ExchangeProgress& aProgress);

  void Start() override { this->TryPeer(); }
  Micros Silence(Instant aNow) const override {
    return this->headSent ? aNow - this->lastForwardedAt : Micros{0};
  }
  StreamWait WaitState() const override;
  void OnTick(Instant aNow) override;
  void OnCallerDisconnected() override;

  void OnResponseHead(HttpHead aHead) override;
  bool OnResponseBody(std::string_view aPart) override;
  void OnResponsePause() override;
  void OnCallEnd(SingleCallEnd aEnd) override;

 private:
  bool HasResponseBegun() const override {
    return !this->responseInfo.requestId.empty();
  }
  bool HasSentHead() const override { return this->headSent; }
  std::optional<std::uint64_t> ForwardedEventId() const override {
    return this->events.ForwardedId();
  }
  void Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
               const char* aReason) override;
  void OnFinished() override { this->DropCandidate(); }
  std::optional<Micros> ScheduledRetryAfter(ErrorKind) override {
    return this->peerRetryAfter;
  }

  /// A run that is requested of another daemon beside one that is silent. Its
  /// response goes to the exchange once that has adopted it.
  class Candidate final : public SingleCallListener,
                          public std::enable_shared_from_this<Candidate> {
   public:
    Candidate(ForwardExchange& aExchange, ForwardPeer aPeer, Instant aSentAt)
        : exchange(aExchange),
          peer(std::move(aPeer)),
          sentAt(aSentAt),
          body(aExchange.MakeBodyBuffer()) {}

    void OnResponseHead(HttpHead aHead) override;
    bool OnResponseBody(std::string_view aPart) override {
      return this->isAdopted ? this->exchange.OnResponseBody(aPart)
                             : this->body.Append(aPart);
    }
    void OnResponsePause() override {
      if (this->isAdopted) {
        this->exchange.OnResponsePause();
      }
    }
    void OnCallEnd(SingleCallEnd aEnd) override;

    ForwardExchange& exchange;
    ForwardPeer peer;
    Instant sentAt;
    std::shared_ptr<SingleCall> call;
    HttpHead head;
    BodyBuffer body;
    bool isAdopted = false;
  };
  std::optional<ForwardPeer> ChoosePeer();
  void TryPeer();
  /// Sends the request to another daemon, with a retry if that is needed.
  void TryNextPeer();
  void SendTo(const ForwardPeer& aPeer);
  /// Starts the call that sends the request to a daemon.
  std::shared_ptr<SingleCall> StartCall(const ForwardPeer& aPeer,
                                        SingleCallListener& aListener);
  /// Requests a run beside the silent one of another daemon, if there is one
  /// and a retry.
  void TryCandidate();
  void StartCandidate(const ForwardPeer& aPeer);
  /// Gives the current run up for the candidate, which has accepted the stream
  /// or is the last run that is left.
  void AdoptCandidate();
  /// Cancels the candidate, if any; its run may have begun.
  void DropCandidate();
  /// The candidate's call has ended before it was adopted.
  void OnCandidateEnd(SingleCallEnd aEnd);
  /// The candidate may have run the request, and does not continue the stream.
  void OnCandidateLost();
  /// Whether the request may be sent for one more run; acquires a retry unless
  /// one is left of a candidate that did not run it.
  bool HasRetry();
  /// The same, and uses that retry.
  bool TakeRetry();
  /// Runs that the other daemon is told of: all that the route permits but one.
  /// How often a daemon ran the request that did not complete it is not known
  /// here, so each runs it once and further runs are decided here.
  int RunsStated() const;
  /// Forwards a whole response, or runs the request again if that may help.
  void OnAnswer();
  /// Ends the count of this request at the current peer.
  void LeavePeer();
  /// Whether the other daemon has refused the request before it had read all of
  /// it.
  bool IsRefusedUnread(const HttpHead& aHead) const;
  /// Whether the peer responded that it has not run the request.
  bool IsRefusal(const HttpHead& aHead) const;
  /// What a refusal says of the request's chances elsewhere.
  enum class RefusalCause {
    /// The peer reaches the upstreams, and they lack room.
    NoRoom,
    /// Holds for the peer alone or for now: it does not reach the upstreams,
    /// stops, was slow to read, or has an older configuration.
    Peer,
    /// The peer's configuration is not older than the one that admitted the
    /// request, and does not admit it.
    NotAdmitted,
  };
  /// `aKind`: the body of the refusal.
  RefusalCause CauseOfRefusal(const HttpHead& aHead,
                              std::string_view aKind) const;
  /// Records a refusal by a daemon.
  void OnRefusalBy(const std::string& aPeer, const HttpHead& aHead,
                   const std::string& aKind);
  /// Whether a refusal may be that of upstreams that received the request.
  static bool IsOfUpstreams(std::string_view aKind) {
    return aKind == ErrorInfoFor(ErrorKind::Overloaded).name;
  }
  /// Whether no other daemon is asked since several did not admit the request.
  bool IsNoLongerAdmitted() const;
  /// The peer has not run the request.
  void OnPeerRefused();
  /// The peer may have run the request, and its response is not complete.
  void OnRunInterrupted(const char* aReason);
  /// The peer has sent nothing for `SilenceLimit`. A stream that has begun is
  /// continued by another daemon, with a retry; the silent run is given up only
  /// once that one has accepted it.
  void OnSilence(Instant aNow);
  /// Share of the retry burst that this exchange may not use.
  double ReservedRetries() const;
  void EndStream();
  /// Whether the request may run once more.
  bool CanRunAgain() const;
  bool MayRunAgain() const override { return this->CanRunAgain(); }
  /// No daemon is left to forward to, or no retry. A stream that has begun
  /// waits for one until its deadline.
  void OnNoPeer();
  void Fail(const char* aReason);
  ErrorKind NotRunKind();
  bool IsStream() const;
  /// Time without progress after which a request that may run again is sent to
  /// another daemon.
  Micros SilenceLimit() const;

  EventSplitter events;
  bool hasEvents;
  bool headSent;
  Instant lastForwardedAt;
  /// Current daemon; empty name: none.
  ForwardPeer peer;
  std::vector<std::string> tried;
  /// Daemons that reach the upstreams and lack room.
  int roomRefusals = 0;
  /// Daemons that do not admit the request; they are not asked again.
  std::vector<std::string> notAdmitting;
  /// Their reason, if it is one that callers are told.
  std::optional<ErrorKind> notAdmittedAs;
  std::optional<Micros> peerRetryAfter;
  HttpHead head;
  ResponseInfo responseInfo;
  bool isInvalidResponse = false;
  bool isReadingPaused = false;
  /// Waits for a daemon to forward an interrupted stream to.
  bool isWaiting = false;
  /// Upstreams of the last daemon may have received the request.
  bool needsRetry = false;
  /// Run that is requested beside a silent one; null: none.
  std::shared_ptr<Candidate> candidate;
  /// Listener of the current call if it was a candidate's.
  std::shared_ptr<Candidate> adopted;
  /// A retry is left of a candidate that has not run the request.
  bool hasSpareRetry = false;
  BodyBuffer body = this->MakeBodyBuffer();
  std::string pendingEvents;
  Instant lastProgress;
};

}  // namespace zincstep
