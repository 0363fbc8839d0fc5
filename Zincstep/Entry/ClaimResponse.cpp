#include "Zincstep/Entry/ClaimResponse.h"

namespace zincstep {

namespace {

Error RefusalOf(ClaimVerdict aVerdict, const Claim& aHolder,
                std::uint64_t aDigest) {
  if (aVerdict == ClaimVerdict::Full) {
    return {ErrorKind::KeyMemoryFull, "no room to remember another key", {}};
  }
  if (aVerdict != ClaimVerdict::HeldByOther) {
    return {ErrorKind::KeyInDoubt,
            "too few daemons could be asked whether the key was used",
            {}};
  }
  if (aHolder.digest != aDigest) {
    return {ErrorKind::KeyReused, "the key was used for another request", {}};
  }
  if (aHolder.state == ClaimState::Finished) {
    return {ErrorKind::KeyFinished,
            "the request has run; its answer was too large to be kept",
            {}};
  }
  if (aHolder.state == ClaimState::Unknown) {
    Error error{ErrorKind::KeyInProgress,
                "the request may have run; its answer is not known",
                {}};
    error.retryAfter = 0s;
    return error;
  }
  return {ErrorKind::KeyInProgress, "the request is being run", {}};
}

}  // namespace

void RespondToHeldClaim(EntryContext& aContext, ExchangeId aExchange,
                        ClaimVerdict aVerdict, const Claim& aHolder,
                        std::uint64_t aDigest) {
  const bool repeats = aVerdict == ClaimVerdict::HeldByOther &&
                       aHolder.state == ClaimState::Finished &&
                       aHolder.digest == aDigest &&
                       !aHolder.response.isTruncated;
  if (!repeats) {
    aContext.Refuse(aExchange, RefusalOf(aVerdict, aHolder, aDigest));
    return;
  }
  HttpResponse answer;
  answer.status = aHolder.response.status;
  answer.headers = {{"Content-Type", aHolder.response.contentType},
                    {"zincstep-repeated", "true"}};
  answer.body = aHolder.response.body;
  aContext.metrics.Count("zincstep_repeats_answered_total");
  aContext.callers.Respond(aExchange, std::move(answer));
}

}  // namespace zincstep
