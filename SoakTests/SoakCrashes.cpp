/// \file
/// The check with a request that crashes each upstream that begins to run it.

#include <signal.h>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

constexpr Micros kPause = 100ms;
/// Before all daemons are killed, and after that.
constexpr Micros kFirstTime = 6s;
constexpr Micros kSecondTime = 5s;
/// All daemons know by then that three upstreams have ended under it.
constexpr Micros kKnownWithin = 3s;
constexpr std::size_t kMostInSpite = 3;

}  // namespace

void Soak::SendCrashing(Micros aFor) {
  const Instant end = this->clock.Now() + aFor;
  while (this->clock.Now() < end) {
    Daemon& daemon =
        *this->daemons[this->silenceRandom.Below(this->daemons.size())];
    this->Send(daemon, RequestKind::Stream, false, kCallerPatience,
               kCrashingPath);
    this->loop.run_for(kPause);
  }
}

void Soak::KillAllDaemons() {
  this->Note("all daemons are killed");
  for (const auto& daemon : this->daemons) {
    daemon->process->Signal(SIGKILL);
  }
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("not all was served after all daemons were killed");
  }
}

void Soak::CheckCrashingRequest() {
  this->Note("a request that crashes upstreams");
  this->SendCrashing(kFirstTime);
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("a request that crashes upstreams stops the others");
  }
  this->KillAllDaemons();
  this->SendCrashing(kSecondTime);
  const std::size_t inSpite = this->ledger.SentInSpite(kKnownWithin);
  if (inSpite > kMostInSpite) {
    this->ledger.Broken(
        "a request under which three upstreams had ended was "
        "sent " +
        std::to_string(inSpite) + " times more; " +
        std::to_string(this->ledger.Crashes()) + " ended in all");
  }
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("not all was served beside a request that crashes");
  }
}

}  // namespace zincstep::soak
