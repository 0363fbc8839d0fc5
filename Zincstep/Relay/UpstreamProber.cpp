#include "Zincstep/Relay/UpstreamProber.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

UpstreamProber::UpstreamProber(UpstreamProberSettings aSettings,
                               UpstreamControl& aControl, const Clock& aClock,
                               OnSuspicion aOnSuspicion)
    : settings(aSettings),
      clock(aClock),
      check(aControl, aClock, aSettings.latestTimeout),
      onSuspicion(std::move(aOnSuspicion)),
      tokens(aSettings.maxPerSecond, aSettings.maxBurst) {}

bool UpstreamProber::TryAcquireToken(Instant aNow) {
  if (this->tokens.At(aNow) < 1) {
    return false;
  }
  this->tokens.Spend(1);
  return true;
}

void UpstreamProber::Ask(const UpstreamPtr& aUpstream) {
  const Instant now = this->clock.Now();
  Record& record = this->records[aUpstream->Number()];
  if (record.isOpen || now < record.nextAt || !this->TryAcquireToken(now)) {
    return;
  }
  const bool isFirst = now - record.askedAt > 3 * this->settings.longestPause;
  record.pause = isFirst
                     ? this->settings.firstPause
                     : std::min(2 * record.pause, this->settings.longestPause);
  record.evidence = Provenance::Observed;
  this->Start(record, aUpstream, now);
}

void UpstreamProber::Verify(const UpstreamPtr& aUpstream) {
  if (!aUpstream->Entry().IsOfModel()) {
    return;
  }
  const Instant now = this->clock.Now();
  Record& record = this->records[aUpstream->Number()];
  const bool isRecent = now - record.askedAt < this->settings.firstPause;
  if (!record.isOpen && !isRecent && this->TryAcquireToken(now)) {
    record.evidence = Provenance::Reported;
    this->Start(record, aUpstream, now);
  }
}

void UpstreamProber::Start(Record& aRecord, const UpstreamPtr& aUpstream,
                           Instant aNow) {
  aRecord.upstream = aUpstream;
  aRecord.askedAt = aNow;
  aRecord.nextAt = aNow + aRecord.pause;
  aRecord.isOpen = true;
  this->Send(aUpstream, this->settings.tries);
}

void UpstreamProber::Send(const UpstreamPtr& aUpstream, int aTriesLeft) {
  this->Question(aUpstream, this->settings.timeout,
                 [this, aUpstream, aTriesLeft](Liveness aSign) {
                   const bool mayBeLost =
                       aSign != Liveness::Alive && aSign != Liveness::Unknown;
                   if (!mayBeLost) {
                     this->Close(aUpstream);
                   } else if (aTriesLeft > 1) {
                     this->Send(aUpstream, aTriesLeft - 1);
                   } else {
                     this->OnSilence(aUpstream);
                   }
                 });
}

void UpstreamProber::Question(const UpstreamPtr& aUpstream, Micros aTimeout,
                              std::function<void(Liveness)> aDone) {
  auto take = [this, aUpstream, done = std::move(aDone)](
                  Liveness aSign, const UpstreamReport* aReport) {
    if (aReport != nullptr) {
      this->OnAnswer(aUpstream, *aReport);
    }
    done(aSign);
  };
  aUpstream->MayCall(this->clock.Now())
      ? this->check.Ask(aUpstream, aTimeout, std::move(take))
      : this->check.Connect(aUpstream, aTimeout, std::move(take));
}

void UpstreamProber::OnAnswer(const UpstreamPtr& aUpstream,
                              const UpstreamReport& aReport) {
  const Instant now = this->clock.Now();
  if (aReport.slowdown != aUpstream->Slowdown(now)) {
    LogInfo("upstream_pace",
            {{"upstream", aUpstream->Entry().id}, {"pace", aReport.slowdown}});
  }
  aUpstream->OnResponse(now);
  aUpstream->SetSlowdown(aReport.slowdown, now);
}

void UpstreamProber::OnSilence(const UpstreamPtr& aUpstream) {
  const Instant now = this->clock.Now();
  if (!aUpstream->IsSuspect(now)) {
    aUpstream->Suspect(now);
    LogInfo("upstream_suspected", {{"upstream", aUpstream->Entry().id},
                                   {"reason", "no answer to a probe"}});
    this->onSuspicion(this->records[aUpstream->Number()].evidence);
  }
  this->Confirm(aUpstream);
}

void UpstreamProber::Confirm(const UpstreamPtr& aUpstream) {
  this->Question(aUpstream, this->settings.confirmTimeout,
                 [this, aUpstream](Liveness) { this->Close(aUpstream); });
}

void UpstreamProber::Close(const UpstreamPtr& aUpstream) {
  this->records[aUpstream->Number()].isOpen = false;
}

void UpstreamProber::Tick() {
  const Instant now = this->clock.Now();
  std::erase_if(this->records, [&](const auto& aRecord) {
    return !aRecord.second.isOpen &&
           now - aRecord.second.askedAt > 3 * this->settings.longestPause;
  });
  std::vector<UpstreamPtr> slow;
  for (auto& [id, record] : this->records) {
    const bool isDue = now - record.askedAt >= this->settings.slowPause;
    if (isDue && record.upstream &&
        record.upstream->ObservedSlowdown(now) > 1 &&
        record.upstream->MayCall(now)) {
      record.nextAt = now;
      slow.push_back(record.upstream);
    }
  }
  for (const UpstreamPtr& upstream : slow) {
    this->Ask(upstream);
  }
}

}  // namespace zincstep
