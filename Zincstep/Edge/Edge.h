#pragma once

/// \file
/// Public header of the edge library: the daemon that stands between
/// callers and upstreams on a platform with a store of its own.

#include "Zincstep/Edge/EdgeAdapters.h"
#include "Zincstep/Edge/EdgeDaemon.h"
#include "Zincstep/Edge/EdgeSettings.h"
