#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/RelayFixture.h"
#include "Zincstep/Edge/WorkExchange.h"

namespace zincstep {
namespace {

constexpr double kResponseSeconds = 1;
constexpr int kSlots = 192;

class FirstStageLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstStageLoadTest);
  CPPUNIT_TEST(Expected_NothingAnnounced_IsCounted);
  CPPUNIT_TEST(Expected_NewDaemon_LearnsAnnouncedLoad);
  CPPUNIT_TEST(Expected_AnnouncedLoad_FadesOverOneResponse);
  CPPUNIT_TEST(Expected_CountedRequests_DoNotFade);
  CPPUNIT_TEST(Expected_StartsSinceReport_AreAdded);
  CPPUNIT_TEST(Announce_OlderLoad_IsIgnored);
  CPPUNIT_TEST(ExpectedWait_FreeSlots_IsZero);
  CPPUNIT_TEST(ExpectedWait_FullSlots_IsSurplusOverRate);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  FirstStageLoad load;

  double Expected() const {
    return load.Expected(kResponseSeconds, clock.Now());
  }

 public:
  void Expected_NothingAnnounced_IsCounted() {
    load.OnStarted(clock.Now());
    load.AddRemote(4);
    CPPUNIT_ASSERT_EQUAL(5.0, this->Expected());
    load.OnEnded();
    load.RemoveRemote(4);
    CPPUNIT_ASSERT_EQUAL(0.0, this->Expected());
  }

  // Guards against a daemon that assumes idle upstreams after its start, while
  // they run the requests of daemons that have died.
  void Expected_NewDaemon_LearnsAnnouncedLoad() {
    load.Announce({180, 60, clock.Now()});
    CPPUNIT_ASSERT_EQUAL(240.0, this->Expected());
    CPPUNIT_ASSERT(load.ExpectedWait(kSlots, kResponseSeconds, clock.Now()) >
                   Micros{200ms});
  }

  void Expected_AnnouncedLoad_FadesOverOneResponse() {
    load.Announce({180, 20, clock.Now()});
    clock.Advance(500ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, this->Expected(), 1e-6);
    clock.Advance(600ms);
    CPPUNIT_ASSERT_EQUAL(0.0, this->Expected());
  }

  void Expected_CountedRequests_DoNotFade() {
    load.AddRemote(80);
    load.Announce({100, 0, clock.Now()});
    clock.Advance(500ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(90.0, this->Expected(), 1e-6);
    clock.Advance(5s);
    CPPUNIT_ASSERT_EQUAL(80.0, this->Expected());
  }

  // A report is 200 ms old when it arrives: requests sent meanwhile are not in
  // it, those sent before are.
  void Expected_StartsSinceReport_AreAdded() {
    load.OnStarted(clock.Now());
    clock.Advance(300ms);
    load.OnStarted(clock.Now());
    clock.Advance(100ms);
    load.Announce(UpstreamReport{.running = 10}.Load(clock.Now()));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2 + 9 * 0.8, this->Expected(), 1e-6);
  }

  void Announce_OlderLoad_IsIgnored() {
    load.Announce({100, 0, clock.Now()});
    load.Announce({1, 0, clock.Now() - 50ms});
    CPPUNIT_ASSERT_EQUAL(100.0, this->Expected());
  }

  void ExpectedWait_FreeSlots_IsZero() {
    load.AddRemote(kSlots - 1);
    CPPUNIT_ASSERT(load.ExpectedWait(kSlots, kResponseSeconds, clock.Now()) ==
                   Micros{0});
  }

