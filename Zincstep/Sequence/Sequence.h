#pragma once

/// \file
/// Public header of the sequence library: token steps and recovery.

#include "Zincstep/Sequence/HopMonitor.h"
#include "Zincstep/Sequence/StepFilter.h"
#include "Zincstep/Sequence/StreamMachine.h"
#include "Zincstep/Sequence/TokenEvent.h"
