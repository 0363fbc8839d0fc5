#include "Zincstep/Relay/DomainRecoveryMonitor.h"

#include <algorithm>
#include <iterator>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Between questions to one domain: a cut's end is found within that and a
/// tick, at some three probes a question.
constexpr Micros kQuestionPause = 500ms;
/// Fewer suspects are single upstreams that have crashed.
constexpr std::size_t kFewestSuspects = 3;
/// Share of a domain's upstreams from which on the domain itself may be cut
/// off: only those that requests tried are under suspicion.
constexpr double kLostShare = 0.25;

}  // namespace

void DomainRecoveryMonitor::Tick(const UpstreamDirectory& aDirectory) {
  const Instant now = this->clock.Now();
  for (const auto& [domain, all] : aDirectory.ModelsByDomain()) {
    Members members;
    members.all = all.size();
    std::copy_if(
        all.begin(), all.end(), std::back_inserter(members.suspects),
        [now](const UpstreamPtr& aOne) { return aOne->IsSuspect(now); });
    const bool isLost = members.suspects.size() >= kFewestSuspects &&
                        static_cast<double>(members.suspects.size()) >=
                            kLostShare * static_cast<double>(members.all);
    if (!isLost) {
      this->questions.erase(domain);
      continue;
    }
    Question& question = this->questions[domain];
    if (question.asked && question.asked->LastResponseAt() >= question.at) {
      this->TakeBack(domain, members);
      this->questions.erase(domain);
    } else if (!question.asked || now - question.at >= kQuestionPause) {
      this->Ask(question, members);
    }
  }
}

void DomainRecoveryMonitor::Ask(Question& aQuestion, const Members& aMembers) {
  // Another one than last time, which may be dead.
  const std::size_t count = aMembers.suspects.size();
  const std::size_t pick = this->random.Below(count);
  aQuestion.asked = aMembers.suspects[pick] == aQuestion.asked
                        ? aMembers.suspects[(pick + 1) % count]
                        : aMembers.suspects[pick];
  aQuestion.at = this->clock.Now();
  this->probe.Verify(aQuestion.asked);
}

void DomainRecoveryMonitor::TakeBack(const std::string& aDomain,
                                     const Members& aMembers) {
  LogInfo("domain_answers_again", {{"failure_domain", aDomain},
                                   {"suspects", aMembers.suspects.size()},
                                   {"members", aMembers.all}});
  for (const UpstreamPtr& upstream : aMembers.suspects) {
    upstream->ClearSuspicion();
    this->probe.Verify(upstream);
  }
}

}  // namespace zincstep
