#pragma once

/// \file
/// Public header of the routing library: fleets, flow plans and chains.

#include "Zincstep/Routing/Chain.h"
#include "Zincstep/Routing/ChainPlanner.h"
#include "Zincstep/Routing/Fleet.h"
#include "Zincstep/Routing/FlowPlan.h"
#include "Zincstep/Routing/LoadTable.h"
#include "Zincstep/Routing/PrefixTable.h"
#include "Zincstep/Routing/ServiceBalancer.h"
