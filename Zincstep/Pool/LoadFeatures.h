#pragma once

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Whether a feature acts where the configuration calls for it, or never.
enum class FeatureMode { Auto, Off };

inline constexpr NameTable<FeatureMode, 2> kFeatureModeNames{{
    {FeatureMode::Auto, "auto"},
    {FeatureMode::Off, "off"},
}};

/// Features for requests under heavy load; see docs/design/load.md.
struct LoadFeatures {
  /// First stages are chosen by their requests and slots, not by memory alone.
  FeatureMode firstStageBalance = FeatureMode::Auto;
  /// Scarce capacity is given by priority and organisation.
  FeatureMode priorityScheduling = FeatureMode::Auto;
  /// Layers are placed by the demand of each failure domain's callers.
  FeatureMode domainDemand = FeatureMode::Auto;
  /// Interrupted streams are rerouted or run anew by estimated times.
  FeatureMode repairEstimate = FeatureMode::Auto;
  /// A daemon that has just started requests the load of first stages.
  FeatureMode loadSurvey = FeatureMode::Auto;
};

}  // namespace zincstep
