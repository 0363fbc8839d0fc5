#pragma once

/// \file
/// Public header of the membership library.

#include "Zincstep/Membership/LeavingUpstreams.h"
#include "Zincstep/Membership/PeerTable.h"
