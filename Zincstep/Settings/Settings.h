#pragma once

/// \file
/// Public header of the settings library.

#include "Zincstep/Settings/SettingsReader.h"
