#include "UnitTests/StopReplay.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace zincstep {

namespace {

/// Lengths of a route's streams: log-normal, as on the days of the bench.
struct StreamRoute {
  const char* name;
  double medianSeconds;
  /// 0.99 of the streams are shorter.
  double longSeconds;
};
constexpr std::array<StreamRoute, 3> kStreamRoutes{{
    {"a", 1.0, 7.0},
    {"b", 1.5, 8.0},
    {"c", 2.0, 8.5},
}};
/// 0.99 quantile of the standard normal distribution.
constexpr double kNormalQuantile = 2.3263;
constexpr std::size_t kPlainRoute = kStreamRoutes.size();
constexpr const char* kPlainName = "plain";
constexpr const char* kAllStreams = "streams";

constexpr double kStreamsPerSecond = 9;
constexpr double kPlainPerSecond = 3;
constexpr Micros kPlainTime = 30ms;
constexpr Micros kPlainDeadline = 1s;
constexpr Micros kReturnDelay = 400ms;
constexpr Micros kCheckInterval = 1s;
constexpr int kMissesUntilOut = 2;
constexpr Micros kRestartTime = 500ms;
/// Time after the last signal in which requests are sent: the longest stop, the
/// restart and the next check, so that all designs get the same requests.
constexpr Micros kTimeOfStop = 10s;
constexpr std::uint32_t kMinStreamsForLongest = 300;
const StopPolicySettings kPolicy{};

RouteDurationsSettings LongestSettings() {
  RouteDurationsSettings settings;
  settings.minSamples = kMinStreamsForLongest;
  settings.nearlyAllShare = 1;
  return settings;
}

const char* NameOf(std::size_t aRoute) {
  return aRoute == kPlainRoute ? kPlainName : kStreamRoutes.at(aRoute).name;
}

}  // namespace

StopCounts& StopCounts::operator+=(const StopCounts& aOther) {
  for (int StopCounts::*count :
       {&StopCounts::streams, &StopCounts::servedAtFirst, &StopCounts::served,
        &StopCounts::plain, &StopCounts::plainServed, &StopCounts::refused,
        &StopCounts::refusedAlone, &StopCounts::refusedTwice,
        &StopCounts::refusedTwiceBesideOthers, &StopCounts::truncatedBefore,
        &StopCounts::truncatedEarly, &StopCounts::truncatedLate,
        &StopCounts::acceptedLate, &StopCounts::sentWhileStoppingAndIn,
        &StopCounts::stops}) {
    this->*count += aOther.*count;
  }
  this->stopTime += aOther.stopTime;
  return *this;
}

StopReplay::Daemon::Daemon() : streams(LongestSettings()) {}

StopReplay::StopReplay(StopReplaySettings aSettings)
    : settings(std::move(aSettings)),
      arrivals(this->settings.seed),
      choices(this->settings.seed + 1),
      daemons(this->settings.daemons) {
  this->clock.Advance(100s);
}

void StopReplay::Schedule(Micros aDelay, EventKind aKind, std::size_t aSubject,
                          int aAttempt) {
  this->events.push({this->clock.Now() + aDelay, ++this->sequence, aKind,
                     aSubject, aAttempt});
}

void StopReplay::ScheduleSignals(Micros aFrom) {
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const Micros at = this->settings.apart *
                      static_cast<std::int64_t>(i / this->settings.together);
    if (at <= this->settings.signalsWithin) {
      this->Schedule(aFrom + at, EventKind::Signal, i);
      this->endAt = this->clock.Now() + aFrom + at + kTimeOfStop;
    }
  }
}

StopCounts StopReplay::Run() {
  Micros from = this->settings.warmUp;
  for (int round = 0; round < this->settings.rounds; ++round) {
    this->ScheduleSignals(from);
    from = this->endAt - this->clock.Now();
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Schedule(
        FromSeconds(this->arrivals.Unit() * ToSeconds(kCheckInterval)),
        EventKind::ReadinessCheck, i);
  }
  this->UpdateTargets();
  this->Schedule(Micros{0}, EventKind::Arrival);
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->clock.Advance(event.at - this->clock.Now());
    this->Handle(event);
  }
  return this->counts;
}

void StopReplay::Handle(const Event& aEvent) {
  const std::size_t subject = aEvent.subject;
  switch (aEvent.kind) {
    case EventKind::Arrival:
      this->OnArrival();
      break;
    case EventKind::Return:
      this->Send(subject);
      break;
    case EventKind::RequestEnd:
      if (this->requests[subject].attempts == aEvent.attempt) {
        this->OnRequestEnd(subject);
      }
      break;
    case EventKind::ReadinessCheck:
      this->OnReadinessCheck(subject);
      break;
    case EventKind::Signal:
      this->OnSignal(subject);
      break;
    case EventKind::StopStep:
      if (this->daemons[subject].run == aEvent.attempt) {
        this->OnStopStep(subject);
      }
      break;
    case EventKind::Restart:
      this->OnRestart(subject);
      break;
  }
}

