/// \file
/// Stops of daemons under load.

#include <signal.h>

#include <algorithm>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// Longer than a request to a plain service may take, on a daemon that accepts
/// it by a fixed time, within the grace period of 3 s.
constexpr Micros kResponseDelay = 1800ms;
constexpr std::size_t kStoppedDaemons = 2;
constexpr Micros kGapOfTwo = 500ms;
constexpr Micros kGapOfAll = 100ms;
/// Time after a start by which a daemon reads requests.
constexpr Micros kStartTime = 400ms;
constexpr Micros kSendInterval = 50ms;
/// A daemon exits within its grace period (3 s, or 8 s beside streams) after
/// its signal; generous, as the machine may be busy.
constexpr Micros kExitTimeout = 12s;
/// Requests that are sent later than this after the signal must not be
/// truncated, streams included. Of earlier ones, a stream may outlast the grace
/// period.
constexpr Micros kLateAge = 3s;
/// After the grace period, so that the deadline ends no stream before it.
constexpr Micros kStreamTimeout = 20s;
/// Share of the streams that are long, in percent.
constexpr std::size_t kLongStreams = 3;
/// Longer than the 4.5 s of a grace period of 8 s in which late requests run.
constexpr Micros kMinLongTime = 5s;
constexpr Micros kLongTimeSpread = 5s;
/// Time in which each daemon that is to be stopped completes more than the 20
/// streams from which it knows the durations of their route.
constexpr Micros kWarmUpTime = 2s;

}  // namespace

void Soak::SendToDaemons(std::size_t aCount) {
  for (std::size_t i = 0; i < aCount; ++i) {
    this->Send(*this->daemons[i],
               static_cast<RequestKind>(this->random.Below(3)), false);
    if (this->settings.hasStreamStops || this->isChanging) {
      this->SendMixedStream(*this->daemons[i]);
    }
  }
}

void Soak::SendMixedStream(Daemon& aDaemon) {
  RequestExtras extras;
  if (this->streamRandom.Below(100) < kLongStreams) {
    extras.events = static_cast<int>(
        DrawFrom(this->streamRandom, kMinLongTime, kLongTimeSpread) /
        kTickInterval);
  }
  this->Send(aDaemon, RequestKind::Stream, false, kStreamTimeout, extras);
}

void Soak::StopUnderLoad(std::size_t aCount, Micros aGap) {
  const Instant begin = this->clock.Now();
  std::vector<Instant> signalledAt;
  const auto isRunning = [](const auto& aDaemon) {
    return aDaemon->process->IsRunning();
  };
  const auto isOverdue = [&](std::size_t aDaemon) {
    return this->clock.Now() - signalledAt[aDaemon] >= kExitTimeout &&
           isRunning(this->daemons[aDaemon]);
  };
  const auto end = this->daemons.begin() + static_cast<std::ptrdiff_t>(aCount);
  bool hasOverdue = false;
  while (!hasOverdue && std::any_of(this->daemons.begin(), end, isRunning)) {
    const std::size_t next = signalledAt.size();
    if (next < aCount && this->clock.Now() - begin >= aGap * next) {
      Daemon& daemon = *this->daemons[next];
      this->RecordFault("stop of " + daemon.address.address().to_string());
      daemon.isDown = true;
      daemon.process->Signal(SIGTERM);
      signalledAt.push_back(this->clock.Now());
      daemon.signalledAt = signalledAt.back();
    }
    this->SendToDaemons(aCount);
    this->loop.run_for(kSendInterval);
    for (std::size_t i = 0; i < signalledAt.size(); ++i) {
      hasOverdue = hasOverdue || isOverdue(i);
    }
  }
  if (hasOverdue) {
    this->checker.AddViolation("a stopped daemon has not exited");
  }
  this->loop.run_for(kSendInterval);
  for (const auto& daemon : this->daemons) {
    daemon->isDown = false;
    daemon->signalledAt.reset();
  }
}

void Soak::CheckOverlappingStops() {
  for (const auto& upstream : this->upstreams) {
    upstream->SetResponseDelay(kResponseDelay);
  }
  this->checker.ClearTruncated();
  this->StopUnderLoad(std::min(kStoppedDaemons, this->daemons.size()),
                      kGapOfTwo);
  this->checker.CheckAnswered("by a stopping daemon");
  for (const auto& upstream : this->upstreams) {
    upstream->SetResponseDelay(Micros{0});
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation("service did not recover after planned stops");
  }
}

void Soak::CheckStopsWithoutConfiguration() {
  this->RecordFault("all daemons restart without the store");
  this->store.SetDown(true);
  for (const auto& daemon : this->daemons) {
    daemon->process->Kill();
  }
  this->loop.run_for(kStartTime);
  this->checker.ClearTruncated();
  this->StopUnderLoad(this->daemons.size(), kGapOfAll);
  this->checker.CheckAnswered("by a stopping daemon without a configuration");
  this->store.SetDown(false);
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after stops without a configuration");
  }
}

void Soak::CheckStopsBesideStreams() {
  struct Stops {
    std::size_t daemons = 0;
    Micros gap{0};
  };
  const std::size_t all = this->daemons.size();
  for (const auto& [count, gap] : {Stops{1, Micros{0}},
                                   {std::min(kStoppedDaemons, all), kGapOfTwo},
                                   {all, kGapOfAll}}) {
    const Instant warmUpEnd = this->clock.Now() + kWarmUpTime;
    while (this->clock.Now() < warmUpEnd) {
      for (std::size_t i = 0; i < count; ++i) {
        this->SendMixedStream(*this->daemons[i]);
      }
      this->loop.run_for(kSendInterval);
    }
    this->checker.ClearTruncated();
    this->StopUnderLoad(count, gap);
    this->checker.CheckAnswered("by a stopping daemon beside streams");
    this->checker.CheckLateStreams(kLateAge);
    if (!this->WaitUntilServed()) {
      this->checker.AddViolation(
          "service did not recover after stops beside streams");
    }
  }
}

}  // namespace zincstep::soak
