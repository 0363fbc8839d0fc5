#include "Zincstep/Relay/CrashWatch.h"

#include <algorithm>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time of the first try: many round trips. It doubles with each try that
/// shows nothing, as the upstream may only be slow.
constexpr Micros kFirstTimeout = 100ms;
constexpr Micros kLongestTimeout = 800ms;
/// Unanswered tries in a row that prove an end: an opening packet may be lost,
/// and comes again later than a try lasts.
constexpr int kProvenTries = 2;
/// A time-out that is noticed this much too late tells of this daemon alone.
constexpr Micros kLateness = 30ms;
/// Longest time without knowing: an upstream that has ended is off the list by
/// then.
constexpr Micros kLongestQuestion = 3s;
/// Requests blamed here after which those are forgotten that the ledger has
/// forgotten: callers make new ones at will.
constexpr std::size_t kMostBlamedHere = 8192;

}  // namespace

CrashWatch::CrashWatch(CrashLedger& aLedger, UpstreamControl& aControl,
                       const Clock& aClock, CrashListener& aListener)
    : ledger(aLedger),
      clock(aClock),
      listener(aListener),
      check(aControl, aClock, kLateness) {}

CrashWatch::Question CrashWatch::Begin(
    const UpstreamPtr& aUpstream,
    std::vector<RequestFingerprint> aRequests) const {
  const Instant now = this->clock.Now();
  Question question;
  question.upstream = aUpstream;
  question.requests = std::move(aRequests);
  question.begunAt = now;
  question.lostAt = now;
  question.timeout = kFirstTimeout;
  return question;
}

void CrashWatch::OnRunLost(RequestFingerprint aRequest,
                           const UpstreamPtr& aUpstream) {
  const std::uint64_t number = aUpstream->Number();
  this->ledger.OnSuspected({aRequest, number});
  const auto open = this->questions.find(number);
  if (open == this->questions.end()) {
    this->questions[number] = this->Begin(aUpstream, {aRequest});
    this->Try(number);
    return;
  }
  Question& question = open->second;
  question.lostAt = this->clock.Now();
  auto& requests = question.nextAt ? question.requests : question.later;
  requests.push_back(aRequest);
}

void CrashWatch::OnUpstreamAnswered(const LiveUpstream& aUpstream,
                                    Instant aSentAt) {
  const auto open = this->questions.find(aUpstream.Number());
  // Where incarnations are told apart, an answer does not say whose it is.
  const bool isProof = open != this->questions.end() &&
                       aUpstream.Entry().born == 0 &&
                       aSentAt > open->second.lostAt;
  if (isProof && open->second.nextAt) {
    this->Settle(open->first, "upstream_lives_after_loss", "an answer");
  }
}

void CrashWatch::Try(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  question.nextAt.reset();
  if (question.upstream->HasEnded()) {
    this->OnEnded(aUpstream, "it has started again");
    return;
  }
  if (!this->check.MayAsk(*question.upstream)) {
    this->Connect(aUpstream);
    return;
  }
  this->check.Ask(question.upstream, question.timeout,
                  [this, aUpstream](LifeSign aSign, const UpstreamReport*) {
                    this->OnAsked(aUpstream, aSign);
                  });
}

void CrashWatch::OnAsked(std::uint64_t aUpstream, LifeSign aSign) {
  switch (aSign) {
    case LifeSign::Lives:
      this->Settle(aUpstream, "upstream_lives_after_loss", "a report");
      break;
    case LifeSign::Ended:
      this->OnEnded(aUpstream, "another one answers");
      break;
    case LifeSign::Dropped:
      if (this->IsProven(aUpstream)) {
        this->OnEnded(aUpstream, "drops its connections");
      } else {
        this->Try(aUpstream);
      }
      break;
    case LifeSign::Silent:
      this->questions.at(aUpstream).unanswered += 1;
      this->Connect(aUpstream);
      break;
    case LifeSign::Unknown:
      this->Connect(aUpstream);
      break;
  }
}

void CrashWatch::Connect(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  this->check.Connect(question.upstream, question.timeout,
                      [this, aUpstream](LifeSign aSign, const UpstreamReport*) {
                        this->OnConnected(aUpstream, aSign);
                      });
}

