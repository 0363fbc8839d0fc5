#pragma once

/// \file
/// Public header of the control library: configuration, leases, member lists
/// and the reconciliation of upstreams.

#include "Zincstep/Control/ConfigurationStore.h"
#include "Zincstep/Control/DomainStatus.h"
#include "Zincstep/Control/LeaseGuard.h"
#include "Zincstep/Control/MemberListPlanner.h"
#include "Zincstep/Control/Reconciler.h"
