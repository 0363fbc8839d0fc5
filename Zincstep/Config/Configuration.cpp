#include "Zincstep/Config/Configuration.h"

#include <algorithm>

namespace zincstep {

namespace {

template <class T>
const T* FindByName(const std::vector<T>& aItems, const std::string& aName) {
  const auto found =
      std::find_if(aItems.begin(), aItems.end(),
                   [&](const T& aItem) { return aItem.name == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

}  // namespace

const Model* Configuration::FindModel(const std::string& aName) const {
  return FindByName(this->models, aName);
}

const AcceleratorKind* Configuration::FindKind(const std::string& aName) const {
  return FindByName(this->kinds, aName);
}

const Organisation* Configuration::FindOrganisation(
    const std::string& aName) const {
  return FindByName(this->organisations, aName);
}

std::string Configuration::RegionOf(const std::string& aFailureDomain) const {
  const FailureDomain* domain =
      FindByName(this->failureDomains, aFailureDomain);
  return domain == nullptr ? std::string() : domain->region;
}

bool IsRepeatable(const PlainService& aService, const std::string& aMethod,
                  const std::string& aPath) {
  const CallRule* longestMatch = nullptr;
  for (const CallRule& rule : aService.calls) {
    const bool isMatch =
        rule.method == aMethod && aPath.starts_with(rule.pathPrefix);
    if (isMatch && (longestMatch == nullptr ||
                    longestMatch->pathPrefix.size() < rule.pathPrefix.size())) {
      longestMatch = &rule;
    }
  }
  if (longestMatch != nullptr) {
    return longestMatch->repeatable;
  }
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

}  // namespace zincstep
