#include "Zincstep/Edge/EdgeSettings.h"

#include <algorithm>

#include "Zincstep/Settings/Settings.h"

namespace zincstep {

namespace {

constexpr std::int64_t kMaxMillis = 600'000;

/// Time between a check of the age and the last action that relies on it.
constexpr Micros kStalenessMargin = 650ms;
/// Below this a peer's response would already be too old on arrival, and the
/// daemon would read the store instead.
constexpr Micros kMinStaleness = 1s;

/// Parses the platform's notation of booleans, `true` or `false`.
bool IsTrue(const std::string& aText) { return aText == "true"; }

}  // namespace

Micros MaxSyncStaleness(const EdgeSettings& aSettings) {
  return std::max(aSettings.drainNotice - kStalenessMargin, kMinStaleness);
}

EdgeSettings ReadEdgeSettings(int aArgumentCount, char** aArguments) {
  EdgeSettings settings;
  std::string failsClosed = "true";
  std::string firstStart = "false";
  SettingsReader reader("zincstep-edge", "");
  reader.Text("name", settings.name, "name of this VM", true);
  reader.Text("failure-domain", settings.failureDomain,
              "failure domain of this VM", true);
  reader.Address("listen", settings.listen, "address for callers", true);
  reader.Address("admin-listen", settings.adminListen,
                 "address for readiness and metrics", true);
  reader.Address("peer-listen", settings.peerListen,
                 "address for other daemons", true);
  reader.Address("forward-listen", settings.forwardListen,
                 "address for requests that other daemons forward; the same "
                 "port on each VM");
  reader.Address("store", settings.store, "address of the platform's store",
                 true);
  reader.Text("seeds", settings.seeds,
              "comma-separated addresses of other daemons");
  reader.Text("store-prefix", settings.storePrefix,
              "key prefix of the daemons' own entries");
  reader.Millis("drain-notice-ms", settings.drainNotice, 1, kMaxMillis,
                "time after which a leaving upstream receives no more work");
  reader.Millis("key-revocation-ms", settings.keyRevocation, 1, kMaxMillis,
                "time after which a revoked key must be rejected");
  reader.Text("fail-closed", failsClosed,
              "true: reject keys that cannot be validated");
  reader.Number("stop-grace-s", settings.stopGraceSeconds, 0.5, 600,
                "seconds from SIGTERM until the process is killed");
  reader.Number("retry-ratio", settings.retryRatio, 0, 10,
                "retries as a share of requests");
  reader.Number("retry-slack", settings.retrySlack, 0, 1e6,
                "retries beyond that, for all daemons together");
  reader.Number("retry-window-s", settings.retryWindowSeconds, 1, 600,
                "seconds in which the retries are counted");
  reader.Text("first-start", firstStart,
              "true: no daemon has run before, so that all retries are left");
  reader.Number("link-mbps", settings.linkMbps, 0.001, 1e7,
                "link of this VM, in Mbit/s");
  reader.Number("memory-mb", settings.memoryMb, 16, 1e7,
                "memory limit of the process, in MB");
  LoadFeatures& features = settings.features;
  reader.Choice("first-stage-balance", features.firstStageBalance,
                kFeatureModeNames,
                "choose first stages by their requests and slots");
  reader.Choice("priority-scheduling", features.priorityScheduling,
                kFeatureModeNames,
                "give scarce capacity by priority and organisation");
  reader.Choice("domain-demand", features.domainDemand, kFeatureModeNames,
                "place layers by the demand of each failure domain");
  reader.Choice("repair-estimate", features.repairEstimate, kFeatureModeNames,
                "reroute or rerun interrupted streams by estimated times");
  reader.Choice("load-survey", features.loadSurvey, kFeatureModeNames,
                "request the load of first stages after a start");
  reader.Text("log-level", settings.logLevel,
              "trace, debug, info, warn, error or off");
  ReadOrExit(reader, aArgumentCount, aArguments);
  settings.failsClosed = IsTrue(failsClosed);
  settings.isFirstStart = IsTrue(firstStart);
  return settings;
}

}  // namespace zincstep
