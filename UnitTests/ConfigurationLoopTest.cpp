#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <thread>

#include "UnitTests/ConfigurationOnlyStore.h"
#include "UnitTests/DaemonChild.h"
#include "Zincstep/Edge/EdgeProcess.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A configuration with a route `/vN/` without upstreams. A large one has
/// further routes, some 400 KB.
std::string VersionText(int aVersion, bool aIsLarge) {
  constexpr int kManyRoutes = 2000;
  std::string text =
      R"({"configVersion":)" + std::to_string(aVersion) +
      R"(,"services":[{"name":"plain"}],)"
      R"("tenants":[{"name":"acme","apiKeys":["key1"]}],)"
      R"("routes":[{"name":"v","hostname":"h","pathPrefix":"/v)" +
      std::to_string(aVersion) +
      R"(/","routeType":"safe","timeoutMs":200,)"
      R"("backend":"plain"})";
  for (int i = 0; aIsLarge && i < kManyRoutes; ++i) {
    const std::string number = std::to_string(i);
    text += R"(,{"name":"r-)" + number +
            R"(","hostname":"other.example","pathPrefix":"/p)" + number +
            R"(/","routeType":"safe","timeoutMs":2000,"maxAttempts":2,)"
            R"("targetLatencyMs":500,"priority":1,"backend":"plain"})";
  }
  return text + "]}";
}

/// Where large configurations are decoded, and a gate that holds decoding back.
struct DecoderGate {
  std::thread::id loopThread = std::this_thread::get_id();
  std::atomic<int> decodedOnLoop{0};
  std::atomic<int> started{0};
  std::atomic<int> ended{0};

  /// Ends the wait of all threads that decode.
  void Open() {
    if (!this->isOpen) {
      this->isOpen = true;
      this->opens.set_value();
    }
  }

 private:
  std::promise<void> opens;
  bool isOpen = false;

 public:
  std::shared_future<void> open{opens.get_future()};
};

/// Decodes a large configuration once the gate opens. On the thread of the loop
/// it does so at once: the gate is opened by a later handler of the loop.
class GatedDecoder final : public ClusterDecoder {
 public:
  explicit GatedDecoder(DecoderGate& aGate) : gate(aGate) {}

  Result<RouteConfiguration> DecodeConfiguration(
      std::string_view aText) const override {
    constexpr std::size_t kMinLargeBytes = 100'000;
    if (aText.size() >= kMinLargeBytes) {
      if (std::this_thread::get_id() == this->gate.loopThread) {
        this->gate.decodedOnLoop += 1;
      } else {
        this->gate.started += 1;
        this->gate.open.wait();
        this->gate.ended += 1;
      }
    }
    return this->decoder->DecodeConfiguration(aText);
  }
  Result<UpstreamEntry> DecodeUpstream(std::string_view aId,
                                       std::string_view aText) const override {
    return this->decoder->DecodeUpstream(aId, aText);
  }

 private:
  DecoderGate& gate;
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
};

/// A whole daemon, whose store holds one configuration.
class ConfigurationLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationLoopTest);
  CPPUNIT_TEST(LargeConfiguration_WhileItIsDecoded_RequestsAreAnswered);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop{1};
  StoreEraTracker eras;
  EdgeSettings settings;
  DecoderGate gate;
  ConfigurationOnlyStore* store = nullptr;
  std::unique_ptr<EdgeProcess> daemon;
  SingleCall::Endpoint callers;

 public:
  void setUp() override {
    ChildProcessSettings ports;
    const std::array names{"callers", "admin", "peers"};
    DaemonChild::DrawPorts(ports, names);
    settings.name = "n1";
    settings.failureDomain = "a";
    settings.listen = ports.environment["callers"];
    settings.adminListen = ports.environment["admin"];
    settings.peerListen = ports.environment["peers"];
    callers = {asio::ip::address_v4::loopback(),
               DaemonChild::PortOf(ports, "callers")};
    auto ownStore = std::make_unique<ConfigurationOnlyStore>(loop);
    store = ownStore.get();
    store->Put(VersionText(1, false));
    daemon = std::make_unique<EdgeProcess>(
        settings, loop,
        EdgeAdapters{platform::MakeDialect(),
                     std::make_unique<GatedDecoder>(gate), std::move(ownStore),
                     platform::MakeUpstreamControl(loop),
                     platform::MakeClusterKeys(settings.storePrefix)},
        eras);
    CPPUNIT_ASSERT(daemon->Listen().has_value());
    daemon->Start();
  }

  void tearDown() override {
    gate.Open();
    daemon->Stop();
    daemon.reset();
  }

  /// Sends a request and runs the loop until the response arrives.
  HttpResponse Ask(const std::string& aPath) {
    std::optional<Result<HttpResponse>> answer;
    FetchResponse(loop, callers,
                  "GET " + aPath +
                      " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n"
                      "X-Deadline-Ms: 9000\r\nAuthorization: Bearer key1\r\n"
                      "Connection: close\r\n\r\n",
                  10s, [&](Result<HttpResponse> aAnswer) {
                    answer = std::move(aAnswer);
                  });
    while (!answer) {
      loop.run_one();
    }
    CPPUNIT_ASSERT(answer->has_value());
    return **answer;
  }

  /// Whether a version is in force: only then its route exists.
  bool IsInForce(int aVersion) {
    const std::string path = "/v" + std::to_string(aVersion) + "/";
    return this->Ask(path).status != this->Ask("/none/").status;
  }

  // Guards against requests that wait while a configuration is decoded: with
  // some thousand routes that held the event loop for tenths of a second on a
  // small VM, and requests that had arrived were not even read.
  void LargeConfiguration_WhileItIsDecoded_RequestsAreAnswered() {
    while (!IsInForce(1)) {
    }
    store->Put(VersionText(2, true));
    while (gate.started + gate.decodedOnLoop == 0) {
      loop.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(0, gate.decodedOnLoop.load());
    CPPUNIT_ASSERT(IsInForce(1));
    CPPUNIT_ASSERT(!IsInForce(2));
    CPPUNIT_ASSERT_EQUAL(0, gate.ended.load());
    gate.Open();
    while (!IsInForce(2)) {
    }
    CPPUNIT_ASSERT(!IsInForce(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLoopTest);

}  // namespace
}  // namespace zincstep
