/// \file
/// The check with a request that crashes all upstreams of a service of few.

#include <signal.h>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// All daemons know by then that the request has crashed three upstreams.
constexpr Micros kDetectionTime = 3s;
constexpr std::size_t kMaxSendsAfterDetection = 3;
constexpr std::size_t kCrashesOfRequest = 3;
/// The operators' upstreams are restarted after about three seconds; their
/// entries lapse after three heartbeats of 1.2 s.
constexpr Micros kRestartDelay = 3200ms;
constexpr Micros kEntryLifetime = 3600ms;
/// How long the request that crashes them is repeated: several restarts.
constexpr Micros kCrashTime = 20s;
constexpr Micros kSoundInterval = 100ms;
/// Sound requests are to be served at least so often at the end.
constexpr Micros kServedTime = 5s;
constexpr double kMinServedShare = 0.5;
/// A sound request to that service, and time in which it completes.
constexpr const char* kSoundPath = "/few/x";
constexpr Micros kServeTime = 500ms;
/// Duration for which a daemon is paused across the first crashes, in half of
/// the runs.
constexpr Micros kMinPause = 1s;
constexpr Micros kPauseSpread = 1500ms;
constexpr Micros kLongPause = 4s;
/// Kills of daemons, and the interval between them.
constexpr int kKills = 3;
constexpr Micros kKillInterval = 3400ms;

}  // namespace

void Soak::AddFewUpstreams() {
  for (int i = 0; i < this->settings.service.upstreams; ++i) {
    this->AddUpstream("few", i % 2 == 0 ? "a" : "b", i);
    SoakUpstream& upstream = *this->upstreams.back();
    upstream.SetRestartDelay(kRestartDelay);
    upstream.SetEntryLifetime(kEntryLifetime);
    upstream.SetCrashDelay(this->settings.service.runTime);
    upstream.SetRefusesWhenDown(this->settings.service.refusesWhenDown);
  }
}

void Soak::ServeFewFromAll() {
  for (const auto& daemon : this->daemons) {
    this->Send(*daemon, RequestKind::Safe, false, kCallerTimeout,
               {kSoundPath, ""});
  }
  this->loop.run_for(kServeTime);
}

void Soak::PauseFirstDaemon(Micros aFor) {
  DaemonProcess& paused = *this->daemons.front()->process;
  this->RecordFault("a daemon is paused");
  paused.Signal(SIGSTOP);
  this->heals.push_back(
      {this->clock.Now() + aFor, [&paused] { paused.Signal(SIGCONT); }});
}

void Soak::KillDaemons(std::size_t aFirst, std::size_t aCount) {
  this->RecordFault(std::to_string(aCount) + " daemons are killed");
  for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
    this->daemons[i % this->daemons.size()]->process->Signal(SIGKILL);
  }
}

void Soak::BeginServiceFaults() {
  switch (this->settings.service.faults) {
    case ServiceFaults::ShortPause:
      if (this->linkRandom.Below(2) == 0) {
        this->PauseFirstDaemon(
            DrawFrom(this->linkRandom, kMinPause, kPauseSpread));
      }
      break;
    case ServiceFaults::LongPause:
      this->PauseFirstDaemon(kLongPause);
      break;
    case ServiceFaults::KillsInTurn:
    case ServiceFaults::KillsOfAll: {
      const bool isOfAll =
          this->settings.service.faults == ServiceFaults::KillsOfAll;
      for (int i = 0; i < kKills; ++i) {
        const std::size_t count = isOfAll ? this->daemons.size() : 1;
        this->heals.push_back(
            {this->clock.Now() + (i + 1) * kKillInterval, [this, i, count] {
               this->KillDaemons(static_cast<std::size_t>(i), count);
             }});
      }
      break;
    }
    case ServiceFaults::StoreAway:
      this->RecordFault("the store is away for all daemons");
      for (const auto& daemon : this->daemons) {
        daemon->storeLink->SetState(LinkState::Blackholed);
        this->heals.push_back({this->clock.Now() + kCrashTime / 2, [&daemon] {
                                 daemon->storeLink->BlackholeOpen();
                                 daemon->storeLink->SetState(LinkState::Up);
                               }});
      }
      break;
  }
}

void Soak::CheckCrashingService() {
  this->RecordFault("a request that crashes all upstreams of a service");
  this->checker.ClearCrashes();
  const auto send = [this](const char* aPath) {
    Daemon& daemon =
        *this->daemons[this->blackholeRandom.Below(this->daemons.size())];
    return this->Send(daemon, RequestKind::Safe, false, kCallerTimeout,
                      {aPath, ""});
  };
  if (!this->settings.service.isCold) {
    this->ServeFewFromAll();
  }
  this->BeginServiceFaults();
  std::vector<std::string> sound;
  const Instant end = this->clock.Now() + kCrashTime;
  Instant nextSound = this->clock.Now();
  while (this->clock.Now() < end) {
    send(kCrashingServicePath);
    send(kCrashingServicePath);
    if (this->clock.Now() >= nextSound) {
      nextSound = this->clock.Now() + kSoundInterval;
      const std::string id = send(kSoundPath);
      if (end - this->clock.Now() < kServedTime) {
        sound.push_back(id);
      }
    }
    this->loop.run_for(this->settings.service.interval);
  }
  this->loop.run_for(kCallerTimeout);
  const std::size_t sendsAfterDetection =
      this->checker.SendsAfterDetection(kCrashesOfRequest, kDetectionTime);
  const std::string counts =
      "a request that had crashed three upstreams of a service of few was "
      "sent " +
      std::to_string(sendsAfterDetection) + " more times; " +
      std::to_string(this->checker.Crashes()) + " crashes in total";
  this->RecordFault(counts);
  if (sendsAfterDetection > kMaxSendsAfterDetection) {
    this->checker.AddViolation(counts);
  }
  if (this->CompletedShare(sound) < kMinServedShare) {
    this->checker.AddViolation(
        "sound requests to the service of few were not served again: " +
        std::to_string(this->CompletedShare(sound)));
  }
}

}  // namespace zincstep::soak
