#include "Zincstep/Relay/ServiceCapacity.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Weight of the newest value in moving averages.
constexpr double kAverageWeight = 0.05;
/// Duration of a response until one was measured.
constexpr double kDefaultResponseSeconds = 2;
/// Upper bound of an expected wait.
constexpr Micros kMaxExpectedWait = 30s;
/// Minimum share of what ends that is left to a priority, in estimates: bursts
/// of more urgent ones last some seconds.
constexpr double kMinLeftShare = 0.1;
/// Maximum age of an organisation's report, as a multiple of the interval.
constexpr int kMaxMissedIntervals = 4;

double ResponseSeconds(const CapacityInput& aInput) {
  return aInput.responseSeconds > 0 ? aInput.responseSeconds
                                    : kDefaultResponseSeconds;
}

}  // namespace

void ServiceCapacity::SetDomain(std::size_t aDaemons, Micros aReportInterval) {
  this->headroom.SetDomain(aDaemons, aReportInterval);
  this->reportInterval = aReportInterval;
}

void ServiceCapacity::OnRequest(int aPriority, const std::string& aOrganisation,
                                double aTokens, Instant aNow) {
  this->headroom.OnRequest(aPriority, aTokens, aNow);
  this->shares.OnRequest(OrganisationHash(aOrganisation), aTokens, aNow);
  const double weight = this->meanTokens > 0 ? kAverageWeight : 1;
  this->meanTokens += weight * (aTokens - this->meanTokens);
}

const DomainRoom* ServiceCapacity::OwnRoom(const CapacityInput& aInput) {
  for (const DomainRoom& room :
       this->rooms.Of(aInput.model, aInput.upstreams, aInput.responseSeconds,
                      aInput.now)) {
    if (room.domain == aInput.ownDomain) {
      return &room;
    }
  }
  return nullptr;
}

bool ServiceCapacity::IsOverShare(const std::string& aOrganisation,
                                  const CapacityInput& aInput) {
  const DomainRoom* own = this->OwnRoom(aInput);
  if (own == nullptr) {
    return false;
  }
  const CapacityRoom& total = own->capacity.total;
  const double capacity =
      std::min(total.tokens, total.starts * this->meanTokens);
  return this->shares.IsOverShare(OrganisationHash(aOrganisation), capacity,
                                  ResponseSeconds(aInput), aInput.now);
}

RoomRequest ServiceCapacity::RequestOf(int aPriority,
                                       const std::string& aOrganisation,
                                       double aTokens, bool aIsOverShare,
                                       Instant aNow) const {
  return {aPriority, aTokens, aIsOverShare,
          aIsOverShare
              ? this->shares.Rate(OrganisationHash(aOrganisation), aNow)
              : 0};
}

std::vector<std::uint64_t> ServiceCapacity::Add(WaitingRequest aRequest,
                                                RefusalHistory aHistory,
                                                const CapacityInput& aInput) {
  if (this->IsOverShare(aRequest.organisation, aInput)) {
    aRequest.order = WaitingOrder::OverShare;
  } else if (aHistory == RefusalHistory::ReturnedEarly) {
    aRequest.order = WaitingOrder::ReturnedEarly;
  } else if (aHistory == RefusalHistory::Waited) {
    aRequest.order = WaitingOrder::Returned;
  }
  return this->queue.Add(aRequest, aInput.now);
}

const std::vector<UpstreamPtr>* ServiceCapacity::FindRoom(
    const RoomRequest& aRequest, bool aIgnoresHeadroom,
    const CapacityInput& aInput) {
  const std::vector<DomainRoom>& all = this->rooms.Of(
      aInput.model, aInput.upstreams, aInput.responseSeconds, aInput.now);
  this->hasRoom.assign(all.size(), false);
  std::size_t count = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    DomainCapacity capacity = all[i].capacity;
    if (all[i].domain == aInput.ownDomain) {
      capacity.free.tokens -= aInput.reservedTokens;
    }
    const bool fits =
        aIgnoresHeadroom
            ? capacity.free.tokens >= aRequest.tokens &&
                  capacity.free.starts >= 1
            : this->headroom.MayStart(aRequest, capacity, aInput.now);
    this->hasRoom[i] = all[i].holdsAllLayers && fits;
    count += this->hasRoom[i] ? 1 : 0;
  }
  if (count == 0) {
    return nullptr;
  }
  if (count == all.size()) {
    return &aInput.upstreams;
  }
  this->candidates.clear();
  for (const UpstreamPtr& upstream : aInput.upstreams) {
    const auto room =
        std::find_if(all.begin(), all.end(), [&](const DomainRoom& aRoom) {
          return aRoom.domain == upstream->Entry().failureDomain;
        });
    if (room != all.end() &&
        this->hasRoom[static_cast<std::size_t>(room - all.begin())]) {
      this->candidates.push_back(upstream);
    }
  }
  return &this->candidates;
}