  void ExpectedWait_FullSlots_IsSurplusOverRate() {
    load.AddRemote(kSlots + 95);
    CPPUNIT_ASSERT(load.ExpectedWait(kSlots, kResponseSeconds, clock.Now()) ==
                   Micros{500ms});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstStageLoadTest);

/// Two daemons that send each other their work.
class WorkExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkExchangeTest);
  CPPUNIT_TEST(Apply_Again_ReplacesCounts);
  CPPUNIT_TEST(Tick_SilentPeer_CountsAreDropped);
  CPPUNIT_TEST(Build_IdleUpstreams_AreLeftOut);
  CPPUNIT_TEST(Build_LoadFromPeer_IsNotForwarded);
  CPPUNIT_TEST(Apply_AnnouncedLoad_HasItsAge);
  CPPUNIT_TEST(Build_NothingLeft_IsSentOnce);
  CPPUNIT_TEST_SUITE_END();

  struct Daemon {
    Daemon() {
      for (const char* id : {"one", "two"}) {
        UpstreamEntry entry;
        entry.id = id;
        entry.kind = "k";
        this->directory.Put(entry, Instant{});
      }
    }
    UpstreamDirectory directory;
    WorkExchange exchange{this->directory, [](const UpstreamPtr&) {}};
    FirstStageLoad& Stage(const char* aId) {
      return this->directory.Find(aId)->firstStage;
    }
  };

  FakeClock clock;
  Daemon sender;
  Daemon receiver;

  void Send() {
    const auto outgoing = sender.exchange.Build({}, clock.Now());
    CPPUNIT_ASSERT(outgoing.has_value());
    receiver.exchange.Apply("sender", outgoing->gossip, clock.Now());
  }

 public:
  void Apply_Again_ReplacesCounts() {
    sender.Stage("one").OnStarted(clock.Now());
    sender.Stage("one").OnStarted(clock.Now());
    this->Send();
    CPPUNIT_ASSERT_EQUAL(2, receiver.Stage("one").Counted());
    sender.Stage("one").OnEnded();
    sender.Stage("two").OnStarted(clock.Now());
    this->Send();
    CPPUNIT_ASSERT_EQUAL(1, receiver.Stage("one").Counted());
    CPPUNIT_ASSERT_EQUAL(1, receiver.Stage("two").Counted());
  }

  void Tick_SilentPeer_CountsAreDropped() {
    sender.Stage("one").OnStarted(clock.Now());
    this->Send();
    clock.Advance(1s);
    receiver.exchange.Tick(clock.Now(), 1600ms);
    CPPUNIT_ASSERT_EQUAL(1, receiver.Stage("one").Counted());
    clock.Advance(700ms);
    receiver.exchange.Tick(clock.Now(), 1600ms);
    CPPUNIT_ASSERT_EQUAL(0, receiver.Stage("one").Counted());
  }

  void Build_IdleUpstreams_AreLeftOut() {
    sender.Stage("one").OnStarted(clock.Now());
    sender.Stage("two").Announce({3, 0, clock.Now()});
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        sender.exchange.Build({}, clock.Now())->gossip.firstStages.size());
    clock.Advance(1100ms);
    const auto outgoing = sender.exchange.Build({}, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outgoing->gossip.firstStages.size());
    CPPUNIT_ASSERT(!outgoing->gossip.firstStages[0].age);
  }

  // Guards against loads that two daemons keep alive between them.
  void Build_LoadFromPeer_IsNotForwarded() {
    sender.Stage("one").Announce({3, 0, clock.Now()});
    this->Send();
    CPPUNIT_ASSERT(receiver.Stage("one").Announced(clock.Now()));
    CPPUNIT_ASSERT(!receiver.exchange.Build({}, clock.Now()));
  }

  void Apply_AnnouncedLoad_HasItsAge() {
    sender.Stage("one").Announce({30, 5, clock.Now()});
    clock.Advance(300ms);
    this->Send();
    const auto load = receiver.Stage("one").Announced(clock.Now());
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(35, load->Requests());
    CPPUNIT_ASSERT(clock.Now() - load->at == Micros{300ms});
  }

  void Build_NothingLeft_IsSentOnce() {
    sender.Stage("one").OnStarted(clock.Now());
    this->Send();
    sender.Stage("one").OnEnded();
    this->Send();
    CPPUNIT_ASSERT_EQUAL(0, receiver.Stage("one").Counted());
    CPPUNIT_ASSERT(!sender.exchange.Build({}, clock.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkExchangeTest);

/// Streams through a relay.
class FirstStageCountTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(FirstStageCountTest);
  CPPUNIT_TEST(Stream_Completed_IsCountedWhileItRuns);
  CPPUNIT_TEST(Stream_TruncatedRepeatedly_CountReturnsToZero);
  CPPUNIT_TEST(Caller_Disconnected_CountReturnsToZero);
  CPPUNIT_TEST(ResponseHead_Load_IsAnnounced);
  CPPUNIT_TEST_SUITE_END();

  FirstStageLoad& Stage(std::size_t aIndex = 0) {
    return view.Directory().OfService("model")[aIndex]->firstStage;
  }

 public:
  void Stream_Completed_IsCountedWhileItRuns() {
    int during = 0;
    this->AddUpstream("model", [&](const auto& aTo, const auto& aMessage) {
      during = this->Stage().Local();
      AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
    });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/llm/x"))->status);
    CPPUNIT_ASSERT_EQUAL(1, during);
    CPPUNIT_ASSERT_EQUAL(0, this->Stage().Local());
    CPPUNIT_ASSERT(demand.UsualFirstEvent() > Micros{0});
  }

  void Stream_TruncatedRepeatedly_CountReturnsToZero() {
    for (int i = 0; i < 2; ++i) {
      this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
        aTo->BeginChunks(200, SealedHeaders(aMessage));
        aTo->AppendChunk("id: 1\ndata: a\n\n");
        aTo->Abort();
      });
    }
    this->Ask(this->Request("/llm/x"));
    this->RunUntil([&] { return relay->Active() == 0; });
    CPPUNIT_ASSERT_EQUAL(0, this->Stage(0).Local());
    CPPUNIT_ASSERT_EQUAL(0, this->Stage(1).Local());
  }

  void Caller_Disconnected_CountReturnsToZero() {
    this->AddUpstream("model", [](const auto&, const auto&) {});
    asio::ip::tcp::socket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), this->listener->Port()});
    asio::write(caller, asio::buffer(this->Request("/llm/x")));
    this->RunUntil([&] { return this->Stage().Local() == 1; });
    caller.close();
    this->RunUntil([&] { return this->Stage().Local() == 0; });
    CPPUNIT_ASSERT_EQUAL(0, this->Stage().Counted());
  }

  void ResponseHead_Load_IsAnnounced() {
    this->AddUpstream("model", [](const auto& aTo, const auto& aMessage) {
      HttpHeaders headers = SealedHeaders(aMessage);
      headers.push_back({"X-Server-Load", "190,38,192"});
      AnswerWhole(aTo, aMessage, headers);
    });
    CPPUNIT_ASSERT_EQUAL(200, this->Ask(this->Request("/llm/x"))->status);
    const auto load = this->Stage().Announced(clock.Now());
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(190, load->running);
    CPPUNIT_ASSERT_EQUAL(38, load->queued);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstStageCountTest);

}  // namespace
}  // namespace zincstep
