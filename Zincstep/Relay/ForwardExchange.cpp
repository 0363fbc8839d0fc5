#include "Zincstep/Relay/ForwardExchange.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Daemons asked for one request, in sequence; most refuse within a round trip.
/// Also those that don't admit a stream that has begun, after which it ends.
constexpr std::size_t kMaxPeers = 16;
/// Daemons that have no room, after which the request is refused: others of
/// their failure domain know of the same room.
constexpr int kMaxRoomRefusals = 2;
/// Daemons that do not admit a request, after which it ends unless its response
/// has begun: others have the same configuration or will have it soon. One
/// alone may have started after the version by which it was admitted.
constexpr std::size_t kMaxNotAdmitting = 2;

}  // namespace

ForwardExchange::ForwardExchange(RelayContext& aContext,
                                 AdmittedRequest aRequest,
                                 const ExchangeProgress& aProgress)
    : Exchange(aContext, std::move(aRequest)),
      events(aProgress.events.value_or(EventSplitter(std::nullopt))),
      hasEvents(aProgress.events.has_value()),
      headSent(aProgress.headSent),
      lastForwardedAt(aProgress.lastForwardedAt) {
  this->counted = aProgress.counted;
  this->mayHaveRun = aProgress.mayHaveRun;
  this->runs = aProgress.runs;
  this->sends = aProgress.sends;
  this->waited = aProgress.waited;
  this->firstEventDelay = aProgress.firstEventDelay;
  this->maxEventGap = aProgress.maxEventGap;
}

std::optional<ForwardPeer> ForwardExchange::ChoosePeer() {
  const bool mayAsk =
      this->tried.size() < kMaxPeers && this->roomRefusals < kMaxRoomRefusals;
  return mayAsk ? this->context.forwards.Choose(this->request.service->name,
                                                this->tried)
                : std::nullopt;
}

void ForwardExchange::TryPeer() {
  if (this->EndInsteadOfRun()) {
    return;
  }
  const auto chosen = this->ChoosePeer();
  chosen ? this->SendTo(*chosen) : this->OnNoPeer();
}

void ForwardExchange::SendTo(const ForwardPeer& aPeer) {
  this->peer = aPeer;
  this->tried.push_back(aPeer.name);
  this->isWaiting = false;
  this->head = HttpHead{};
  this->responseInfo = ResponseInfo{};
  this->isInvalidResponse = false;
  this->isReadingPaused = false;
  this->body.Clear();
  this->sentAt = this->lastProgress = this->Now();
  this->context.statistics.OnSent(this->counted, aPeer.failureDomain,
                                  this->sentAt);
  this->call = this->StartCall(aPeer, *this);
}

std::shared_ptr<SingleCall> ForwardExchange::StartCall(
    const ForwardPeer& aPeer, SingleCallListener& aListener) {
  this->context.metrics.Count("zincstep_forwards_total");
  this->context.forwards.OnStarted(aPeer.name);
  const auto endpoint = ParseEndpoint(aPeer.address);
  ZINCSTEP_ASSERT(endpoint.has_value());
  auto started = std::make_shared<SingleCall>(this->context.loop, aListener);
  started->Start(
      *endpoint,
      this->context.dialect.WriteDaemonRequest(
          {this->request.message,
           this->request.deadline - this->Now(),
           this->ForwardedEventId(),
           {{kRunsHeader, std::to_string(this->RunsStated())},
            {kAdmittedVersionHeader,
             std::to_string(this->request.table->Configuration().version)}}}),
      this->context.settings.connectTimeout);
  return started;
}

int ForwardExchange::RunsStated() const {
  return std::max(this->runs, this->request.route->maxAttempts - 1);
}

void ForwardExchange::LeavePeer() {
  if (!this->peer.name.empty()) {
    this->context.forwards.OnEnded(this->peer.name);
    this->peer = ForwardPeer{};
  }
}

bool ForwardExchange::CanRunAgain() const {
  const Route& route = *this->request.route;
  const bool isRepeatable = this->hasEvents
                                ? route.isResumable && !this->events.HasGap()
                                : route.kind == RouteKind::Safe;
  return isRepeatable && this->runs < route.maxAttempts;
}

void ForwardExchange::OnRunInterrupted(const char* aReason) {
  if (this->candidate && !this->events.HasGap()) {
    this->AdoptCandidate();
    return;
  }
  this->LeavePeer();
  this->CancelCall();
  this->mayHaveRun = true;
  this->sends += 1;
  this->runs += 1;
  this->pendingEvents.clear();
  if (!this->CanRunAgain()) {
    this->Fail(aReason);
    return;
  }
  this->events.BeginRun();
  if (this->TakeRetry()) {
    this->TryPeer();
  } else if (this->headSent) {
    this->needsRetry = true;
    this->OnNoPeer();
  } else {
    this->Fail(aReason);
  }
}

