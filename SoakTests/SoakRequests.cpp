/// \file
/// Requests of the callers and their responses.

#include <algorithm>
#include <array>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// Between requests of all callers together, for up to `kBaselineDaemons`. With
/// more daemons it shrinks to a minimum that the upstreams can sustain.
constexpr Micros kRequestInterval = 25ms;
constexpr Micros kMinRequestInterval = 5ms;
/// Beside changes of the configuration, time that callers wait beyond their
/// deadline, by which the daemon has responded; generous, as the machine may be
/// busy.
constexpr Micros kExtraWait = 2s;
/// Deadline of streams then, so that silent upstreams do not exhaust it.
constexpr Micros kStreamTimeout = 20s;
constexpr int kOk = 200;

/// Whether the status means that the request has not run and never will.
bool IsNotRun(const HttpResponse& aResponse) {
  constexpr std::array kNotRun{408, 421, 429, 503};
  return std::find(kNotRun.begin(), kNotRun.end(), aResponse.status) !=
         kNotRun.end();
}

StopOutcome StopOutcomeOf(const Result<HttpResponse>& aResponse,
                          const CallProgress& aProgress) {
  if (aResponse) {
    return aResponse->status == kOk ? StopOutcome::Served
           : IsNotRun(*aResponse)   ? StopOutcome::Refused
                                    : StopOutcome::Failed;
  }
  switch (aResponse.error().kind) {
    case ErrorKind::UpstreamUnreachable:
      return StopOutcome::NotConnected;
    case ErrorKind::ResponseIncomplete:
      return aProgress.hasResponse ? StopOutcome::Truncated
             : aProgress.isReused  ? StopOutcome::ClosedKept
                                   : StopOutcome::ClosedNew;
    default:
      return StopOutcome::TimedOut;
  }
}

}  // namespace

void Soak::SendDue(Instant aNow) {
  const Micros interval =
      std::max(kMinRequestInterval,
               kRequestInterval * kBaselineDaemons /
                   std::max(kBaselineDaemons, this->settings.daemons));
  if (aNow < this->nextRequest) {
    return;
  }
  // Requests missed by a late tick are not made up for.
  this->nextRequest = std::max(this->nextRequest, aNow - kTickInterval);
  while (aNow >= this->nextRequest) {
    this->nextRequest += interval;
    this->SendNext();
  }
}

void Soak::SendNext() {
  constexpr int kRequestsPerOther = 5;
  const std::size_t pick = this->random.Below(this->daemons.size());
  const auto kind = static_cast<RequestKind>(this->random.Below(3));
  Daemon& daemon = *this->daemons[pick];
  constexpr int kStreamsPerResumed = 2;
  if (this->settings.hasResumes && kind == RequestKind::Stream &&
      this->resumeRandom.Below(kStreamsPerResumed) == 0) {
    this->SendResumed(daemon);
    return;
  }
  const std::string id =
      this->Send(daemon, kind, this->random.Below(kRequestsPerOther) == 0);
  if (this->firstAttempts) {
    this->firstAttempts->push_back({id, daemon.isPartitioned});
  }
}

void Soak::SendResumed(Daemon& aDaemon) {
  constexpr int kMaxEvents = 30;
  RequestExtras extras;
  extras.path = kBothPath;
  extras.events = 1 + static_cast<int>(this->resumeRandom.Below(kMaxEvents));
  extras.after = static_cast<int>(
      this->resumeRandom.Below(static_cast<std::uint64_t>(extras.events) + 1));
  this->Send(aDaemon, RequestKind::Stream, false, kCallerTimeout, extras);
}

