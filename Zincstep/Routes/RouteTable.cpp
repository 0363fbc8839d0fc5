#include "Zincstep/Routes/RouteTable.h"

#include <algorithm>
#include <functional>

namespace zincstep {

const PoolKind* ModelShape::FindKind(std::string_view aName) const {
  for (const PoolKind& kind : this->kinds) {
    if (kind.name == aName) {
      return &kind;
    }
  }
  return nullptr;
}

RouteTable::RouteTable(RouteConfiguration aConfiguration)
    : configuration(std::move(aConfiguration)) {
  const std::hash<std::string> hash;
  for (const Route& route : this->configuration.routes) {
    this->byHost[route.host].push_back(&route);
    this->admissionHash += hash(route.host + ' ' + route.pathPrefix);
  }
  for (auto& [host, routes] : this->byHost) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->pathPrefix.size() >
                              aRight->pathPrefix.size();
                     });
  }
  this->IndexOrganisations();
  for (const RoutedService& service : this->configuration.services) {
    this->byName.emplace(service.name, &service);
  }
}

void RouteTable::IndexOrganisations() {
  if (!this->configuration.organisations) {
    return;
  }
  const std::hash<std::string> hash;
  this->admissionHash += hash("keys are required");
  for (const RoutedOrganisation& organisation :
       *this->configuration.organisations) {
    for (const std::string& key : organisation.keys) {
      if (!key.empty()) {
        this->byKey.emplace(key, &organisation);
        this->admissionHash += hash(key);
      }
    }
  }
}

const Route* RouteTable::FindRoute(std::string_view aHost,
                                   std::string_view aTarget) const {
  const auto found = this->byHost.find(aHost.substr(0, aHost.find(':')));
  if (found == this->byHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const RoutedOrganisation* RouteTable::FindOrganisation(
    std::string_view aKey) const {
  const auto found = this->byKey.find(aKey);
  return found == this->byKey.end() ? nullptr : found->second;
}

const RoutedService* RouteTable::FindService(std::string_view aName) const {
  const auto found = this->byName.find(aName);
  return found == this->byName.end() ? nullptr : found->second;
}

const RoutedService* RouteTable::Choose(const Route& aRoute,
                                        double aDraw) const {
  double total = 0;
  for (const RouteTarget& target : aRoute.targets) {
    total += target.weight;
  }
  double remaining = aDraw * total;
  for (const RouteTarget& target : aRoute.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return this->FindService(target.service);
    }
  }
  return aRoute.targets.empty()
             ? nullptr
             : this->FindService(aRoute.targets.back().service);
}

}  // namespace zincstep
