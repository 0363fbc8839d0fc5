#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/PeerProtocol.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

/// Answers no call.
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

class NoListener final : public PeerListener {
 public:
  void OnPeerData(std::string) override {}
};

/// A daemon that takes connections and reads nothing from them.
class SilentReader {
 public:
  explicit SilentReader(asio::io_context& aLoop) : acceptor(aLoop) {
    constexpr int kSmallestBuffer = 4096;
    acceptor.open(Tcp::v4());
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(kSmallestBuffer));
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

 private:
  Tcp::acceptor acceptor;
};

/// A configuration with as many routes as the operators' largest day adds.
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

/// Many daemons ask one that is the first with a new configuration, and take
/// their time to read it.
class PeerMemoryTest : public CppUnit::TestFixture, private ClusterListener {
  CPPUNIT_TEST_SUITE(PeerMemoryTest);
  CPPUNIT_TEST(Configurations_AskedForByManyThatReadSlowly_HoldLittle);
  CPPUNIT_TEST(Hint_WhileTheListIsDoubtful_IsShort);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kAskers = 45;
  static constexpr int kVersions = 25;
  /// A twentieth of the smallest VM's memory (112 MB).
  static constexpr std::size_t kMostHeld = 112 * (1 << 20) / 20;

  void OnConfiguration() override {}
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override {}

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(loop);
  asio::io_context silent;
  SystemClock clock;
  AbsentStore store;
  StoreEraTracker eras;
  Metrics metrics;
  Random random{1};
  EdgeSettings settings;
  std::unique_ptr<ClusterDecoder> decoder = platform::MakeDecoder();
  ClusterView view{*decoder, *this, clock};
  std::unique_ptr<PeerProtocol> exchange;
  NoListener noListener;
  std::unique_ptr<PeerTransport> askers;
  std::vector<std::unique_ptr<SilentReader>> readers;

  /// All readers ask for the configuration, until all are answered.
  void AskAll() {
    const auto answered = [this] {
      return metrics.CounterValue("zincstep_peer_sent_bytes_total",
                                  {{"kind", "give"}});
    };
    for (const auto& reader : readers) {
      const double before = answered();
      ClusterWant want;
      want.question = 1;
      askers->Send(settings.peerListen,
                   WriteEdgePeerMessage({"d2", reader->Address(), want}));
      while (answered() == before) {
        loop.run_one();
      }
    }
  }

 public:
  void setUp() override {
    // A port that is free now.
    Tcp::acceptor port(silent, {asio::ip::address_v4::loopback(), 0});
    settings.name = "d1";
    settings.failureDomain = "a";
    settings.peerListen =
        "127.0.0.1:" + std::to_string(port.local_endpoint().port());
    port.close();
    exchange = std::make_unique<PeerProtocol>(
        loop, settings, store, view, clock, random, metrics, eras,
        [](const UpstreamPtr&) {},
        [](const CrashGossip&, const std::string&) {},
        [](const LimitGossip&, const std::string&, const std::string&) {},
        [] { return std::nullopt; });
    CPPUNIT_ASSERT(exchange->Start().has_value());
    askers = MakePeerTransport({}, noListener);
    CPPUNIT_ASSERT(askers->Start().has_value());
    for (int i = 0; i < kAskers; ++i) {
      readers.push_back(std::make_unique<SilentReader>(silent));
    }
  }

  void tearDown() override {
    askers->Stop();
    exchange->Stop();
  }

  // 148 MB were held by a daemon that has 112: each of 45 askers had a text of
  // its own, of each of several versions.
  void Configurations_AskedForByManyThatReadSlowly_HoldLittle() {
    std::size_t most = 0;
    for (int version = 1; version <= kVersions; ++version) {
      const auto revision = static_cast<std::uint64_t>(version);
      view.OnConfiguration({"", LargeConfiguration(version), {revision, 0}});
      CPPUNIT_ASSERT_EQUAL(revision, view.ConfigVersion());
      this->AskAll();
      most = std::max(most, exchange->BytesToPeers());
    }
    CPPUNIT_ASSERT_MESSAGE("held " + std::to_string(most), most <= kMostHeld);
  }

  /// Three thousand upstreams, of which something was missed on the way.
  void KnowDoubtfulList() {
    StoreRange range;
    range.at = {5, 0};
    for (int i = 0; i < 3000; ++i) {
      const std::string number = std::to_string(i);
      range.items.push_back({"i-" + std::to_string(Hash64(number)),
                             std::string(300, 'x') + number,
                             {5, 0}});
    }
    view.OnUpstreams(range);
    ClusterUpdate copy;
    ListUpdate& list = copy.upstreams.emplace();
    list.at = {6, 0};
    list.isWhole = false;
    list.digest = 1;
    view.OnUpdate(copy, clock.Now());
    CPPUNIT_ASSERT(view.Revisions().upstreams.IsNone());
  }

  // A hint of a newer configuration took the whole list along, a megabyte to
  // each of two hundred daemons: 226 MB were held.
  void Hint_WhileTheListIsDoubtful_IsShort() {
    this->KnowDoubtfulList();
    StoreRange daemons;
    daemons.at = {5, 0};
    for (std::size_t i = 0; i < readers.size(); ++i) {
      const PeerName daemon{"e" + std::to_string(i), readers[i]->Address(), "a",
                            20};
      daemons.items.push_back(
          {DaemonEntry::KeyOf(daemon), DaemonEntry::TextOf(daemon), {5, 0}});
    }
    view.OnDaemons(daemons);
    exchange->OnDaemonEntries("");
    exchange->OnConfiguration();
    const double sent = metrics.CounterValue("zincstep_peer_sent_bytes_total",
                                             {{"kind", "give"}});
    CPPUNIT_ASSERT(sent > 0);
    CPPUNIT_ASSERT_MESSAGE("sent " + std::to_string(sent),
                           sent < 1000.0 * kAskers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMemoryTest);

}  // namespace
}  // namespace zincstep
