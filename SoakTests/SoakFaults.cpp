/// \file
/// The faults that a run injects and their recovery.

#include <signal.h>

#include <algorithm>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

constexpr Micros kMinFaultTime = 300ms;
constexpr Micros kFaultTimeSpread = 2500ms;
/// Between two times at which open connections are blackholed.
constexpr Micros kMinBlackholeInterval = 2s;
constexpr Micros kBlackholeIntervalSpread = 4s;
/// Longer than a revoked key may still be accepted.
constexpr Micros kLongPartition = 8s;
/// How long the store is down before a restore, how old the backup is, and how
/// long the operator and the upstreams take at most to write their data
/// again.
constexpr Micros kMinOutage = 200ms;
constexpr Micros kOutageSpread = 1800ms;
constexpr Micros kMinBackupAge = 1s;
constexpr Micros kBackupAgeSpread = 9s;
constexpr Micros kMaxRewriteDelay = 1500ms;

}  // namespace

Micros Soak::DrawBlackholeInterval() {
  return DrawFrom(this->blackholeRandom, kMinBlackholeInterval,
                  kBlackholeIntervalSpread);
}

void Soak::RecordFault(const std::string& aFault) {
  this->checker.WriteEvent("fault", {{"fault", aFault}});
  this->outcome.faults.push_back(
      std::to_string(ToSeconds(this->clock.Now() - this->startedAt)) + " " +
      aFault);
}

void Soak::ScheduleHeal(std::function<void()> aAction) {
  this->heals.push_back(
      {this->clock.Now() + this->Draw(kMinFaultTime, kFaultTimeSpread),
       std::move(aAction)});
}

void Soak::HealAll() {
  std::vector<Heal> all;
  all.swap(this->heals);
  for (const Heal& heal : all) {
    heal.action();
  }
}

void Soak::Inject() {
  switch (this->random.Below(4)) {
    case 0:
      this->InjectAtStore();
      break;
    case 1:
      this->InjectAtUpstream(
          *this->upstreams[this->random.Below(this->upstreams.size())]);
      break;
    default:
      this->InjectAtDaemon(
          *this->daemons[this->random.Below(this->daemons.size())]);
  }
}

void Soak::InjectAtDaemon(Daemon& aDaemon) {
  const std::string name = aDaemon.address.address().to_string();
  constexpr std::array kLinkFaults{LinkState::Blackholed, LinkState::OneWay,
                                   LinkState::Reset};
  switch (this->random.Below(5)) {
    case 0:
      this->RecordFault("kill " + name);
      aDaemon.process->Kill();
      aDaemon.isDown = true;
      this->ScheduleHeal([&aDaemon] { aDaemon.isDown = false; });
      break;
    case 1:
      this->RecordFault("stop " + name);
      aDaemon.process->Signal(SIGTERM);
      break;
    case 2:
      this->RecordFault("pause " + name);
      aDaemon.process->Signal(SIGSTOP);
      this->ScheduleHeal([&aDaemon] { aDaemon.process->Signal(SIGCONT); });
      break;
    case 3: {
      const std::size_t pick = this->random.Below(kLinkFaults.size());
      this->RecordFault("store link of " + name + ", fault " +
                        std::to_string(pick));
      aDaemon.storeLink->SetState(kLinkFaults[pick]);
      this->ScheduleHeal(
          [&aDaemon] { aDaemon.storeLink->SetState(LinkState::Up); });
      break;
    }
    default:
      this->RecordFault("slow store link of " + name);
      aDaemon.storeLink->SetDelay(this->Draw(20ms, 300ms));
      this->ScheduleHeal(
          [&aDaemon] { aDaemon.storeLink->SetDelay(Micros{0}); });
  }
}

void Soak::InjectAtUpstream(SoakUpstream& aUpstream) {
  if (!aUpstream.IsAlive()) {
    return;
  }
  const std::size_t pick = this->random.Below(3);
  this->RecordFault("upstream, fault " + std::to_string(pick));
  if (pick == 0) {
    aUpstream.Drain();
  } else {
    aUpstream.Kill(pick == 1);
  }
  this->ScheduleHeal([&aUpstream] { aUpstream.Restart(); });
}

void Soak::BlackholeOpenConnections() {
  this->RecordFault("all open connections are blackholed");
  for (const auto& daemon : this->daemons) {
    daemon->storeLink->BlackholeOpen();
  }
  for (const auto& upstream : this->upstreams) {
    upstream->BlackholeConnections();
  }
}

bool Soak::KillModelUpstream() {
  std::vector<SoakUpstream*> alive;
  for (const auto& upstream : this->upstreams) {
    if (upstream->IsOfModel() && upstream->IsAlive()) {
      alive.push_back(upstream.get());
    }
  }
  if (alive.empty()) {
    return false;
  }
  this->RecordFault("an upstream of the model is lost");
  alive[this->blackholeRandom.Below(alive.size())]->Kill(true);
  return true;
}

void Soak::PartitionAllFromStore() {
  this->RecordFault("all daemons partitioned from the store");
  for (const auto& daemon : this->daemons) {
    daemon->storeLink->SetState(LinkState::Blackholed);
  }
  this->heals.push_back({this->clock.Now() + kLongPartition, [this] {
                           for (const auto& daemon : this->daemons) {
                             daemon->storeLink->SetState(LinkState::Up);
                           }
                         }});
}

void Soak::RestoreStore() {
  const Micros outage =
      DrawFrom(this->restoreRandom, kMinOutage, kOutageSpread);
  const Micros age =
      DrawFrom(this->restoreRandom, kMinBackupAge, kBackupAgeSpread);
  this->RecordFault("store down for " + std::to_string(outage / 1ms) +
                    " ms, restored from a backup " + std::to_string(age / 1ms) +
                    " ms old");
  this->store.SetDown(true);
  this->heals.push_back({this->clock.Now() + outage, [this, age] {
                           this->store.Restore(age, kMaxRewriteDelay,
                                               this->restoreRandom);
                           this->store.SetDown(false);
                         }});
}

void Soak::InjectAtStore() {
  const std::size_t pick = this->random.Below(4);
  this->RecordFault("store, fault " + std::to_string(pick));
  if (pick == 0) {
    this->store.SetDown(true);
    this->ScheduleHeal([this] { this->store.SetDown(false); });
  } else if (pick == 1) {
    this->store.SetDropsResponses(true);
    this->ScheduleHeal([this] { this->store.SetDropsResponses(false); });
  } else {
    const bool revokesNow =
        !this->isRevoked && (this->version > 1 || pick == 3);
    this->isRevoked = this->isRevoked || revokesNow;
    this->version += 1;
    if (revokesNow) {
      this->PartitionAllFromStore();
    }
    this->store.Put("op/config", Configuration(this->version, !this->isRevoked,
                                               this->settings.hasResumes));
    if (revokesNow) {
      this->checker.OnKeyRevoked("other", this->clock.Now() + kKeyRevocation);
    }
  }
}

}  // namespace zincstep::soak