void ForwardExchange::OnSilence(Instant aNow) {
  this->context.forwards.OnNoResponse(this->peer.name);
  if (!this->headSent) {
    this->OnRunInterrupted("the other daemon is silent");
    return;
  }
  if (this->candidate && this->IsBlocked()) {
    this->DropCandidate();
    return;
  }
  // Where bytes of the candidate wait unread, this daemon's loop was held.
  const bool isAsking =
      this->candidate &&
      (aNow - this->candidate->sentAt < this->SilenceLimit() ||
       !this->candidate->call->HasSent() ||
       this->candidate->call->HasUnreadBytes());
  // The silent runs count, as they may go on.
  const int silentRuns = this->candidate ? 2 : 1;
  const bool hasAttempt =
      this->runs + silentRuns < this->request.route->maxAttempts;
  if (isAsking || !hasAttempt || this->IsNoLongerAdmitted() ||
      !this->MaySearch(this->lastForwardedAt, aNow)) {
    return;
  }
  // Those that refused earlier may have room by now.
  this->tried = this->notAdmitting;
  this->tried.push_back(this->peer.name);
  this->roomRefusals = 0;
  if (this->candidate) {
    this->tried.push_back(this->candidate->peer.name);
    this->context.forwards.OnNoResponse(this->candidate->peer.name);
  }
  this->TryCandidate();
}

double ForwardExchange::ReservedRetries() const {
  return this->headSent ? 0 : this->context.settings.reservedForStreams;
}

bool ForwardExchange::IsNoLongerAdmitted() const {
  // The caller of a stream that has begun can't send it again, and any daemon
  // that still admits it may have room later.
  const std::size_t limit = this->headSent ? kMaxPeers : kMaxNotAdmitting;
  return this->notAdmitting.size() >= limit ||
         (!this->notAdmitting.empty() &&
          !this->context.forwards.HasOtherThan(this->notAdmitting));
}

void ForwardExchange::OnNoPeer() {
  if (!this->headSent) {
    this->Fail("no daemon reaches an upstream with room");
    return;
  }
  this->isWaiting = true;
  this->tried = this->notAdmitting;
  this->roomRefusals = 0;
}

ErrorKind ForwardExchange::NotRunKind() {
  if (this->IsBlocked()) {
    return ErrorKind::RequestBlocked;
  }
  if (!this->MayBeginRun()) {
    return ErrorKind::Stopping;
  }
  if (this->notAdmittedAs) {
    return *this->notAdmittedAs;
  }
  return this->roomRefusals > 0 ? ErrorKind::Overloaded
                                : ErrorKind::UpstreamUnreachable;
}

void ForwardExchange::Fail(const char* aReason) {
  this->Abandon(this->NotRunKind(), ErrorKind::UpstreamFailed, aReason);
}

void ForwardExchange::Abandon(ErrorKind aNotRun, ErrorKind aMayHaveRun,
                              const char* aReason) {
  this->RecordWait();
  this->LeavePeer();
  this->CancelCall();
  if (this->headSent) {
    this->request.connection->Abort();
    this->Finish("cut", aReason);
    return;
  }
  this->Refuse(this->mayHaveRun ? aMayHaveRun : aNotRun, aReason);
}

void ForwardExchange::OnCallerDisconnected() {
  this->LeavePeer();
  Exchange::OnCallerDisconnected();
}

StreamWait ForwardExchange::WaitState() const {
  if (this->isReadingPaused) {
    return {WaitCause::Caller, {}};
  }
  if (this->candidate || !this->retryDenial) {
    return {this->isWaiting ? WaitCause::NoDaemon : WaitCause::Daemon, {}};
  }
  return {*this->retryDenial, {}};
}

Micros ForwardExchange::SilenceLimit() const {
  const Micros limit = this->context.settings.silentConnectionTimeout;
  return this->headSent
             ? limit
             : std::max(limit, 2 * this->request.route->latencyObjective);
}

void ForwardExchange::OnTick(Instant aNow) {
  if (this->IsDone()) {
    return;
  }
  if (aNow >= this->request.deadline) {
    const bool mayRun =
        this->mayHaveRun || (this->call && this->call->HasSent());
    if (this->headSent) {
      this->Fail("deadline exceeded during the stream");
      return;
    }
    this->LeavePeer();
    this->Refuse(mayRun ? ErrorKind::DeadlineDuringRun : ErrorKind::NoCapacity,
                 "deadline exceeded");
    return;
  }
  if (this->isWaiting) {
    if (this->IsBlocked()) {
      this->Fail("the request crashes upstreams");
    } else if (this->IsNoLongerAdmitted()) {
      // The last daemon that might have admitted it has left.
      this->Fail("other daemons no longer admit the request");
    } else if (this->MaySearch(this->lastForwardedAt, aNow)) {
      this->TryNextPeer();
    }
    return;
  }
  if (!this->call) {
    return;
  }
  if (this->isReadingPaused) {
    if (this->request.connection->PendingBytes() <
        this->context.settings.maxPendingBytes / 2) {
      this->isReadingPaused = false;
      this->lastProgress = aNow;
      this->call->SetReading(true);
    }
    return;
  }
  const bool isSilent = aNow - this->lastProgress >= this->SilenceLimit();
  // The other daemon may be stopped or its link down. Where bytes wait unread,
  // it was this daemon's loop that was held.
  if (isSilent && this->call->HasSent() && this->CanRunAgain() &&
      !this->call->HasUnreadBytes()) {
    this->OnSilence(aNow);
  }
}

}  // namespace zincstep
