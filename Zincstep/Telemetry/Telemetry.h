#pragma once

/// \file
/// Public header of the telemetry library: logs, metrics and traces.

#include "Zincstep/Telemetry/Log.h"
#include "Zincstep/Telemetry/Metrics.h"
#include "Zincstep/Telemetry/Tracer.h"
