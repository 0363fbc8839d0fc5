#include <algorithm>

#include "UnitTests/CrashedServiceDaemon.h"

namespace zincstep {

namespace {

constexpr const char* kService = "few";
constexpr Micros kRunTime = 30ms;
/// Time from the start of a poison request to the crash.
constexpr Micros kMinCrashDelay = 50ms;
constexpr Micros kCrashDelaySpread = 60ms;
constexpr Micros kTickInterval = 50ms;
constexpr int kMaxRuns = 2;
/// Time after which the caller of a sound request repeats it.
constexpr Micros kRepeatDelay = 200ms;
constexpr double kSoundPerSecond = 20;
constexpr Micros kPoisonFrom = 2s;
constexpr std::size_t kCrashesOfRequest = 3;
constexpr Micros kDetectionTime = 3s;

}  // namespace

CrashedServiceReplay::CrashedServiceReplay(ServiceReplaySettings aSettings)
    : settings(std::move(aSettings)),
      random(this->settings.seed),
      replicas(this->settings.upstreams) {
  this->clock.Advance(100s);
  this->startedAt = this->clock.Now();
  for (std::size_t i = 0; i < this->settings.daemons; ++i) {
    this->daemons.push_back(std::make_unique<Daemon>(*this, i));
  }
  for (std::size_t i = 0; i < this->settings.poisonRequests; ++i) {
    this->poisons.push_back(
        {{FingerprintOf(
              RequestIdentity{"GET", "h", "/poison", "o", std::to_string(i)}),
          {}},
         {},
         {}});
  }
}

CrashedServiceReplay::~CrashedServiceReplay() = default;

void CrashedServiceReplay::ScheduleAfter(Micros aDelay,
                                         std::function<void()> aAct) {
  this->events.push(
      {this->clock.Now() + aDelay, ++this->lastEvent, std::move(aAct)});
}

std::string CrashedServiceReplay::AddressOf(std::size_t aReplica) {
  return "10.0.0." + std::to_string(aReplica) + ":80";
}

std::size_t CrashedServiceReplay::ReplicaAt(const std::string& aAddress) const {
  std::size_t found = 0;
  while (AddressOf(found) != aAddress) {
    found += 1;
  }
  return found;
}

const PathCut* CrashedServiceReplay::FindCut(const std::vector<PathCut>& aCuts,
                                             std::size_t aDaemon) const {
  const Micros now = this->clock.Now() - this->startedAt;
  const auto found =
      std::find_if(aCuts.begin(), aCuts.end(), [&](const PathCut& aCut) {
        return aDaemon < aCut.daemons && now >= aCut.at &&
               now < aCut.at + aCut.duration;
      });
  return found == aCuts.end() ? nullptr : &*found;
}

void CrashedServiceReplay::Broadcast(
    std::size_t aFrom, const std::function<void(Daemon&)>& aSend) {
  const auto isCut = [this](std::size_t aDaemon) {
    return this->FindCut(this->settings.peerCuts, aDaemon) != nullptr;
  };
  for (const auto& daemon : this->daemons) {
    if (daemon->number != aFrom && !isCut(aFrom) && !isCut(daemon->number)) {
      this->ScheduleAfter(this->RandomBelow(this->settings.maxReportDelay),
                          [aSend, &to = *daemon] { aSend(to); });
    }
  }
}

void CrashedServiceReplay::Publish(
    const std::function<void(Daemon&)>& aChange) {
  for (const auto& daemon : this->daemons) {
    this->ScheduleAfter(this->RandomBelow(this->settings.maxStoreLag),
                        [aChange, &to = *daemon] { aChange(to); });
  }
}

void CrashedServiceReplay::Start(std::size_t aReplica) {
  Replica& replica = this->replicas[aReplica];
  replica.life += 1;
  replica.isAlive = true;
  replica.id =
      "i" + std::to_string(aReplica) + "-" + std::to_string(replica.life);
  UpstreamEntry entry;
  entry.id = replica.id;
  entry.service = kService;
  entry.address = AddressOf(aReplica);
  entry.startTimeMs = (this->clock.Now() - Instant{}) / 1ms;
  this->Publish([this, entry](Daemon& aTo) {
    aTo.directory.Put(entry, this->clock.Now());
  });
}

void CrashedServiceReplay::Crash(std::size_t aReplica,
                                 const std::set<std::size_t>& aPoisons) {
  Replica& replica = this->replicas[aReplica];
  replica.isAlive = false;
  this->crashes += 1;
  for (const std::size_t poison : aPoisons) {
    this->poisons[poison].crashedAt.push_back(this->clock.Now());
  }
  this->ScheduleAfter(this->settings.entryLifetime, [this, id = replica.id] {
    this->Publish([this, id](Daemon& aTo) {
      aTo.directory.Remove(id, this->clock.Now());
    });
  });
  this->ScheduleAfter(this->settings.restartDelay,
                      [this, aReplica] { this->Start(aReplica); });
  this->LoseRuns(
      [aReplica](const Running& aRun) { return aRun.replica == aReplica; });
}

void CrashedServiceReplay::LoseRuns(
    const std::function<bool(const Running&)>& aIsLost) {
  std::vector<Running> lost;
  std::erase_if(this->running, [&](const Running& aRun) {
    const bool isLost = aIsLost(aRun);
    if (isLost) {
      lost.push_back(aRun);
    }
    return isLost;
  });
  for (const Running& run : lost) {
    this->EndLost(run);
  }
}

void CrashedServiceReplay::EndLost(const Running& aRun) {
  Daemon& daemon = *this->daemons[aRun.request.daemon];
  daemon.detector.OnRunLost(aRun.request.candidates, aRun.upstream);
  if (aRun.request.runsLeft > 0) {
    this->Send(aRun.request);
  } else {
    this->Repeat(aRun.request);
  }
}

void CrashedServiceReplay::Repeat(Request aRequest) {
  if (aRequest.poison || aRequest.attemptsLeft <= 1) {
    return;
  }
  aRequest.attemptsLeft -= 1;
  aRequest.runsLeft = kMaxRuns;
  aRequest.tried.clear();
  aRequest.daemon = this->random.Below(this->daemons.size());
  this->ScheduleAfter(kRepeatDelay, [this, aRequest] { this->Send(aRequest); });
}

bool CrashedServiceReplay::TrySendTo(const UpstreamPtr& aUpstream,
                                     const Request& aRequest) {
  const std::size_t at = this->ReplicaAt(aUpstream->Entry().address);
  const Replica& replica = this->replicas[at];
  const Instant now = this->clock.Now();
  if (this->CutOf(aRequest.daemon) != nullptr || !replica.isAlive) {
    aUpstream->Suspect(now);
    return false;
  }
  if (replica.id != aUpstream->Entry().id) {
    aUpstream->SetEnded(now);  // It refuses, and says who it is.
    return false;
  }
  this->Begin({aRequest, aUpstream, at, replica.life, 0});
  return true;
}

void CrashedServiceReplay::Begin(Running aRun) {
  const Instant now = this->clock.Now();
  aRun.request.runsLeft -= 1;
  aRun.request.tried.push_back(aRun.upstream);
  aRun.number = ++this->lastRun;
  this->running.push_back(aRun);
  if (aRun.request.poison) {
    this->poisons[*aRun.request.poison].sentAt.push_back(now);
    this->ScheduleAfter(kMinCrashDelay + this->RandomBelow(kCrashDelaySpread),
                        [this, aRun] { this->CrashUnder(aRun); });
  } else {
    this->ScheduleAfter(kRunTime,
                        [this, aRun, now] { this->Complete(aRun, now); });
  }
}

void CrashedServiceReplay::CrashUnder(const Running& aRun) {
  const Replica& replica = this->replicas[aRun.replica];
  if (!replica.isAlive || replica.life != aRun.life) {
    return;
  }
  std::set<std::size_t> culprits;
  for (const Running& one : this->running) {
    if (one.replica == aRun.replica && one.request.poison) {
      culprits.insert(*one.request.poison);
    }
  }
  this->Crash(aRun.replica, culprits);
}

void CrashedServiceReplay::Complete(const Running& aRun, Instant aSentAt) {
  const auto found = std::find_if(
      this->running.begin(), this->running.end(),
      [&](const Running& aOne) { return aOne.number == aRun.number; });
  if (found == this->running.end()) {
    return;
  }
  this->running.erase(found);
  CrashDetector& detector = this->daemons[aRun.request.daemon]->detector;
  aRun.upstream->OnResponse(this->clock.Now());
  detector.OnUpstreamResponded(*aRun.upstream, aSentAt);
  detector.OnRequestCompleted(aRun.request.candidates);
  this->completedSound += 1;
}

void CrashedServiceReplay::Send(Request aRequest) {
  Daemon& daemon = *this->daemons[aRequest.daemon];
  const Instant now = this->clock.Now();
  if (daemon.tracker.FindBlock(aRequest.candidates, now)) {
    this->refusedSound += aRequest.poison ? 0 : 1;
    this->Repeat(aRequest);
    return;
  }
  std::vector<UpstreamPtr> usable;
  for (const UpstreamPtr& one : daemon.directory.OfService(kService)) {
    const bool wasTried =
        std::find(aRequest.tried.begin(), aRequest.tried.end(), one) !=
        aRequest.tried.end();
    if (one->IsUsable(now) && !wasTried) {
      usable.push_back(one);
    }
  }
  while (!usable.empty()) {
    const std::size_t pick = this->random.Below(usable.size());
    const UpstreamPtr chosen = usable[pick];
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(pick));
    if (this->TrySendTo(chosen, aRequest)) {
      return;
    }
    aRequest.tried.push_back(chosen);
  }
  this->Repeat(aRequest);
}

