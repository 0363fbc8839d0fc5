#pragma once

/// \file
/// Public header of the core library: time, errors, hashes, channels and task
/// threads.

#include "Zincstep/Core/Assert.h"
#include "Zincstep/Core/Channel.h"
#include "Zincstep/Core/Error.h"
#include "Zincstep/Core/Hash.h"
#include "Zincstep/Core/NameTable.h"
#include "Zincstep/Core/Random.h"
#include "Zincstep/Core/TaskThread.h"
#include "Zincstep/Core/Time.h"
#include "Zincstep/Core/TokenBucket.h"
