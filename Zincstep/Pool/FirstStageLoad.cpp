#include "Zincstep/Pool/FirstStageLoad.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Maximum age of an announced load: about the duration of a response, after
/// which most of the announced requests have ended.
constexpr Micros kAnnouncedMaxAge = 2s;

/// Removes the starts at or before `aTime`.
void RemoveUntil(std::vector<Instant>& aStarts, Instant aTime) {
  aStarts.erase(aStarts.begin(),
                std::upper_bound(aStarts.begin(), aStarts.end(), aTime));
}

}  // namespace

void FirstStageLoad::OnStarted(Instant aNow) {
  this->local += 1;
  RemoveUntil(this->recentStarts, aNow - kAnnouncedMaxAge);
  this->recentStarts.push_back(aNow);
}

void FirstStageLoad::OnEnded() {
  ZINCSTEP_ASSERT(this->local > 0);
  this->local -= 1;
}

void FirstStageLoad::RemoveRemote(int aRequests) {
  ZINCSTEP_ASSERT(this->remote >= aRequests);
  this->remote -= aRequests;
}

void FirstStageLoad::Announce(const AnnouncedLoad& aLoad, LoadSource aSource) {
  if (this->announced && aLoad.at <= this->announced->at) {
    return;
  }
  this->announced = aLoad;
  this->source = aSource;
  RemoveUntil(this->recentStarts, aLoad.at);
}

std::optional<AnnouncedLoad> FirstStageLoad::Announced(Instant aNow) const {
  return this->announced && aNow - this->announced->at < kAnnouncedMaxAge
             ? this->announced
             : std::nullopt;
}

std::optional<AnnouncedLoad> FirstStageLoad::AnnouncedHere(
    Instant aNow, Micros aMaxAge) const {
  return this->announced && this->source == LoadSource::ThisDaemon &&
                 aNow - this->announced->at < aMaxAge
             ? this->announced
             : std::nullopt;
}

double FirstStageLoad::Expected(double aResponseSeconds, Instant aNow) const {
  const double counted = this->Counted();
  const auto load = this->Announced(aNow);
  if (!load) {
    return counted;
  }
  const double total =
      load->Requests() + static_cast<double>(this->recentStarts.size());
  const double uncounted = std::max(0.0, total - counted);
  const double age = ToSeconds(aNow - load->at);
  const double remainingShare =
      aResponseSeconds > 0 ? std::max(0.0, 1 - age / aResponseSeconds) : 0;
  return counted + uncounted * remainingShare;
}

Micros FirstStageLoad::ExpectedWait(int aSlots, double aResponseSeconds,
                                    Instant aNow) const {
  const double slots = std::max(1, aSlots);
  const double surplus = this->Expected(aResponseSeconds, aNow) + 1 - slots;
  return surplus > 0 ? FromSeconds(surplus * aResponseSeconds / slots)
                     : Micros{0};
}

}  // namespace zincstep
