/// \file
/// The check with a request that crashes each upstream that starts to run it.

#include <signal.h>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

constexpr Micros kSendInterval = 100ms;
/// How long the request is repeated before all daemons are killed, and after.
constexpr Micros kTimeBeforeKill = 6s;
constexpr Micros kTimeAfterKill = 5s;
/// All daemons know by then that the request has crashed three upstreams.
constexpr Micros kDetectionTime = 3s;
constexpr std::size_t kMaxSendsAfterDetection = 3;

}  // namespace

void Soak::SendCrashing(Micros aFor) {
  const Instant end = this->clock.Now() + aFor;
  while (this->clock.Now() < end) {
    Daemon& daemon =
        *this->daemons[this->blackholeRandom.Below(this->daemons.size())];
    this->Send(daemon, RequestKind::Stream, false, kCallerTimeout,
               kCrashingPath);
    this->loop.run_for(kSendInterval);
  }
}

void Soak::KillAllDaemons() {
  this->RecordFault("all daemons are killed");
  for (const auto& daemon : this->daemons) {
    daemon->process->Signal(SIGKILL);
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after all daemons were killed");
  }
}

void Soak::CheckCrashingRequest() {
  this->RecordFault("a request that crashes upstreams");
  this->SendCrashing(kTimeBeforeKill);
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "a request that crashes upstreams blocks other requests");
  }
  this->KillAllDaemons();
  this->SendCrashing(kTimeAfterKill);
  const std::size_t sendsAfterDetection =
      this->checker.SendsAfterDetection(kDetectionTime);
  if (sendsAfterDetection > kMaxSendsAfterDetection) {
    this->checker.AddViolation(
        "a request that had crashed three upstreams was "
        "sent " +
        std::to_string(sendsAfterDetection) + " more times; " +
        std::to_string(this->checker.Crashes()) + " crashes in total");
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after a crashing request");
  }
}

}  // namespace zincstep::soak
