#include "Zincstep/Relay/ForwardChooser.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

constexpr int kMaxDoublings = 3;

/// Doubles with each consecutive failure.
Micros Backoff(Micros aMin, Micros aMax, int aFailures) {
  return std::min(aMin * (1 << std::min(aFailures, kMaxDoublings)), aMax);
}

}  // namespace

void ForwardChooser::SetPeers(const std::vector<ForwardPeer>& aPeers) {
  std::map<std::string, State> updated;
  for (const ForwardPeer& peer : aPeers) {
    const State* known = this->Find(peer.name);
    // Another process under the same name starts without a record.
    if (known != nullptr && known->peer.address == peer.address) {
      updated[peer.name] = *known;
    } else {
      updated[peer.name].peer = peer;
    }
  }
  this->peers = std::move(updated);
}

std::vector<const ForwardChooser::State*> ForwardChooser::Candidates(
    const std::string& aService, const std::vector<std::string>& aTried,
    std::size_t aUnreachable) const {
  const Instant now = this->clock.Now();
  std::vector<const State*> usable;
  std::vector<const State*> ownDomain;
  std::size_t ownDomainSize = 0;
  for (const auto& [name, state] : this->peers) {
    const bool isOwn = state.peer.failureDomain == this->settings.failureDomain;
    ownDomainSize += isOwn ? 1 : 0;
    const bool wasTried =
        std::find(aTried.begin(), aTried.end(), name) != aTried.end();
    const std::size_t unreachable = this->Unreachable(state, aService, now);
    const bool isLeftOut = unreachable > 0 && unreachable >= aUnreachable;
    if (wasTried || isLeftOut || !this->IsUsable(state, aService, now)) {
      continue;
    }
    usable.push_back(&state);
    if (isOwn) {
      ownDomain.push_back(&state);
    }
  }
  // The few that are left of a domain can't carry the requests of all others.
  const bool staysInDomain = 2 * ownDomain.size() >= ownDomainSize;
  return !ownDomain.empty() && staysInDomain ? ownDomain : usable;
}

bool ForwardChooser::HasReaching(const std::string& aService,
                                 std::size_t aUnreachable) const {
  return !this->Candidates(aService, {}, aUnreachable).empty();
}

std::optional<ForwardPeer> ForwardChooser::Choose(
    const std::string& aService, const std::vector<std::string>& aTried) {
  std::vector<const State*> candidates = this->Candidates(aService, aTried, 0);
  if (candidates.empty()) {
    candidates = this->Candidates(aService, aTried,
                                  std::numeric_limits<std::size_t>::max());
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const State& one = *candidates[this->random.Below(candidates.size())];
  const State& other = *candidates[this->random.Below(candidates.size())];
  return one.active <= other.active ? one.peer : other.peer;
}

std::size_t ForwardChooser::Unreachable(const State& aState,
                                        const std::string& aService,
                                        Instant aNow) const {
  const auto found = aState.cutOffFrom.find(aService);
  const bool isKnown = found != aState.cutOffFrom.end() &&
                       aNow - aState.reportedAt < this->settings.maxReachAge;
  return isKnown ? found->second : 0;
}

bool ForwardChooser::IsUsable(const State& aState, const std::string& aService,
                              Instant aNow) const {
  const auto refusals = aState.refusals.find(aService);
  const bool isRefusing =
      refusals != aState.refusals.end() && aNow < refusals->second.until;
  return aNow >= aState.retryAt && !isRefusing;
}

ForwardChooser::State* ForwardChooser::Find(const std::string& aPeer) {
  const auto found = this->peers.find(aPeer);
  return found == this->peers.end() ? nullptr : &found->second;
}

bool ForwardChooser::HasOtherThan(
    const std::vector<std::string>& aPeers) const {
  return std::any_of(
      this->peers.begin(), this->peers.end(), [&](const auto& aKnown) {
        return std::find(aPeers.begin(), aPeers.end(), aKnown.first) ==
               aPeers.end();
      });
}

void ForwardChooser::OnReach(
    const std::string& aPeer,
    const std::map<std::string, std::size_t>& aCutOffFrom) {
  if (State* state = this->Find(aPeer)) {
    state->cutOffFrom = aCutOffFrom;
    state->reportedAt = this->clock.Now();
  }
}

void ForwardChooser::OnStarted(const std::string& aPeer) {
  if (State* state = this->Find(aPeer)) {
    state->active += 1;
  }
}

void ForwardChooser::OnEnded(const std::string& aPeer) {
  // A daemon that was replaced meanwhile has no record of the request.
  if (State* state = this->Find(aPeer); state != nullptr && state->active > 0) {
    state->active -= 1;
  }
}

void ForwardChooser::OnRefused(const std::string& aPeer,
                               const std::string& aService) {
  State* state = this->Find(aPeer);
  if (state == nullptr) {
    return;
  }
  const Instant now = this->clock.Now();
  Refusals& refusals = state->refusals[aService];
  // Requests that were sent together are one observation.
  if (now >= refusals.until) {
    refusals.until =
        now + Backoff(this->settings.minRefusalBackoff,
                      this->settings.maxRefusalBackoff, refusals.count);
    refusals.count += 1;
  }
}

void ForwardChooser::OnNoResponse(const std::string& aPeer) {
  State* state = this->Find(aPeer);
  const Instant now = this->clock.Now();
  if (state != nullptr && now >= state->retryAt) {
    state->retryAt =
        now + Backoff(this->settings.minFailureBackoff,
                      this->settings.maxFailureBackoff, state->failures);
    state->failures += 1;
  }
}

void ForwardChooser::OnServed(const std::string& aPeer,
                              const std::string& aService) {
  if (State* state = this->Find(aPeer)) {
    state->failures = 0;
    state->refusals.erase(aService);
  }
}

}  // namespace zincstep
