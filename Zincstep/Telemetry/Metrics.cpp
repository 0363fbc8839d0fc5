#include "Zincstep/Telemetry/Metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace zincstep {

namespace {

/// Histograms have 40 bins from 50 us to 100 s, each 1.44 times as wide as the
/// one before.
constexpr int kBins = 40;
constexpr double kMinSeconds = 50e-6;
constexpr double kMaxSeconds = 100;

prometheus::ClientMetric WithLabels(const Metrics::Labels& aLabels) {
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : aLabels) {
    metric.label.push_back({name, value});
  }
  return metric;
}

}  // namespace

void Metrics::Count(const std::string& aName, const Labels& aLabels,
                    double aAmount) {
  this->counters[aName][aLabels] += aAmount;
}

void Metrics::Set(const std::string& aName, double aValue,
                  const Labels& aLabels) {
  this->gauges[aName][aLabels] = aValue;
}

void Metrics::Observe(const std::string& aName, double aSeconds) {
  auto found = this->histograms.find(aName);
  if (found == this->histograms.end()) {
    Series series{
        boost::histogram::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds)),
        0, 0};
    found = this->histograms.emplace(aName, std::move(series)).first;
  }
  found->second.histogram(aSeconds);
  found->second.sum += aSeconds;
  found->second.count += 1;
}

double Metrics::CounterValue(const std::string& aName,
                             const Labels& aLabels) const {
  const auto family = this->counters.find(aName);
  if (family == this->counters.end()) {
    return 0;
  }
  const auto sample = family->second.find(aLabels);
  return sample == family->second.end() ? 0 : sample->second;
}

std::string Metrics::Text() const {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [name, samples] : this->counters) {
    prometheus::MetricFamily family{
        name, "", prometheus::MetricType::Counter, {}};
    for (const auto& [labels, value] : samples) {
      prometheus::ClientMetric metric = WithLabels(labels);
      metric.counter.value = value;
      family.metric.push_back(metric);
    }
    families.push_back(std::move(family));
  }
  for (const auto& [name, samples] : this->gauges) {
    prometheus::MetricFamily family{
        name, "", prometheus::MetricType::Gauge, {}};
    for (const auto& [labels, value] : samples) {
      prometheus::ClientMetric metric = WithLabels(labels);
      metric.gauge.value = value;
      family.metric.push_back(metric);
    }
    families.push_back(std::move(family));
  }
  for (const auto& [name, series] : this->histograms) {
    prometheus::MetricFamily family{
        name, "", prometheus::MetricType::Histogram, {}};
    prometheus::ClientMetric metric;
    metric.histogram.sample_count = series.count;
    metric.histogram.sample_sum = series.sum;
    auto cumulativeCount = static_cast<std::uint64_t>(series.histogram.at(-1));
    for (int bin = 0; bin < kBins; ++bin) {
      cumulativeCount += static_cast<std::uint64_t>(series.histogram.at(bin));
      metric.histogram.bucket.push_back(
          {cumulativeCount, series.histogram.axis().bin(bin).upper()});
    }
    metric.histogram.bucket.push_back(
        {series.count, std::numeric_limits<double>::infinity()});
    family.metric.push_back(std::move(metric));
    families.push_back(std::move(family));
  }
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, families);
  return text.str();
}

}  // namespace zincstep
