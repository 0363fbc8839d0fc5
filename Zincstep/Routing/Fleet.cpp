#include "Zincstep/Routing/Fleet.h"

#include <map>

namespace zincstep {

namespace {

/// One-way delay within a failure domain, in seconds.
constexpr double kSameDomainDelay = 100e-6;
/// One-way delay of links that the configuration does not declare, in seconds.
constexpr double kUndeclaredLinkDelay = 50e-3;

template <class T>
std::map<std::string, int> IndexByName(const std::vector<T>& aItems) {
  std::map<std::string, int> index;
  for (const T& item : aItems) {
    index.emplace(item.name, static_cast<int>(index.size()));
  }
  return index;
}

FleetLink ToFleetLink(const Link& aLink) {
  const double bytes = aLink.megabitsPerSecond * 1e6 / 8;
  return {ToSeconds(aLink.oneWay), bytes / kActivationBytes};
}

void FillLinks(const Configuration& aConfiguration,
               const std::map<std::string, int>& aDomains, Fleet& aFleet) {
  const auto count = static_cast<std::size_t>(aFleet.domains);
  aFleet.links.assign(count * count, {kUndeclaredLinkDelay, 0});
  for (std::size_t i = 0; i < count; ++i) {
    aFleet.links[i * count + i] = {kSameDomainDelay, 0};
  }
  for (const Link& link : aConfiguration.links) {
    const auto from = static_cast<std::size_t>(aDomains.at(link.from));
    const auto to = static_cast<std::size_t>(aDomains.at(link.to));
    aFleet.links[from * count + to] = ToFleetLink(link);
    aFleet.links[to * count + from] = ToFleetLink(link);
  }
}

}  // namespace

Fleet MakeFleet(const Configuration& aConfiguration, const std::string& aModel,
                const std::string& aRegion) {
  const auto domains = IndexByName(aConfiguration.failureDomains);
  const auto kinds = IndexByName(aConfiguration.kinds);
  const Model* model = aConfiguration.FindModel(aModel);
  ZINCSTEP_ASSERT(model != nullptr);
  Fleet fleet;
  fleet.model = aModel;
  fleet.layers = model->layers;
  fleet.domains = static_cast<int>(domains.size());
  FillLinks(aConfiguration, domains, fleet);
  for (const Upstream& upstream : aConfiguration.upstreams) {
    const std::string version =
        upstream.version.empty() ? model->serving : upstream.version;
    const bool fits =
        upstream.model == aModel &&
        (aRegion.empty() ||
         aConfiguration.RegionOf(upstream.failureDomain) == aRegion);
    if (!fits) {
      continue;
    }
    const AcceleratorKind* kind = aConfiguration.FindKind(upstream.kind);
    fleet.replicas.push_back(
        {upstream.name, upstream.address, upstream.failureDomain, version,
         upstream.layers, kinds.at(upstream.kind),
         domains.at(upstream.failureDomain), ToSeconds(kind->layerStep),
         static_cast<double>(kind->prefillLayerNanos) * 1e-9,
         static_cast<double>(kind->batchSlots)});
  }
  return fleet;
}

}  // namespace zincstep
