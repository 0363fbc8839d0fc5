#include <malloc.h>
#include <sched.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <ctime>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "PerformanceTests/BenchOutput.h"
#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgePeerMessage.h"
#include "platform/Json.h"
#include "platform/Platform.h"
#include "platform/StoreBody.h"

/// \file
/// What a change of the configuration costs an edge daemon, by number of
/// routes: time of each step on the processor, bytes, and memory.

namespace zincstep::bench {
namespace {

constexpr int kRuns = 9;
constexpr double kMicrosPerMilli = 1000;
constexpr double kBytesPerKb = 1000;

/// Proportions of the measured configurations; the operators' ones are unknown
/// here.
constexpr int kRoutesPerService = 10;
constexpr int kRoutesPerTenant = 2;
constexpr int kKeysPerTenant = 2;

/// Returns the bytes allocated from the heap and by mmap.
double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the processor time of this thread in microseconds. Other processes
/// of the machine don't enter, except through the caches.
double ThreadMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// Returns the processor time of `aStep` in milliseconds: the median of
/// `kRuns` runs.
template <class Step>
double MedianMillis(Step aStep) {
  std::vector<double> runs;
  for (int run = 0; run < kRuns; ++run) {
    const double before = ThreadMicros();
    aStep();
    runs.push_back((ThreadMicros() - before) / kMicrosPerMilli);
  }
  std::nth_element(runs.begin(), runs.begin() + kRuns / 2, runs.end());
  return runs[kRuns / 2];
}

/// The parts of a configuration's text, one text per element.
struct ConfigurationParts {
  std::vector<std::string> routes;
  std::vector<std::string> services;
  std::vector<std::string> tenants;
};

ConfigurationParts MakeParts(int aRoutes) {
  ConfigurationParts parts;
  for (int i = 0; i < aRoutes; ++i) {
    const std::string number = std::to_string(i);
    parts.routes.push_back(
        R"({"name":"r-)" + number +
        R"(","hostname":"ficu95.example","pathPrefix":"/p)" + number +
        R"(/","routeType":"streaming","timeoutMs":20000,)"
        R"("targetLatencyMs":500,"priority":1,"backend":"service-)" +
        std::to_string(i / kRoutesPerService) +
        R"(","maxAttempts":2,"public":false,"sessionAffinity":true,)"
        R"("resumable":true,"gap_aim_ms":250})");
  }
  for (int i = 0; i <= (aRoutes - 1) / kRoutesPerService; ++i) {
    parts.services.push_back(
        R"({"name":"service-)" + std::to_string(i) +
        R"(","engine":{"layers":32,"layer_mb":400,"kvTokenBytes":1000,)"
        R"("step_ms":1,"models":[{"name":"m"}],)"
        R"("kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}]}})");
  }
  for (int i = 0; i <= (aRoutes - 1) / kRoutesPerTenant; ++i) {
    std::string keys;
    for (int key = 0; key < kKeysPerTenant; ++key) {
      keys += (key > 0 ? R"(,"key-)" : R"("key-)") +
              std::to_string(1'000'000 + i) + "-4f1d0c7be29a6583-" +
              std::to_string(key) + R"(")";
    }
    parts.tenants.push_back(R"({"name":"tenant-)" + std::to_string(i) +
                            R"(","apiKeys":[)" + keys + "]}");
  }
  return parts;
}

std::string Joined(const std::vector<std::string>& aParts) {
  std::string text;
  for (const std::string& part : aParts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

std::string TextOf(const ConfigurationParts& aParts) {
  return R"({"configVersion":1,"routes":[)" + Joined(aParts.routes) +
         R"(],"services":[)" + Joined(aParts.services) + R"(],"tenants":[)" +
         Joined(aParts.tenants) + "]}";
}

/// The store's response to a check whose revision is no longer the newest.
std::string StoreResponse(const std::string& aText) {
  return R"({"items":[{"privateKey":"config","revision":7,"value":")" +
         platform::EncodeBase64(aText) + R"("}]})";
}

/// The steps of `Store::Commit` and `ParseItem` on such a response.
std::string ReadStoreBody(const std::string& aResponse) {
  const auto body = platform::StoreBody::Parse(aResponse);
  std::string value;
  for (const nlohmann::json& entry :
       body->Json().value("items", nlohmann::json::array())) {
    value = *body->DecodeValue(entry);
  }
  return value;
}

