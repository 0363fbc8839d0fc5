#pragma once

/// \file
/// Public header of the routes library: which request goes to which
/// service, under which limits, and whose it is.

#include "Zincstep/Routes/RouteConfiguration.h"
#include "Zincstep/Routes/RouteTable.h"
