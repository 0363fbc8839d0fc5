#include "Zincstep/Relay/CrashDetector.h"

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

CrashDetector::CrashDetector(CrashTracker& aLedger, UpstreamControl& aControl,
                             const Clock& aClock, CrashListener& aListener)
    : ledger(aLedger),
      clock(aClock),
      listener(aListener),
      check(aControl, aClock, kLateness) {}

void CrashDetector::OnRunLost(RequestFingerprint aRequest,
                              const UpstreamPtr& aUpstream) {
  const std::uint64_t number = aUpstream->Number();
  const LostRun run{aRequest, this->clock.Now()};
  this->ledger.OnSuspected({aRequest, number});
  const auto open = this->questions.find(number);
  if (open != this->questions.end()) {
    Question& question = open->second;
    (question.nextAt ? question.runs : question.later).push_back(run);
    return;
  }
  Question& question = this->questions[number];
  question.upstream = aUpstream;
  question.runs = {run};
  question.timeout = kFirstTimeout;
  this->Try(number);
}

void CrashDetector::OnUpstreamAnswered(const LiveUpstream& aUpstream,
                                       Instant aSentAt) {
  const auto open = this->questions.find(aUpstream.Number());
  // Where incarnations are told apart, an answer does not say whose it is.
  const bool isProof = open != this->questions.end() && open->second.nextAt &&
                       aUpstream.Entry().startTimeMs == 0 &&
                       aSentAt > open->second.runs.back().at;
  if (isProof) {
    this->OnAlive(open->first, "an answer");
  }
}

void CrashDetector::Try(std::uint64_t aUpstream) {
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
                  [this, aUpstream](Liveness aSign, const UpstreamReport*) {
                    this->OnAsked(aUpstream, aSign);
                  });
}

void CrashDetector::OnAsked(std::uint64_t aUpstream, Liveness aSign) {
  switch (aSign) {
    case Liveness::Alive:
      this->OnAlive(aUpstream, "a report");
      break;
    case Liveness::Ended:
      this->OnEnded(aUpstream, "another one answers");
      break;
    case Liveness::Dropped:
      if (this->CountUnanswered(aUpstream)) {
        this->OnEnded(aUpstream, "drops its connections");
      } else {
        this->Try(aUpstream);
      }
      break;
    case Liveness::Silent:
      this->questions.at(aUpstream).unanswered += 1;
      this->Connect(aUpstream);
      break;
    case Liveness::Unknown:
      this->Connect(aUpstream);
      break;
  }
}

void CrashDetector::Connect(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  this->check.Connect(question.upstream, question.timeout,
                      [this, aUpstream](Liveness aSign, const UpstreamReport*) {
                        this->OnConnected(aUpstream, aSign);
                      });
}

void CrashDetector::OnConnected(std::uint64_t aUpstream, Liveness aSign) {
  if (aSign == Liveness::Ended) {
    this->OnEnded(aUpstream, "accepts no connection");
  } else if (aSign == Liveness::Unknown) {
    this->Wait(this->questions.at(aUpstream));
  } else if (this->CountUnanswered(aUpstream)) {
    this->OnEnded(aUpstream, aSign == Liveness::Dropped
                                 ? "drops its connections"
                                 : "answers no connection");
  } else {
    this->Connect(aUpstream);
  }
}

bool CrashDetector::CountUnanswered(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  question.unanswered += 1;
  return question.unanswered >= kProvenTries;
}

void CrashDetector::Wait(Question& aQuestion) {
  aQuestion.unanswered = 0;
  // Whatever broke off during this try is asked about by the next one.
  aQuestion.runs.insert(aQuestion.runs.end(), aQuestion.later.begin(),
                        aQuestion.later.end());
  aQuestion.later.clear();
  aQuestion.nextAt = this->clock.Now() + aQuestion.timeout;
  aQuestion.timeout = std::min(2 * aQuestion.timeout, kLongestTimeout);
}

void CrashDetector::Tick() {
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
    if (!hasEnded && now - question.runs.front().at >= kLongestQuestion) {
      this->GiveUp(number);
    } else if (hasEnded || now >= *question.nextAt) {
      this->Try(number);
    }
  }
}

void CrashDetector::GiveUp(std::uint64_t aUpstream) {
  Question& question = this->questions.at(aUpstream);
  if (question.upstream->IsDeregistered()) {
    this->OnEnded(aUpstream, "it has left the list");
    return;
  }
  // The upstream may have ended since the first of them; those that broke off
  // later have the same time.
  const auto young =
      std::find_if(question.runs.begin(), question.runs.end(),
                   [now = this->clock.Now()](const LostRun& aRun) {
                     return now - aRun.at < kLongestQuestion;
                   });
  const std::vector<LostRun> old(question.runs.begin(), young);
  question.runs.erase(question.runs.begin(), young);
  this->Settle(question, old, "upstream_end_unproven",
               "connections are accepted, and it is on the list");
  for (const LostRun& run : question.runs) {
    this->ledger.OnSuspected({run.request, aUpstream});
  }
  if (question.runs.empty()) {
    this->questions.erase(aUpstream);
  }
}

