#pragma once

/// \file
/// Public header of the routes library, which maps requests to services, limits
/// and organisations.

#include "Zincstep/Routes/RouteConfiguration.h"
#include "Zincstep/Routes/RouteTable.h"
