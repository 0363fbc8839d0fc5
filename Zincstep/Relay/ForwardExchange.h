#pragma once

#include <vector>

#include "Zincstep/Relay/Exchange.h"
#include "Zincstep/Relay/ForwardChooser.h"

namespace zincstep {

/// Header with the number of runs of a forwarded request that may have begun.
inline constexpr const char* kRunsHeader = "zincstep-runs";

/// Exchange through another daemon, which sends the request to upstreams in
/// place of this one.
///
/// The other daemon receives the caller's request unmodified but for the time
/// left, and checks key and route itself. It never forwards the request again,
/// so that a request takes one hop between daemons at most.
class ForwardExchange final : public Exchange {
 public:
  ForwardExchange(RelayContext& aContext, AdmittedRequest aRequest,
                  const ExchangeProgress& aProgress);

  void Start() override { this->TryPeer(); }
  Micros Silence(Instant aNow) const override {
    return this->headSent ? aNow - this->lastForwardedAt : Micros{0};
  }
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
  void Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
               const char* aReason) override;
  std::optional<Micros> ScheduledRetryAfter(ErrorKind) override {
    return this->peerRetryAfter;
  }
  std::optional<ForwardPeer> ChoosePeer();
  void TryPeer();
  /// Sends the request to another daemon, with a retry if that is needed.
  void TryNextPeer();
  void SendTo(const ForwardPeer& aPeer);
  /// Ends the count of this request at the current peer.
  /// Runs that the other daemon is told of: all that the route permits but one.
  /// How often a daemon ran the request that did not complete it is not known
  /// here, so each runs it once and further runs are decided here.
  int RunsStated() const;
  /// Forwards a whole response, or runs the request again if that may help.
  void OnAnswer();
  void LeavePeer();
  /// Whether the peer responded that it has not run the request.
  bool IsRefusal() const;
  /// The peer has not run the request.
  void OnPeerRefused();
  /// The peer may have run the request, and its response is not complete.
  void OnRunInterrupted(const char* aReason);
  /// The peer has sent nothing for `SilenceLimit`. Continues a stream that has
  /// begun at another daemon, with a retry, or leaves the silent run going.
  void OnSilence(Instant aNow);
  /// Whether a stream without a daemon that progresses looks for one now; if
  /// so, schedules the next search.
  bool MaySearch(Instant aNow);
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
  std::optional<Micros> peerRetryAfter;
  HttpHead head;
  ResponseInfo responseInfo;
  bool isInvalidResponse = false;
  bool isReadingPaused = false;
  /// Waits for a daemon to forward an interrupted stream to.
  bool isWaiting = false;
  /// Upstreams of the last daemon may have received the request.
  bool needsRetry = false;
  BodyBuffer body = this->MakeBodyBuffer();
  std::string pendingEvents;
  Instant lastProgress;
  /// Earliest time of the next search, after some time without events.
  Instant nextSearch{};
};

}  // namespace zincstep
