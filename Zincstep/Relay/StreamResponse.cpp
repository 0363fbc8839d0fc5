/// \file
/// The response of an upstream to a stream, and its end.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;
/// Weight of the newest gap in the moving average of a stream.
constexpr double kEventGapWeight = 0.1;
/// Time after an accepted reroute in which events of the former chain may still
/// arrive.
constexpr Micros kInFlightTime = 15ms;

}  // namespace

bool StreamExchange::IsStream() const { return this->head.status == kOk; }

void StreamExchange::OnResponseHead(HttpHead aHead) {
  this->responseInfo = this->context.dialect.ReadResponse(aHead);
  this->isInvalidResponse = this->IsInvalidResponse(aHead, this->responseInfo);
  this->head = std::move(aHead);
  this->OnConnected();
  this->ApplyNotice(this->responseInfo);
  const auto& load = this->responseInfo.load;
  // A response to another request may be surplus data, and outdated.
  if (load && this->responseInfo.requestId == this->request.info.id) {
    this->upstream->firstStage.Announce(
        {load->running, load->queued, this->Now()});
  }
}

bool StreamExchange::OnResponseBody(std::string_view aPart) {
  if (this->isInvalidResponse) {
    return false;
  }
  if (!this->IsStream()) {
    return this->body.Append(aPart);
  }
  const std::string events = this->splitter.Append(aPart);
  this->hasRunEvents = this->hasRunEvents || !events.empty();
  this->pendingEvents += events;
  return !this->splitter.IsPartialTooLong();
}

void StreamExchange::OnResponsePause() {
  if (this->pendingEvents.empty()) {
    return;
  }
  const Instant now = this->Now();
  if (this->isReading && now - this->readingSince >= kInFlightTime) {
    if (this->readingSince == Instant{}) {
      this->context.repairs.OnFirstEvent(now - this->sentAt);
    }
    this->isReading = false;
    this->isMigrating = false;
  }
  CallerConnection& connection = *this->request.connection;
  if (this->headSent) {
    const Micros pause = now - this->lastForwardedAt;
    this->maxEventGap = std::max(this->maxEventGap, pause);
    if (pause > this->request.route->longestPause) {
      this->context.statistics.OnLongGap(this->counted);
    }
    // The first gap is the initial average.
    const double share = this->averageEventGap > 0 ? kEventGapWeight : 1;
    this->averageEventGap += share * (ToSeconds(pause) - this->averageEventGap);
  } else {
    this->headSent = true;
    this->firstEventDelay = now - this->request.message.readAt;
    if (this->isScheduled) {
      this->context.capacity->OnFirstEvent(this->request.service->name,
                                           now - this->sentAt);
    }
    this->context.metrics.Observe("zincstep_first_event_seconds",
                                  ToSeconds(this->firstEventDelay));
    this->context.demand.OnFirstEvent(now - this->sentAt, this->expectedWait);
    if (this->firstEventDelay > this->request.route->latencyObjective) {
      this->context.statistics.OnLateFirstEvent(this->counted);
    }
    connection.BeginChunks(this->head.status, ForwardedHeaders(this->head));
    for (const PoolHop& hop : this->chain) {
      hop.upstream->OnAccepted();
    }
  }
  connection.AppendChunk(this->pendingEvents);
  this->pendingEvents.clear();
  this->lastForwardedAt = now;
  this->lastProgress = now;
  this->silentSince.reset();
  this->searches = ChainSearches{};
  this->retryDenial.reset();
  this->isRepairRejected = false;
  if (connection.PendingBytes() > this->context.settings.maxPendingBytes) {
    this->isReadingPaused = true;
    this->call->SetReading(false);
  }
}

void StreamExchange::OnCallEnd(SingleCallEnd aEnd) {
  const Instant now = this->Now();
  this->call.reset();
  this->silentSince.reset();
  if (aEnd == SingleCallEnd::NotConnected) {
    this->OnNotConnected();
    if (this->TryHandOver()) {
      return;
    }
    this->TryAcquireResend() ? this->TryChain() : this->OnNotRun();
    return;
  }
  const bool isComplete =
      aEnd == SingleCallEnd::Complete && !this->isInvalidResponse;
  if (isComplete && this->responseInfo.isNotRun) {
    this->upstream->OnResponse(now);
    this->OnRefused(this->responseInfo, this->head.status);
    this->Exclude(this->responseInfo.atFault.empty()
                      ? this->upstream->Entry().address
                      : this->responseInfo.atFault,
                  now, false);
    this->OnNotRun();
    return;
  }
  this->mayHaveRun = true;
  this->runs += 1;
  if (isComplete && this->IsStream()) {
    this->EndStream();
  } else if (isComplete && !this->headSent &&
             this->head.status < kFirstServerError) {
    this->Release();
    this->ForwardResponse(this->head, this->body.Text());
  } else {
    const char* reason = LostReasonOf(aEnd, this->isInvalidResponse);
    this->OnRunLost(reason);
    this->OnLost(reason);
  }
}

void StreamExchange::EndStream() {
  if (!this->splitter.IsComplete()) {
    constexpr const char* kReason =
        "the stream ended early or skipped an event";
    this->OnRunLost(kReason);
    this->OnLost(kReason);
    return;
  }
  this->Release();
  if (!this->headSent) {
    this->request.connection->BeginChunks(this->head.status,
                                          ForwardedHeaders(this->head));
  }
  this->OnRunCompleted();
  this->context.demand.OnCompleted(this->Now() - this->request.message.readAt);
  this->request.connection->EndChunks();
  this->Finish("answered", this->repairs > 0 ? "repaired" : "success");
}

}  // namespace zincstep
