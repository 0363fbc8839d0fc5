/// \file
/// Changes of the configuration in storms, beside stops of daemons, SIGHUP and
/// upstreams that fall silent.

#include <signal.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// Connections rest under the longest idle time before the first change.
constexpr Micros kRestTime = 4s;
/// A storm and a slow phase last as long as the injection of faults, but at
/// least so long.
constexpr Micros kMinStormTime = 500ms;
constexpr Micros kMinSlowTime = 3600ms;
constexpr Micros kStormInterval = 250ms;
/// Leaves time beyond the 3 s after a change in which outcomes count as beside
/// it.
constexpr Micros kSlowInterval = 3500ms;
/// The last requests have an answer by then.
constexpr Micros kLastResponseTime = 2s;

/// Idle times; versions shrink them from the first to the last one and back, in
/// one step or in several.
constexpr std::array<Micros, 5> kIdleTimes{15s, 8s, 4s, 2s, 1s};
/// Callers reuse connections that have rested for up to this share of the idle
/// time that the version before the newest one states.
constexpr double kMaxRestShare = 0.8;
/// With 96 connections no request waited unread on one that was closed as idle;
/// with 1,600, 7 did.
constexpr std::size_t kResting = 1600;
constexpr std::size_t kMinRestingPerDaemon = 4;
/// They open within this time.
constexpr Micros kOpeningTime = 2s;
/// Rests from which on a connection counts as rested: longer than a daemon
/// keeps it under the shortest idle time, with its slack of 1.5 s.
constexpr Micros kLongRest = 2500ms;
/// Rested connections are used within this time of a version with a shorter
/// idle time, which daemons have in force within 0.7 s.
constexpr Micros kBurstTime = 1s;

constexpr std::array kMaxBodyBytes{64 << 10, 1 << 20, 4 << 20};
/// Below the smallest bound.
constexpr std::size_t kLargeBodyBytes = 48 << 10;
constexpr Micros kMinHeadTimeout = 1s;
constexpr Micros kHeadTimeoutSpread = 2s;
/// Longer than plain upstreams take.
constexpr Micros kMinPlainTimeout = 2s;
constexpr Micros kPlainTimeoutSpread = 1s;
/// Longer than the streams, which last up to 10 s beside stops.
constexpr Micros kMinStreamTimeout = 17s;
constexpr Micros kStreamTimeoutSpread = 3s;
constexpr Micros kResponseDelay = 300ms;
/// Further routes of a version: a quarter have the first number, and a
/// sixteenth each of the others. Decoding 1,400 takes 10 to 20 ms; 20,000 hold
/// the loop for 0.2 to 0.4 s, while requests wait unread.
constexpr std::array kFurtherRoutes{350, 1400, 20000};

constexpr Micros kMinSilence = 500ms;
constexpr Micros kSilenceSpread = 1s;
constexpr Micros kMinSilenceInterval = 300ms;
constexpr Micros kSilenceIntervalSpread = 1s;
constexpr Micros kMinHangupInterval = 200ms;
constexpr Micros kHangupIntervalSpread = 600ms;

constexpr std::size_t kStoppedDaemons = 2;
constexpr Micros kGapOfTwo = 500ms;
/// Streams that are sent earlier than this after the stop signal may outlast
/// the grace period.
constexpr Micros kLateAge = 3s;
/// Requests end 0.5 s before the grace period, to the tick.
constexpr Micros kEndBeforeKill = 600ms;
/// Delay of the soak's own loop from which on it is recorded: callers see the
/// ends of connections later by as much.
constexpr Micros kMinRecordedDelay = 100ms;

/// Requests on kept connections that daemons which are not stopping may close
/// before 0.2 s have passed: the operators' tolerance.
constexpr int kToleratedCloses = 3;
constexpr const char* kCause = "beside changes of the configuration";

/// Returns how long connections may rest under an idle time.
Micros MaxRest(Micros aIdleTime) {
  return FromSeconds(kMaxRestShare * ToSeconds(aIdleTime));
}

}  // namespace

void Soak::CheckIdleCloses() {
  std::size_t unread = 0;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    std::ifstream log(this->settings.logs + "/d" + std::to_string(i) + ".log");
    for (std::string line; std::getline(log, line);) {
      if (line.find("\"idle_timeout\"") == std::string::npos) {
        continue;
      }
      const auto event = nlohmann::json::parse(line, nullptr, false);
      unread += event.is_object() ? event.value("unread", std::size_t{0}) : 0;
    }
  }
  if (unread > 0) {
    this->checker.AddViolation(
        std::to_string(unread) +
        " connections on which a request had arrived were closed as idle");
  }
}

