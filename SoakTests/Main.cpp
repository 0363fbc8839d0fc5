#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "SoakTests/SoakRun.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace {

constexpr const char* kUsage =
    "zincstep-soak: runs edge daemons as processes under random faults\n"
    "  --daemon PATH   program of the edge daemon (required)\n"
    "  --logs DIR      folder for logs, one subfolder per seed (required)\n"
    "  --seed N        first seed (1)\n"
    "  --seeds N       number of consecutive seeds (1)\n"
    "  --seconds N     fault injection time per seed (10)\n"
    "  --daemons N     number of daemons (4)\n"
    "  --upstreams N   upstreams of the model in each of two domains (5)\n"
    "  --crashing      at the end, a request that crashes upstreams\n"
    "  --crashing-part at the end, requests with a part that crashes "
    "upstreams\n"
    "  --crashing-service  at the end, a request that crashes all upstreams of "
    "a service\n"
    "  --cold          no sound request to that service has completed before\n"
    "  --service-upstreams N  upstreams of that service (3)\n"
    "  --service-interval S   seconds between two copies of the request (0.1)\n"
    "  --service-run-time S   seconds from its start to the crash (0.05)\n"
    "  --service-refuses      its upstreams refuse connections while down\n"
    "  --service-faults KIND  short-pause (default), long-pause, kills,\n"
    "                         kills-of-all or store-away\n"
    "  --limits        at the end, upstreams set limits or Retry-After\n"
    "  --late-links    links of exited upstreams accept, then reset later\n"
    "  --quick-restarts  crashed upstreams restart at once\n"
    "  --restores      the store is restored from backups meanwhile\n"
    "  --process-faults  signals, ports in use, odd store entries, and starts\n"
    "                  with unread output or few descriptors meanwhile\n"
    "  --resumes       a part of the callers resumes streams, over a route to\n"
    "                  services with layers and without\n"
    "  --stops         at the end, overlapping stops of daemons\n"
    "  --stream-stops S  the same beside streams of mixed lengths, with a "
    "grace\n"
    "                  period of S seconds for all daemons\n"
    "  --changes       at the end, storms of changes of the configuration "
    "beside\n"
    "                  stops (grace period 8 s), SIGHUP and silent upstreams\n"
    "  --failures      at the end, upstreams that fail most requests beside\n"
    "                  faults of daemons\n"
    "  --stopped-upstreams  at the end, upstreams are stopped for 16 s\n"
    "  --partitions    daemons are partitioned from all upstreams; needs\n"
    "                  zincstep-soak-edge as the daemon\n"
    "Exit status: 0 all passed, 1 an invariant was violated, 2 usage error.\n";

}  // namespace

