#include "Zincstep/Relay/CapacityQueue.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

/// Priorities are 0 to 9, as in the upstreams' header; a higher one counts as
/// 9.
constexpr int kPriorities = 10;
/// Upper bound of a wait; `WaitingRequest::startBy` sets the actual one.
constexpr Micros kMaxWait = 60s;
/// All organisations have the same weight.
constexpr double kWeight = 1;

FairQueueSettings FairSettings(const CapacityQueueSettings& aSettings) {
  FairQueueSettings settings;
  settings.levels = kPriorities;
  settings.classes = kWaitingOrders;
  settings.maxWait = kMaxWait;
  settings.maxWaiting = aSettings.maxWaiting;
  return settings;
}

std::size_t LevelOf(int aPriority) {
  return static_cast<std::size_t>(std::clamp(aPriority, 0, kPriorities - 1));
}

}  // namespace

CapacityQueue::CapacityQueue(CapacityQueueSettings aSettings)
    : settings(aSettings), fair(FairSettings(aSettings)) {}

void CapacityQueue::Enqueue(const WaitingRequest& aRequest, Instant aNow) {
  QueuedRequest queued;
  queued.id = aRequest.id;
  queued.organisation = aRequest.organisation;
  queued.level = LevelOf(aRequest.priority);
  queued.precedence = static_cast<std::size_t>(aRequest.order);
  queued.weight = kWeight;
  queued.tokens = aRequest.tokens;
  queued.startBy = aRequest.startBy;
  // No service rate: the time until there is room is estimated by the domain's
  // room.
  const Result<void> added = this->fair.Enqueue(
      std::move(queued), std::numeric_limits<double>::infinity(), aNow);
  ZINCSTEP_ASSERT(added.has_value());
}

std::vector<std::uint64_t> CapacityQueue::Add(const WaitingRequest& aRequest,
                                              Instant aNow) {
  ZINCSTEP_ASSERT(!this->requests.contains(aRequest.id));
  this->EndDeferral(aNow);
  std::vector<std::uint64_t> refused;
  if (aRequest.startBy <= aNow ||
      aRequest.bodyBytes > this->settings.maxBodyBytes) {
    return {aRequest.id};
  }
  const auto isFull = [&] {
    return this->requests.size() >= this->settings.maxWaiting ||
           this->bodyBytes + aRequest.bodyBytes > this->settings.maxBodyBytes;
  };
  while (isFull()) {
    const auto lowest = this->fair.LowestLevel();
    ZINCSTEP_ASSERT(lowest.has_value());
    if (*lowest <= LevelOf(aRequest.priority)) {
      refused.push_back(aRequest.id);
      return refused;
    }
    const std::uint64_t shed = this->fair.Shed()->id;
    this->Forget(shed);
    refused.push_back(shed);
  }
  this->lastNumber += 1;
  // First: an id that is queued without its request would end the process.
  this->requests[aRequest.id] = {aRequest, this->lastNumber, false};
  try {
    this->Enqueue(aRequest, aNow);
  } catch (const std::exception&) {
    this->requests.erase(aRequest.id);
    throw;
  }
  this->bodyBytes += aRequest.bodyBytes;
  return refused;
}

void CapacityQueue::Forget(std::uint64_t aId) {
  const auto found = this->requests.find(aId);
  ZINCSTEP_ASSERT(found != this->requests.end());
  this->deferred -= found->second.isDeferred ? 1 : 0;
  this->bodyBytes -= found->second.request.bodyBytes;
  this->requests.erase(found);
}

std::optional<NextRequest> CapacityQueue::Next(Instant aNow) {
  const bool isLowPick = this->fair.IsLowPick();
  const auto next = this->fair.Peek(aNow);
  return next ? std::optional(NextRequest{next->id, isLowPick}) : std::nullopt;
}

void CapacityQueue::OnStarted(std::uint64_t aId) {
  const auto found = this->requests.find(aId);
  ZINCSTEP_ASSERT(found != this->requests.end() && !found->second.isDeferred);
  const WaitingRequest& request = found->second.request;
  this->fair.Dequeue(aId);
  this->fair.OnBegin(request.organisation, kWeight, {0, request.tokens});
  this->Forget(aId);
}

void CapacityQueue::Defer(std::uint64_t aId) {
  Held& held = this->requests.at(aId);
  ZINCSTEP_ASSERT(!held.isDeferred);
  this->fair.Remove(aId);
  held.isDeferred = true;
  this->deferred += 1;
}

void CapacityQueue::EndDeferral(Instant aNow) {
  if (this->deferred == 0) {
    return;
  }
  // All are added again in the order of their arrival: `FairQueue` keeps the
  // requests of an organisation in the order of their additions.
  std::vector<Held*> ordered;
  ordered.reserve(this->requests.size());
  for (auto& [id, held] : this->requests) {
    ordered.push_back(&held);
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const Held* aOne, const Held* aOther) {
              return aOne->number < aOther->number;
            });
  for (Held* held : ordered) {
    if (!held->isDeferred) {
      this->fair.Remove(held->request.id);
    }
    held->isDeferred = false;
  }
  this->deferred = 0;
  for (const Held* held : ordered) {
    // An expired one stays until `PopExpired`.
    WaitingRequest request = held->request;
    request.startBy = std::max(request.startBy, aNow + Micros{1});
    this->Enqueue(request, aNow);
  }
}

std::vector<std::uint64_t> CapacityQueue::PopExpired(Instant aNow) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, held] : this->requests) {
    if (held.request.startBy <= aNow) {
      expired.push_back(id);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const std::uint64_t id : expired) {
    this->Remove(id);
  }
  return expired;
}

bool CapacityQueue::Remove(std::uint64_t aId) {
  const auto found = this->requests.find(aId);
  if (found == this->requests.end()) {
    return false;
  }
  if (!found->second.isDeferred) {
    this->fair.Remove(aId);
  }
  this->Forget(aId);
  return true;
}

void CapacityQueue::OnEnded(const std::string& aOrganisation, double aTokens) {
  this->fair.OnEnd(aOrganisation, {0, aTokens}, {0, aTokens});
}

const WaitingRequest* CapacityQueue::Find(std::uint64_t aId) const {
  const auto found = this->requests.find(aId);
  return found == this->requests.end() ? nullptr : &found->second.request;
}

std::size_t CapacityQueue::Waiting(int aPriority) const {
  return static_cast<std::size_t>(std::count_if(
      this->requests.begin(), this->requests.end(), [&](const auto& aEntry) {
        return aEntry.second.request.priority == aPriority;
      }));
}

double CapacityQueue::TokensAhead(int aPriority) const {
  double tokens = 0;
  for (const auto& [id, held] : this->requests) {
    tokens += held.request.priority <= aPriority ? held.request.tokens : 0;
  }
  return tokens;
}

std::vector<std::uint64_t> CapacityQueue::All() const {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->requests.size());
  for (const auto& [id, held] : this->requests) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace zincstep
