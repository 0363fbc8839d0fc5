/// \file
/// The check with upstreams that set a rate limit for all daemons together.

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// Calls per second, below the load on an upstream without a limit.
constexpr double kPlainLimit = 1;
constexpr double kModelLimit = 0.4;
/// All daemons have received a new limit by then.
constexpr Micros kPropagationTime = 3s;
constexpr Micros kObservationTime = 8s;
constexpr Micros kWindow = 4s;
constexpr double kTolerance = 1.5;
constexpr double kExtraCalls = 5;
/// All daemons know by then that a limit has been removed.
constexpr Micros kRemovalPropagationTime = 15s;

/// The Retry-After of an upstream, and the calls that each daemon may make in
/// that time: the rejected one and two more.
constexpr Micros kRetryAfter = 3s;
constexpr std::size_t kMaxCallsInBackoff = 3;

}  // namespace

std::vector<SoakUpstream*> Soak::SetLimits() {
  std::vector<SoakUpstream*> limited;
  for (const bool isOfModel : {false, true}) {
    for (const auto& upstream : this->upstreams) {
      if (upstream->IsOfModel() == isOfModel && upstream->AcceptsRequests()) {
        upstream->SetLimit(isOfModel ? kModelLimit : kPlainLimit);
        limited.push_back(upstream.get());
        break;
      }
    }
  }
  return limited;
}

void Soak::CheckLimits() {
  this->RecordFault("upstreams set limits");
  const std::vector<SoakUpstream*> limited = this->SetLimits();
  this->loop.run_for(kPropagationTime);
  const Instant since = this->clock.Now();
  this->loop.run_for(kObservationTime);
  for (const SoakUpstream* upstream : limited) {
    const double limit = upstream->IsOfModel() ? kModelLimit : kPlainLimit;
    const double allowed =
        kTolerance * limit * ToSeconds(kWindow) + kExtraCalls;
    const std::size_t maxCalls = upstream->MaxCalls(since, kWindow);
    if (static_cast<double>(maxCalls) > allowed) {
      this->checker.AddViolation(
          "an upstream with a limit of " + std::to_string(limit) +
          " calls per second got " + std::to_string(maxCalls) + " in 4 s");
    }
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover while upstreams had limits");
  }
  this->CheckLimitsLifted(limited);
}

void Soak::CheckLimitsLifted(const std::vector<SoakUpstream*>& aLimited) {
  this->RecordFault("upstreams remove their limits");
  for (SoakUpstream* upstream : aLimited) {
    upstream->SetLimit(std::nullopt);
  }
  this->loop.run_for(kRemovalPropagationTime);
  const auto plain =
      std::find_if(aLimited.begin(), aLimited.end(),
                   [](const SoakUpstream* aOne) { return !aOne->IsOfModel(); });
  if (plain != aLimited.end()) {
    this->CheckRetryAfter(**plain);
  }
}

void Soak::CheckRetryAfter(const SoakUpstream& aOther) {
  this->RecordFault("all plain upstreams but one send Retry-After");
  std::vector<SoakUpstream*> backingOff;
  for (const auto& upstream : this->upstreams) {
    if (!upstream->IsOfModel() && upstream.get() != &aOther &&
        upstream->AcceptsRequests()) {
      backingOff.push_back(upstream.get());
    }
  }
  if (backingOff.empty()) {
    this->checker.AddViolation("fewer than two plain upstreams are alive");
    return;
  }
  std::vector<std::size_t> before;
  for (SoakUpstream* upstream : backingOff) {
    before.push_back(upstream->Calls());
    upstream->SetRetryAfter(kRetryAfter);
  }
  const std::size_t otherBefore = aOther.Calls();
  this->loop.run_for(kRetryAfter);
  const std::size_t allowed = kMaxCallsInBackoff * this->daemons.size();
  for (std::size_t i = 0; i < backingOff.size(); ++i) {
    const std::size_t received = backingOff[i]->Calls() - before[i];
    if (received > allowed) {
      this->checker.AddViolation("an upstream that sent Retry-After got " +
                                 std::to_string(received) + " calls, allowed " +
                                 std::to_string(allowed));
    }
    backingOff[i]->SetRetryAfter(std::nullopt);
  }
  const double maxCallsWithLimit =
      kTolerance * kPlainLimit * ToSeconds(kRetryAfter) + kExtraCalls;
  if (static_cast<double>(aOther.Calls() - otherBefore) <= maxCallsWithLimit) {
    this->checker.AddViolation(
        "an upstream is not used after its limit was removed");
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation(
        "service did not recover while upstreams sent Retry-After");
  }
}

}  // namespace zincstep::soak
