#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace zincstep {

/// Routes of the latest requests, so that operators can find out why a request
/// took its route.
class RouteLog {
 public:
  explicit RouteLog(std::size_t aCapacity) : capacity(aCapacity) {}

  /// Adds the route of a request that has ended; evicts the oldest if full.
  void Add(const std::string& aId, nlohmann::json aRoute) {
    this->routes.emplace_back(aId, std::move(aRoute));
    if (this->routes.size() > this->capacity) {
      this->routes.pop_front();
    }
  }

  /// Returns the route of a request, or null if it is not in the log.
  const nlohmann::json* Find(const std::string& aId) const {
    for (const auto& [id, route] : this->routes) {
      if (id == aId) {
        return &route;
      }
    }
    return nullptr;
  }

 private:
  std::size_t capacity;
  std::deque<std::pair<std::string, nlohmann::json>> routes;
};

}  // namespace zincstep