void CrashWatch::OnConnected(std::uint64_t aUpstream, LifeSign aSign) {
  if (aSign == LifeSign::Ended) {
    this->OnEnded(aUpstream, "accepts no connection");
  } else if (aSign == LifeSign::Unknown) {
    this->Wait(this->questions.at(aUpstream));
  } else if (this->IsProven(aUpstream)) {
    this->OnEnded(aUpstream, aSign == LifeSign::Dropped
                                 ? "drops its connections"
                                 : "answers no connection");
  } else {
    this->Connect(aUpstream);
  }
}

bool CrashWatch::IsProven(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  question.unanswered += 1;
  return question.unanswered >= kProvenTries;
}

void CrashWatch::Wait(Question& aQuestion) {
  aQuestion.unanswered = 0;
  // Whatever broke off during this try is asked about by the next one.
  aQuestion.requests.insert(aQuestion.requests.end(), aQuestion.later.begin(),
                            aQuestion.later.end());
  aQuestion.later.clear();
  aQuestion.nextAt = this->clock.Now() + aQuestion.timeout;
  aQuestion.timeout = std::min(2 * aQuestion.timeout, kLongestTimeout);
}

void CrashWatch::Tick() {
  const Instant now = this->clock.Now();
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, question] : this->questions) {
    if (question.nextAt) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    const Question& question = this->questions.at(number);
    const bool hasEnded = question.upstream->HasEnded();
    if (!hasEnded && now - question.begunAt >= kLongestQuestion) {
      this->GiveUp(number);
    } else if (hasEnded || now >= *question.nextAt) {
      this->Try(number);
    }
  }
}

void CrashWatch::GiveUp(std::uint64_t aUpstream) {
  if (this->questions.at(aUpstream).upstream->IsGone()) {
    this->OnEnded(aUpstream, "it has left the list");
  } else {
    this->Settle(aUpstream, "upstream_end_unproven",
                 "connections are accepted, and it is on the list");
  }
}

void CrashWatch::Settle(std::uint64_t aUpstream, const char* aEvent,
                        const char* aReason) {
  const Question settled = std::move(this->questions.at(aUpstream));
  this->questions.erase(aUpstream);
  LogInfo(aEvent, {{"upstream", settled.upstream->Entry().id},
                   {"reason", aReason},
                   {"asked_ms", (this->clock.Now() - settled.begunAt) / 1ms},
                   {"requests", settled.requests.size()}});
  for (const RequestFingerprint request : settled.requests) {
    this->ledger.OnSettled({request, aUpstream});
  }
  for (const RequestFingerprint request : settled.later) {
    this->OnRunLost(request, settled.upstream);
  }
}

void CrashWatch::OnEnded(std::uint64_t aUpstream, const char* aReason) {
  Question ended = std::move(this->questions.at(aUpstream));
  this->questions.erase(aUpstream);
  ended.requests.insert(ended.requests.end(), ended.later.begin(),
                        ended.later.end());
  this->Blame(ended, aReason);
  this->Suspect(ended);
}

void CrashWatch::Blame(const Question& aQuestion, const char* aReason) {
  const UpstreamPtr& upstream = aQuestion.upstream;
  std::vector<UpstreamCrash> crashes;
  for (const RequestFingerprint request : aQuestion.requests) {
    const UpstreamCrash crash{request, upstream->Number()};
    this->ledger.OnSettled(crash);
    const bool isInnocent =
        this->Take(crash, Evidence::Found) == CrashVerdict::Innocent;
    LogInfo("upstream_ended_under",
            {{"fingerprint", TextOf(request)},
             {"upstream", upstream->Entry().id},
             {"reason", aReason},
             {"asked_ms", (this->clock.Now() - aQuestion.begunAt) / 1ms},
             {"answered_lately", isInnocent},
             {"beside", aQuestion.requests.size() - 1}});
    if (!isInnocent) {
      crashes.push_back(crash);
    }
  }
  if (!crashes.empty()) {
    this->listener.OnCrashes(crashes);
  }
}

void CrashWatch::Suspect(const Question& aQuestion) {
  const UpstreamPtr& upstream = aQuestion.upstream;
  const Instant now = this->clock.Now();
  if (!upstream->IsSuspect(now)) {
    upstream->Suspect(now);
    LogInfo("upstream_suspected", {{"upstream", upstream->Entry().id},
                                   {"reason", "it ended under a request"}});
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
