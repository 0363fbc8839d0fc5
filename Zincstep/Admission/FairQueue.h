#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// A request that waits in a `FairQueue`.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string organisation;
  /// Priority level, below `FairQueueSettings::levels`; 0 is the most urgent.
  std::size_t level = 0;
  /// Precedence within the level, below `FairQueueSettings::classes`; 0 goes
  /// first.
  std::size_t precedence = 0;
  /// Weight of the organisation.
  double weight = 1;
  /// Tokens of the prompt and the expected answer.
  double tokens = 0;
  /// Time by which the request must have started.
  Instant startBy;
  /// Time of entry to the queue; set by `Enqueue`.
  Instant queuedAt;
};

/// Tokens that a request costs its organisation.
struct TokenCharge {
  double prompt = 0;
  double answer = 0;
};

/// Settings of a fair queue.
struct FairQueueSettings {
  /// Number of priority levels.
  std::size_t levels = kPriorityNames.size();
  /// Number of precedences within a level.
  std::size_t classes = 1;
  /// A request whose expected wait is longer is refused.
  Micros maxWait = 1500ms;
  std::size_t maxWaiting = 4096;
  /// Every n-th pick takes the lowest waiting level, so that it doesn't starve.
  int picksPerLowPick = 20;
  /// Factor by which an organisation without waiting requests may exceed its
  /// share of the running sequences, since requests arrive in bursts.
  double shareSlack = 1.25;
  /// Cost of a prompt token, relative to a token of the answer.
  double promptTokenCost = 0.25;
};

/// A weighted fair queue over organisations, with cost measured in tokens.
///
/// Each organisation has a counter of served tokens divided by its weight; the
/// organisation with the lowest counter is next (VTC: Sheng and others,
/// "Fairness in serving large language models", OSDI 2024). A request is
/// charged its expected cost when it starts, and the charge is corrected when
/// it ends. If it were charged as tokens are served, an organisation would get
/// one slot after the other for seconds until its counter caught up. The
/// counter of an organisation that was idle is raised to the lowest one of the
/// busy organisations, so that idle time earns no credit. A request that cannot
/// start in time is refused at once, with a Retry-After.
class FairQueue {
 public:
  explicit FairQueue(FairQueueSettings aSettings) : settings(aSettings) {}

  /// Adds a request, or fails with `Overloaded` and a retry delay if its
  /// expected wait is too long or the queue is full.
  ///
  /// `aTokenRate` is this daemon's service rate in tokens per second.
  Result<void> Enqueue(QueuedRequest aRequest, double aTokenRate, Instant aNow);
  /// Returns the next request to start, without removing it.
  std::optional<QueuedRequest> Peek(Instant aNow);
  /// Removes the request that `Peek` returned, and counts it as a pick.
  void Dequeue(std::uint64_t aId);
  /// Removes and returns the requests whose `startBy` has passed.
  std::vector<QueuedRequest> PopExpired(Instant aNow);
  /// Removes a request whose caller has disconnected. Returns false if it is
  /// not in the queue.
  bool Remove(std::uint64_t aId);
  /// Removes and returns one request of the lowest waiting level and its last
  /// precedence: the last one of the organisation with the highest counter.
  std::optional<QueuedRequest> Shed();
  /// Whether the next pick is one of those that take the lowest waiting level.
  bool IsLowPick() const {
    return (this->picks + 1) % this->settings.picksPerLowPick == 0;
  }
  /// Level of the request that `Shed` would return; none if the queue is empty.
  std::optional<std::size_t> LowestLevel() const;

  /// Charges the expected cost of a request that has started.
  void OnBegin(const std::string& aOrganisation, double aWeight,
               const TokenCharge& aExpected);
  /// Corrects the charge of a request that has ended to the served cost.
  void OnEnd(const std::string& aOrganisation, const TokenCharge& aExpected,
             const TokenCharge& aServed);
  /// Whether one more sequence keeps the organisation within its weighted share
  /// of all running sequences.
  ///
  /// Such a request need not wait for a free slot: it may start slightly above
  /// the concurrency window, and the next slots that become free are not
  /// refilled. Otherwise one organisation's burst would delay the others until
  /// one of its long answers ends.
  bool IsUnderShare(const std::string& aOrganisation, double aWeight) const;

  /// Number of waiting requests, over all organisations.
  std::size_t Waiting() const { return this->waiting; }
  /// Tokens served to an organisation, divided by its weight.
  double Counter(const std::string& aOrganisation) const;
  /// Expected wait of `aRequest`, at a service rate of `aTokenRate` tokens per
  /// second.
  Micros ExpectedWait(const QueuedRequest& aRequest, double aTokenRate) const;

 private:
  struct Account {
    double counter = 0;
    double weight = 1;
    int active = 0;
    double waitingTokens = 0;
    /// Waiting requests by rank; without empty queues, as an empty deque
    /// allocates half a kilobyte.
    std::map<std::size_t, std::deque<QueuedRequest>> queues;

    bool IsWaiting() const { return this->waitingTokens > 0; }
    bool IsBusy() const { return this->active > 0 || this->IsWaiting(); }
  };

  Account& OpenAccount(const std::string& aOrganisation, double aWeight);
  double MinBusyCounter() const;
  double CostOf(const TokenCharge& aCharge) const;
  /// Position of the request's level and precedence in the order of all.
  std::size_t RankOf(const QueuedRequest& aRequest) const;
  std::optional<std::size_t> SelectRank() const;
  void OnRemoved(Account& aAccount, const QueuedRequest& aRequest);

  FairQueueSettings settings;
  std::map<std::string, Account> accounts;
  /// Number of waiting requests by rank, without zeros.
  std::map<std::size_t, std::size_t> waitingByRank;
  std::size_t waiting = 0;
  int active = 0;
  int picks = 0;
};

}  // namespace zincstep
