#pragma once

/// \file
/// Public header of the sequence library: filtering of token events, failure
/// detection and stream recovery.

#include "Zincstep/Sequence/HopMonitor.h"
#include "Zincstep/Sequence/StepFilter.h"
#include "Zincstep/Sequence/StreamMachine.h"
#include "Zincstep/Sequence/TokenEvent.h"
