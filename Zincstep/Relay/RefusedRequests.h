#pragma once

#include <deque>
#include <unordered_map>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {

/// What a daemon knows of a request from its earlier refusals.
enum class RefusalHistory {
  None,
  /// Refused before; it waited as long as it was told.
  Waited,
  /// Refused before; it returned earlier than told.
  ReturnedEarly,
};

/// The requests that this daemon has refused lately for lack of room.
class RefusedRequests {
 public:
  /// Records a refusal with the Retry-After that the caller was told.
  void OnRefused(Fingerprint aRequest, Micros aRetryAfter, Instant aNow);
  RefusalHistory HistoryOf(Fingerprint aRequest, Instant aNow) const;
  /// Removes a request that has started.
  void OnStarted(Fingerprint aRequest) { this->records.erase(aRequest); }
  /// Whether there are none; fingerprints need not be computed then.
  bool IsEmpty(Instant aNow) const {
    return this->order.empty() || aNow >= this->order.back().expiresAt;
  }
  std::size_t Size() const { return this->records.size(); }

 private:
  struct Expiry {
    Fingerprint request;
    Instant expiresAt;
  };
  struct Record {
    /// Earliest time at which the caller returns as told.
    Instant returnsAt;
    Instant expiresAt;
  };

  /// Removes expired records, and the oldest ones beyond the maximum.
  void Prune(Instant aNow);

  std::unordered_map<Fingerprint, Record> records;
  /// Oldest first; an entry whose record was renewed or removed is ignored.
  std::deque<Expiry> order;
};

}  // namespace zincstep