void Soak::ChangeConfiguration(Instant aNow) {
  Random& draw = this->changeRandom;
  this->version += 1;
  nlohmann::json configuration = nlohmann::json::parse(Configuration(
      this->version, !this->isRevoked, this->settings.hasResumes));
  const auto drawMillis = [&draw](Micros aMin, Micros aSpread) {
    return DrawFrom(draw, aMin, aSpread) / 1ms;
  };
  for (auto& route : configuration["routes"]) {
    route["timeoutMs"] =
        route["routeType"] == "streaming"
            ? drawMillis(kMinStreamTimeout, kStreamTimeoutSpread)
            : drawMillis(kMinPlainTimeout, kPlainTimeoutSpread);
  }
  const auto addRoute = [&configuration](const std::string& aName) {
    nlohmann::json route = configuration["routes"].front();
    route["name"] = aName;
    route["pathPrefix"] = "/" + aName + "/";
    configuration["routes"].push_back(std::move(route));
  };
  if (draw.Below(2) == 0) {
    addRoute("extra");
  }
  if (draw.Below(2) == 0) {
    configuration["tenants"].push_back(
        {{"name", "guest"}, {"apiKeys", {"key3"}}});
  }
  const std::size_t size = draw.Below(16);
  const int further = size == 0   ? kFurtherRoutes[2]
                      : size == 1 ? kFurtherRoutes[1]
                      : size <= 5 ? kFurtherRoutes[0]
                                  : 0;
  for (int i = 0; i < further; ++i) {
    addRoute("further" + std::to_string(i));
  }
  // From the longest idle time it shrinks, from the shortest one it grows.
  this->formerIdleTime = this->idleTime;
  if (this->idleTime == kIdleTimes.back()) {
    this->idleTime = kIdleTimes[draw.Below(kIdleTimes.size() - 1)];
  } else {
    const auto current =
        std::find(kIdleTimes.begin(), kIdleTimes.end(), this->idleTime);
    const auto shorter =
        static_cast<std::size_t>(kIdleTimes.end() - current - 1);
    this->idleTime = *(current + 1 + static_cast<int>(draw.Below(shorter)));
  }
  configuration["limits"] = {
      {"idleTimeoutMs", this->idleTime / 1ms},
      {"headerTimeoutMs", drawMillis(kMinHeadTimeout, kHeadTimeoutSpread)},
      {"maxBodyBytes", kMaxBodyBytes[draw.Below(kMaxBodyBytes.size())]}};
  this->RecordFault("version " + std::to_string(this->version) +
                    ", idle time " + std::to_string(this->idleTime / 1s) +
                    " s after " + std::to_string(this->formerIdleTime / 1s) +
                    " s, " + std::to_string(further) + " further routes");
  this->store.Put("op/config", configuration.dump());
  this->lastChangeAt = aNow;
  if (this->idleTime > this->formerIdleTime) {
    return;
  }
  for (RestingConnection& one : this->resting) {
    const bool isRested = aNow - one.restsSince > kLongRest;
    if (!one.isBusy && isRested) {
      one.minRest =
          aNow + DrawFrom(draw, Micros{0}, kBurstTime) - one.restsSince;
    }
  }
}

void Soak::SilenceUpstream(Instant aNow) {
  std::vector<SoakUpstream*> streaming;
  for (const auto& upstream : this->upstreams) {
    if (upstream->IsAlive() && upstream->HasStreams()) {
      streaming.push_back(upstream.get());
    }
  }
  if (streaming.empty()) {
    return;
  }
  Random& draw = this->changeRandom;
  SoakUpstream& upstream = *streaming[draw.Below(streaming.size())];
  const Micros time = DrawFrom(draw, kMinSilence, kSilenceSpread);
  // Either its streams pause, or the whole process does.
  const bool isStopped = draw.Below(2) == 0;
  this->RecordFault(upstream.Name() +
                    (isStopped ? " is stopped" : " pauses its streams") +
                    " for " + std::to_string(time / 1ms) + " ms");
  if (isStopped) {
    upstream.Stop();
    this->heals.push_back({aNow + time, [&upstream] { upstream.Continue(); }});
  } else {
    upstream.PauseStreams(aNow + time);
  }
}

void Soak::SendOn(RestingConnection& aConnection) {
  Random& draw = this->changeRandom;
  const auto kind = static_cast<RequestKind>(draw.Below(3));
  RequestExtras extras;
  extras.connection =
      aConnection.name + "-" + std::to_string(aConnection.opened);
  extras.bodyBytes = draw.Below(4) == 0 ? kLargeBodyBytes : 0;
  extras.isGuest = draw.Below(6) == 0;
  if (kind == RequestKind::Safe && draw.Below(4) == 0) {
    extras.path = "/extra/x";
  }
  aConnection.isBusy = true;
  const bool isLong = this->clock.Now() - aConnection.restsSince > kLongRest;
  extras.done = [this, isLong, &aConnection](bool aIsReused) {
    this->longRests += isLong && aIsReused ? 1 : 0;
    aConnection.isBusy = false;
    aConnection.restsSince = this->clock.Now();
    aConnection.minRest =
        DrawFrom(this->changeRandom, Micros{0}, MaxRest(kIdleTimes.front()));
  };
  this->Send(*this->daemons[aConnection.daemon], kind, false, kCallerTimeout,
             extras);
}

