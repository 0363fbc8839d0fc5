#include "SoakTests/InvariantChecker.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>

namespace zincstep::soak {

namespace {

/// Time after which a daemon has read a request that was sent to it: a lost
/// connection says nothing of a request that is younger.
constexpr Micros kMaxReadTime = 200ms;
/// The operators' tolerances: requests that run on more upstreams than their
/// route permits, and arrivals whose upstream is given more time than remains
/// by more than `kTimeTolerance`, of those and of all late repeats.
constexpr int kToleratedRuns = 3;
constexpr int kToleratedTimes = 20;
constexpr double kToleratedTimesShare = 0.2;
constexpr Micros kTimeTolerance = 500ms;

}  // namespace

void InvariantChecker::WriteEvent(const char* aEvent, nlohmann::json aFields) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  aFields["event"] = aEvent;
  aFields["program"] = "zincstep-soak";
  aFields["time"] =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                  std::chrono::time_point_cast<std::chrono::seconds>(now),
                  now.time_since_epoch().count() % 1000);
  this->events << aFields.dump(-1, ' ', false,
                               nlohmann::json::error_handler_t::replace)
               << std::endl;
}

void InvariantChecker::OnRequestSent(const std::string& aId, RequestKind aKind,
                                     const std::string& aOrganisation,
                                     Instant aAt) {
  Record record;
  record.kind = aKind;
  record.organisation = aOrganisation;
  record.sentAt = aAt;
  this->requests[aId] = std::move(record);
  this->arrivals[ServiceOf(aKind)].sent.push_back(aAt);
}

void InvariantChecker::OnArrival(const UpstreamArrival& aArrival) {
  const auto found = this->requests.find(aArrival.request);
  if (found == this->requests.end()) {
    return;  // Reported when it runs.
  }
  Record& record = found->second;
  record.arrivals += 1;
  if (record.arrivals > 1) {
    this->arrivals[ServiceOf(record.kind)].repeated.push_back(aArrival.at);
  }
  if (record.kind != RequestKind::Stream && record.timeout > Micros{0}) {
    this->CountTime(record, aArrival);
  }
}

void InvariantChecker::CountTime(Record& aRecord,
                                 const UpstreamArrival& aArrival) {
  const auto& [request, at, timeout, isHeldUp] = aArrival;
  const Instant end = at + timeout.value_or(Micros{0});
  if (aRecord.arrivals == 1) {
    aRecord.firstArrival = at;
    aRecord.firstEnd = end;
  }
  const bool isLate = !isHeldUp && at > aRecord.firstArrival + kTimeTolerance;
  const Instant allowedEnd =
      std::max(aRecord.firstEnd, aRecord.sentAt + aRecord.timeout);
  const bool isTooLong = !timeout ||
                         *timeout > aRecord.timeout + kTimeTolerance ||
                         (isLate && end > allowedEnd + kTimeTolerance);
  this->lateRepeats += isLate ? 1 : 0;
  this->excessTimes += isTooLong ? 1 : 0;
}

void InvariantChecker::SetRetryLimit(double aRatio, double aSlack,
                                     Micros aWindow) {
  this->retryRatio = aRatio;
  this->retrySlack = aSlack;
  this->retryWindow = aWindow;
}

InvariantChecker::RetryLoad InvariantChecker::MaxRetryLoad(
    const ServiceArrivals& aTimes) const {
  const auto countIn = [this](const std::vector<Instant>& aTimes,
                              Instant aEnd) {
    const auto first = std::upper_bound(aTimes.begin(), aTimes.end(),
                                        aEnd - this->retryWindow);
    const auto last = std::upper_bound(first, aTimes.end(), aEnd);
    return static_cast<double>(last - first);
  };
  RetryLoad most;
  for (const Instant end : aTimes.repeated) {
    // A request may be repeated in the window after that of its first arrival.
    const double sent =
        std::max({countIn(aTimes.sent, end),
                  countIn(aTimes.sent, end - this->retryWindow / 2),
                  countIn(aTimes.sent, end - this->retryWindow)});
    const RetryLoad load{sent, countIn(aTimes.repeated, end),
                         this->retryRatio * sent + this->retrySlack};
    if (most.limit == 0 ||
        load.repeated - load.limit > most.repeated - most.limit) {
      most = load;
    }
  }
  return most;
}

