#include "Zincstep/Edge/DaemonEntry.h"

#include <nlohmann/json.hpp>

namespace zincstep {

namespace {

/// Key prefix of daemons' entries.
constexpr const char* kPrefix = "members/";
constexpr const char* kAddressField = "peer";
constexpr const char* kDomainField = "failure_domain";
constexpr const char* kLinkField = "link_mbps";

}  // namespace

std::string DaemonEntry::PrefixOf(const std::string& aFailureDomain) {
  return kPrefix + aFailureDomain + "/";
}

std::string DaemonEntry::KeyOf(const PeerName& aDaemon) {
  return PrefixOf(aDaemon.failureDomain) + aDaemon.name;
}

std::string DaemonEntry::TextOf(const PeerName& aDaemon) {
  return nlohmann::json{{kAddressField, aDaemon.address},
                        {kDomainField, aDaemon.failureDomain},
                        {kLinkField, aDaemon.linkMbps}}
      .dump();
}

std::string DaemonEntry::NameOf(const std::string& aKey) {
  return aKey.starts_with(kPrefix) ? aKey.substr(aKey.rfind('/') + 1)
                                   : std::string();
}

std::optional<PeerName> DaemonEntry::Parse(const std::string& aKey,
                                           const std::string& aText) {
  const std::string name = NameOf(aKey);
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  const auto isText = [&json](const char* aField) {
    return json.is_object() && json.contains(aField) &&
           json.at(aField).is_string();
  };
  if (name.empty() || !isText(kAddressField) || !isText(kDomainField)) {
    return std::nullopt;
  }
  PeerName daemon{name, json.at(kAddressField).get<std::string>(),
                  json.at(kDomainField).get<std::string>()};
  const auto link = json.find(kLinkField);
  if (link != json.end() && link->is_number()) {
    daemon.linkMbps = link->get<double>();
  }
  return daemon;
}

}  // namespace zincstep