void Soak::SendOnResting(Instant aNow) {
  const Micros maxRest = MaxRest(this->formerIdleTime);
  for (RestingConnection& one : this->resting) {
    const Micros rest = aNow - one.restsSince;
    // A connection that has rested for too long may be used after a version
    // with a longer idle time, unless it is too old for all versions.
    const bool isTooOld = rest > MaxRest(kIdleTimes.front());
    const bool isDue = rest >= one.minRest && rest <= maxRest;
    if (!one.isBusy && (isDue || isTooOld)) {
      one.opened += isTooOld ? 1 : 0;
      this->SendOn(one);
    }
  }
}

void Soak::TickChanges(Instant aNow) {
  Random& draw = this->changeRandom;
  const Micros delay = aNow - this->lastTickAt - kTickInterval;
  if (this->lastTickAt != Instant{} && delay >= kMinRecordedDelay) {
    this->checker.WriteEvent("loop_delayed", {{"delay_ms", delay / 1ms}});
    this->checker.OnLoopDelayed(aNow, delay);
  }
  this->lastTickAt = aNow;
  if (aNow >= this->nextChange) {
    this->nextChange = aNow + this->changeInterval;
    this->ChangeConfiguration(aNow);
  }
  if (aNow >= this->nextSilence) {
    this->nextSilence =
        aNow + DrawFrom(draw, kMinSilenceInterval, kSilenceIntervalSpread);
    this->SilenceUpstream(aNow);
  }
  if (aNow >= this->nextHangup) {
    this->nextHangup =
        aNow + DrawFrom(draw, kMinHangupInterval, kHangupIntervalSpread);
    Daemon& daemon = *this->daemons[draw.Below(this->daemons.size())];
    // Before its first output, a process may not hold SIGHUP back yet.
    if (daemon.process->HasOutput()) {
      daemon.process->Signal(SIGHUP);
    }
  }
  this->SendOnResting(aNow);
}

void Soak::CheckChanges() {
  for (const auto& upstream : this->upstreams) {
    upstream->SetResponseDelay(kResponseDelay);
  }
  // The other kept connections rest for less than any version permits.
  this->callers.SetMaxIdleTime(MaxRest(kIdleTimes.back()));
  this->resting.clear();
  const std::size_t count =
      std::max(kResting, kMinRestingPerDaemon * this->daemons.size());
  for (std::size_t i = 0; i < count; ++i) {
    this->resting.push_back(
        {i % this->daemons.size(), "resting-" + std::to_string(i),
         DrawFrom(this->changeRandom, Micros{0}, kOpeningTime),
         this->clock.Now()});
  }
  this->checker.ClearTruncated();
  this->nextChange = this->clock.Now() + kRestTime;
  this->lastTickAt = Instant{};
  this->isChanging = true;
  this->loop.run_for(kRestTime);
  for (const std::size_t stopped : {std::size_t{1}, kStoppedDaemons}) {
    this->changeInterval = kStormInterval;
    this->nextChange = this->clock.Now();
    this->loop.run_for(std::max(kMinStormTime, this->settings.faults));
    this->StopUnderLoad(std::min(stopped, this->daemons.size()), kGapOfTwo);
    this->changeInterval = kSlowInterval;
    this->loop.run_for(std::max(kMinSlowTime, this->settings.faults));
  }
  this->isChanging = false;
  this->version += 1;
  this->store.Put("op/config", Configuration(this->version, !this->isRevoked,
                                             this->settings.hasResumes));
  for (const auto& upstream : this->upstreams) {
    upstream->SetResponseDelay(Micros{0});
  }
  this->loop.run_for(kLastResponseTime);
  this->checker.CheckAnswered(kCause);
  this->CheckIdleCloses();
  const int closed = this->changeOutcomes.Total(StopOutcome::ClosedKept);
  if (closed > kToleratedCloses) {
    this->checker.AddViolation(std::to_string(closed) +
                               " requests on kept connections got no answer, "
                               "by daemons that were not stopping");
  }
  this->checker.CheckStreams(kLateAge,
                             this->settings.stopGrace - kEndBeforeKill, kCause);
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after changes of the configuration");
  }
}

}  // namespace zincstep::soak
