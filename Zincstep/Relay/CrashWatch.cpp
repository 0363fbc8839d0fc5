#include "Zincstep/Relay/CrashWatch.h"

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time to connect to an upstream that lives: many round trips. An opening
/// packet that is lost comes again later than that, so one more try is made.
constexpr Micros kReachTimeout = 100ms;
constexpr int kReachTries = 2;
/// A time-out that is noticed this much too late tells of this daemon alone.
constexpr Micros kLateness = 30ms;
/// Requests blamed here after which those are forgotten that the ledger has
/// forgotten: callers make new ones at will.
constexpr std::size_t kMostBlamedHere = 8192;

}  // namespace

CrashWatch::CrashWatch(CrashLedger& aLedger, UpstreamControl& aControl,
                       const Clock& aClock, CrashListener& aListener)
    : ledger(aLedger), control(aControl), clock(aClock), listener(aListener) {}

void CrashWatch::OnRunLost(RequestFingerprint aRequest,
                           const UpstreamPtr& aUpstream) {
  const std::uint64_t number = aUpstream->Number();
  const auto open = this->questions.find(number);
  if (open != this->questions.end()) {
    open->second.later.push_back(aRequest);
    return;
  }
  this->questions[number] = {aUpstream, {aRequest}, {}, kReachTries};
  this->Ask(number);
}

void CrashWatch::Ask(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  question.triesLeft -= 1;
  const Instant latest = this->clock.Now() + kReachTimeout + kLateness;
  this->control.Reach(question.upstream->Entry(), kReachTimeout,
                      [this, aUpstream, latest](Reachability aReachability) {
                        this->OnReached(aUpstream, latest, aReachability);
                      });
}

void CrashWatch::OnReached(std::uint64_t aUpstream, Instant aLatest,
                           Reachability aReachability) {
  Question& question = this->questions.at(aUpstream);
  const bool isSilent = aReachability == Reachability::Silent;
  if (isSilent && question.triesLeft > 0) {
    this->Ask(aUpstream);
    return;
  }
  const bool isLate = isSilent && this->clock.Now() > aLatest;
  if (aReachability == Reachability::Reached || isLate) {
    LogInfo("upstream_reached_after_loss",
            {{"upstream", question.upstream->Entry().id},
             {"how", NameIn(kReachabilityNames, aReachability)},
             {"requests", question.requests.size()}});
    question.requests = std::exchange(question.later, {});
    question.triesLeft = kReachTries;
    question.requests.empty() ? void(this->questions.erase(aUpstream))
                              : this->Ask(aUpstream);
    return;
  }
  Question ended = std::move(question);
  this->questions.erase(aUpstream);
  ended.requests.insert(ended.requests.end(), ended.later.begin(),
                        ended.later.end());
  this->OnEnded(ended);
}

void CrashWatch::OnEnded(const Question& aQuestion) {
  const Instant now = this->clock.Now();
  const UpstreamPtr& upstream = aQuestion.upstream;
  std::vector<UpstreamCrash> crashes;
  for (const RequestFingerprint request : aQuestion.requests) {
    const UpstreamCrash crash{request, upstream->Number()};
    const bool isInnocent =
        this->Take(crash, Evidence::Found) == CrashVerdict::Innocent;
    LogInfo("upstream_ended_under",
            {{"fingerprint", TextOf(request)},
             {"upstream", upstream->Entry().id},
             {"answered_lately", isInnocent},
             {"beside", aQuestion.requests.size() - 1}});
    if (!isInnocent) {
      crashes.push_back(crash);
    }
  }
  if (!crashes.empty()) {
    this->listener.OnCrashes(crashes);
  }
  if (!upstream->IsSuspect(now)) {
    upstream->Suspect(now);
    LogInfo("upstream_suspected", {{"upstream", upstream->Entry().id},
                                   {"reason", "accepts no connection"}});
    this->listener.OnCrashSuspicion();
  }
}

CrashVerdict CrashWatch::Take(const UpstreamCrash& aCrash, Evidence aEvidence) {
  const CrashVerdict verdict = this->ledger.OnCrash(aCrash, this->clock.Now());
  if (verdict != CrashVerdict::Innocent && aEvidence == Evidence::Found) {
    if (this->blamedHere.size() >= kMostBlamedHere) {
      std::erase_if(this->blamedHere, [this](RequestFingerprint aRequest) {
        return !this->ledger.IsBlamed(aRequest);
      });
    }
    this->blamedHere.insert(aCrash.request);
  }
  if (verdict == CrashVerdict::Blocked) {
    LogWarning("request_blocked", {{"fingerprint", TextOf(aCrash.request)},
                                   {"told", aEvidence == Evidence::Told}});
    this->listener.OnBlocked(aCrash.request);
  }
  return verdict;
}

void CrashWatch::OnAnswered(RequestFingerprint aRequest) {
  if (!this->ledger.OnAnswered(aRequest, this->clock.Now())) {
    return;
  }
  this->blamedHere.erase(aRequest);
  LogInfo("request_cleared", {{"fingerprint", TextOf(aRequest)}});
  this->listener.OnCleared(aRequest);
}

bool CrashWatch::TakeCleared(RequestFingerprint aRequest) {
  if (this->ledger.Clear(aRequest)) {
    LogInfo("request_cleared", {{"fingerprint", TextOf(aRequest)}});
  }
  return this->blamedHere.erase(aRequest) > 0;
}

}  // namespace zincstep