/// The same steps before `StoreBody`: all of the response is parsed as JSON.
std::string ReadStoreResponse(const std::string& aResponse) {
  const auto body = platform::ParseJson(aResponse);
  std::string value;
  for (const nlohmann::json& entry :
       body->value("items", nlohmann::json::array())) {
    value = *platform::DecodeBase64(entry.value("value", ""));
  }
  return value;
}

/// Returns a text in which one route has another time-out and version 2.
std::string ChangedText(ConfigurationParts aParts) {
  std::string& route = aParts.routes[aParts.routes.size() / 2];
  const std::string timeout = R"("timeoutMs":20000)";
  route.replace(route.find(timeout), timeout.size(), R"("timeoutMs":20001)");
  std::string text = TextOf(aParts);
  const std::string version = R"("configVersion":1)";
  text.replace(text.find(version), version.size(), R"("configVersion":2)");
  return text;
}

/// The steps of `RouteTable` that compute its `AdmissionHash`.
std::uint64_t HashAdmission(const RouteConfiguration& aConfiguration) {
  const std::hash<std::string> hash;
  std::uint64_t sum = 0;
  for (const Route& route : aConfiguration.routes) {
    sum += hash(route.host + ' ' + route.pathPrefix);
  }
  for (const RoutedOrganisation& organisation :
       aConfiguration.organisations.value()) {
    for (const std::string& key : organisation.keys) {
      sum += hash(key);
    }
  }
  return sum;
}

/// What the configurations that `ClusterView` keeps after changes of keys cost.
struct FormerCost {
  std::size_t tables = 0;
  double bytes = 0;
  double releaseMillis = 0;
};

/// Applies six versions of which each removes a key of the one before, and
/// releases in one tick what is kept of them.
FormerCost MeasureFormer(const ClusterDecoder& aDecoder,
                         const ConfigurationParts& aParts) {
  class NullListener final : public ClusterListener {
    void OnConfiguration() override {}
    void OnUpstream(const UpstreamPtr&) override {}
    void OnDaemonEntries() override {}
  } listener;
  FakeClock clock;
  ClusterView view{aDecoder, listener, clock};
  constexpr std::uint64_t kVersions = 6;
  for (std::uint64_t version = 1; version <= kVersions; ++version) {
    ConfigurationParts parts = aParts;
    parts.tenants.push_back(R"({"name":"changed","apiKeys":["key-)" +
                            std::to_string(version) + R"("]})");
    view.OnConfiguration({"", TextOf(parts), version});
    view.OnValidated({version}, clock.Now());
  }
  FormerCost cost;
  cost.tables = view.FormerConfigurations().size();
  clock.Advance(std::chrono::seconds(6));
  const double bytes = HeapBytes();
  const double micros = ThreadMicros();
  view.Tick();
  cost.releaseMillis = (ThreadMicros() - micros) / kMicrosPerMilli;
  cost.bytes = bytes - HeapBytes();
  return cost;
}

std::string PeerResponse(const std::string& aText) {
  ClusterResponse response;
  response.update.configVersion = 1;
  response.packedConfig = std::make_shared<const std::string>(PackText(aText));
  return WriteEdgePeerMessage({"edge-a-1", "10.0.0.1:7000", response})
      .ToString();
}

/// Largest and total time of the steps in which the event loop would decode a
/// configuration in pieces of `aRoutesPerStep` routes.
struct SteppedDecode {
  double longestMillis = 0;
  double totalMillis = 0;
};

