#include "Zincstep/Admission/CrashSuspicions.h"

namespace zincstep {

void CrashSuspicions::Add(Fingerprint aRequest, std::uint64_t aUpstream,
                          Instant aUntil) {
  const bool hasRoom = this->byRequest.size() < this->maxRequests;
  if (!hasRoom && !this->byRequest.contains(aRequest)) {
    return;
  }
  auto& upstreams = this->byRequest[aRequest];
  if (upstreams.size() < this->maxUpstreams || upstreams.contains(aUpstream)) {
    upstreams[aUpstream] = aUntil;
  }
}

void CrashSuspicions::Remove(Fingerprint aRequest, std::uint64_t aUpstream) {
  const auto found = this->byRequest.find(aRequest);
  if (found == this->byRequest.end()) {
    return;
  }
  found->second.erase(aUpstream);
  if (found->second.empty()) {
    this->byRequest.erase(found);
  }
}

void CrashSuspicions::Replace(const SuspectedCrashes& aSuspected,
                              Instant aUntil) {
  const auto former = std::move(this->byRequest);
  this->byRequest.clear();
  for (const auto& [request, upstreams] : aSuspected) {
    const auto known = former.find(request);
    for (const std::uint64_t upstream : upstreams) {
      const bool isKnown =
          known != former.end() && known->second.contains(upstream);
      this->Add(request, upstream,
                isKnown ? known->second.at(upstream) : aUntil);
    }
  }
}

void CrashSuspicions::Tick(Instant aNow) {
  for (auto& [request, upstreams] : this->byRequest) {
    std::erase_if(upstreams,
                  [&](const auto& aOne) { return aNow >= aOne.second; });
  }
  std::erase_if(this->byRequest,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void CrashSuspicions::Collect(Fingerprint aRequest, Instant aNow,
                              std::set<std::uint64_t>& aUpstreams) const {
  const auto found = this->byRequest.find(aRequest);
  if (found == this->byRequest.end()) {
    return;
  }
  for (const auto& [upstream, until] : found->second) {
    if (aNow < until) {
      aUpstreams.insert(upstream);
    }
  }
}

void CrashSuspicions::CollectRequests(std::set<Fingerprint>& aRequests) const {
  for (const auto& [request, upstreams] : this->byRequest) {
    aRequests.insert(request);
  }
}

}  // namespace zincstep