void StopReplay::OnArrival() {
  const double perSecond = static_cast<double>(this->daemons.size()) *
                           (kStreamsPerSecond + kPlainPerSecond);
  const bool isStream =
      this->arrivals.Unit() * (kStreamsPerSecond + kPlainPerSecond) <
      kStreamsPerSecond;
  this->Send(this->NewRequest(isStream));
  if (this->clock.Now() < this->endAt) {
    this->Schedule(FromSeconds(std::exponential_distribution<double>(perSecond)(
                       this->arrivals.Engine())),
                   EventKind::Arrival);
  }
}

void StopReplay::OnReadinessCheck(std::size_t aDaemon) {
  Daemon& daemon = this->daemons[aDaemon];
  const bool isReady = daemon.isUp && !daemon.policy.IsStopping();
  daemon.misses = isReady ? 0 : daemon.misses + 1;
  const bool isIn = isReady || (daemon.isIn && daemon.misses < kMissesUntilOut);
  if (isIn != daemon.isIn) {
    daemon.isIn = isIn;
    this->UpdateTargets();
  }
  if (this->clock.Now() < this->endAt || this->openRequests > 0) {
    this->Schedule(kCheckInterval, EventKind::ReadinessCheck, aDaemon);
  }
}

void StopReplay::OnSignal(std::size_t aDaemon) {
  if (!this->isCounting) {
    this->isCounting = true;
    for (const Daemon& each : this->daemons) {
      for (const std::size_t request : each.running) {
        this->CountSent(this->requests[request]);
      }
    }
  }
  Daemon& daemon = this->daemons[aDaemon];
  daemon.policy.Begin(this->clock.Now());
  daemon.signalledAt = this->clock.Now();
  this->counts.stops += 1;
  this->Schedule(kPolicy.balancerRemovalDelay, EventKind::StopStep, aDaemon,
                 daemon.run);
  this->Schedule(daemon.policy.TimeLeft(this->clock.Now()), EventKind::StopStep,
                 aDaemon, daemon.run);
}

void StopReplay::OnStopStep(std::size_t aDaemon) {
  const Daemon& daemon = this->daemons[aDaemon];
  if (daemon.policy.MustEndRequests(this->clock.Now())) {
    const std::set<std::size_t> running = daemon.running;
    for (const std::size_t request : running) {
      this->EndForExit(request);
    }
  }
  this->ExitIfDone(aDaemon);
}

void StopReplay::ExitIfDone(std::size_t aDaemon) {
  Daemon& daemon = this->daemons[aDaemon];
  const Instant now = this->clock.Now();
  if (!daemon.isUp || !daemon.policy.CanExit(daemon.running.size(), 0, now)) {
    return;
  }
  this->counts.stopTime += now - daemon.signalledAt;
  daemon.isUp = false;
  daemon.run += 1;
  this->UpdateTargets();
  this->Schedule(kRestartTime, EventKind::Restart, aDaemon);
}

void StopReplay::OnRestart(std::size_t aDaemon) {
  Daemon& daemon = this->daemons[aDaemon];
  Daemon started;
  started.isIn = daemon.isIn;
  started.misses = daemon.misses;
  started.run = daemon.run;
  daemon = started;
  this->UpdateTargets();
}

void StopReplay::UpdateTargets() {
  this->inCount = static_cast<std::size_t>(
      std::count_if(this->daemons.begin(), this->daemons.end(),
                    [](const Daemon& aDaemon) { return aDaemon.isIn; }));
  const bool usesAll = this->inCount * 2 < this->daemons.size();
  this->targets.clear();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (usesAll ? this->daemons[i].isUp : this->daemons[i].isIn) {
      this->targets.push_back(i);
    }
  }
}

std::size_t StopReplay::NewRequest(bool aIsStream) {
  Request request;
  request.route = kPlainRoute;
  request.remaining = kPlainTime;
  if (aIsStream) {
    request.route = this->arrivals.Below(kStreamRoutes.size());
    const StreamRoute& route = kStreamRoutes.at(request.route);
    std::lognormal_distribution<double> length(
        std::log(route.medianSeconds * this->settings.lengthFactor),
        std::log(route.longSeconds / route.medianSeconds) / kNormalQuantile);
    request.remaining = std::min(FromSeconds(length(this->arrivals.Engine())),
                                 this->settings.streamDeadline);
  }
  this->requests.push_back(request);
  this->openRequests += 1;
  if (this->isCounting) {
    this->CountSent(request);
  }
  return this->requests.size() - 1;
}

