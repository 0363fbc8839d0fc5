#pragma once

/// \file
/// Public header of the admission library: fairness, limits, retries, and
/// requests that must not run again.

#include "Zincstep/Admission/CrashTracker.h"
#include "Zincstep/Admission/DomainLimit.h"
#include "Zincstep/Admission/FairQueue.h"
#include "Zincstep/Admission/RequestFingerprint.h"
#include "Zincstep/Admission/RetryBudget.h"
