#include "Zincstep/Pool/LiveUpstream.h"

#include <algorithm>

namespace zincstep {

namespace {

/// First time without new work; about the silence after which an entry of
/// a dead incarnation leaves the list.
constexpr Micros kFirstSuspicion = 2s;
constexpr Micros kLongestSuspicion = 16s;
constexpr int kMostDoublings = 3;

}  // namespace

void LiveUpstream::Suspect(Instant aNow) {
  if (this->IsSuspect(aNow)) {
    return;
  }
  const int doublings = std::min(this->suspicions, kMostDoublings);
  this->suspectUntil =
      aNow + std::min(kFirstSuspicion * (1 << doublings), kLongestSuspicion);
  this->suspicions += 1;
  this->suspectedAt = aNow;
}

void LiveUpstream::OnAnswer(Instant aNow) {
  this->answeredAt = std::max(this->answeredAt, aNow);
  if (aNow > this->suspectedAt) {
    this->suspectUntil = Instant{};
    this->suspicions = 0;
  }
}

double LiveUpstream::Work() const {
  double sum = this->own;
  for (const auto& [peer, work] : this->others) {
    sum += work;
  }
  return sum;
}

}  // namespace zincstep