void CrashedServiceReplay::ScheduleRequests(Micros aFor) {
  for (Micros at{0}; at < aFor; at += FromSeconds(1 / kSoundPerSecond)) {
    this->ScheduleAfter(at, [this] {
      this->sound += 1;
      const std::size_t target =
          this->settings.soundTargets
              ? this->random.Below(*this->settings.soundTargets)
              : static_cast<std::size_t>(this->sound);
      const auto request = FingerprintOf(
          RequestIdentity{"GET", "h", "/sound", "o", std::to_string(target)});
      this->Send({{request, {}},
                  this->random.Below(this->daemons.size()),
                  std::nullopt,
                  kMaxRuns,
                  {}});
    });
  }
  const Micros interval = FromSeconds(1 / this->settings.poisonPerSecond);
  for (std::size_t poison = 0; poison < this->poisons.size(); ++poison) {
    for (Micros at = kPoisonFrom; at < aFor; at += interval) {
      for (int copy = 0; copy < 2; ++copy) {
        const bool isToFirst = this->settings.poisonToFirstFrom &&
                               at >= *this->settings.poisonToFirstFrom;
        this->ScheduleAfter(at, [this, poison, isToFirst] {
          this->Send({this->poisons[poison].candidates,
                      isToFirst ? 0 : this->random.Below(this->daemons.size()),
                      poison,
                      kMaxRuns,
                      {}});
        });
      }
    }
  }
}

