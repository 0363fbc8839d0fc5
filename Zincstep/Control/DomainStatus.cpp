#include "Zincstep/Control/DomainStatus.h"

#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

}  // namespace

std::string WriteDomainStatus(const DomainStatus& aStatus) {
  Json daemons = Json::array();
  for (const DaemonStatus& daemon : aStatus.daemons) {
    daemons.push_back({{"vm", daemon.vm},
                       {"member", daemon.member},
                       {"address", daemon.address},
                       {"revision", daemon.revision},
                       {"heard", daemon.isLive},
                       {"stopping", daemon.isStopping},
                       {"heard_at", daemon.lastSeenAt}});
  }
  return Json{{"failure_domain", aStatus.failureDomain},
              {"holder", aStatus.leader},
              {"fence", aStatus.fence},
              {"written_at", aStatus.writtenAt},
              {"daemons", std::move(daemons)},
              {"stuck", aStatus.stuck},
              {"leaving", aStatus.leaving}}
      .dump();
}

Result<DomainStatus> ReadDomainStatus(const std::string& aText) {
  try {
    const Json json = ParseForeignJsonOrThrow(aText);
    DomainStatus status;
    status.failureDomain = json.at("failure_domain").get<std::string>();
    status.leader = json.at("holder").get<std::string>();
    status.fence = json.at("fence").get<std::uint64_t>();
    status.writtenAt = json.at("written_at").get<std::int64_t>();
    status.stuck = json.at("stuck").get<std::map<std::string, std::string>>();
    status.leaving = json.at("leaving").get<std::vector<std::string>>();
    for (const Json& item : json.at("daemons")) {
      DaemonStatus daemon;
      daemon.vm = item.at("vm").get<std::string>();
      daemon.member = item.at("member").get<std::string>();
      daemon.address = item.at("address").get<std::string>();
      daemon.revision = item.at("revision").get<std::uint64_t>();
      daemon.isLive = item.at("heard").get<bool>();
      daemon.isStopping = item.at("stopping").get<bool>();
      daemon.lastSeenAt = item.at("heard_at").get<std::int64_t>();
      status.daemons.push_back(std::move(daemon));
    }
    return status;
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::Internal,
                std::string("invalid domain status: ") + error.what());
  }
}

}  // namespace zincstep
