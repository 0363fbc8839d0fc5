#pragma once

/// \file
/// Public header of the edge library: the daemon that proxies between callers
/// and upstreams on a platform with its own store.

#include "Zincstep/Edge/EdgeAdapters.h"
#include "Zincstep/Edge/EdgeDaemon.h"
#include "Zincstep/Edge/EdgeSettings.h"
