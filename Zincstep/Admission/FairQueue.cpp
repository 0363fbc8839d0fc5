#include "Zincstep/Admission/FairQueue.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

/// Upper bound of an expected wait, in seconds.
constexpr double kMaxExpectedWait = 3600;

}  // namespace

std::size_t FairQueue::RankOf(const QueuedRequest& aRequest) const {
  return aRequest.level * this->settings.classes + aRequest.precedence;
}

double FairQueue::MinBusyCounter() const {
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [name, account] : this->accounts) {
    if (account.IsBusy()) {
      lowest = std::min(lowest, account.counter);
    }
  }
  return lowest;
}

FairQueue::Account& FairQueue::OpenAccount(const std::string& aOrganisation,
                                           double aWeight) {
  Account& account = this->accounts[aOrganisation];
  account.weight = aWeight;
  if (!account.IsBusy()) {
    const double lowest = this->MinBusyCounter();
    if (lowest != std::numeric_limits<double>::infinity()) {
      account.counter = std::max(account.counter, lowest);
    }
  }
  return account;
}

Micros FairQueue::ExpectedWait(const QueuedRequest& aRequest,
                               double aTokenRate) const {
  double totalWeight = aRequest.weight;
  double queuedTokens = 0;
  for (const auto& [name, account] : this->accounts) {
    if (name == aRequest.organisation) {
      queuedTokens = account.waitingTokens;
    } else if (account.IsBusy()) {
      totalWeight += account.weight;
    }
  }
  if (aTokenRate <= 0) {
    return FromSeconds(kMaxExpectedWait);
  }
  // Requests of one organisation wait for one another; the other busy
  // organisations use their weighted shares of the rate.
  const double share = aTokenRate * aRequest.weight / totalWeight;
  return FromSeconds(std::min(kMaxExpectedWait, queuedTokens / share));
}

Result<void> FairQueue::Enqueue(QueuedRequest aRequest, double aTokenRate,
                                Instant aNow) {
  ZINCSTEP_ASSERT(aRequest.level < this->settings.levels);
  ZINCSTEP_ASSERT(aRequest.precedence < this->settings.classes);
  const Micros wait = this->ExpectedWait(aRequest, aTokenRate);
  const Micros maxWait =
      std::min(this->settings.maxWait, aRequest.startBy - aNow);
  if (wait > maxWait || this->waiting >= this->settings.maxWaiting) {
    const Micros retryAfter = std::clamp<Micros>(wait - maxWait, 200ms, 30s);
    return tl::unexpected<Error>(
        Error{ErrorKind::Overloaded,
              "the expected wait in the organisation's queue is too long",
              retryAfter});
  }
  Account& account = this->OpenAccount(aRequest.organisation, aRequest.weight);
  account.waitingTokens += aRequest.tokens;
  this->waiting += 1;
  const std::size_t rank = this->RankOf(aRequest);
  this->waitingByRank[rank] += 1;
  aRequest.queuedAt = aNow;
  aRequest.startBy = std::min(aRequest.startBy, aNow + 2 * maxWait);
  account.queues[rank].push_back(std::move(aRequest));
  return {};
}

std::optional<std::size_t> FairQueue::SelectRank() const {
  if (this->waitingByRank.empty()) {
    return std::nullopt;
  }
  if (!this->IsLowPick()) {
    return this->waitingByRank.begin()->first;
  }
  const std::size_t firstOfLevel =
      *this->LowestLevel() * this->settings.classes;
  return this->waitingByRank.lower_bound(firstOfLevel)->first;
}

std::optional<std::size_t> FairQueue::LowestLevel() const {
  return this->waitingByRank.empty()
             ? std::nullopt
             : std::optional(this->waitingByRank.rbegin()->first /
                             this->settings.classes);
}

void FairQueue::OnRemoved(Account& aAccount, const QueuedRequest& aRequest) {
  const std::size_t rank = this->RankOf(aRequest);
  aAccount.waitingTokens -= aRequest.tokens;
  const auto queue = aAccount.queues.find(rank);
  if (queue->second.empty()) {
    aAccount.queues.erase(queue);
  }
  if (aAccount.queues.empty()) {
    aAccount.waitingTokens = 0;
  }
  this->waiting -= 1;
  const auto count = this->waitingByRank.find(rank);
  count->second -= 1;
  if (count->second == 0) {
    this->waitingByRank.erase(count);
  }
}