std::optional<CapacityStart> ServiceCapacity::NextStart(
    const CapacityInput& aInput) {
  while (const auto next = this->queue.Next(aInput.now)) {
    const WaitingRequest& waiting = *this->queue.Find(next->id);
    const RoomRequest request =
        this->RequestOf(waiting.priority, waiting.organisation, waiting.tokens,
                        waiting.order == WaitingOrder::OverShare, aInput.now);
    const auto* upstreams =
        this->FindRoom(request, next->ignoresHeadroom, aInput);
    if (upstreams != nullptr) {
      return CapacityStart{next->id, upstreams};
    }
    if (!next->ignoresHeadroom) {
      // What follows is less urgent and needs at least as much headroom.
      return std::nullopt;
    }
    this->queue.Defer(next->id);
  }
  return std::nullopt;
}

void ServiceCapacity::OnStarted(std::uint64_t aId) {
  const WaitingRequest& request = *this->queue.Find(aId);
  this->used[request.priority] += request.tokens;
  this->shares.OnStarted(OrganisationHash(request.organisation),
                         request.tokens);
  this->queue.OnStarted(aId);
  this->rooms.Invalidate();
}

void ServiceCapacity::Defer(std::uint64_t aId) { this->queue.Defer(aId); }

void ServiceCapacity::OnEnded(int aPriority, const std::string& aOrganisation,
                              double aTokens) {
  double& tokens = this->used[aPriority];
  tokens = std::max(0.0, tokens - aTokens);
  this->shares.OnEnded(OrganisationHash(aOrganisation), aTokens);
  this->queue.OnEnded(aOrganisation, aTokens);
  this->rooms.Invalidate();
}

void ServiceCapacity::OnFirstEvent(Micros aDelay) {
  const double weight = this->firstEventSeconds > 0 ? kAverageWeight : 1;
  this->firstEventSeconds +=
      weight * (ToSeconds(aDelay) - this->firstEventSeconds);
}

Micros ServiceCapacity::UsualFirstEvent(const ModelShape& aModel) const {
  if (this->firstEventSeconds > 0) {
    return FromSeconds(this->firstEventSeconds);
  }
  const double reading = aModel.readTokensPerSecond > 0
                             ? aModel.usualPrompt / aModel.readTokensPerSecond
                             : 0;
  return FromSeconds(reading) + aModel.stepTime;
}

std::optional<Micros> ServiceCapacity::ExpectedWait(
    int aPriority, const std::string& aOrganisation, double aTokens,
    const CapacityInput& aInput) {
  const DomainRoom* own = this->OwnRoom(aInput);
  if (own == nullptr || !own->holdsAllLayers) {
    return std::nullopt;
  }
  const RoomRequest request =
      this->RequestOf(aPriority, aOrganisation, aTokens,
                      this->IsOverShare(aOrganisation, aInput), aInput.now);
  const DomainCapacity& capacity = own->capacity;
  const CapacityRoom reserved =
      this->headroom.BoundedHeadroom(request, capacity, aInput.now);
  const double ahead = this->queue.TokensAhead(aPriority);
  const double seconds = ResponseSeconds(aInput);
  // By Little's law, what is used ends within the mean duration of a response.
  // Of what ends, the more urgent requests that arrive take their part first.
  const double urgentShare =
      capacity.endingTokens > 0
          ? this->headroom.MoreUrgentRate(aPriority, aInput.now) /
                capacity.endingTokens
          : 0;
  const double leftShare = std::max(kMinLeftShare, 1 - urgentShare);
  const auto wait = [&](double aNeeded, double aFree, double aTotal) {
    const double missing = aNeeded - aFree;
    if (missing <= 0) {
      return 0.0;
    }
    const double used = aTotal - aFree;
    return used > 0 ? missing / used * seconds / leftShare
                    : ToSeconds(kMaxExpectedWait);
  };
  const double size = this->meanTokens > 0 ? this->meanTokens : aTokens;
  const double longest =
      std::max(wait(aTokens + ahead + reserved.tokens, capacity.free.tokens,
                    capacity.total.tokens),
               wait(1 + ahead / std::max(1.0, size) + reserved.starts,
                    capacity.free.starts, capacity.total.starts));
  return std::min(kMaxExpectedWait, FromSeconds(longest));
}

std::vector<PriorityDemand> ServiceCapacity::Demands(Instant aNow) const {
  std::vector<PriorityDemand> demands;
  for (const int priority : this->headroom.Priorities()) {
    const auto found = this->used.find(priority);
    demands.push_back({0, priority, this->headroom.OwnRate(priority, aNow),
                       found == this->used.end() ? 0 : found->second,
                       static_cast<int>(this->queue.Waiting(priority))});
  }
  return demands;
}

void ServiceCapacity::OnPeerDemands(const std::string& aPeer,
                                    const std::vector<PriorityDemand>& aDemands,
                                    Instant aNow) {
  this->headroom.OnReport(aPeer, aDemands, aNow);
}

void ServiceCapacity::OnPeerOrganisations(
    const std::string& aPeer, const std::vector<OrganisationDemand>& aDemands,
    Instant aNow) {
  this->shares.OnReport(aPeer, aDemands, aNow);
}

void ServiceCapacity::Tick(Instant aNow) {
  this->shares.Tick(aNow, kMaxMissedIntervals * this->reportInterval);
}

}  // namespace zincstep
