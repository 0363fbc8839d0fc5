/// \file
/// The faults that a run injects, and how they heal.

#include <signal.h>

#include <algorithm>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

constexpr Micros kShortestFault = 300ms;
constexpr Micros kFaultSpread = 2500ms;
/// Between two instants at which open connections fall silent.
constexpr Micros kShortestSilencePause = 2s;
constexpr Micros kSilencePauseSpread = 4s;
/// Longer than a withdrawn key may still run.
constexpr Micros kLongCut = 8s;
/// How long the store is away before it comes back from a copy, how old that
/// is, and how long the operator and the upstreams take to write again.
constexpr Micros kShortestAway = 200ms;
constexpr Micros kAwaySpread = 1800ms;
constexpr Micros kYoungestCopy = 1s;
constexpr Micros kCopyAgeSpread = 9s;
constexpr Micros kWrittenAgain = 1500ms;

}  // namespace

Micros Soak::DrawSilencePause() {
  return DrawFrom(this->silenceRandom, kShortestSilencePause,
                  kSilencePauseSpread);
}

void Soak::Note(const std::string& aFault) {
  this->ledger.Event("fault", {{"fault", aFault}});
  this->outcome.faults.push_back(
      std::to_string(ToSeconds(this->clock.Now() - this->startedAt)) + " " +
      aFault);
}

void Soak::Later(std::function<void()> aAct) {
  this->heals.push_back(
      {this->clock.Now() + this->Draw(kShortestFault, kFaultSpread),
       std::move(aAct)});
}

void Soak::HealAll() {
  std::vector<Heal> all;
  all.swap(this->heals);
  for (const Heal& heal : all) {
    heal.act();
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
  constexpr std::array kLinkFaults{LinkState::Silent, LinkState::OneWay,
                                   LinkState::Reset};
  switch (this->random.Below(5)) {
    case 0:
      this->Note("kill " + name);
      aDaemon.process->Kill();
      aDaemon.isDown = true;
      this->Later([&aDaemon] { aDaemon.isDown = false; });
      break;
    case 1:
      this->Note("stop " + name);
      aDaemon.process->Signal(SIGTERM);
      break;
    case 2:
      this->Note("pause " + name);
      aDaemon.process->Signal(SIGSTOP);
      this->Later([&aDaemon] { aDaemon.process->Signal(SIGCONT); });
      break;
    case 3: {
      const std::size_t pick = this->random.Below(kLinkFaults.size());
      this->Note("store link of " + name + ", way " + std::to_string(pick));
      aDaemon.storeLink->Set(kLinkFaults[pick]);
      this->Later([&aDaemon] { aDaemon.storeLink->Set(LinkState::Up); });
      break;
    }
    default:
      this->Note("slow store link of " + name);
      aDaemon.storeLink->SetDelay(this->Draw(20ms, 300ms));
      this->Later([&aDaemon] { aDaemon.storeLink->SetDelay(Micros{0}); });
  }
}

void Soak::InjectAtUpstream(SoakUpstream& aUpstream) {
  if (!aUpstream.IsAlive()) {
    return;
  }
  const std::size_t pick = this->random.Below(3);
  this->Note("upstream, way " + std::to_string(pick));
  if (pick == 0) {
    aUpstream.Drain();
  } else {
    aUpstream.Kill(pick == 1);
  }
  this->Later([&aUpstream] { aUpstream.Restart(); });
}

void Soak::SilenceOpenConnections() {
  this->Note("all open connections fall silent");
  for (const auto& daemon : this->daemons) {
    daemon->storeLink->SilenceOpen();
  }
  for (const auto& upstream : this->upstreams) {
    upstream->SilenceConnections();
  }
}

bool Soak::LoseModelUpstream() {
  std::vector<SoakUpstream*> alive;
  for (const auto& upstream : this->upstreams) {
    if (upstream->IsOfModel() && upstream->IsAlive()) {
      alive.push_back(upstream.get());
    }
  }
  if (alive.empty()) {
    return false;
  }
  this->Note("an upstream of the model is lost");
  alive[this->silenceRandom.Below(alive.size())]->Kill(true);
  return true;
}

void Soak::CutAllFromStore() {
  this->Note("all cut from the store");
  for (const auto& daemon : this->daemons) {
    daemon->storeLink->Set(LinkState::Silent);
  }
  this->heals.push_back({this->clock.Now() + kLongCut, [this] {
                           for (const auto& daemon : this->daemons) {
                             daemon->storeLink->Set(LinkState::Up);
                           }
                         }});
}

void Soak::RestoreStore() {
  const Micros away = DrawFrom(this->restoreRandom, kShortestAway, kAwaySpread);
  const Micros age =
      DrawFrom(this->restoreRandom, kYoungestCopy, kCopyAgeSpread);
  this->Note("store away for " + std::to_string(away / 1ms) +
             " ms, back from a copy " + std::to_string(age / 1ms) + " ms old");
  this->store.SetDown(true);
  this->heals.push_back({this->clock.Now() + away, [this, age] {
                           this->store.Restore(age, kWrittenAgain,
                                               this->restoreRandom);
                           this->store.SetDown(false);
                         }});
}

void Soak::InjectAtStore() {
  const std::size_t pick = this->random.Below(4);
  this->Note("store, way " + std::to_string(pick));
  if (pick == 0) {
    this->store.SetDown(true);
    this->Later([this] { this->store.SetDown(false); });
  } else if (pick == 1) {
    this->store.SetLosesAnswers(true);
    this->Later([this] { this->store.SetLosesAnswers(false); });
  } else {
    const bool revokesNow =
        !this->isRevoked && (this->version > 1 || pick == 3);
    this->isRevoked = this->isRevoked || revokesNow;
    this->version += 1;
    if (revokesNow) {
      this->CutAllFromStore();
    }
    this->store.Put("op/config",
                    Configuration(this->version, !this->isRevoked));
    if (revokesNow) {
      this->ledger.Revoked("other", this->clock.Now() + kKeyRevocation);
    }
  }
}

}  // namespace zincstep::soak
