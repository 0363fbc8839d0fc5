#pragma once

/// \file
/// Public header of the configuration library.

#include "Zincstep/Config/Configuration.h"
#include "Zincstep/Config/ConfigurationParser.h"
#include "Zincstep/Config/ConfigurationPieces.h"
