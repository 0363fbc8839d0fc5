#pragma once

/// \file
/// Public header of the engine library: the client of the model engines.

#include "Zincstep/Engine/EngineClient.h"
#include "Zincstep/Engine/EngineCodec.h"
