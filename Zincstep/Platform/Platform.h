#pragma once

/// \file
/// Public header of the platform library: key-value service and VM list.

#include "Zincstep/Platform/KeyValueStore.h"
