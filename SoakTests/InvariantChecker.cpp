#include "SoakTests/InvariantChecker.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>

namespace zincstep::soak {

namespace {

/// Time after which a daemon has read a request that was sent to it: a lost
/// connection says nothing of a request that is younger.
constexpr Micros kMaxReadTime = 200ms;

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
  this->events << aFields.dump() << std::endl;
}

void InvariantChecker::OnRequestSent(const std::string& aId, RequestKind aKind,
                                     const std::string& aOrganisation,
                                     Instant aAt) {
  this->requests[aId] = {aKind, aOrganisation,           aAt, 0,
                         0,     ReportedOutcome::Unknown};
  this->arrivals[ServiceOf(aKind)].sent.push_back(aAt);
}

void InvariantChecker::OnArrival(const std::string& aId, Instant aAt) {
  const auto found = this->requests.find(aId);
  if (found == this->requests.end()) {
    return;  // Reported when it runs.
  }
  Record& record = found->second;
  record.arrivals += 1;
  if (record.arrivals > 1) {
    this->arrivals[ServiceOf(record.kind)].repeated.push_back(aAt);
  }
}

void InvariantChecker::SetRetryLimit(double aRatio, double aSlack,
                                     Micros aWindow) {
  this->retryRatio = aRatio;
  this->retrySlack = aSlack;
  this->retryWindow = aWindow;
}

void InvariantChecker::CheckRetries() {
  const auto countIn = [this](const std::vector<Instant>& aTimes,
                              Instant aEnd) {
    const auto first = std::upper_bound(aTimes.begin(), aTimes.end(),
                                        aEnd - this->retryWindow);
    const auto last = std::upper_bound(first, aTimes.end(), aEnd);
    return static_cast<double>(last - first);
  };
  for (const auto& [service, times] : this->arrivals) {
    for (const Instant end : times.repeated) {
      // A request may be repeated in the window after that of its first
      // arrival.
      const double sent =
          std::max({countIn(times.sent, end),
                    countIn(times.sent, end - this->retryWindow / 2),
                    countIn(times.sent, end - this->retryWindow)});
      const double repeated = countIn(times.repeated, end);
      if (repeated > this->retryRatio * sent + this->retrySlack) {
        this->AddViolation(
            "service " + service + " got " +
            std::to_string(static_cast<int>(repeated)) +
            " arrivals beyond the first of their request within " +
            std::to_string(this->retryWindow / 1s) + " s, for " +
            std::to_string(static_cast<int>(sent)) + " requests");
        break;
      }
    }
  }
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
  for (const auto& [id, at] : this->truncated) {
    if (this->requests.at(id).runs > 0) {
      this->AddViolation("request " + id + " ran and was truncated " + aCause);
    }
  }
}

void InvariantChecker::CheckAnswered(const std::string& aCause) {
  for (const auto& [id, at] : this->truncated) {
    const Record& request = this->requests.at(id);
    const Micros waited = at - request.sentAt;
    if (request.kind != RequestKind::Stream &&
        (request.runs > 0 || waited > kMaxReadTime)) {
      this->AddViolation("request " + id + " got no answer " + aCause +
                         ", after " + std::to_string(waited / 1ms) +
                         " ms and " + std::to_string(request.runs) + " runs");
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