void InvariantChecker::CheckRetries() {
  for (const auto& [service, times] : this->arrivals) {
    const RetryLoad most = this->MaxRetryLoad(times);
    if (most.repeated > most.limit) {
      this->AddViolation("service " + service + " got " +
                         std::to_string(static_cast<int>(most.repeated)) +
                         " arrivals beyond the first of their request within " +
                         std::to_string(this->retryWindow / 1s) + " s, for " +
                         std::to_string(static_cast<int>(most.sent)) +
                         " requests");
    }
  }
}

int InvariantChecker::ExcessRequests() const {
  return static_cast<int>(std::count_if(
      this->requests.begin(), this->requests.end(), [this](const auto& aOne) {
        const Record& record = aOne.second;
        const auto most = this->maxRuns.find(record.kind);
        return most != this->maxRuns.end() && record.runs > most->second;
      }));
}

void InvariantChecker::CheckTimes() {
  const int excess = this->ExcessRequests();
  if (excess > kToleratedRuns) {
    this->AddViolation(std::to_string(excess) +
                       " requests ran on more upstreams than their route "
                       "permits");
  }
  if (this->excessTimes > kToleratedTimes &&
      this->excessTimes >
          kToleratedTimesShare * (this->excessTimes + this->lateRepeats)) {
    this->AddViolation("upstreams were given more time than remained " +
                       std::to_string(this->excessTimes) + " times; " +
                       std::to_string(this->lateRepeats) +
                       " requests were sent again late");
  }
}

std::string InvariantChecker::RetrySummary() const {
  std::string text;
  for (const auto& [service, times] : this->arrivals) {
    const RetryLoad most = this->MaxRetryLoad(times);
    text += service + ": " + std::to_string(static_cast<int>(most.repeated)) +
            " repeated for " + std::to_string(static_cast<int>(most.sent)) +
            " requests, limit " + std::to_string(static_cast<int>(most.limit)) +
            ", " + std::to_string(times.repeated.size()) + " in all; ";
  }
  return text + "too many runs " + std::to_string(this->ExcessRequests()) +
         "; too much time " + std::to_string(this->excessTimes) + " of " +
         std::to_string(this->lateRepeats) + " late repeats";
}

void InvariantChecker::OnRequestRun(const std::string& aId,
                                    const std::string& aOrganisation) {
  const auto found = this->requests.find(aId);
  if (found == this->requests.end()) {
    this->AddViolation("a request ran that no caller sent: " + aId);
    return;
  }
  Record& record = found->second;
  record.runs += 1;
  if (record.organisation != aOrganisation) {
    this->AddViolation("request " + aId + " ran for " + aOrganisation +
                       " instead of " + record.organisation);
  }
  if (record.kind == RequestKind::Unsafe && record.runs > 1) {
    this->AddViolation("unsafe request " + aId + " ran more than once");
  }
  const auto revocation = this->revoked.find(record.organisation);
  if (revocation != this->revoked.end() && record.sentAt > revocation->second) {
    this->AddViolation("request " + aId + " ran with a revoked key");
  }
}

void InvariantChecker::OnRequestEnd(const std::string& aId,
                                    ReportedOutcome aReported) {
  this->requests[aId].reported = aReported;
}

std::size_t InvariantChecker::CompletedRequests() const {
  return static_cast<std::size_t>(std::count_if(
      this->requests.begin(), this->requests.end(), [](const auto& aOne) {
        return aOne.second.reported == ReportedOutcome::Completed;
      }));
}

void InvariantChecker::CheckTruncated(const std::string& aCause) {
  for (const auto& [id, at, sinceSignal] : this->truncated) {
    if (this->requests.at(id).runs > 0) {
      this->AddViolation("request " + id + " ran and was truncated " + aCause);
    }
  }
}

