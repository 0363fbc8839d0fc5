#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Times within which shares of a route's recent requests ended.
struct UsualDurations {
  /// Of `RouteDurationsSettings::mostShare`.
  Micros most{0};
  /// Of `RouteDurationsSettings::nearlyAllShare`.
  Micros nearlyAll{0};
};

/// Settings of the recent durations of requests.
struct RouteDurationsSettings {
  /// Time for which durations are collected. A duration counts for one to two
  /// of these.
  Micros window = 30s;
  /// Number of recent requests of a route from which its durations are known.
  std::uint32_t minSamples = 20;
  double mostShare = 0.8;
  double nearlyAllShare = 0.99;
  /// Number of routes that are tracked, with some 800 bytes each. Routes beyond
  /// it have no known duration.
  std::size_t maxRoutes = 1024;
};

/// Recent durations of completed requests by route, from the reading of a
/// request to the end of its response.
class RouteDurations {
 public:
  explicit RouteDurations(RouteDurationsSettings aSettings)
      : settings(aSettings) {}

  /// Records a request that ended after `aDuration`.
  void OnEnded(const std::string& aRoute, Micros aDuration, Instant aNow);
  /// Returns the durations of a route's recent requests, rounded up by at most
  /// a fifth; none if too few are known.
  std::optional<UsualDurations> Usual(const std::string& aRoute,
                                      Instant aNow) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram_with(
      std::vector<std::uint32_t>(), std::declval<Axis>()));

  /// Durations of one route in the current window and the one before.
  struct Recent {
    Instant windowBegin{};
    Histogram current = EmptyHistogram();
    Histogram previous = EmptyHistogram();
  };

  static Histogram EmptyHistogram();
  /// Returns the time within which a share of all durations lie.
  static Micros Quantile(const Histogram& aDurations, double aShare);
  /// Number of windows that have ended since `aRecent` was last rotated.
  std::int64_t ElapsedWindows(const Recent& aRecent, Instant aNow) const {
    return (aNow - aRecent.windowBegin) / this->settings.window;
  }
  void Rotate(Recent& aRecent, Instant aNow) const;
  /// Removes the routes without a recent request if there is no room.
  bool MakeRoom(Instant aNow);

  RouteDurationsSettings settings;
  std::unordered_map<std::string, Recent> byRoute;
};

}  // namespace zincstep