int main(int aCount, char** aArguments) {
  zincstep::soak::SoakSettings settings;
  std::string logs;
  int seeds = 1;
  const option options[] = {
      {"daemon", required_argument, nullptr, 'd'},
      {"logs", required_argument, nullptr, 'l'},
      {"seed", required_argument, nullptr, 's'},
      {"seeds", required_argument, nullptr, 'n'},
      {"seconds", required_argument, nullptr, 't'},
      {"daemons", required_argument, nullptr, 'c'},
      {"upstreams", required_argument, nullptr, 'u'},
      {"failures", no_argument, nullptr, 'f'},
      {"stopped-upstreams", no_argument, nullptr, 'w'},
      {"crashing", no_argument, nullptr, 'x'},
      {"crashing-part", no_argument, nullptr, 'y'},
      {"crashing-service", no_argument, nullptr, 'e'},
      {"cold", no_argument, nullptr, 'h'},
      {"service-upstreams", required_argument, nullptr, 'a'},
      {"service-interval", required_argument, nullptr, 'i'},
      {"service-run-time", required_argument, nullptr, 'j'},
      {"service-refuses", no_argument, nullptr, 'g'},
      {"service-faults", required_argument, nullptr, 'b'},
      {"limits", no_argument, nullptr, 'm'},
      {"late-links", no_argument, nullptr, 'k'},
      {"quick-restarts", no_argument, nullptr, 'q'},
      {"restores", no_argument, nullptr, 'r'},
      {"partitions", no_argument, nullptr, 'p'},
      {"stops", no_argument, nullptr, 'o'},
      {"stream-stops", required_argument, nullptr, 'v'},
      {"process-faults", no_argument, nullptr, 'z'},
      {"changes", no_argument, nullptr, 'C'},
      {"resumes", no_argument, nullptr, 'R'},
      {nullptr, 0, nullptr, 0}};
  for (int flag = 0;
       (flag = getopt_long(aCount, aArguments, "", options, nullptr)) != -1;) {
    switch (flag) {
      case 'd':
        settings.daemon = optarg;
        break;
      case 'l':
        logs = optarg;
        break;
      case 's':
        settings.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        seeds = std::atoi(optarg);
        break;
      case 't':
        settings.faults = zincstep::FromSeconds(std::atof(optarg));
        break;
      case 'c':
        settings.daemons = std::atoi(optarg);
        break;
      case 'u':
        settings.modelUpstreams = std::atoi(optarg);
        break;
      case 'f':
        settings.hasFailures = true;
        break;
      case 'w':
        settings.hasStoppedUpstreams = true;
        break;
      case 'x':
        settings.hasCrashingRequest = true;
        break;
      case 'y':
        settings.hasCrashingPart = true;
        break;
      case 'e':
        settings.hasCrashingService = true;
        break;
      case 'h':
        settings.service.isCold = true;
        break;
      case 'a':
        settings.service.upstreams = std::atoi(optarg);
        break;
      case 'i':
        settings.service.interval = zincstep::FromSeconds(std::atof(optarg));
        break;
      case 'j':
        settings.service.runTime = zincstep::FromSeconds(std::atof(optarg));
        break;
      case 'g':
        settings.service.refusesWhenDown = true;
        break;
      case 'b':
        if (const auto faults = zincstep::ValueIn(
                zincstep::soak::kServiceFaultsNames, optarg)) {
          settings.service.faults = *faults;
          break;
        }
        std::fputs(kUsage, stderr);
        return 2;
      case 'm':
        settings.hasLimits = true;
        break;
      case 'k':
        settings.hasLateLinks = true;
        break;
      case 'q':
        settings.hasQuickRestarts = true;
        break;
      case 'r':
        settings.hasRestores = true;
        break;
      case 'p':
        settings.hasPartitions = true;
        break;
      case 'z':
        settings.hasProcessFaults = true;
        break;
      case 'o':
        settings.hasStops = true;
        break;
      case 'v':
        settings.hasStreamStops = true;
        settings.stopGrace = zincstep::FromSeconds(std::atof(optarg));
        break;
      case 'R':
        settings.hasResumes = true;
        break;
      case 'C':
        settings.hasChanges = true;
        settings.stopGrace = std::chrono::seconds(8);
        break;
      default:
        std::fputs(kUsage, stderr);
        return 2;
    }
  }
  if (settings.daemon.empty() || logs.empty() || settings.daemons < 1 ||
      settings.modelUpstreams < 1) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  // Warnings about the soak test's own connections result from the injected
  // faults.
  zincstep::StartLog("zincstep-soak", "error");
  int failed = 0;
  for (int i = 0; i < seeds; ++i, ++settings.seed) {
    settings.logs = logs + "/seed-" + std::to_string(settings.seed);
    std::filesystem::remove_all(settings.logs);
    std::filesystem::create_directories(settings.logs);
    const auto outcome = zincstep::soak::RunSoak(settings);
    std::printf("seed %llu: %zu requests, %zu answered, %zu faults, %s\n",
                static_cast<unsigned long long>(settings.seed),
                outcome.requests, outcome.completedRequests,
                outcome.faults.size(),
                outcome.violations.empty() ? "passed" : "FAILED");
    std::printf("  retries: %s\n", outcome.retries.c_str());
    if (!outcome.stops.empty()) {
      std::printf("  stops: %s\n", outcome.stops.c_str());
    }
    if (!outcome.changes.empty()) {
      std::printf("  changes: %s\n", outcome.changes.c_str());
    }
    for (const std::string& line : outcome.violations) {
      std::printf("  broken: %s\n", line.c_str());
    }
    if (!outcome.violations.empty()) {
      failed += 1;
      for (const std::string& line : outcome.faults) {
        std::printf("  %s\n", line.c_str());
      }
    }
    std::fflush(stdout);
  }
  zincstep::StopLog();
  std::printf("%d passed, %d failed\n", seeds - failed, failed);
  return failed == 0 ? 0 : 1;
}
