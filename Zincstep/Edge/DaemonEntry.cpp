#include "Zincstep/Edge/DaemonEntry.h"

#include <algorithm>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

/// Key prefix of daemons' entries.
constexpr const char* kPrefix = "members/";
constexpr const char* kAddressField = "peer";
constexpr const char* kDomainField = "failure_domain";
constexpr const char* kLinkField = "link_mbps";
/// Maximum link; a greater one could not be sent to peers, as a `float`.
constexpr double kMaxLinkMbps = 1e9;

}  // namespace

std::string DaemonEntry::PrefixOf(const std::string& aFailureDomain) {
  return kPrefix + aFailureDomain + "/";
}

std::string DaemonEntry::KeyOf(const PeerName& aDaemon) {
  return PrefixOf(aDaemon.failureDomain) + aDaemon.name;
}

std::string DaemonEntry::TextOf(const PeerName& aDaemon) {
  return WriteJson({{kAddressField, aDaemon.address},
                    {kDomainField, aDaemon.failureDomain},
                    {kLinkField, aDaemon.linkMbps}});
}

std::string DaemonEntry::NameOf(const std::string& aKey) {
  return aKey.starts_with(kPrefix) ? aKey.substr(aKey.rfind('/') + 1)
                                   : std::string();
}

std::optional<PeerName> DaemonEntry::Parse(const std::string& aKey,
                                           const std::string& aText) {
  const std::string name = NameOf(aKey);
  const auto json =
      ParseForeignJson(aText, JsonLimits{.maxBytes = kMaxEntryBytes});
  const auto isText = [&json](const char* aField) {
    return json && json->is_object() && json->contains(aField) &&
           json->at(aField).is_string();
  };
  if (!IsPlainName(name) || !isText(kAddressField) || !isText(kDomainField)) {
    return std::nullopt;
  }
  PeerName daemon{name, json->at(kAddressField).get<std::string>(),
                  json->at(kDomainField).get<std::string>()};
  const auto link = json->find(kLinkField);
  if (link != json->end() && link->is_number()) {
    daemon.linkMbps = std::clamp(link->get<double>(), 0.0, kMaxLinkMbps);
  }
  return daemon;
}

}  // namespace zincstep
