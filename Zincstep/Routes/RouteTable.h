#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>

#include "Zincstep/Routes/RouteConfiguration.h"

namespace zincstep {

/// A configuration with its look-ups; immutable, swapped as a whole.
class RouteTable {
 public:
  explicit RouteTable(RouteConfiguration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// The host's route with the longest prefix of the path, or null.
  ///
  /// A port in `aHost` and a query in `aTarget` play no part.
  const Route* FindRoute(std::string_view aHost,
                         std::string_view aTarget) const;
  /// The organisation that holds `aKey`, or null.
  const RoutedOrganisation* FindOrganisation(std::string_view aKey) const;
  /// The service named `aName`, or null.
  const RoutedService* FindService(std::string_view aName) const;
  /// One of the route's services, by their weights; `aDraw` is in [0, 1).
  const RoutedService* Choose(const Route& aRoute, double aDraw) const;
  /// Whether any key is declared: only then do routes ask for one.
  bool HasOrganisations() const {
    return !this->configuration.organisations.empty();
  }
  const RouteConfiguration& Configuration() const {
    return this->configuration;
  }

 private:
  RouteConfiguration configuration;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string_view, std::vector<const Route*>> byHost;
  std::unordered_map<std::string_view, const RoutedOrganisation*> byKey;
  std::unordered_map<std::string_view, const RoutedService*> byName;
};

}  // namespace zincstep
