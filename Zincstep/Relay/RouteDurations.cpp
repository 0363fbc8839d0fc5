#include "Zincstep/Relay/RouteDurations.h"

namespace zincstep {

namespace {

/// Bins of a factor of 1.2 each, in seconds.
constexpr unsigned kBins = 64;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 116;

}  // namespace

RouteDurations::Histogram RouteDurations::EmptyHistogram() {
  return boost::histogram::make_histogram_with(
      std::vector<std::uint32_t>(), Axis(kBins, kMinSeconds, kMaxSeconds));
}

void RouteDurations::Rotate(Recent& aRecent, Instant aNow) const {
  const std::int64_t elapsed = this->ElapsedWindows(aRecent, aNow);
  if (elapsed == 0) {
    return;
  }
  std::swap(aRecent.current, aRecent.previous);
  aRecent.current.reset();
  if (elapsed > 1) {
    aRecent.previous.reset();
  }
  aRecent.windowBegin += elapsed * this->settings.window;
}

bool RouteDurations::MakeRoom(Instant aNow) {
  if (this->byRoute.size() >= this->settings.maxRoutes) {
    std::erase_if(this->byRoute, [&](const auto& aEntry) {
      return this->ElapsedWindows(aEntry.second, aNow) > 1;
    });
  }
  return this->byRoute.size() < this->settings.maxRoutes;
}

void RouteDurations::OnEnded(const std::string& aRoute, Micros aDuration,
                             Instant aNow) {
  auto found = this->byRoute.find(aRoute);
  if (found == this->byRoute.end()) {
    if (!this->MakeRoom(aNow)) {
      return;
    }
    found = this->byRoute.try_emplace(aRoute).first;
    found->second.windowBegin = aNow;
  }
  this->Rotate(found->second, aNow);
  found->second.current(ToSeconds(aDuration));
}

Micros RouteDurations::Quantile(const Histogram& aDurations, double aShare) {
  // Bins -1 and kBins hold the durations below and above the axis.
  const double total = boost::histogram::algorithm::sum(
      aDurations, boost::histogram::coverage::all);
  double above = total * (1 - aShare);
  int bin = static_cast<int>(kBins);
  while (bin >= 0 && aDurations.at(bin) <= above) {
    above -= aDurations.at(bin);
    bin -= 1;
  }
  return bin < static_cast<int>(kBins)
             ? FromSeconds(aDurations.axis().value(bin + 1))
             : Micros::max();
}

std::optional<UsualDurations> RouteDurations::Usual(const std::string& aRoute,
                                                    Instant aNow) const {
  const auto found = this->byRoute.find(aRoute);
  if (found == this->byRoute.end()) {
    return std::nullopt;
  }
  Recent recent = found->second;
  this->Rotate(recent, aNow);
  const Histogram all = recent.current + recent.previous;
  if (boost::histogram::algorithm::sum(all, boost::histogram::coverage::all) <
      this->settings.minSamples) {
    return std::nullopt;
  }
  return UsualDurations{Quantile(all, this->settings.mostShare),
                        Quantile(all, this->settings.nearlyAllShare)};
}

}  // namespace zincstep
