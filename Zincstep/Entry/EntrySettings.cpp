#include "Zincstep/Entry/EntrySettings.h"

#include "Zincstep/Settings/Settings.h"

namespace zincstep {

EntrySettings ReadEntrySettings(int aCount, char** aWords) {
  EntrySettings settings;
  SettingsReader reader("zincstep-entry", "[flags]");
  reader.Address("listen", settings.listen, "Address for callers");
  reader.Address("admin-listen", settings.adminListen,
                 "Address for operators: status, metrics, health");
  reader.Address("peer-listen", settings.peerListen,
                 "Address for other entry daemons");
  reader.Address("platform", settings.platform,
                 "Address of the platform's services", true);
  reader.Text("vm", settings.vm, "Name of this VM in the VM list", true);
  reader.Text("failure-domain", settings.failureDomain,
              "Failure domain of this VM", true);
  reader.Text("log-level", settings.logLevel,
              "trace, debug, info, warn, error or off");
  reader.Text("trace-file", settings.traceFile,
              "File for spans, - for stderr, empty for none");
  reader.Integer("max-body-bytes", settings.maxBodyBytes, 1024, 1 << 30,
                 "Maximum size of a request body, in bytes");
  reader.Integer("max-connections", settings.maxConnections, 1, 1000000,
                 "Maximum number of caller connections");
  reader.Millis("read-timeout-ms", settings.readTimeout, 100, 600000,
                "Time in which a request must be received completely");
  reader.Millis("default-deadline-ms", settings.defaultDeadline, 100, 300000,
                "Deadline of requests that specify none");
  reader.Millis("longest-deadline-ms", settings.maxDeadline, 100, 300000,
                "Maximum deadline that a request may specify");
  reader.Millis(
      "longest-wait-ms", settings.maxWait, 1, 60000,
      "Maximum expected wait; requests with a longer one are refused");
  reader.Millis("drain-grace-ms", settings.drainGrace, 0, 600000,
                "Time after SIGTERM in which requests are still accepted");
  reader.Millis("drain-limit-ms", settings.drainLimit, 0, 3600000,
                "Time after SIGTERM after which the daemon stops in any case");
  reader.Millis("gossip-ms", settings.gossipInterval, 50, 60000,
                "Interval of gossip messages to each peer");
  reader.Millis("load-ms", settings.loadInterval, 50, 60000,
                "Interval of load queries to an upstream");
  reader.Millis("vm-list-ms", settings.vmListInterval, 50, 60000,
                "Interval of reads of the VM list");
  reader.Millis("watch-ms", settings.watchTimeout, 50, 60000,
                "Timeout of one watch of the configuration");
  reader.Millis("settle-ms", settings.settleTime, 0, 60000,
                "Time after the start before member lists are planned");
  reader.Millis("lease-ms", settings.leaseTtl, 1000, 600000,
                "TTL of the leader's lease");
  reader.Millis("member-list-ms", settings.memberListInterval, 100, 600000,
                "Minimum time between two changes of the member lists");
  reader.Integer("key-memory-mb", settings.keyMemoryMegabytes, 1, 65536,
                 "Maximum memory for idempotency keys, in MB");
  reader.Integer("seed", settings.seed, 0, INT64_MAX,
                 "Seed of random choices; 0 takes one from the system");
  ReadOrExit(reader, aCount, aWords);
  return settings;
}

}  // namespace zincstep
