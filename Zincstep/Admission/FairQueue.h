#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// A request that waits for its turn.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string organisation;
  Priority priority = Priority::Normal;
  double weight = 1;
  /// Tokens of its prompt and its expected answer.
  double tokens = 0;
  /// It must have begun by then.
  Instant startBy;
  /// Set by the queue when the request joins it.
  Instant queuedAt;
};

/// Tokens that a request costs its organisation.
struct TokenCharge {
  double prompt = 0;
  double answer = 0;
};

/// Settings of a fair queue.
struct FairQueueSettings {
  /// A request whose turn is not expected within this time is refused.
  Micros maxWait = 1500ms;
  std::size_t maxWaiting = 4096;
  /// Every so many picks go to the lowest priority that waits.
  int picksPerLowPick = 20;
  /// How far over its part of the sequences an organisation still counts
  /// as under it, unless it has requests waiting: arrivals come in bursts.
  double shareSlack = 1.25;
  /// Cost of a token of the prompt, where a token of the answer costs 1.
  double promptTokenCost = 0.25;
};

/// A queue that divides service among organisations by weight, in tokens.
///
/// Each organisation has a counter of the tokens it was served, over its
/// weight; the least one is next (VTC: Sheng and others, "Fairness in
/// serving large language models", OSDI 2024). A request is charged as
/// expected when it begins, and put right when it ends: charged as it is
/// served, an organisation would be given one place after the other for
/// the seconds in which its counter has not caught up. An organisation that
/// comes back is lifted to the least counter in use, so that idling saves up
/// nothing. Requests whose turn cannot come in time are refused at once, with
/// the time after which it could.
class FairQueue {
 public:
  explicit FairQueue(FairQueueSettings aSettings) : settings(aSettings) {}

  /// Joins the queue, or is refused with `Overloaded` and a time to come.
  ///
  /// `aTokenRate` is what this daemon serves, in tokens a second.
  Result<void> Offer(QueuedRequest aRequest, double aTokenRate, Instant aNow);
  /// The next request to begin; it stays until `Take`.
  std::optional<QueuedRequest> Peek(Instant aNow);
  /// Takes the request that `Peek` gave: it begins.
  void Take(std::uint64_t aId);
  /// Removes and gives the requests whose time has passed.
  std::vector<QueuedRequest> PopExpired(Instant aNow);
  /// Removes a request whose caller has gone; false if it is not waiting.
  bool Remove(std::uint64_t aId);
  /// Removes and gives the lowest-priority request that came last.
  std::optional<QueuedRequest> Shed();

  /// A request has begun: its organisation is charged as expected.
  void OnBegin(const std::string& aOrganisation, double aWeight,
               const TokenCharge& aExpected);
  /// The request has ended: the charge becomes what was served.
  void OnEnd(const std::string& aOrganisation, const TokenCharge& aExpected,
             const TokenCharge& aServed);
  /// Whether one more sequence leaves the organisation within its weight's
  /// part of all sequences that run.
  ///
  /// Such a request need not wait for a place: it may begin a little over
  /// the window, and the next places that become free stay empty for it.
  /// So one organisation's flood does not hold up the others, who would
  /// else wait for one of its long answers to end.
  bool IsUnderShare(const std::string& aOrganisation, double aWeight) const;

  std::size_t Waiting() const { return this->waiting; }
  /// Tokens served to an organisation over its weight.
  double Counter(const std::string& aOrganisation) const;
  /// Expected wait of one more request of this organisation.
  Micros ExpectedWait(const QueuedRequest& aRequest, double aTokenRate) const;

 private:
  struct Account {
    double counter = 0;
    double weight = 1;
    int active = 0;
    double waitingTokens = 0;
    std::array<std::deque<QueuedRequest>, kPriorityNames.size()> queues;

    bool IsWaiting() const { return this->waitingTokens > 0; }
    bool IsBusy() const { return this->active > 0 || this->IsWaiting(); }
  };

  Account& Open(const std::string& aOrganisation, double aWeight);
  double LeastBusyCounter() const;
  double CostOf(const TokenCharge& aCharge) const;
  std::optional<std::size_t> PickPriority() const;
  QueuedRequest PopFront(Account& aAccount, std::size_t aPriority);
  void Drop(Account& aAccount, const QueuedRequest& aRequest);

  FairQueueSettings settings;
  std::map<std::string, Account> accounts;
  std::array<std::size_t, kPriorityNames.size()> waitingBy{};
  std::size_t waiting = 0;
  int active = 0;
  int picks = 0;
};

}  // namespace zincstep
