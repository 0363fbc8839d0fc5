#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/PeerProtocol.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

/// A store that completes no call.
class AbsentStore final : public AsyncStore {
 public:
  void Range(const std::string&, Done<StoreRange>) override {}
  void RangeStale(const std::string&, StalePages, Done<StoreRange>) override {}
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange, Done<StoreCommit>) override {}
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}
};

class NullListener final : public PeerListener {
 public:
  void OnPeerData(std::string) override {}
};

/// A daemon that accepts connections and never reads from them.
class StalledReader {
 public:
  explicit StalledReader(asio::io_context& aLoop) : acceptor(aLoop) {
    constexpr int kReceiveBufferBytes = 4096;
    acceptor.open(Tcp::v4());
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

 private:
  Tcp::acceptor acceptor;
};

/// A configuration with 1,600 routes, the size of the operators' largest.
std::string LargeConfiguration(int aVersion) {
  std::string text = R"({"configVersion":)" + std::to_string(aVersion) +
                     R"(,"services":[],"routes":[)";
  for (int i = 0; i < 1600; ++i) {
    const std::string number = std::to_string(i);
    text += (i > 0 ? "," : "") + std::string(R"({"name":"r-)") + number +
            R"(","hostname":"ficu95.example","pathPrefix":"/p)" + number +
            R"(/","routeType":"streaming","timeoutMs":20000,)"
            R"("targetLatencyMs":500,"priority":1,"backend":"huvo11a",)"
            R"("maxAttempts":2,"public":false,"sessionAffinity":true,)"
            R"("resumable":true,"gap_aim_ms":250})";
  }
  return text + "]}";
}

/// Many slow readers query the first daemon that has a new configuration.
class PeerMemoryTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(PeerMemoryTest);
  CPPUNIT_TEST(Configurations_ManySlowReaders_ShareOneBuffer);
  CPPUNIT_TEST(Hint_IncompleteList_IsShort);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kRequesters = 45;
  static constexpr int kVersions = 25;
  /// A twentieth of the smallest VM's memory (112 MB).
  static constexpr std::size_t kMaxQueuedBytes = 112 * (1 << 20) / 20;

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(loop);
  asio::io_context idleLoop;
  SystemClock clock;
  AbsentStore store;
  StoreEraTracker eras;
  Metrics metrics;
  Random random{1};
  EdgeSettings settings;
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  ClusterView view{*decoder, *this, clock};
  std::unique_ptr<PeerProtocol> protocol;
  NullListener nullListener;
  std::unique_ptr<PeerTransport> requesters;
  std::vector<std::unique_ptr<StalledReader>> readers;

  /// Queries the configuration for each reader, and runs the loop until each
  /// response is sent.
  void QueryAll() {
    const auto sentBytes = [this] {
      return metrics.CounterValue("zincstep_peer_sent_bytes_total",
                                  {{"kind", "give"}});
    };
    for (const auto& reader : readers) {
      const double before = sentBytes();
      ClusterQuery query;
      query.queryId = 1;
      requesters->Send(settings.peerListen,
                       WriteEdgePeerMessage({"d2", reader->Address(), query}));
      while (sentBytes() == before) {
        loop.run_one();
      }
    }
  }

 public:
  void setUp() override {
    // Selects a port that is currently free.
    Tcp::acceptor port(idleLoop, {asio::ip::address_v4::loopback(), 0});
    settings.name = "d1";
    settings.failureDomain = "a";
    settings.peerListen =
        "127.0.0.1:" + std::to_string(port.local_endpoint().port());
    port.close();
    protocol = std::make_unique<PeerProtocol>(
        loop, settings, store, view, clock, random, metrics, eras,
        [](const UpstreamPtr&) {},
        [](const CrashGossip&, const std::string&) {},
        [](const LimitGossip&, const std::string&, const std::string&) {},
        [] { return std::nullopt; });
    CPPUNIT_ASSERT(protocol->Start().has_value());
    requesters = MakePeerTransport({}, nullListener);
    CPPUNIT_ASSERT(requesters->Start().has_value());
    for (int i = 0; i < kRequesters; ++i) {
      readers.push_back(std::make_unique<StalledReader>(idleLoop));
    }
  }

  void tearDown() override {
    requesters->Stop();
    protocol->Stop();
  }

  // Guards against a daemon with 112 MB that queued 148 MB: it held a separate
  // text for each of 45 requesters and for each of several versions.
  void Configurations_ManySlowReaders_ShareOneBuffer() {
    std::size_t maxQueued = 0;
    for (int version = 1; version <= kVersions; ++version) {
      const auto revision = static_cast<std::uint64_t>(version);
      view.OnConfiguration({"", LargeConfiguration(version), {revision, 0}});
      CPPUNIT_ASSERT_EQUAL(revision, view.ConfigVersion());
      this->QueryAll();
      maxQueued = std::max(maxQueued, protocol->BytesToPeers());
    }
    CPPUNIT_ASSERT_MESSAGE("queued " + std::to_string(maxQueued),
                           maxQueued <= kMaxQueuedBytes);
  }

  /// Applies a list of three thousand upstreams and an update that reveals a
  /// missed change.
  void ApplyIncompleteList() {
    StoreRange range;
    range.at = {5, 0};
    for (int i = 0; i < 3000; ++i) {
      const std::string number = std::to_string(i);
      range.items.push_back({"i-" + std::to_string(Hash64(number)),
                             std::string(300, 'x') + number,
                             {5, 0}});
    }
    view.OnUpstreams(range);
    ClusterUpdate update;
    ListUpdate& list = update.upstreams.emplace();
    list.at = {6, 0};
    list.isFull = false;
    list.digest = 1;
    view.OnUpdate(update, clock.Now());
    CPPUNIT_ASSERT(view.Revisions().upstreams.IsNone());
  }

  // Guards against hints that carried the full list, a megabyte to each of two
  // hundred daemons: 226 MB were queued.
  void Hint_IncompleteList_IsShort() {
    this->ApplyIncompleteList();
    StoreRange daemons;
    daemons.at = {5, 0};
    for (std::size_t i = 0; i < readers.size(); ++i) {
      const PeerName daemon{"e" + std::to_string(i), readers[i]->Address(), "a",
                            20};
      daemons.items.push_back(
          {DaemonEntry::KeyOf(daemon), DaemonEntry::TextOf(daemon), {5, 0}});
    }
    view.OnDaemons(daemons);
    protocol->OnDaemonEntries("");
    protocol->OnConfiguration();
    const double sent = metrics.CounterValue("zincstep_peer_sent_bytes_total",
                                             {{"kind", "give"}});
    CPPUNIT_ASSERT(sent > 0);
    CPPUNIT_ASSERT_MESSAGE("sent " + std::to_string(sent),
                           sent < 1000.0 * kRequesters);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMemoryTest);

}  // namespace
}  // namespace zincstep
