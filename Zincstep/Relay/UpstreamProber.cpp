#include "Zincstep/Relay/UpstreamProber.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

UpstreamProber::UpstreamProber(UpstreamProberSettings aSettings,
                               UpstreamControl& aControl, const Clock& aClock,
                               OnSuspicion aOnSuspicion)
    : settings(aSettings),
      clock(aClock),
      check(aControl, aClock, aSettings.maxTimeoutLateness),
      onSuspicion(std::move(aOnSuspicion)),
      tokens(aSettings.maxPerSecond, aSettings.maxBurst) {}

bool UpstreamProber::TryAcquireToken(Instant aNow) {
  if (this->tokens.At(aNow) < 1) {
    return false;
  }
  this->tokens.Spend(1);
  return true;
}

void UpstreamProber::Probe(const UpstreamPtr& aUpstream) {
  const Instant now = this->clock.Now();
  Record& record = this->records[aUpstream->Number()];
  if (record.isPending || now < record.nextAt || !this->TryAcquireToken(now)) {
    return;
  }
  const bool isFirst = now - record.probedAt > 3 * this->settings.maxBackoff;
  record.backoff =
      isFirst ? this->settings.initialBackoff
              : std::min(2 * record.backoff, this->settings.maxBackoff);
  record.evidence = Provenance::Observed;
  this->StartProbe(record, aUpstream, now);
}

void UpstreamProber::Verify(const UpstreamPtr& aUpstream) {
  if (!aUpstream->Entry().IsOfModel()) {
    return;
  }
  const Instant now = this->clock.Now();
  Record& record = this->records[aUpstream->Number()];
  const bool isRecent = now - record.probedAt < this->settings.initialBackoff;
  if (!record.isPending && !isRecent && this->TryAcquireToken(now)) {
    record.evidence = Provenance::Reported;
    this->StartProbe(record, aUpstream, now);
  }
}

void UpstreamProber::StartProbe(Record& aRecord, const UpstreamPtr& aUpstream,
                                Instant aNow) {
  aRecord.upstream = aUpstream;
  aRecord.probedAt = aNow;
  aRecord.nextAt = aNow + aRecord.backoff;
  aRecord.isPending = true;
  this->StartAttempt(aUpstream, this->settings.maxAttempts);
}

void UpstreamProber::StartAttempt(const UpstreamPtr& aUpstream,
                                  int aAttemptsLeft) {
  this->SendProbe(aUpstream, this->settings.timeout,
                  [this, aUpstream, aAttemptsLeft](Liveness aLiveness) {
                    const bool isUnresponsive = aLiveness != Liveness::Alive &&
                                                aLiveness != Liveness::Unknown;
                    if (!isUnresponsive) {
                      this->FinishProbe(aUpstream);
                    } else if (aAttemptsLeft > 1) {
                      this->StartAttempt(aUpstream, aAttemptsLeft - 1);
                    } else {
                      this->OnNoResponse(aUpstream);
                    }
                  });
}

void UpstreamProber::SendProbe(const UpstreamPtr& aUpstream, Micros aTimeout,
                               std::function<void(Liveness)> aDone) {
  auto onResult = [this, aUpstream, done = std::move(aDone)](
                      Liveness aLiveness, const UpstreamReport* aReport) {
    if (aReport != nullptr) {
      this->OnReport(aUpstream, *aReport);
    }
    done(aLiveness);
  };
  aUpstream->MayCall(this->clock.Now())
      ? this->check.RequestReport(aUpstream, aTimeout, std::move(onResult))
      : this->check.ProbeConnection(aUpstream, aTimeout, std::move(onResult));
}

void UpstreamProber::OnReport(const UpstreamPtr& aUpstream,
                              const UpstreamReport& aReport) {
  const Instant now = this->clock.Now();
  if (aReport.slowdown != aUpstream->Slowdown(now)) {
    LogInfo("upstream_pace",
            {{"upstream", aUpstream->Entry().id}, {"pace", aReport.slowdown}});
  }
  aUpstream->OnResponse(now);
  aUpstream->SetSlowdown(aReport.slowdown, now);
}

void UpstreamProber::OnNoResponse(const UpstreamPtr& aUpstream) {
  const Instant now = this->clock.Now();
  if (!aUpstream->IsSuspect(now)) {
    aUpstream->Suspect(now);
    LogInfo("upstream_suspected", {{"upstream", aUpstream->Entry().id},
                                   {"reason", "no response to a probe"}});
    this->onSuspicion(this->records[aUpstream->Number()].evidence);
  }
  this->Recheck(aUpstream);
}

void UpstreamProber::Recheck(const UpstreamPtr& aUpstream) {
  this->SendProbe(
      aUpstream, this->settings.confirmTimeout,
      [this, aUpstream](Liveness) { this->FinishProbe(aUpstream); });
}

void UpstreamProber::FinishProbe(const UpstreamPtr& aUpstream) {
  this->records[aUpstream->Number()].isPending = false;
}

void UpstreamProber::Tick() {
  const Instant now = this->clock.Now();
  std::erase_if(this->records, [&](const auto& aRecord) {
    return !aRecord.second.isPending &&
           now - aRecord.second.probedAt > 3 * this->settings.maxBackoff;
  });
  std::vector<UpstreamPtr> slow;
  for (auto& [id, record] : this->records) {
    const bool isDue = now - record.probedAt >= this->settings.slowInterval;
    if (isDue && record.upstream &&
        record.upstream->ObservedSlowdown(now) > 1 &&
        record.upstream->MayCall(now)) {
      record.nextAt = now;
      slow.push_back(record.upstream);
    }
  }
  for (const UpstreamPtr& upstream : slow) {
    this->Probe(upstream);
  }
}

}  // namespace zincstep
