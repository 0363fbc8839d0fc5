#pragma once

#include "Zincstep/Entry/EntryContext.h"

namespace zincstep {

/// Answers a request whose key was not won: the answer of the run that has
/// it where that is kept, else the refusal that says what is known.
void RespondToHeldClaim(EntryContext& aContext, ExchangeId aExchange,
                        ClaimVerdict aVerdict, const Claim& aHolder,
                        std::uint64_t aDigest);

}  // namespace zincstep