std::string Soak::Send(Daemon& aDaemon, RequestKind aKind, bool aIsOther,
                       Micros aTimeout, const RequestExtras& aExtras) {
  if (this->isChanging && aKind == RequestKind::Stream) {
    aTimeout = std::max(aTimeout, kStreamTimeout);
  }
  constexpr std::array kPaths{"/safe/x", "/unsafe/x", "/llm/x"};
  const std::string path = aExtras.path != nullptr
                               ? aExtras.path
                               : kPaths[static_cast<std::size_t>(aKind)];
  this->lastRequest += 1;
  std::string id = "r" + std::to_string(this->lastRequest);
  if (aExtras.events > 0) {
    id += kEventsSeparator + std::to_string(aExtras.events);
  }
  // Half of the requests use connections that stay open until the process
  // exits.
  const bool rests = !aExtras.connection.empty();
  const auto connection =
      rests ? std::optional(aExtras.connection)
      : this->lastRequest % 2 == 0
          ? std::optional(aDaemon.address.address().to_string())
          : std::nullopt;
  const bool isJudged = this->isChanging;
  const Instant sentAt = this->clock.Now();
  this->checker.OnRequestSent(id, aKind,
                              aExtras.isGuest ? "guest"
                              : aIsOther      ? "other"
                                              : "acme",
                              sentAt);
  this->checker.SetTimeout(id, aTimeout);
  std::optional<Micros> age;
  if (aDaemon.signalledAt) {
    age = this->clock.Now() - *aDaemon.signalledAt;
    this->checker.SetSinceSignal(id, *age);
  }
  const std::string body = aExtras.parts.empty()
                               ? "{" + std::string(aExtras.bodyBytes, ' ') + "}"
                               : id;
  const std::string prompt =
      aExtras.parts.empty()
          ? ""
          : "X-Prompt-Prefix: " + aExtras.parts + "," + id + ":10\r\n";
  const std::string resumed =
      aExtras.after > 0
          ? "Last-Event-Id: " + std::to_string(aExtras.after) + "\r\n"
          : "";
  const std::string text =
      "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
      "\r\nX-Deadline-Ms: " + std::to_string(aTimeout / 1ms) +
      "\r\nAuthorization: Bearer " +
      (aExtras.isGuest ? "key3"
       : aIsOther      ? "key2"
                       : "key1") +
      "\r\nX-Token-Usage: 10,60\r\n" +
      (connection ? "" : "Connection: close\r\n") + prompt + resumed +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  (rests ? this->restingCallers : this->callers)
      .Send(aDaemon.address, text, connection,
            aTimeout + (isJudged ? kExtraWait : Micros{0}),
            [this, id, aKind, age, sentAt, isJudged, done = aExtras.done,
             after = aExtras.after,
             &aDaemon](const Result<HttpResponse>& aResponse,
                       const CallProgress& aProgress) {
              const StopOutcome outcome = StopOutcomeOf(aResponse, aProgress);
              if (age) {
                this->stopOutcomes.Count(*age, outcome);
              } else if (isJudged) {
                this->changeOutcomes.Count(sentAt - this->lastChangeAt,
                                           outcome);
              }
              if (isJudged && outcome == StopOutcome::TimedOut) {
                this->checker.AddViolation("request " + id +
                                           " got no response by its deadline");
              }
              this->OnResponse(id, aKind, after, aDaemon, aResponse);
              if (done) {
                done(aProgress.isReused);
              }
            });
  return id;
}

void Soak::OnResponse(const std::string& aId, RequestKind aKind, int aAfter,
                      Daemon& aDaemon, const Result<HttpResponse>& aResponse) {
  this->RepeatFailed(aKind, aResponse);
  if (!aResponse) {
    if (aResponse.error().kind == ErrorKind::ResponseIncomplete) {
      const Instant now = this->clock.Now();
      this->checker.OnResponseTruncated(
          aId, now,
          aDaemon.signalledAt ? std::optional(now - *aDaemon.signalledAt)
                              : std::nullopt);
    }
    return;  // Truncated or late: the outcome is unknown.
  }
  if (IsNotRun(*aResponse)) {
    this->checker.OnRequestEnd(aId, ReportedOutcome::NotRun);
    return;
  }
  if (aResponse->status != kOk) {
    return;
  }
  std::string expected = BodyFor(aId);
  if (aKind == RequestKind::Stream) {
    expected = EventsAfter(aId, aAfter);
  }
  if (aResponse->body != expected ||
      FindHeader(aResponse->headers, "X-Response-Seal") != "seal-" + aId) {
    this->checker.AddViolation("request " + aId +
                               " got a response that does not match it");
  }
  this->checker.OnRequestEnd(aId, ReportedOutcome::Completed);
  aDaemon.completed[static_cast<std::size_t>(aKind)] = true;
}

}  // namespace zincstep::soak