Micros InvariantChecker::MinAge(const Truncated& aTruncated) const {
  const Instant sentAt = this->requests.at(aTruncated.id).sentAt;
  Micros age = aTruncated.at - sentAt;
  for (const auto& [from, to] : this->delays) {
    age -= std::max(Micros{0},
                    std::min(to, aTruncated.at) - std::max(from, sentAt));
  }
  return age;
}

void InvariantChecker::CheckAnswered(const Truncated& aTruncated,
                                     const std::string& aCause) {
  const Record& request = this->requests.at(aTruncated.id);
  const Micros waited = aTruncated.at - request.sentAt;
  if (request.runs > 0 || this->MinAge(aTruncated) > kMaxReadTime) {
    this->AddViolation("request " + aTruncated.id + " got no answer " + aCause +
                       ", after " + std::to_string(waited / 1ms) + " ms and " +
                       std::to_string(request.runs) + " runs");
  }
}

void InvariantChecker::CheckAnswered(const std::string& aCause) {
  for (const Truncated& one : this->truncated) {
    if (this->requests.at(one.id).kind != RequestKind::Stream) {
      this->CheckAnswered(one, aCause);
    }
  }
}

void InvariantChecker::CheckLateStreams(Micros aAge) {
  for (const Truncated& one : this->truncated) {
    const Record& request = this->requests.at(one.id);
    if (request.kind == RequestKind::Stream && request.sinceSignal &&
        *request.sinceSignal > aAge) {
      this->CheckAnswered(one, "by a daemon " +
                                   std::to_string(*request.sinceSignal / 1ms) +
                                   " ms after its stop signal");
    }
  }
}

void InvariantChecker::CheckStreams(Micros aAge, Micros aEnd,
                                    const std::string& aCause) {
  for (const Truncated& one : this->truncated) {
    const Record& request = this->requests.at(one.id);
    const bool isEarly = !request.sinceSignal || *request.sinceSignal <= aAge;
    const bool hasOutlasted = one.sinceSignal && *one.sinceSignal >= aEnd;
    if (request.kind == RequestKind::Stream && !(isEarly && hasOutlasted)) {
      this->CheckAnswered(
          one, aCause + (one.sinceSignal
                             ? ", " + std::to_string(*one.sinceSignal / 1ms) +
                                   " ms after the stop signal"
                             : ", by a daemon that was not stopping"));
    }
  }
}

void InvariantChecker::ClearCrashes() {
  this->crashes.clear();
  this->crashingSends.clear();
}

std::optional<Instant> InvariantChecker::CrashedAt(std::size_t aNumber) const {
  return this->crashes.empty()
             ? std::nullopt
             : std::optional(
                   this->crashes[std::min(aNumber, this->crashes.size()) - 1]);
}

std::size_t InvariantChecker::SendsAfterDetection(std::size_t aCrashes,
                                                  Micros aDetectionTime) const {
  if (this->crashes.size() < aCrashes) {
    return 0;
  }
  const Instant detectedAt = this->crashes[aCrashes - 1] + aDetectionTime;
  return static_cast<std::size_t>(
      std::count_if(this->crashingSends.begin(), this->crashingSends.end(),
                    [detectedAt](Instant aAt) { return aAt > detectedAt; }));
}

std::vector<std::string> InvariantChecker::Close() {
  this->CheckRetries();
  this->CheckTimes();
  for (const auto& [id, record] : this->requests) {
    const bool mayNotRepeat = record.kind == RequestKind::Unsafe;
    if (mayNotRepeat && record.reported == ReportedOutcome::NotRun &&
        record.runs > 0) {
      this->AddViolation("request " + id + " was rejected as not run, but ran");
    }
    if (record.reported == ReportedOutcome::Completed && record.runs == 0) {
      this->AddViolation("request " + id + " completed but never ran");
    }
  }
  return this->violations;
}

}  // namespace zincstep::soak
