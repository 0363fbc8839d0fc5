/// \file
/// The response of another daemon to a forwarded request, and its end.

#include <algorithm>
#include <array>

#include "Zincstep/Relay/ForwardExchange.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
/// Statuses by which a daemon promises that it has not run the request.
constexpr std::array kNotRunStatuses{408, 421, 429, 503};

/// Whether a daemon that refuses for this reason says nothing of the room at
/// upstreams.
bool IsOwnReason(std::string_view aKind) {
  constexpr std::array kOwnReasons{
      ErrorKind::UpstreamUnreachable, ErrorKind::Stopping, ErrorKind::NotReady,
      ErrorKind::UnknownRoute, ErrorKind::Unauthenticated};
  return std::any_of(
      kOwnReasons.begin(), kOwnReasons.end(),
      [&](ErrorKind aOne) { return ErrorInfoFor(aOne).name == aKind; });
}

}  // namespace

bool ForwardExchange::IsStream() const {
  return this->hasEvents && this->head.status == kOk;
}

void ForwardExchange::OnResponseHead(HttpHead aHead) {
  this->responseInfo = this->context.dialect.ReadResponse(aHead);
  this->isInvalidResponse = this->IsInvalidResponse(aHead, this->responseInfo);
  this->head = std::move(aHead);
}

bool ForwardExchange::OnResponseBody(std::string_view aPart) {
  if (this->isInvalidResponse) {
    return false;
  }
  if (!this->IsStream()) {
    return this->body.Append(aPart);
  }
  this->pendingEvents += this->events.Append(aPart);
  return !this->events.IsPartialTooLong();
}

void ForwardExchange::OnResponsePause() {
  const Instant now = this->Now();
  this->lastProgress = now;
  if (this->pendingEvents.empty()) {
    return;
  }
  CallerConnection& connection = *this->request.connection;
  if (this->headSent) {
    const Micros gap = now - this->lastForwardedAt;
    this->maxEventGap = std::max(this->maxEventGap, gap);
    if (gap > this->request.route->longestPause) {
      this->context.statistics.OnLongGap(this->counted);
    }
  } else {
    this->headSent = true;
    this->firstEventDelay = now - this->request.message.readAt;
    if (this->firstEventDelay > this->request.route->latencyObjective) {
      this->context.statistics.OnLateFirstEvent(this->counted);
    }
    connection.BeginChunks(this->head.status, ForwardedHeaders(this->head));
  }
  connection.AppendChunk(this->pendingEvents);
  this->pendingEvents.clear();
  this->lastForwardedAt = now;
  if (connection.PendingBytes() > this->context.settings.maxPendingBytes) {
    this->isReadingPaused = true;
    this->call->SetReading(false);
  }
}

void ForwardExchange::OnCallEnd(SingleCallEnd aEnd) {
  this->call.reset();
  const std::string& service = this->request.service->name;
  if (aEnd == SingleCallEnd::NotConnected) {
    this->context.forwards.OnNoResponse(this->peer.name);
    this->LeavePeer();
    this->TryPeer();
    return;
  }
  if (aEnd != SingleCallEnd::Complete || this->isInvalidResponse) {
    // A truncated stream may also show the loss of the other's upstream.
    if (!this->IsStream() || this->isInvalidResponse) {
      this->context.forwards.OnNoResponse(this->peer.name);
    }
    this->OnRunInterrupted(
        aEnd == SingleCallEnd::Rejected
            ? LostReasonOf(aEnd, this->isInvalidResponse)
            : "the response of the other daemon was truncated");
    return;
  }
  if (this->IsRefusal()) {
    this->OnPeerRefused();
    return;
  }
  this->context.forwards.OnServed(this->peer.name, service);
  if (this->IsStream()) {
    this->EndStream();
  } else if (this->headSent) {
    this->OnRunInterrupted("the other daemon could not continue the stream");
  } else {
    this->OnAnswer();
  }
}

void ForwardExchange::OnAnswer() {
  this->mayHaveRun = true;
  this->runs += 1;
  if (this->head.status >= kFirstServerError && this->CanRunAgain() &&
      this->TryAcquireRetry(this->context.settings.reservedForStreams)) {
    // The other daemon is sound, its upstream was not.
    std::erase(this->tried, this->peer.name);
    this->LeavePeer();
    this->events.BeginRun();
    this->TryPeer();
    return;
  }
  this->LeavePeer();
  this->ForwardResponse(this->head, this->body.Text());
}

bool ForwardExchange::IsRefusal() const {
  if (this->responseInfo.isSealed) {
    return false;
  }
  const int status = this->head.status;
  // The other daemon may not know of the latest route or key yet.
  const bool isRejection =
      status >= kFirstClientError && status < kFirstServerError;
  return isRejection ||
         std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
             kNotRunStatuses.end();
}

void ForwardExchange::OnPeerRefused() {
  this->context.metrics.Count("zincstep_forwards_refused_total");
  LogInfo("forward_refused", {{"request", this->request.info.id},
                              {"daemon", this->peer.name},
                              {"status", this->head.status},
                              {"kind", this->body.Text()}});
  this->context.forwards.OnRefused(this->peer.name,
                                   this->request.service->name);
  if (!IsOwnReason(this->body.Text())) {
    this->roomRefusals += 1;
    this->peerRetryAfter = this->responseInfo.notice.backoff;
  }
  this->LeavePeer();
  // Only then may upstreams have received the request and refused it.
  this->needsRetry =
      this->body.Text() == ErrorInfoFor(ErrorKind::Overloaded).name;
  this->TryNextPeer();
}

void ForwardExchange::TryNextPeer() {
  this->needsRetry =
      this->needsRetry && !this->TryAcquireRetry(this->ReservedRetries());
  this->needsRetry ? this->OnNoPeer() : this->TryPeer();
}

void ForwardExchange::EndStream() {
  if (this->events.HasGap() || this->events.HasPartial() ||
      !this->events.HasForwarded()) {
    this->OnRunInterrupted("the stream ended early or skipped an event");
    return;
  }
  this->LeavePeer();
  this->runs += 1;
  this->OnRunCompleted();
  this->request.connection->EndChunks();
  this->Finish("answered", "success");
}

}  // namespace zincstep
