#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

#include "Zincstep/Admission/Fingerprint.h"
#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Incarnations of upstreams that may have crashed under each request.
using SuspectedCrashes = std::map<Fingerprint, std::set<std::uint64_t>>;

/// Crashes that daemons have reported as suspected, each until it expires.
class CrashSuspicions {
 public:
  /// `aMaxRequests` and `aMaxUpstreams` bound the requests, and the upstreams
  /// of each; further ones are dropped.
  CrashSuspicions(std::size_t aMaxRequests, std::size_t aMaxUpstreams)
      : maxRequests(aMaxRequests), maxUpstreams(aMaxUpstreams) {}

  void Add(Fingerprint aRequest, std::uint64_t aUpstream, Instant aUntil);
  void Remove(Fingerprint aRequest, std::uint64_t aUpstream);
  /// Removes all of a request; returns whether there were any.
  bool Clear(Fingerprint aRequest) {
    return this->byRequest.erase(aRequest) > 0;
  }
  /// Makes these the only ones. Those that were there keep their expiry; the
  /// others expire at `aUntil`.
  void Replace(const SuspectedCrashes& aSuspected, Instant aUntil);
  /// Removes what has expired.
  void Tick(Instant aNow);

  bool IsEmpty() const { return this->byRequest.empty(); }
  bool Contains(Fingerprint aRequest) const {
    return this->byRequest.contains(aRequest);
  }
  /// Adds the upstreams that are suspected under a request to `aUpstreams`.
  void Collect(Fingerprint aRequest, Instant aNow,
               std::set<std::uint64_t>& aUpstreams) const;
  /// Adds the requests to `aRequests`.
  void CollectRequests(std::set<Fingerprint>& aRequests) const;

 private:
  /// The time until which each upstream is suspected.
  std::unordered_map<Fingerprint, std::map<std::uint64_t, Instant>> byRequest;
  std::size_t maxRequests;
  std::size_t maxUpstreams;
};

}  // namespace zincstep
