#pragma once

/// \file
/// Public header of the control library: configuration, leases, orders.

#include "Zincstep/Control/ConfigurationStore.h"
#include "Zincstep/Control/DomainStatus.h"
#include "Zincstep/Control/LeaseGuard.h"
#include "Zincstep/Control/MemberListPlanner.h"
#include "Zincstep/Control/Reconciler.h"
