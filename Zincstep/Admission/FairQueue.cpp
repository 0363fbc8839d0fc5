#include "Zincstep/Admission/FairQueue.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

/// Upper bound of an expected wait, in seconds.
constexpr double kMaxExpectedWait = 3600;

std::size_t Rank(Priority aPriority) {
  return static_cast<std::size_t>(aPriority);
}

}  // namespace

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
  this->waitingByPriority[Rank(aRequest.priority)] += 1;
  aRequest.queuedAt = aNow;
  aRequest.startBy = std::min(aRequest.startBy, aNow + 2 * maxWait);
  account.queues[Rank(aRequest.priority)].push_back(std::move(aRequest));
  return {};
}

std::optional<std::size_t> FairQueue::SelectPriority() const {
  const bool isLowFirst =
      (this->picks + 1) % this->settings.picksPerLowPick == 0;
  const std::size_t count = this->waitingByPriority.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t rank = isLowFirst ? count - 1 - i : i;
    if (this->waitingByPriority[rank] > 0) {
      return rank;
    }
  }
  return std::nullopt;
}

void FairQueue::OnRemoved(Account& aAccount, const QueuedRequest& aRequest) {
  aAccount.waitingTokens -= aRequest.tokens;
  const bool isEmpty =
      std::all_of(aAccount.queues.begin(), aAccount.queues.end(),
                  [](const auto& aQueue) { return aQueue.empty(); });
  if (isEmpty) {
    aAccount.waitingTokens = 0;
  }
  this->waiting -= 1;
  this->waitingByPriority[Rank(aRequest.priority)] -= 1;
}

QueuedRequest FairQueue::PopFront(Account& aAccount, std::size_t aPriority) {
  std::deque<QueuedRequest>& queue = aAccount.queues[aPriority];
  QueuedRequest request = std::move(queue.front());
  queue.pop_front();
  this->OnRemoved(aAccount, request);
  return request;
}

std::optional<QueuedRequest> FairQueue::Peek(Instant aNow) {
  const std::optional<std::size_t> rank = this->SelectPriority();
  if (!rank) {
    return std::nullopt;
  }
  const Account* best = nullptr;
  for (const auto& [name, account] : this->accounts) {
    const std::deque<QueuedRequest>& queue = account.queues[*rank];
    const bool hasRequest = !queue.empty() && queue.front().startBy > aNow;
    if (hasRequest && (best == nullptr || account.counter < best->counter)) {
      best = &account;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->queues[*rank].front();
}

void FairQueue::Dequeue(std::uint64_t aId) {
  if (this->Remove(aId)) {
    this->picks += 1;
  }
}

std::vector<QueuedRequest> FairQueue::PopExpired(Instant aNow) {
  std::vector<QueuedRequest> expired;
  for (auto& [name, account] : this->accounts) {
    for (std::size_t rank = 0; rank < account.queues.size(); ++rank) {
      std::deque<QueuedRequest>& queue = account.queues[rank];
      while (!queue.empty() && queue.front().startBy <= aNow) {
        expired.push_back(this->PopFront(account, rank));
      }
    }
  }
  return expired;
}

bool FairQueue::Remove(std::uint64_t aId) {
  for (auto& [name, account] : this->accounts) {
    for (std::deque<QueuedRequest>& queue : account.queues) {
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
  for (std::size_t i = this->waitingByPriority.size(); i > 0; --i) {
    const std::size_t rank = i - 1;
    Account* highest = nullptr;
    for (auto& [name, account] : this->accounts) {
      const bool hasRequest = !account.queues[rank].empty();
      if (hasRequest &&
          (highest == nullptr || account.counter > highest->counter)) {
        highest = &account;
      }
    }
    if (highest != nullptr) {
      std::deque<QueuedRequest>& queue = highest->queues[rank];
      QueuedRequest request = std::move(queue.back());
      queue.pop_back();
      this->OnRemoved(*highest, request);
      return request;
    }
  }
  return std::nullopt;
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
