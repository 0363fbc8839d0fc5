#include "Zincstep/Edge/EdgeSettings.h"

#include <algorithm>

#include "Zincstep/Settings/Settings.h"

namespace zincstep {

namespace {

constexpr std::int64_t kMostMillis = 600'000;

/// What lies between a look at an age and the last work on its ground.
constexpr Micros kRelianceMargin = 650ms;
/// Less than this would pass before a peer's answer comes: the store is asked.
constexpr Micros kShortestReliance = 1s;

/// `true` or `false` as the platform writes it.
bool IsTrue(const std::string& aText) { return aText == "true"; }

}  // namespace

Micros MaxSyncStaleness(const EdgeSettings& aSettings) {
  return std::max(aSettings.drainNotice - kRelianceMargin, kShortestReliance);
}

EdgeSettings ReadEdgeSettings(int aCount, char** aWords) {
  EdgeSettings settings;
  std::string failsClosed = "true";
  SettingsReader reader("zincstep-edge", "");
  reader.Text("name", settings.name, "name of this VM", true);
  reader.Text("failure-domain", settings.failureDomain,
              "failure domain of this VM", true);
  reader.Address("listen", settings.listen, "address for callers", true);
  reader.Address("admin-listen", settings.adminListen,
                 "address for readiness and metrics", true);
  reader.Address("peer-listen", settings.peerListen,
                 "address for other daemons", true);
  reader.Address("store", settings.store, "address of the platform's store",
                 true);
  reader.Text("seeds", settings.seeds, "addresses of other daemons, by commas");
  reader.Text("store-prefix", settings.storePrefix,
              "key prefix of the daemons' own entries");
  reader.Millis("drain-notice-ms", settings.drainNotice, 1, kMostMillis,
                "time after which a leaving upstream gets no more work");
  reader.Millis("key-revocation-ms", settings.keyRevocation, 1, kMostMillis,
                "time after which a withdrawn key must not run");
  reader.Text("fail-closed", failsClosed,
              "true: keys need a proof that they still hold");
  reader.Number("stop-grace-s", settings.stopGraceSeconds, 0.5, 600,
                "seconds from SIGTERM until the process is killed");
  reader.Number("retry-ratio", settings.retryRatio, 0, 10,
                "repeats as a share of requests");
  reader.Number("retry-slack", settings.retrySlack, 0, 1e6,
                "repeats beyond that, of all daemons");
  reader.Number("link-mbps", settings.linkMbps, 0.001, 1e7,
                "link of this VM, in Mbit/s");
  reader.Number("memory-mb", settings.memoryMb, 16, 1e7,
                "memory that the process may take, in MB");
  reader.Text("log-level", settings.logLevel,
              "trace, debug, info, warn, error or off");
  ReadOrExit(reader, aCount, aWords);
  settings.failsClosed = IsTrue(failsClosed);
  return settings;
}

}  // namespace zincstep
