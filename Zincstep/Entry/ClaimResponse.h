#pragma once

#include "Zincstep/Entry/EntryContext.h"

namespace zincstep {

/// Responds to a request whose claim was not won.
///
/// Sends the cached response of the run that owns the key if `aDigest` matches,
/// otherwise the error for the state of that run.
void RespondToHeldClaim(EntryContext& aContext, ExchangeId aExchange,
                        ClaimVerdict aVerdict, const Claim& aOwner,
                        std::uint64_t aDigest);

}  // namespace zincstep
