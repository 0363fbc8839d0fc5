#include "Zincstep/Admission/FairQueue.h"

#include <algorithm>
#include <limits>

namespace zincstep {

namespace {

constexpr double kForever = 3600;

std::size_t Rank(Priority aPriority) {
  return static_cast<std::size_t>(aPriority);
}

}  // namespace

double FairQueue::LeastBusyCounter() const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, account] : this->accounts) {
    if (account.IsBusy()) {
      least = std::min(least, account.counter);
    }
  }
  return least;
}

FairQueue::Account& FairQueue::Open(const std::string& aOrganisation,
                                    double aWeight) {
  Account& account = this->accounts[aOrganisation];
  account.weight = aWeight;
  if (!account.IsBusy()) {
    const double least = this->LeastBusyCounter();
    if (least != std::numeric_limits<double>::infinity()) {
      account.counter = std::max(account.counter, least);
    }
  }
  return account;
}

Micros FairQueue::ExpectedWait(const QueuedRequest& aRequest,
                               double aTokenRate) const {
  double weights = aRequest.weight;
  double ahead = 0;
  for (const auto& [name, account] : this->accounts) {
    if (name == aRequest.organisation) {
      ahead = account.waitingTokens;
    } else if (account.IsBusy()) {
      weights += account.weight;
    }
  }
  if (aTokenRate <= 0) {
    return FromSeconds(kForever);
  }
  // Its own requests wait for one another; the others take their shares.
  const double share = aTokenRate * aRequest.weight / weights;
  return FromSeconds(std::min(kForever, ahead / share));
}

Result<void> FairQueue::Offer(QueuedRequest aRequest, double aTokenRate,
                              Instant aNow) {
  const Micros wait = this->ExpectedWait(aRequest, aTokenRate);
  const Micros patience =
      std::min(this->settings.maxWait, aRequest.startBy - aNow);
  if (wait > patience || this->waiting >= this->settings.maxWaiting) {
    const Micros back = std::clamp<Micros>(wait - patience, 200ms, 30s);
    return tl::unexpected<Error>(
        Error{ErrorKind::Overloaded,
              "the organisation's turn would not come in time", back});
  }
  Account& account = this->Open(aRequest.organisation, aRequest.weight);
  account.waitingTokens += aRequest.tokens;
  this->waiting += 1;
  this->waitingBy[Rank(aRequest.priority)] += 1;
  aRequest.queuedAt = aNow;
  aRequest.startBy = std::min(aRequest.startBy, aNow + 2 * patience);
  account.queues[Rank(aRequest.priority)].push_back(std::move(aRequest));
  return {};
}

std::optional<std::size_t> FairQueue::PickPriority() const {
  const bool lowFirst = (this->picks + 1) % this->settings.picksPerLowPick == 0;
  const std::size_t count = this->waitingBy.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t rank = lowFirst ? count - 1 - i : i;
    if (this->waitingBy[rank] > 0) {
      return rank;
    }
  }
  return std::nullopt;
}

void FairQueue::Drop(Account& aAccount, const QueuedRequest& aRequest) {
  aAccount.waitingTokens -= aRequest.tokens;
  const bool empty =
      std::all_of(aAccount.queues.begin(), aAccount.queues.end(),
                  [](const auto& aQueue) { return aQueue.empty(); });
  if (empty) {
    aAccount.waitingTokens = 0;
  }
  this->waiting -= 1;
  this->waitingBy[Rank(aRequest.priority)] -= 1;
}

QueuedRequest FairQueue::PopFront(Account& aAccount, std::size_t aPriority) {
  std::deque<QueuedRequest>& queue = aAccount.queues[aPriority];
  QueuedRequest request = std::move(queue.front());
  queue.pop_front();
  this->Drop(aAccount, request);
  return request;
}

std::optional<QueuedRequest> FairQueue::Peek(Instant aNow) {
  const std::optional<std::size_t> rank = this->PickPriority();
  if (!rank) {
    return std::nullopt;
  }
  const Account* best = nullptr;
  for (const auto& [name, account] : this->accounts) {
    const std::deque<QueuedRequest>& queue = account.queues[*rank];
    const bool waits = !queue.empty() && queue.front().startBy > aNow;
    if (waits && (best == nullptr || account.counter < best->counter)) {
      best = &account;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->queues[*rank].front();
}

void FairQueue::Take(std::uint64_t aId) {
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
        this->Drop(account, request);
        return true;
      }
    }
  }
  return false;
}

std::optional<QueuedRequest> FairQueue::Shed() {
  for (std::size_t i = this->waitingBy.size(); i > 0; --i) {
    const std::size_t rank = i - 1;
    Account* most = nullptr;
    for (auto& [name, account] : this->accounts) {
      const bool waits = !account.queues[rank].empty();
      if (waits && (most == nullptr || account.counter > most->counter)) {
        most = &account;
      }
    }
    if (most != nullptr) {
      std::deque<QueuedRequest>& queue = most->queues[rank];
      QueuedRequest request = std::move(queue.back());
      queue.pop_back();
      this->Drop(*most, request);
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
  Account& account = this->Open(aOrganisation, aWeight);
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
  double weights = aWeight;
  double own = 0;
  double slack = this->settings.shareSlack;
  for (const auto& [name, account] : this->accounts) {
    if (name == aOrganisation) {
      own = account.active;
      slack = account.IsWaiting() ? 1 : slack;
    } else if (account.IsBusy()) {
      weights += account.weight;
    }
  }
  return (own + 1) * weights <= slack * aWeight * (this->active + 1);
}

double FairQueue::Counter(const std::string& aOrganisation) const {
  const auto found = this->accounts.find(aOrganisation);
  return found == this->accounts.end() ? 0 : found->second.counter;
}

}  // namespace zincstep
