/// \file
/// Checks at the end of a run: a planned stop, and blackholed connections.

#include <signal.h>

#include <algorithm>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// A daemon exits within its grace period (3 s); generous, as the machine may
/// be busy.
constexpr Micros kStopTimeout = 12s;
/// A draining upstream gets no new work after "a few seconds".
constexpr Micros kDrainNoticeTime = 4s;
/// How long its requests are checked from then on.
constexpr Micros kDrainObservationTime = 2s;
/// Caller timeout where a stream must complete; generous, as above.
constexpr Micros kLongCallerTimeout = 15s;
/// Streams that each of the first few daemons has open when its connections
/// are blackholed, and how long they have run by then.
constexpr int kStreamsPerDaemon = 3;
constexpr Micros kStreamRunTime = 80ms;

}  // namespace

std::vector<std::string> Soak::StartStreams() {
  std::vector<std::string> streams;
  for (int i = 0; i < kBaselineDaemons * kStreamsPerDaemon; ++i) {
    Daemon& daemon = *this->daemons[static_cast<std::size_t>(
        i % std::min(kBaselineDaemons, this->settings.daemons))];
    streams.push_back(
        this->Send(daemon, RequestKind::Stream, false, kLongCallerTimeout));
  }
  this->loop.run_for(kStreamRunTime);
  return streams;
}

void Soak::CheckPlannedStop() {
  this->checker.ClearTruncated();
  this->StartStreams();
  Daemon& daemon =
      *this->daemons[this->blackholeRandom.Below(this->daemons.size())];
  this->RecordFault("planned stop of " + daemon.address.address().to_string());
  daemon.isDown = true;
  daemon.process->Signal(SIGTERM);
  const Instant end = this->clock.Now() + kStopTimeout;
  while (daemon.process->IsRunning() && this->clock.Now() < end) {
    this->loop.run_for(100ms);
  }
  if (daemon.process->IsRunning()) {
    this->checker.AddViolation("a stopped daemon has not exited");
  }
  this->checker.CheckTruncated("by a planned stop");
  daemon.isDown = false;
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation("service did not recover after a planned stop");
  }
}

void Soak::CheckBlackholedStreams() {
  const std::vector<std::string> streams = this->StartStreams();
  this->BlackholeOpenConnections();
  const auto isOpen = [this](const std::string& aId) {
    return !this->checker.IsCompleted(aId);
  };
  const Instant end = this->clock.Now() + kLongCallerTimeout;
  while (std::any_of(streams.begin(), streams.end(), isOpen) &&
         this->clock.Now() < end) {
    this->loop.run_for(100ms);
  }
  for (const std::string& id : streams) {
    if (isOpen(id)) {
      this->checker.AddViolation(
          "stream " + id +
          " did not complete after connections were blackholed");
    }
  }
}

void Soak::CheckBlackholedLoss() {
  this->BlackholeOpenConnections();
  if (!this->KillModelUpstream()) {
    this->checker.AddViolation("no upstream of the model is alive");
    return;
  }
  const auto draining = std::find_if(
      this->upstreams.begin(), this->upstreams.end(),
      [](const auto& aOne) { return aOne->IsOfModel() && aOne->IsAlive(); });
  if (draining == this->upstreams.end()) {
    this->checker.AddViolation("only one upstream of the model was alive");
    return;
  }
  this->RecordFault("an upstream of the model drains");
  (*draining)->Drain();
  this->loop.run_for(kDrainNoticeTime);
  (*draining)->EndDrainNotice();
  this->loop.run_for(kDrainObservationTime);
  (*draining)->Restart();
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after connections were blackholed");
  }
}

}  // namespace zincstep::soak
