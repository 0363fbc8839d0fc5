#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

namespace zincstep {

/// Counters, gauges and latency histograms, for use by a single thread.
///
/// Histograms use Boost.Histogram with logarithmic bins; prometheus-cpp writes
/// the Prometheus text exposition format.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  /// Adds `aAmount` to a counter.
  void Count(const std::string& aName, const Labels& aLabels = {},
             double aAmount = 1);
  /// Sets a gauge to `aValue`.
  void Set(const std::string& aName, double aValue, const Labels& aLabels = {});
  /// Adds a sample in seconds to a histogram.
  void Observe(const std::string& aName, double aSeconds);

  /// Returns all metrics in the Prometheus text exposition format.
  std::string Text() const;
  /// Returns the value of a counter; 0 if it was never incremented.
  double CounterValue(const std::string& aName,
                      const Labels& aLabels = {}) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct Series {
    Histogram histogram;
    double sum = 0;
    std::uint64_t count = 0;
  };

  std::map<std::string, std::map<Labels, double>> counters;
  std::map<std::string, std::map<Labels, double>> gauges;
  std::map<std::string, Series> histograms;
};

}  // namespace zincstep