/// Decodes in pieces, each a small configuration of its own. Splitting the text
/// and merging the pieces into one table come on top, so that the figures are a
/// lower bound.
SteppedDecode DecodeInSteps(const ClusterDecoder& aDecoder,
                            const ConfigurationParts& aParts,
                            std::size_t aRoutesPerStep) {
  SteppedDecode result;
  RouteConfiguration whole;
  const auto step = [&](const std::string& aText) {
    const double millis = MedianMillis([&] {
      auto piece = aDecoder.DecodeConfiguration(aText);
      whole.routes.insert(whole.routes.end(), piece->routes.begin(),
                          piece->routes.end());
    });
    result.longestMillis = std::max(result.longestMillis, millis);
    result.totalMillis += millis;
  };
  for (std::size_t at = 0; at < aParts.routes.size(); at += aRoutesPerStep) {
    const auto slice = [&](const std::vector<std::string>& aAll) {
      const std::size_t perStep =
          (aAll.size() * aRoutesPerStep + aParts.routes.size() - 1) /
          aParts.routes.size();
      const std::size_t from =
          std::min(aAll.size(), at / aRoutesPerStep * perStep);
      const std::size_t end = std::min(aAll.size(), from + perStep);
      return std::vector<std::string>(aAll.begin() + std::ptrdiff_t(from),
                                      aAll.begin() + std::ptrdiff_t(end));
    };
    step(TextOf(
        {slice(aParts.routes), slice(aParts.services), slice(aParts.tenants)}));
  }
  return result;
}

/// Keeps this process on the processor that it runs on, like a VM with one.
void UseOneProcessor() {
  cpu_set_t processors;
  CPU_ZERO(&processors);
  CPU_SET(sched_getcpu(), &processors);
  sched_setaffinity(0, sizeof(processors), &processors);
}

/// Longest time between two handlers of an event loop that has a timer of 1 ms,
/// and the time from the start of a build to its end, by the wall clock.
struct LoopGap {
  double longestMillis = 0;
  double builtMillis = 0;
};

/// Runs `aBuild` as a handler of the loop, or on a thread beside it. Other
/// processes of the machine enter.
template <class Build>
LoopGap MeasureGap(Build aBuild, bool aOnThread) {
  using SteadyClock = std::chrono::steady_clock;
  const auto millisSince = [](SteadyClock::time_point aSince) {
    return std::chrono::duration<double, std::milli>(SteadyClock::now() -
                                                     aSince)
        .count();
  };
  LoopGap gap;
  asio::io_context loop{1};
  asio::steady_timer timer(loop);
  std::thread thread;
  SteadyClock::time_point last = SteadyClock::now();
  SteadyClock::time_point startedAt;
  bool isDone = false;
  int ticks = 0;
  const auto finish = [&] {
    gap.builtMillis = millisSince(startedAt);
    isDone = true;
  };
  std::function<void()> tick = [&] {
    gap.longestMillis = std::max(gap.longestMillis, millisSince(last));
    last = SteadyClock::now();
    constexpr int kTicksBefore = 3;
    if (++ticks == kTicksBefore) {
      startedAt = last;
      if (aOnThread) {
        thread = std::thread([&] {
          aBuild();
          asio::post(loop, finish);
        });
      } else {
        asio::post(loop, [&] {
          aBuild();
          finish();
        });
      }
    }
    if (!isDone) {
      timer.expires_after(std::chrono::milliseconds(1));
      timer.async_wait([&](const asio::error_code&) { tick(); });
    }
  };
  tick();
  loop.run();
  if (thread.joinable()) {
    thread.join();
  }
  return gap;
}

/// The medians of `kRuns` runs.
template <class Build>
LoopGap MedianGap(Build aBuild, bool aOnThread) {
  std::vector<double> gaps;
  std::vector<double> times;
  for (int run = 0; run < kRuns; ++run) {
    const LoopGap gap = MeasureGap(aBuild, aOnThread);
    gaps.push_back(gap.longestMillis);
    times.push_back(gap.builtMillis);
  }
  std::sort(gaps.begin(), gaps.end());
  std::sort(times.begin(), times.end());
  return {gaps[kRuns / 2], times[kRuns / 2]};
}