void StopReplay::Send(std::size_t aRequest) {
  Request& request = this->requests[aRequest];
  request.attempts += 1;
  if (this->targets.empty()) {
    this->Refuse(request, aRequest, std::nullopt);
    return;
  }
  const std::size_t chosen =
      this->targets[this->choices.Below(this->targets.size())];
  Daemon& daemon = this->daemons[chosen];
  this->counts.sentWhileStoppingAndIn +=
      daemon.isIn && daemon.policy.IsStopping() ? 1 : 0;
  if (!daemon.isUp || !this->Accepts(daemon, request)) {
    this->Refuse(request, aRequest, chosen);
    return;
  }
  request.daemon = chosen;
  request.readAt = this->clock.Now();
  daemon.running.insert(aRequest);
  this->counts.acceptedLate +=
      IsStream(request) && daemon.policy.ShouldCloseIdle(request.readAt) ? 1
                                                                         : 0;
  this->Schedule(request.remaining, EventKind::RequestEnd, aRequest,
                 request.attempts);
}

bool StopReplay::Accepts(const Daemon& aDaemon, const Request& aRequest) const {
  if (!aDaemon.policy.IsStopping()) {
    return true;
  }
  const Instant now = this->clock.Now();
  StopQuestion question{aDaemon.policy, {}, std::nullopt, now};
  question.expected.isStream = IsStream(aRequest);
  question.expected.isRepeatable = true;
  question.expected.maximum = question.expected.isStream
                                  ? this->settings.streamDeadline
                                  : kPlainDeadline;
  question.expected.usual =
      aDaemon.durations.Usual(NameOf(aRequest.route), now);
  if (const auto usual = aDaemon.streams.Usual(kAllStreams, now)) {
    question.longest = usual->nearlyAll;
  }
  return this->settings.design(question);
}

void StopReplay::Refuse(Request& aRequest, std::size_t aIndex,
                        std::optional<std::size_t> aDaemon) {
  const std::size_t othersIn =
      this->inCount - (aDaemon && this->daemons[*aDaemon].isIn ? 1 : 0);
  if (IsStream(aRequest)) {
    this->counts.refused += 1;
    this->counts.refusedAlone += othersIn == 0 ? 1 : 0;
  }
  if (aRequest.wasRefused) {
    this->counts.refusedTwice += 1;
    this->counts.refusedTwiceBesideOthers +=
        othersIn * 2 >= this->daemons.size() - 1 ? 1 : 0;
    this->openRequests -= 1;
    return;
  }
  aRequest.wasRefused = true;
  this->Schedule(kReturnDelay, EventKind::Return, aIndex);
}

void StopReplay::OnRequestEnd(std::size_t aRequest) {
  const Request& request = this->requests[aRequest];
  Daemon& daemon = this->daemons[request.daemon];
  const Instant now = this->clock.Now();
  daemon.durations.OnEnded(NameOf(request.route), now - request.readAt, now);
  if (IsStream(request)) {
    daemon.streams.OnEnded(kAllStreams, now - request.readAt, now);
  }
  daemon.running.erase(aRequest);
  this->openRequests -= 1;
  this->CountServed(request);
  this->ExitIfDone(request.daemon);
}

void StopReplay::EndForExit(std::size_t aRequest) {
  Request& request = this->requests[aRequest];
  const Micros ran = this->clock.Now() - request.readAt;
  if (ran >= request.remaining) {
    // It ends now; its event comes next.
    return;
  }
  this->daemons[request.daemon].running.erase(aRequest);
  this->CountTruncated(request);
  request.remaining -= ran;
  if (request.wasTruncated || !IsStream(request)) {
    request.attempts += 1;
    this->openRequests -= 1;
    return;
  }
  request.wasTruncated = true;
  this->Send(aRequest);
}

bool StopReplay::IsStream(const Request& aRequest) {
  return aRequest.route != kPlainRoute;
}

void StopReplay::CountSent(const Request& aRequest) {
  (IsStream(aRequest) ? this->counts.streams : this->counts.plain) += 1;
}

void StopReplay::CountServed(const Request& aRequest) {
  if (!this->isCounting) {
    return;
  }
  if (!IsStream(aRequest)) {
    this->counts.plainServed += 1;
    return;
  }
  this->counts.served += 1;
  this->counts.servedAtFirst += aRequest.attempts == 1 ? 1 : 0;
}

void StopReplay::CountTruncated(const Request& aRequest) {
  const Instant signalled = this->daemons[aRequest.daemon].signalledAt;
  if (aRequest.readAt < signalled) {
    this->counts.truncatedBefore += 1;
  } else if (aRequest.readAt - signalled < kPolicy.balancerRemovalDelay) {
    this->counts.truncatedEarly += 1;
  } else {
    this->counts.truncatedLate += 1;
  }
}

}  // namespace zincstep
