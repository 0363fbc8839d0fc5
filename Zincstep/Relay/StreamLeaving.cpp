/// \file
/// Migration of streams off upstreams that leave or release layers.

#include <algorithm>

#include "Zincstep/Relay/StreamExchange.h"

namespace zincstep {

namespace {

/// A leaving member serves for about 2 s more; a stream that still runs there
/// after this time is migrated.
constexpr Micros kMaxLeavingTime = 1s;
/// Time before the end of the drain notice by which streams have left: the new
/// members have to read their tokens, and a rejected reroute is tried again.
constexpr Micros kLeaveMargin = 700ms;
/// Time within which the streams of a leaving first upstream get a new run.
constexpr Micros kLeaveFirstSpread = 300ms;
/// Share of the expected answer that remains at least: answers may be longer
/// than expected.
constexpr double kMinRemainingShare = 0.25;

bool SameMembers(const PoolChain& aOne, const PoolChain& aOther) {
  return std::equal(aOne.begin(), aOne.end(), aOther.begin(), aOther.end(),
                    [](const PoolHop& aLeft, const PoolHop& aRight) {
                      return aLeft.upstream == aRight.upstream &&
                             aLeft.layers == aRight.layers;
                    });
}

}  // namespace

bool StreamExchange::IsDeparting(const PoolHop& aHop, Instant aNow) const {
  if (aHop.upstream == this->upstream) {
    return false;
  }
  const bool releasesLayers =
      !aHop.upstream->Entry().layers.Covers(aHop.layers);
  if (releasesLayers || !this->EstimatesRepairs()) {
    return releasesLayers || aHop.upstream->IsLeaving(aNow, kMaxLeavingTime);
  }
  // New members read few prompts at a time if the streams move one after the
  // other.
  const Micros period = this->LeavePeriod();
  const Micros drawn =
      kMaxLeavingTime + FromSeconds(HashShareOf(this->request.info.id) *
                                    ToSeconds(period - kMaxLeavingTime));
  return aHop.upstream->IsLeaving(aNow, drawn) &&
         aHop.upstream->IsLeaving(aNow + this->ExpectedRemaining(), period);
}

Micros StreamExchange::LeavePeriod() const {
  return std::max(kMaxLeavingTime,
                  this->context.settings.drainNotice - kLeaveMargin);
}

Micros StreamExchange::ExpectedRemaining() const {
  const ModelShape& model = *this->request.service->model;
  const TokenUse& use = this->request.info.tokens;
  double expected = use.guessedOut > 0 ? use.guessedOut : model.usualAnswer;
  expected = use.maxOut > 0 ? std::min(expected, use.maxOut) : expected;
  // Events are numbered from 1, one for each token.
  const auto done = static_cast<double>(this->splitter.LastId().value_or(0));
  const double remaining =
      std::max(expected - done, kMinRemainingShare * expected);
  return FromSeconds(remaining * this->averageEventGap);
}

bool StreamExchange::ShouldLeaveFirst(Instant aNow) const {
  if (!this->headSent || this->isRepairing) {
    return false;
  }
  const Micros period = this->LeavePeriod();
  const Micros spread = std::min(kLeaveFirstSpread, period - kMaxLeavingTime);
  const Micros drawn = period - FromSeconds(HashShareOf(this->request.info.id) *
                                            ToSeconds(spread));
  return this->upstream->IsLeaving(aNow, drawn) &&
         this->upstream->IsLeaving(aNow + this->ExpectedRemaining(),
                                   this->context.settings.drainNotice) &&
         this->HasNewRun(aNow);
}

void StreamExchange::MigrateChain(Instant aNow) {
  if (!this->upstream->MayCall(aNow) || !this->TryStartRepair(aNow)) {
    return;
  }
  const auto chain = this->RepairedChain(aNow);
  if (!chain || SameMembers(*chain, this->chain)) {
    return;
  }
  // The stream progresses, so it must not pause for longer than callers accept;
  // until the end of the period a later attempt may find fewer reads.
  const bool mayWait =
      this->EstimatesRepairs() &&
      std::none_of(this->chain.begin() + 1, this->chain.end(),
                   [&](const PoolHop& aHop) {
                     const LiveUpstream& member = *aHop.upstream;
                     return !member.Entry().layers.Covers(aHop.layers) ||
                            member.IsLeaving(aNow, this->LeavePeriod());
                   });
  const Micros pause =
      this->ReadTimeOf(*chain, aNow) + FromSeconds(this->averageEventGap);
  if (mayWait && pause > this->request.route->longestPause) {
    return;
  }
  this->Reroute(*chain);
}

}  // namespace zincstep