void Measure(int aRoutes) {
  const auto print = [&](const std::string& aStep, double aValue,
                         const std::string& aUnit) {
    Print("configuration." + std::to_string(aRoutes) + "." + aStep, aValue,
          aUnit);
  };
  const std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  const ConfigurationParts parts = MakeParts(aRoutes);
  const std::string text = TextOf(parts);
  const std::string stored = StoreResponse(text);
  const std::string packed = PackText(text);
  const std::string peerResponse = PeerResponse(text);
  print("bytes", static_cast<double>(text.size()) / kBytesPerKb, "KB");
  print("store_bytes", static_cast<double>(stored.size()) / kBytesPerKb, "KB");
  print("packed_bytes", static_cast<double>(packed.size()) / kBytesPerKb, "KB");

  print("parse_store", MedianMillis([&] { (void)ReadStoreResponse(stored); }),
        "ms");
  print("read_store", MedianMillis([&] { (void)ReadStoreBody(stored); }), "ms");
  const std::string encoded = platform::EncodeBase64(text);
  print("base64", MedianMillis([&] { (void)platform::DecodeBase64(encoded); }),
        "ms");
  print("parse_json", MedianMillis([&] { (void)platform::ParseJson(text); }),
        "ms");
  print("decode",
        MedianMillis([&] { (void)decoder->DecodeConfiguration(text); }), "ms");
  // Lower bound of a decoder without a document: the parser alone, whose
  // events go nowhere.
  print("parse_events",
        MedianMillis([&] { (void)nlohmann::json::accept(text); }), "ms");
  const std::string changed = ChangedText(parts);
  const DecodedConfiguration former{
      std::make_shared<const std::string>(text),
      std::make_shared<const RouteTable>(*decoder->DecodeConfiguration(text))};
  print("decode_change",
        MedianMillis([&] { (void)decoder->DecodeChange(changed, former); }),
        "ms");
  // All routes changed: the most that the comparison can cost.
  ConfigurationParts others = parts;
  for (std::string& route : others.routes) {
    route.insert(1, " ");
  }
  for (std::string& tenant : others.tenants) {
    tenant.insert(1, " ");
  }
  const std::string other = TextOf(others);
  print("decode_other",
        MedianMillis([&] { (void)decoder->DecodeChange(other, former); }),
        "ms");
  std::vector<RouteConfiguration> copies(kRuns,
                                         *decoder->DecodeConfiguration(text));
  std::vector<std::shared_ptr<const RouteTable>> tables;
  print("table", MedianMillis([&] {
          tables.push_back(
              std::make_shared<const RouteTable>(std::move(copies.back())));
          copies.pop_back();
        }),
        "ms");
  print("release", MedianMillis([&] { tables.pop_back(); }), "ms");
  std::shared_ptr<const RouteTable> current;
  auto next = std::make_shared<const RouteTable>(
      std::move(*decoder->DecodeConfiguration(text)));
  print("swap", MedianMillis([&] { std::swap(current, next); }), "ms");
  print("pack", MedianMillis([&] { (void)PackText(text); }), "ms");
  print("unpack",
        MedianMillis([&] { (void)ReadEdgePeerMessage(peerResponse); }), "ms");

  const double beforeJson = HeapBytes();
  std::optional<nlohmann::json> json = *platform::ParseJson(text);
  print("json_memory", (HeapBytes() - beforeJson) / kBytesPerKb, "KB");
  json.reset();
  const double beforeTable = HeapBytes();
  const auto one = std::make_shared<const RouteTable>(
      std::move(*decoder->DecodeConfiguration(text)));
  const std::string ownText = text;
  print("held_memory", (HeapBytes() - beforeTable) / kBytesPerKb, "KB");

  print("admission_hash",
        MedianMillis([&] { (void)HashAdmission(one->Configuration()); }), "ms");
  const FormerCost kept = MeasureFormer(*decoder, parts);
  print("former_tables", static_cast<double>(kept.tables), "tables");
  print("former_memory", kept.bytes / kBytesPerKb, "KB");
  print("former_release", kept.releaseMillis, "ms");

  constexpr std::size_t kRoutesPerStep = 50;
  const SteppedDecode steps = DecodeInSteps(*decoder, parts, kRoutesPerStep);
  print("steps_longest", steps.longestMillis, "ms");
  print("steps_total", steps.totalMillis, "ms");

  const auto build = [&] {
    (void)std::make_shared<const RouteTable>(
        std::move(*decoder->DecodeConfiguration(text)));
  };
  const LoopGap onLoop = MedianGap(build, false);
  print("gap_on_loop", onLoop.longestMillis, "ms");
  print("built_on_loop", onLoop.builtMillis, "ms");
  const LoopGap onThread = MedianGap(build, true);
  print("gap_on_thread", onThread.longestMillis, "ms");
  print("built_on_thread", onThread.builtMillis, "ms");
}

}  // namespace
}  // namespace zincstep::bench

int main() {
  zincstep::bench::UseOneProcessor();
  for (const int routes : {10, 350, 1400, 2500, 10000}) {
    zincstep::bench::Measure(routes);
  }
  return 0;
}
