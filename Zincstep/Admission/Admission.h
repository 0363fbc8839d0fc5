#pragma once

/// \file
/// Public header of the admission library: fair queueing, priorities, rate
/// limits, retry budgets, and blocking of requests that crash upstreams.

#include "Zincstep/Admission/CrashSuspicions.h"
#include "Zincstep/Admission/CrashTracker.h"
#include "Zincstep/Admission/DomainLimit.h"
#include "Zincstep/Admission/FairQueue.h"
#include "Zincstep/Admission/Fingerprint.h"
#include "Zincstep/Admission/OrganisationShares.h"
#include "Zincstep/Admission/PriorityDemand.h"
#include "Zincstep/Admission/PriorityHeadroom.h"
#include "Zincstep/Admission/RetryBudget.h"
#include "Zincstep/Admission/RetryShare.h"
#include "Zincstep/Admission/RetryWindow.h"
