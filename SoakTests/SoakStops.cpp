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
/// A daemon exits within its grace period (3 s) after its signal; generous, as
/// the machine may be busy.
constexpr Micros kExitTimeout = 12s;

}  // namespace

void Soak::SendToDaemons(std::size_t aCount) {
  for (std::size_t i = 0; i < aCount; ++i) {
    this->Send(*this->daemons[i],
               static_cast<RequestKind>(this->random.Below(3)), false);
  }
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

}  // namespace zincstep::soak
