/// \file
/// The check with upstreams that fail most requests, at the rate of a
/// deployment, beside faults of the daemons.

#include <signal.h>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
/// Share of the requests that fail, and how long they do.
constexpr double kFailureShare = 0.8;
constexpr Micros kFailureTime = 12s;
/// One request each; nine in ten are streams.
constexpr Micros kSendInterval = 10ms;
constexpr std::size_t kRequestsPerPlain = 10;
constexpr Micros kMinFaultInterval = 400ms;
constexpr Micros kFaultIntervalSpread = 2500ms;
/// Between two kills of all daemons: several within a retry window, each with
/// time to serve requests.
constexpr Micros kKillInterval = 2500ms;
/// How long upstreams are stopped, which is more than a retry window, and the
/// share of them where not all are.
constexpr Micros kStoppedTime = 16s;
constexpr double kStoppedShare = 0.6;
/// Callers that repeat at once have at most so many repeats in a run of the
/// loop.
constexpr std::size_t kRepeatingCallers = 4;

}  // namespace

UpstreamFailure SoakUpstream::FailureOf(const std::string& aRequest) const {
  // Differs at each upstream and incarnation, so that a repeat may succeed.
  const std::uint64_t hash = Hash64("failure" + aRequest + this->name +
                                    std::to_string(this->incarnation));
  constexpr std::uint64_t kParts = 1000;
  if (static_cast<double>(hash % kParts) >= this->failureShare * kParts) {
    return UpstreamFailure::None;
  }
  constexpr std::array kKinds{UpstreamFailure::Refusal, UpstreamFailure::Reset,
                              UpstreamFailure::Error, UpstreamFailure::Silence};
  return this->failure == UpstreamFailure::Mixed
             ? kKinds[hash / kParts % kKinds.size()]
             : this->failure;
}

bool SoakUpstream::FailRequest(
    const std::shared_ptr<CallerConnection>& aConnection,
    const CallerMessage& aMessage, const std::string& aRequest) {
  const UpstreamFailure how = this->FailureOf(aRequest);
  if (how == UpstreamFailure::None) {
    return false;
  }
  const HttpHeader id{"X-Attempt-Id", aRequest};
  if (how == UpstreamFailure::Refusal) {
    aConnection->Answer(kUnavailable, {id, {"X-Not-Executed", "1"}}, "");
    return true;
  }
  this->checker.OnRequestRun(
      aRequest, std::string(FindHeader(aMessage.head.headers, "X-Tenant")));
  if (how == UpstreamFailure::Reset) {
    aConnection->Abort();
  } else if (how == UpstreamFailure::Error) {
    aConnection->Answer(kServerError,
                        {id, {"X-Response-Seal", "seal-" + aRequest}}, "");
  } else {
    this->silentConnections.push_back(aConnection);
  }
  return true;
}

void Soak::FailUpstreams(UpstreamFailure aFailure, double aShare) {
  this->RecordFault("upstreams fail " + std::to_string(aShare) + ": " +
                    std::string(NameIn(kUpstreamFailureNames, aFailure)));
  for (const auto& upstream : this->upstreams) {
    upstream->SetFailure(aFailure, aShare);
  }
}

void Soak::InjectAtManyDaemons() {
  const std::size_t kind = this->linkRandom.Below(5);
  constexpr std::array kNames{"kill", "stop", "pause", "store links of",
                              "kill all of"};
  this->RecordFault(std::string(kNames[kind]) + " many daemons");
  for (const auto& daemon : this->daemons) {
    const bool isSpared = kind < 4 && this->linkRandom.Below(2) == 0;
    Daemon& one = *daemon;
    if (isSpared || !one.process->IsRunning()) {
      continue;
    }
    if (kind == 1) {
      one.process->Signal(SIGTERM);
    } else if (kind == 2) {
      one.process->Signal(SIGSTOP);
      this->ScheduleHeal([&one] { one.process->Signal(SIGCONT); });
    } else if (kind == 3) {
      one.storeLink->SetState(LinkState::Blackholed);
      this->ScheduleHeal([&one] { one.storeLink->SetState(LinkState::Up); });
    } else {
      one.process->Signal(SIGKILL);
    }
  }
}

void Soak::RepeatFailed(RequestKind aKind,
                        const Result<HttpResponse>& aResponse) {
  const bool isFailed = !aResponse || aResponse->status != 200;
  if (!this->repeatsFailed || !isFailed ||
      this->linkRandom.Below(kRepeatingCallers) == 0) {
    return;
  }
  const std::size_t pick = this->linkRandom.Below(this->daemons.size());
  asio::post(this->loop, [this, aKind, pick] {
    this->Send(*this->daemons[pick], aKind, false);
  });
}

void Soak::SendAsDeployment() {
  Daemon& daemon = *this->daemons[this->linkRandom.Below(this->daemons.size())];
  const bool isStream = this->linkRandom.Below(kRequestsPerPlain) > 0;
  const auto plain =
      this->linkRandom.Below(2) == 0 ? RequestKind::Safe : RequestKind::Unsafe;
  this->Send(daemon, isStream ? RequestKind::Stream : plain, false);
}

void Soak::SendWhileFailing(UpstreamFailure aFailure, DaemonFaults aFaults) {
  this->FailUpstreams(aFailure, kFailureShare);
  this->repeatsFailed = true;
  const Instant end = this->clock.Now() + kFailureTime;
  Instant nextAt = this->clock.Now() + kMinFaultInterval;
  while (this->clock.Now() < end) {
    this->SendAsDeployment();
    if (this->clock.Now() >= nextAt && aFaults == DaemonFaults::Drawn) {
      nextAt = this->clock.Now() + DrawFrom(this->linkRandom, kMinFaultInterval,
                                            kFaultIntervalSpread);
      this->InjectAtManyDaemons();
    } else if (this->clock.Now() >= nextAt && aFaults == DaemonFaults::Kills) {
      nextAt = this->clock.Now() + kKillInterval;
      this->RecordFault("kill all daemons");
      for (const auto& daemon : this->daemons) {
        daemon->process->Signal(SIGKILL);
      }
    }
    this->loop.run_for(kSendInterval);
  }
  this->repeatsFailed = false;
  this->HealAll();
  this->FailUpstreams(UpstreamFailure::None, 0);
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after upstreams failed");
  }
}

void Soak::SendWhileStopped(double aShare) {
  this->RecordFault("upstreams stopped, share " + std::to_string(aShare));
  std::vector<SoakUpstream*> stopped;
  for (const auto& upstream : this->upstreams) {
    if (this->linkRandom.Unit() < aShare) {
      upstream->Stop();
      stopped.push_back(upstream.get());
    }
  }
  const Instant end = this->clock.Now() + kStoppedTime;
  while (this->clock.Now() < end) {
    this->SendAsDeployment();
    this->loop.run_for(kSendInterval);
  }
  this->RecordFault("they continue");
  for (SoakUpstream* upstream : stopped) {
    upstream->Continue();
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover after upstreams were stopped");
  }
}

void Soak::CheckStoppedUpstreams() {
  this->SendWhileStopped(1);
  this->SendWhileStopped(kStoppedShare);
}

void Soak::CheckFailingUpstreams() {
  this->SendWhileFailing(UpstreamFailure::Refusal, DaemonFaults::None);
  this->SendWhileFailing(UpstreamFailure::Reset, DaemonFaults::Kills);
  this->SendWhileFailing(UpstreamFailure::Mixed, DaemonFaults::Drawn);
  this->SendWhileFailing(UpstreamFailure::Refusal, DaemonFaults::Drawn);
}
}  // namespace zincstep::soak
