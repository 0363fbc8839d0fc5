#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {

/// Precedence of a waiting request within its priority.
enum class WaitingOrder {
  /// Refused before; it waited as long as it was told.
  Returned,
  New,
  /// Refused before; it returned earlier than it was told.
  ReturnedEarly,
  /// Its organisation uses more than its fair share.
  OverShare,
};

inline constexpr std::size_t kWaitingOrders = 4;

/// A request that waits for room.
struct WaitingRequest {
  std::uint64_t id = 0;
  /// 0 is the most urgent.
  int priority = 0;
  WaitingOrder order = WaitingOrder::New;
  std::string organisation;
  /// Tokens of the prompt and the expected answer.
  double tokens = 0;
  /// Bytes of its body, which this daemon holds meanwhile.
  std::size_t bodyBytes = 0;
  /// Time from which it must not start any more.
  Instant startBy;
};

/// Settings of a queue.
struct CapacityQueueSettings {
  /// Requests and bytes of their bodies that wait at most: a daemon has 160 MB
  /// for everything.
  std::size_t maxWaiting = 256;
  std::size_t maxBodyBytes = 4 << 20;
};

/// The request that starts next when there is room.
struct NextRequest {
  std::uint64_t id = 0;
  /// Whether it needs no headroom for more urgent requests: every 20th start is
  /// of the least urgent waiting priority.
  bool ignoresHeadroom = false;
};

/// The requests of a service that wait for room in this daemon.
///
/// They start in the order of priority, `WaitingOrder`, the tokens that their
/// organisations were served (`FairQueue`), and arrival.
class CapacityQueue {
 public:
  explicit CapacityQueue(CapacityQueueSettings aSettings);

  /// Adds a request. Returns the requests that are refused for it because the
  /// queue is full, the least urgent first; may be the added one itself.
  std::vector<std::uint64_t> Add(const WaitingRequest& aRequest, Instant aNow);
  /// Returns the request that starts next. It stays in the queue until
  /// `OnStarted`, `Defer` or `Remove` is called.
  std::optional<NextRequest> Next(Instant aNow);
  /// Removes a request that has started, and charges its organisation.
  void OnStarted(std::uint64_t aId);
  /// Leaves a request out of `Next` until `EndDeferral`, because no chain had
  /// room for its size.
  void Defer(std::uint64_t aId);
  /// Returns all deferred requests to their places.
  void EndDeferral(Instant aNow);
  /// Removes and returns the requests that must not start any more.
  std::vector<std::uint64_t> PopExpired(Instant aNow);
  /// Removes a request whose caller has disconnected. Returns false if it does
  /// not wait.
  bool Remove(std::uint64_t aId);
  /// Records that a started request has ended.
  void OnEnded(const std::string& aOrganisation, double aTokens);

  /// The request of that id, or null.
  const WaitingRequest* Find(std::uint64_t aId) const;
  std::size_t Waiting() const { return this->requests.size(); }
  /// Waiting requests of one priority.
  std::size_t Waiting(int aPriority) const;
  /// Tokens of the waiting requests that start before a new one of this
  /// priority.
  double TokensAhead(int aPriority) const;
  std::size_t BodyBytes() const { return this->bodyBytes; }
  /// Ids of all waiting requests.
  std::vector<std::uint64_t> All() const;

 private:
  struct Held {
    WaitingRequest request;
    /// Number of its addition; restores the order after a deferral.
    std::uint64_t number = 0;
    bool isDeferred = false;
  };

  void Enqueue(const WaitingRequest& aRequest, Instant aNow);
  /// Removes the record of a request that has left `fair`.
  void Forget(std::uint64_t aId);

  CapacityQueueSettings settings;
  FairQueue fair;
  std::unordered_map<std::uint64_t, Held> requests;
  std::uint64_t lastNumber = 0;
  std::size_t deferred = 0;
  std::size_t bodyBytes = 0;
};

}  // namespace zincstep
