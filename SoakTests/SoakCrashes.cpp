/// \file
/// The checks with a request, and with a part of prompts, that crashes each
/// upstream that starts to run it.

#include <signal.h>

#include <algorithm>

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
/// Crashes that a request, and a part of prompts, may cause before that.
constexpr std::size_t kCrashesOfRequest = 3;
constexpr std::size_t kCrashesOfPart = 5;
/// Time after the last of them from which sound requests must be served.
constexpr Micros kServedTime = 6s;
/// They are to be served at least so often, compared with before.
constexpr double kMinServedShare = 0.5;

}  // namespace

void Soak::SendCrashing(Micros aFor) {
  const Instant end = this->clock.Now() + aFor;
  while (this->clock.Now() < end) {
    Daemon& daemon =
        *this->daemons[this->blackholeRandom.Below(this->daemons.size())];
    this->Send(daemon, RequestKind::Stream, false, kCallerTimeout,
               {kCrashingPath, ""});
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
      this->checker.SendsAfterDetection(kCrashesOfRequest, kDetectionTime);
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

std::vector<std::string> Soak::SendParts(Micros aFor, bool aIsCrashing) {
  constexpr const char* kSharedPart = "shared:20";
  const std::string crashing = std::string(kSharedPart) + "," + kCrashingPart;
  std::vector<std::string> sound;
  const Instant end = this->clock.Now() + aFor;
  while (this->clock.Now() < end) {
    const auto draw = [this]() -> Daemon& {
      return *this->daemons[this->blackholeRandom.Below(this->daemons.size())];
    };
    sound.push_back(this->Send(draw(), RequestKind::Stream, false,
                               kCallerTimeout, {nullptr, kSharedPart}));
    if (aIsCrashing) {
      const bool isOther = this->blackholeRandom.Below(2) == 0;
      this->Send(draw(), RequestKind::Stream, isOther, kCallerTimeout,
                 {nullptr, crashing});
    }
    this->loop.run_for(kSendInterval);
  }
  return sound;
}

double Soak::CompletedShare(const std::vector<std::string>& aIds) const {
  const auto completed =
      std::count_if(aIds.begin(), aIds.end(), [this](const std::string& aId) {
        return this->checker.IsCompleted(aId);
      });
  return static_cast<double>(completed) / static_cast<double>(aIds.size());
}

void Soak::CheckCrashingPart() {
  this->RecordFault("requests with a part that crashes upstreams");
  this->checker.ClearCrashes();
  const std::vector<std::string> before =
      this->SendParts(kTimeBeforeKill, false);
  this->SendParts(kTimeBeforeKill, true);
  this->KillAllDaemons();
  this->SendParts(kTimeAfterKill, true);
  const auto crashedAt = this->checker.CrashedAt(kCrashesOfPart);
  if (!crashedAt) {
    this->checker.AddViolation("no part crashed an upstream");
    return;
  }
  const Micros passed = this->clock.Now() - *crashedAt;
  this->SendParts(std::max(kServedTime - passed, Micros{0}), true);
  const std::vector<std::string> after = this->SendParts(kTimeAfterKill, true);
  this->loop.run_for(kCallerTimeout);
  const std::size_t sendsAfterDetection =
      this->checker.SendsAfterDetection(kCrashesOfPart, kDetectionTime);
  const std::string counts =
      "requests with a part that had crashed five upstreams were sent " +
      std::to_string(sendsAfterDetection) + " more times, " +
      std::to_string(this->checker.Crashes()) + " crashes in total";
  this->RecordFault(counts);
  if (sendsAfterDetection > kMaxSendsAfterDetection) {
    this->checker.AddViolation(counts);
  }
  const double shareBefore = this->CompletedShare(before);
  const double shareAfter = this->CompletedShare(after);
  const std::string served =
      "sound requests completed: " + std::to_string(shareBefore) + " before, " +
      std::to_string(shareAfter) + " beside a crashing part";
  this->RecordFault(served);
  if (shareAfter < kMinServedShare * shareBefore) {
    this->checker.AddViolation(served);
  }
}

}  // namespace zincstep::soak
