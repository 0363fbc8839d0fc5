#pragma once

/// \file
/// Public header of the library that makes requests with an idempotency key run
/// at most once.

#include "Zincstep/Once/Claim.h"
#include "Zincstep/Once/ClaimRound.h"
#include "Zincstep/Once/MemberLists.h"
#include "Zincstep/Once/WitnessTable.h"
