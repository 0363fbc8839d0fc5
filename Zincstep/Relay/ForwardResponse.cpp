/// \file
/// The response of another daemon to a forwarded request, and its end.

#include <algorithm>
#include <array>
#include <cstdlib>

#include "Zincstep/Relay/ForwardExchange.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
/// Statuses by which a daemon promises that it has not run the request.
constexpr std::array kNotRunStatuses{408, 421, 429, 503};
/// Statuses by which a daemon refuses a request that it has not read whole. It
/// may not know the request's id then, so that its response has none.
constexpr std::array kUnreadStatuses{408, 413, 431};

constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
/// Reasons that hold for the daemon that refuses, and say nothing of the room
/// at upstreams.
constexpr std::array kPeerReasons{ErrorKind::UpstreamUnreachable,
                                  ErrorKind::Stopping, ErrorKind::NotReady};
/// Reasons of a daemon whose configuration lacks the key or the route.
constexpr std::array kAdmissionReasons{ErrorKind::UnknownRoute,
                                       ErrorKind::Unauthenticated};

/// Returns the one of `aKinds` that has this name, or none.
template <std::size_t kCount>
std::optional<ErrorKind> KindIn(const std::array<ErrorKind, kCount>& aKinds,
                                std::string_view aName) {
  const auto found = std::find_if(
      aKinds.begin(), aKinds.end(),
      [&](ErrorKind aOne) { return ErrorInfoFor(aOne).name == aName; });
  return found == aKinds.end() ? std::nullopt : std::optional(*found);
}

bool IsRejection(int aStatus) {
  return aStatus >= kFirstClientError && aStatus < kFirstServerError;
}

bool IsNotRun(int aStatus) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), aStatus) !=
         kNotRunStatuses.end();
}

}  // namespace

bool ForwardExchange::IsStream() const {
  return this->hasEvents && this->head.status == kOk;
}

bool ForwardExchange::IsRefusedUnread(const HttpHead& aHead) const {
  const ResponseInfo info = this->context.dialect.ReadResponse(aHead);
  return info.requestId.empty() && !info.isSealed && !info.isEncoded &&
         std::find(kUnreadStatuses.begin(), kUnreadStatuses.end(),
                   aHead.status) != kUnreadStatuses.end();
}

void ForwardExchange::OnResponseHead(HttpHead aHead) {
  this->responseInfo = this->context.dialect.ReadResponse(aHead);
  this->head = std::move(aHead);
  this->isInvalidResponse =
      !this->IsRefusedUnread(this->head) &&
      this->IsInvalidResponse(this->head, this->responseInfo);
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
  // The silent run goes on by itself.
  this->DropCandidate();
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
  this->retryDenial.reset();
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
  if (this->IsRefusal(this->head)) {
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

bool ForwardExchange::IsRefusal(const HttpHead& aHead) const {
  return !this->context.dialect.ReadResponse(aHead).isSealed &&
         (IsRejection(aHead.status) || IsNotRun(aHead.status));
}

ForwardExchange::RefusalCause ForwardExchange::CauseOfRefusal(
    const HttpHead& aHead, std::string_view aKind) const {
  if (KindIn(kPeerReasons, aKind) || aHead.status == kRequestTimeout) {
    return RefusalCause::Peer;
  }
  if (KindIn(kAdmissionReasons, aKind)) {
    const std::string stated(FindHeader(aHead.headers, kRefusingVersionHeader));
    // Daemons of older builds state none: they may lack a key that was added.
    const bool isOlder = std::strtoull(stated.c_str(), nullptr, 10) <
                         this->request.table->Configuration().version;
    return isOlder ? RefusalCause::Peer : RefusalCause::NotAdmitted;
  }
  // Such as a body above the limit of a newer configuration.
  return IsRejection(aHead.status) && !IsNotRun(aHead.status)
             ? RefusalCause::NotAdmitted
             : RefusalCause::NoRoom;
}

void ForwardExchange::OnRefusalBy(const std::string& aPeer,
                                  const HttpHead& aHead,
                                  const std::string& aKind) {
  this->context.metrics.Count("zincstep_forwards_refused_total");
  LogInfo("forward_refused", {{"request", this->request.info.id},
                              {"daemon", aPeer},
                              {"status", aHead.status},
                              {"kind", aKind}});
  if (this->IsRefusedUnread(aHead)) {
    return;  // A limit on requests says nothing of others for the service.
  }
  const RefusalCause cause = this->CauseOfRefusal(aHead, aKind);
  if (cause == RefusalCause::NotAdmitted) {
    // The daemon may serve other requests to the service.
    if (std::find(this->notAdmitting.begin(), this->notAdmitting.end(),
                  aPeer) == this->notAdmitting.end()) {
      this->notAdmitting.push_back(aPeer);
    }
    const bool isTooLarge =
        aHead.status == kBodyTooLarge || aHead.status == kHeadTooLarge;
    this->notAdmittedAs = isTooLarge ? ErrorKind::RequestTooLarge
                                     : KindIn(kAdmissionReasons, aKind);
    return;
  }
  this->context.forwards.OnRefused(aPeer, this->request.service->name);
  if (cause == RefusalCause::NoRoom) {
    this->roomRefusals += 1;
    this->peerRetryAfter =
        this->context.dialect.ReadResponse(aHead).notice.backoff;
  }
}

void ForwardExchange::OnPeerRefused() {
  this->OnRefusalBy(this->peer.name, this->head, this->body.Text());
  this->LeavePeer();
  if (this->IsNoLongerAdmitted()) {
    this->Fail("other daemons no longer admit the request");
    return;
  }
  this->needsRetry = IsOfUpstreams(this->body.Text());
  this->TryNextPeer();
}

void ForwardExchange::TryNextPeer() {
  this->needsRetry = this->needsRetry && !this->TakeRetry();
  this->needsRetry ? this->OnNoPeer() : this->TryPeer();
}

void ForwardExchange::EndStream() {
  if (!this->events.IsComplete()) {
    this->OnRunInterrupted("the stream ended early or skipped an event");
    return;
  }
  this->LeavePeer();
  this->runs += 1;
  if (!this->headSent) {
    this->request.connection->BeginChunks(this->head.status,
                                          ForwardedHeaders(this->head));
  }
  this->OnRunCompleted();
  this->request.connection->EndChunks();
  this->Finish("answered", "success");
}

}  // namespace zincstep
