#include "Zincstep/Entry/ClaimResponse.h"

namespace zincstep {

namespace {

Error ErrorFor(ClaimVerdict aVerdict, const Claim& aOwner,
               std::uint64_t aDigest) {
  if (aVerdict == ClaimVerdict::Full) {
    return {ErrorKind::KeyMemoryFull,
            "no memory left for another idempotency key",
            {}};
  }
  if (aVerdict != ClaimVerdict::HeldByOther) {
    return {ErrorKind::KeyInDoubt,
            "too few witnesses responded to determine whether the key was used",
            {}};
  }
  if (aOwner.digest != aDigest) {
    return {ErrorKind::KeyReused, "the key was used for another request", {}};
  }
  if (aOwner.state == ClaimState::Finished) {
    return {ErrorKind::KeyFinished,
            "the request has run; its response was too large to be cached",
            {}};
  }
  if (aOwner.state == ClaimState::Unknown) {
    Error error{ErrorKind::KeyInProgress,
                "the request may have run; its response is unknown",
                {}};
    error.retryAfter = 0s;
    return error;
  }
  return {ErrorKind::KeyInProgress, "the request is still running", {}};
}

}  // namespace

void RespondToHeldClaim(EntryContext& aContext, ExchangeId aExchange,
                        ClaimVerdict aVerdict, const Claim& aOwner,
                        std::uint64_t aDigest) {
  const bool isRepeat = aVerdict == ClaimVerdict::HeldByOther &&
                        aOwner.state == ClaimState::Finished &&
                        aOwner.digest == aDigest &&
                        !aOwner.response.isTruncated;
  if (!isRepeat) {
    aContext.Refuse(aExchange, ErrorFor(aVerdict, aOwner, aDigest));
    return;
  }
  HttpResponse response;
  response.status = aOwner.response.status;
  response.headers = {{"Content-Type", aOwner.response.contentType},
                      {"zincstep-repeated", "true"}};
  response.body = aOwner.response.body;
  aContext.metrics.Count("zincstep_repeats_answered_total");
  aContext.callers.Respond(aExchange, std::move(response));
}

}  // namespace zincstep
