#include "Zincstep/Relay/RefusedRequests.h"

namespace zincstep {

namespace {

/// Time for which a refusal is remembered: callers retry within a third of
/// their deadline, which is usually less than half a minute.
constexpr Micros kRetention = 10s;
/// Maximum number of records, about 100 bytes each.
constexpr std::size_t kMaxRecords = 4096;
/// Callers' timers and the network shift a retry by some milliseconds.
constexpr Micros kReturnTolerance = 10ms;

}  // namespace

void RefusedRequests::Prune(Instant aNow) {
  while (!this->order.empty() && (aNow >= this->order.front().expiresAt ||
                                  this->order.size() > kMaxRecords)) {
    const Expiry oldest = this->order.front();
    this->order.pop_front();
    const auto found = this->records.find(oldest.request);
    if (found != this->records.end() &&
        found->second.expiresAt == oldest.expiresAt) {
      this->records.erase(found);
    }
  }
}

void RefusedRequests::OnRefused(Fingerprint aRequest, Micros aRetryAfter,
                                Instant aNow) {
  const Instant expiresAt = aNow + kRetention;
  this->records[aRequest] = {aNow + aRetryAfter - kReturnTolerance, expiresAt};
  this->order.push_back({aRequest, expiresAt});
  this->Prune(aNow);
}

RefusalHistory RefusedRequests::HistoryOf(Fingerprint aRequest,
                                          Instant aNow) const {
  const auto found = this->records.find(aRequest);
  if (found == this->records.end() || aNow >= found->second.expiresAt) {
    return RefusalHistory::None;
  }
  return aNow >= found->second.returnsAt ? RefusalHistory::Waited
                                         : RefusalHistory::ReturnedEarly;
}

}  // namespace zincstep