void CrashDetector::OnAlive(std::uint64_t aUpstream, const char* aReason) {
  const Question settled = std::move(this->questions.at(aUpstream));
  this->questions.erase(aUpstream);
  this->Settle(settled, settled.runs, "upstream_lives_after_loss", aReason);
  for (const LostRun& run : settled.later) {
    this->OnRunLost(run.request, settled.upstream);
  }
}

void CrashDetector::OnEnded(std::uint64_t aUpstream, const char* aReason) {
  Question ended = std::move(this->questions.at(aUpstream));
  this->questions.erase(aUpstream);
  ended.runs.insert(ended.runs.end(), ended.later.begin(), ended.later.end());
  this->Blame(ended, aReason);
  this->Suspect(ended);
}

void CrashDetector::Settle(const Question& aQuestion,
                           const std::vector<LostRun>& aRuns,
                           const char* aEvent, const char* aReason) {
  LogInfo(aEvent, {{"upstream", aQuestion.upstream->Entry().id},
                   {"reason", aReason},
                   {"asked_ms", (this->clock.Now() - aRuns.front().at) / 1ms},
                   {"requests", aRuns.size()}});
  for (const LostRun& run : aRuns) {
    this->ledger.OnSuspicionResolved(
        {run.request, aQuestion.upstream->Number()});
  }
}

void CrashDetector::Blame(const Question& aQuestion, const char* aReason) {
  const UpstreamPtr& upstream = aQuestion.upstream;
  std::vector<UpstreamCrash> crashes;
  for (const LostRun& run : aQuestion.runs) {
    const UpstreamCrash crash{run.request, upstream->Number()};
    this->ledger.OnSuspicionResolved(crash);
    const bool isInnocent =
        this->Take(crash, Provenance::Observed) == CrashVerdict::Ignored;
    LogInfo("upstream_ended_under",
            {{"fingerprint", TextOf(run.request)},
             {"upstream", upstream->Entry().id},
             {"reason", aReason},
             {"asked_ms", (this->clock.Now() - run.at) / 1ms},
             {"answered_lately", isInnocent},
             {"beside", aQuestion.runs.size() - 1}});
    if (!isInnocent) {
      crashes.push_back(crash);
    }
  }
  if (!crashes.empty()) {
    this->listener.OnCrashes(crashes);
  }
}

void CrashDetector::Suspect(const Question& aQuestion) {
  const UpstreamPtr& upstream = aQuestion.upstream;
  const Instant now = this->clock.Now();
  if (!upstream->IsSuspect(now)) {
    upstream->Suspect(now);
    LogInfo("upstream_suspected", {{"upstream", upstream->Entry().id},
                                   {"reason", "it ended under a request"}});
    this->listener.OnUpstreamSuspected();
  }
}

CrashVerdict CrashDetector::Take(const UpstreamCrash& aCrash,
                                 Provenance aProvenance) {
  const CrashVerdict verdict = this->ledger.OnCrash(aCrash, this->clock.Now());
  if (verdict != CrashVerdict::Ignored && aProvenance == Provenance::Observed) {
    if (this->blamedHere.size() >= kMostBlamedHere) {
      std::erase_if(this->blamedHere, [this](RequestFingerprint aRequest) {
        return !this->ledger.HasCrashes(aRequest);
      });
    }
    this->blamedHere.insert(aCrash.request);
  }
  if (verdict == CrashVerdict::Blocked) {
    LogWarning("request_blocked",
               {{"fingerprint", TextOf(aCrash.request)},
                {"told", aProvenance == Provenance::Reported}});
    this->listener.OnBlocked(aCrash.request);
  }
  return verdict;
}

void CrashDetector::OnAnswered(RequestFingerprint aRequest) {
  if (!this->ledger.OnCompleted(aRequest, this->clock.Now())) {
    return;
  }
  this->blamedHere.erase(aRequest);
  LogInfo("request_cleared", {{"fingerprint", TextOf(aRequest)}});
  this->listener.OnCleared(aRequest);
}

bool CrashDetector::OnClearedByPeer(RequestFingerprint aRequest) {
  if (this->ledger.Clear(aRequest)) {
    LogInfo("request_cleared", {{"fingerprint", TextOf(aRequest)}});
  }
  return this->blamedHere.erase(aRequest) > 0;
}

}  // namespace zincstep