std::optional<QueuedRequest> FairQueue::Peek(Instant aNow) {
  const std::optional<std::size_t> rank = this->SelectRank();
  if (!rank) {
    return std::nullopt;
  }
  const Account* best = nullptr;
  const QueuedRequest* first = nullptr;
  for (const auto& [name, account] : this->accounts) {
    const auto queue = account.queues.find(*rank);
    const bool hasRequest =
        queue != account.queues.end() && queue->second.front().startBy > aNow;
    if (hasRequest && (best == nullptr || account.counter < best->counter)) {
      best = &account;
      first = &queue->second.front();
    }
  }
  return first == nullptr ? std::nullopt : std::optional(*first);
}

void FairQueue::Dequeue(std::uint64_t aId) {
  if (this->Remove(aId)) {
    this->picks += 1;
  }
}

std::vector<QueuedRequest> FairQueue::PopExpired(Instant aNow) {
  std::vector<QueuedRequest> expired;
  for (auto& [name, account] : this->accounts) {
    for (auto next = account.queues.begin(); next != account.queues.end();) {
      std::deque<QueuedRequest>& queue = next->second;
      ++next;
      while (!queue.empty() && queue.front().startBy <= aNow) {
        expired.push_back(std::move(queue.front()));
        queue.pop_front();
        const bool isLast = queue.empty();
        this->OnRemoved(account, expired.back());
        if (isLast) {
          break;  // `OnRemoved` has erased the queue.
        }
      }
    }
  }
  return expired;
}

bool FairQueue::Remove(std::uint64_t aId) {
  for (auto& [name, account] : this->accounts) {
    for (auto& [rank, queue] : account.queues) {
      const auto found = std::find_if(
          queue.begin(), queue.end(),
          [&](const QueuedRequest& aOne) { return aOne.id == aId; });
      if (found != queue.end()) {
        const QueuedRequest request = std::move(*found);
        queue.erase(found);
        this->OnRemoved(account, request);
        return true;
      }
    }
  }
  return false;
}

std::optional<QueuedRequest> FairQueue::Shed() {
  if (this->waitingByRank.empty()) {
    return std::nullopt;
  }
  const std::size_t rank = this->waitingByRank.rbegin()->first;
  Account* highest = nullptr;
  for (auto& [name, account] : this->accounts) {
    if (account.queues.contains(rank) &&
        (highest == nullptr || account.counter > highest->counter)) {
      highest = &account;
    }
  }
  ZINCSTEP_ASSERT(highest != nullptr);
  std::deque<QueuedRequest>& queue = highest->queues[rank];
  QueuedRequest request = std::move(queue.back());
  queue.pop_back();
  this->OnRemoved(*highest, request);
  return request;
}

double FairQueue::CostOf(const TokenCharge& aCharge) const {
  return aCharge.prompt * this->settings.promptTokenCost + aCharge.answer;
}

void FairQueue::OnBegin(const std::string& aOrganisation, double aWeight,
                        const TokenCharge& aExpected) {
  Account& account = this->OpenAccount(aOrganisation, aWeight);
  account.active += 1;
  account.counter += this->CostOf(aExpected) / aWeight;
  this->active += 1;
}

void FairQueue::OnEnd(const std::string& aOrganisation,
                      const TokenCharge& aExpected,
                      const TokenCharge& aServed) {
  Account& account = this->accounts[aOrganisation];
  ZINCSTEP_ASSERT(account.active > 0);
  account.active -= 1;
  account.counter +=
      (this->CostOf(aServed) - this->CostOf(aExpected)) / account.weight;
  this->active -= 1;
}

bool FairQueue::IsUnderShare(const std::string& aOrganisation,
                             double aWeight) const {
  double totalWeight = aWeight;
  double running = 0;
  double slack = this->settings.shareSlack;
  for (const auto& [name, account] : this->accounts) {
    if (name == aOrganisation) {
      running = account.active;
      slack = account.IsWaiting() ? 1 : slack;
    } else if (account.IsBusy()) {
      totalWeight += account.weight;
    }
  }
  return (running + 1) * totalWeight <= slack * aWeight * (this->active + 1);
}

double FairQueue::Counter(const std::string& aOrganisation) const {
  const auto found = this->accounts.find(aOrganisation);
  return found == this->accounts.end() ? 0 : found->second.counter;
}

}  // namespace zincstep