void CrashedServiceReplay::Run(Micros aFor) {
  for (std::size_t i = 0; i < this->replicas.size(); ++i) {
    this->Start(i);
  }
  this->ScheduleRequests(aFor);
  for (const PathCut& cut : this->settings.cuts) {
    this->ScheduleAfter(cut.at, [this, cut] {
      this->LoseRuns([&cut](const Running& aRun) {
        return aRun.request.daemon < cut.daemons;
      });
    });
  }
  for (Micros at{0}; at < aFor; at += kTickInterval) {
    this->ScheduleAfter(at, [this] {
      for (const auto& daemon : this->daemons) {
        daemon->detector.Tick();
        daemon->tracker.Tick(this->clock.Now());
      }
    });
  }
  const Instant end = this->clock.Now() + aFor;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->clock.Advance(event.at - this->clock.Now());
    event.act();
  }
}

int CrashedServiceReplay::MaxLateSends() const {
  std::ptrdiff_t most = 0;
  for (const Poison& poison : this->poisons) {
    if (poison.crashedAt.size() < kCrashesOfRequest) {
      continue;
    }
    const Instant detectedAt =
        poison.crashedAt[kCrashesOfRequest - 1] + kDetectionTime;
    most = std::max(
        most, std::count_if(poison.sentAt.begin(), poison.sentAt.end(),
                            [&](Instant aAt) { return aAt > detectedAt; }));
  }
  return static_cast<int>(most);
}

}  // namespace zincstep
