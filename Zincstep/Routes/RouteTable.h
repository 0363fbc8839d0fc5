#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>

#include "Zincstep/Routes/RouteConfiguration.h"

namespace zincstep {

/// An indexed configuration; immutable, replaced as a unit.
class RouteTable {
 public:
  explicit RouteTable(RouteConfiguration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// Returns the route with the longest matching path prefix, or null.
  ///
  /// Ignores a port in `aHost` and a query in `aTarget`.
  const Route* FindRoute(std::string_view aHost,
                         std::string_view aTarget) const;
  /// Returns the organisation that owns the API key, or null; null for an empty
  /// key, which stands for none.
  const RoutedOrganisation* FindOrganisation(std::string_view aKey) const;
  /// Returns the service named `aName`, or null.
  const RoutedService* FindService(std::string_view aName) const;
  /// Chooses a service of the route by weight; `aDraw` is random in [0, 1).
  const RoutedService* Choose(const Route& aRoute, double aDraw) const;
  /// Whether requests of routes that are not public need the key of an
  /// organisation.
  bool RequiresKeys() const {
    return this->configuration.organisations.has_value();
  }
  const RouteConfiguration& Configuration() const {
    return this->configuration;
  }
  /// Hash of the keys, whether they are required, and of the routes' hosts and
  /// paths, whatever their order: a table with another one may admit other
  /// requests.
  std::uint64_t AdmissionHash() const { return this->admissionHash; }

 private:
  /// Adds the keys to the index and to the hash.
  void IndexOrganisations();

  RouteConfiguration configuration;
  std::uint64_t admissionHash = 0;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string_view, std::vector<const Route*>> byHost;
  std::unordered_map<std::string_view, const RoutedOrganisation*> byKey;
  std::unordered_map<std::string_view, const RoutedService*> byName;
};

}  // namespace zincstep
