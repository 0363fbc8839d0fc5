#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "Zincstep/Relay/ForwardChooser.h"

namespace zincstep {
namespace {

/// The choice of a daemon to forward to, from how daemons have handled
/// forwarded requests.
class ForwardChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardChooserTest);
  CPPUNIT_TEST(Choice_PeersInBothDomains_StaysInOwn);
  CPPUNIT_TEST(Choice_MostOfOwnDomainRefuse_UsesBothDomains);
  CPPUNIT_TEST(Choice_PeerRefused_LeavesItOutForAWhile);
  CPPUNIT_TEST(Choice_PeerRefusedOneService_ServesAnother);
  CPPUNIT_TEST(Choice_PeerRefusesAgain_WaitsLonger);
  CPPUNIT_TEST(Choice_PeerDown_LeavesItOutForAllServices);
  CPPUNIT_TEST(Choice_PeerReplaced_ForgetsItsFailures);
  CPPUNIT_TEST(Choice_PeerCutOff_IsLast);
  CPPUNIT_TEST(Choice_PeerCutOffFromOneService_ServesAnother);
  CPPUNIT_TEST(Choice_OwnDomainCutOff_UsesOther);
  CPPUNIT_TEST(Reach_AllCutOff_IsNone);
  CPPUNIT_TEST(Reach_ReportOutdatedOrReplaced_IsUnknown);
  CPPUNIT_TEST(Choice_AllTried_IsNone);
  CPPUNIT_TEST(Choice_ManyRequests_SpreadsByThoseInFlight);
  CPPUNIT_TEST(Choice_AllButOneOf87Refuse_FindsTheOne);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  Random random{1};
  ForwardChooser chooser{ForwardChooserSettings{"a"}, clock, random};

  static ForwardPeer Peer(const std::string& aName, const char* aDomain,
                          const char* aAddress = "10.0.0.1:1") {
    return {aName, aAddress, aDomain};
  }

  /// Names drawn in many choices.
  std::set<std::string> Drawn(const char* aService = "s") {
    std::set<std::string> names;
    for (int i = 0; i < 100; ++i) {
      if (const auto peer = chooser.Choose(aService, {})) {
        names.insert(peer->name);
      }
    }
    return names;
  }

  using Names = std::set<std::string>;

 public:
  void setUp() override { clock.Advance(60s); }

  void Choice_PeersInBothDomains_StaysInOwn() {
    chooser.SetPeers({Peer("a1", "a"), Peer("a2", "a"), Peer("b1", "b")});
    CPPUNIT_ASSERT(this->Drawn() == Names({"a1", "a2"}));
  }

  void Choice_MostOfOwnDomainRefuse_UsesBothDomains() {
    chooser.SetPeers(
        {Peer("a1", "a"), Peer("a2", "a"), Peer("a3", "a"), Peer("b1", "b")});
    chooser.OnRefused("a1", "s");
    CPPUNIT_ASSERT(this->Drawn() == Names({"a2", "a3"}));
    chooser.OnRefused("a2", "s");
    CPPUNIT_ASSERT(this->Drawn() == Names({"a3", "b1"}));
    chooser.OnRefused("a3", "s");
    CPPUNIT_ASSERT(this->Drawn() == Names({"b1"}));
  }

  void Choice_PeerRefused_LeavesItOutForAWhile() {
    chooser.SetPeers({Peer("a1", "a")});
    chooser.OnRefused("a1", "s");
    CPPUNIT_ASSERT(this->Drawn().empty());
    clock.Advance(250ms);
    CPPUNIT_ASSERT(this->Drawn() == Names({"a1"}));
  }

  void Choice_PeerRefusedOneService_ServesAnother() {
    chooser.SetPeers({Peer("a1", "a")});
    chooser.OnRefused("a1", "s");
    CPPUNIT_ASSERT(this->Drawn("other") == Names({"a1"}));
  }

  void Choice_PeerRefusesAgain_WaitsLonger() {
    chooser.SetPeers({Peer("a1", "a")});
    chooser.OnRefused("a1", "s");
    clock.Advance(250ms);
    chooser.OnRefused("a1", "s");
    clock.Advance(250ms);
    CPPUNIT_ASSERT(this->Drawn().empty());
    clock.Advance(250ms);
    CPPUNIT_ASSERT(!this->Drawn().empty());
    chooser.OnServed("a1", "s");
    chooser.OnRefused("a1", "s");
    clock.Advance(250ms);
    CPPUNIT_ASSERT(!this->Drawn().empty());
  }

  void Choice_PeerDown_LeavesItOutForAllServices() {
    chooser.SetPeers({Peer("a1", "a"), Peer("a2", "a")});
    chooser.OnNoResponse("a1");
    CPPUNIT_ASSERT(this->Drawn() == Names({"a2"}));
    CPPUNIT_ASSERT(this->Drawn("other") == Names({"a2"}));
    clock.Advance(1s);
    CPPUNIT_ASSERT(this->Drawn() == Names({"a1", "a2"}));
  }

  void Choice_PeerReplaced_ForgetsItsFailures() {
    chooser.SetPeers({Peer("a1", "a")});
    chooser.OnNoResponse("a1");
    chooser.SetPeers({Peer("a1", "a")});
    CPPUNIT_ASSERT(this->Drawn().empty());
    chooser.SetPeers({Peer("a1", "a", "10.0.0.2:1")});
    CPPUNIT_ASSERT(this->Drawn() == Names({"a1"}));
  }

  // It may still reach some upstreams.
  void Choice_PeerCutOff_IsLast() {
    chooser.SetPeers({Peer("a1", "a"), Peer("a2", "a")});
    chooser.OnReach("a1", {{"s", 2}});
    CPPUNIT_ASSERT(this->Drawn() == Names({"a2"}));
    chooser.OnRefused("a2", "s");
    CPPUNIT_ASSERT(this->Drawn() == Names({"a1"}));
  }

  void Choice_PeerCutOffFromOneService_ServesAnother() {
    chooser.SetPeers({Peer("a1", "a"), Peer("a2", "a")});
    chooser.OnReach("a1", {{"s", 2}});
    CPPUNIT_ASSERT(this->Drawn("other") == Names({"a1", "a2"}));
  }

  // The path of the whole domain may be lost.
  void Choice_OwnDomainCutOff_UsesOther() {
    chooser.SetPeers({Peer("a1", "a"), Peer("a2", "a"), Peer("b1", "b")});
    chooser.OnReach("a1", {{"s", 2}});
    chooser.OnReach("a2", {{"s", 2}});
    CPPUNIT_ASSERT(this->Drawn() == Names({"b1"}));
    CPPUNIT_ASSERT(chooser.HasReaching("s", 2));
  }

  void Reach_AllCutOff_IsNone() {
    chooser.SetPeers({Peer("a1", "a"), Peer("a2", "a")});
    CPPUNIT_ASSERT(chooser.HasReaching("s", 2));
    chooser.OnReach("a1", {{"s", 2}});
    chooser.OnReach("a2", {{"s", 2}});
    CPPUNIT_ASSERT(!chooser.HasReaching("s", 2));
    CPPUNIT_ASSERT(chooser.HasReaching("other", 2));
    // This daemon reaches fewer upstreams than they do.
    CPPUNIT_ASSERT(chooser.HasReaching("s", 3));
    CPPUNIT_ASSERT(this->Drawn() == Names({"a1", "a2"}));
  }

  void Reach_ReportOutdatedOrReplaced_IsUnknown() {
    chooser.SetPeers({Peer("a1", "a")});
    chooser.OnReach("a1", {{"s", 2}});
    clock.Advance(999ms);
    CPPUNIT_ASSERT(!chooser.HasReaching("s", 2));
    clock.Advance(1ms);
    CPPUNIT_ASSERT(chooser.HasReaching("s", 2));
    chooser.OnReach("a1", {{"s", 2}});
    chooser.OnReach("a1", {});
    CPPUNIT_ASSERT(chooser.HasReaching("s", 2));
  }

  void Choice_AllTried_IsNone() {
    chooser.SetPeers({Peer("a1", "a"), Peer("b1", "b")});
    CPPUNIT_ASSERT(chooser.Choose("s", {"a1"})->name == "b1");
    CPPUNIT_ASSERT(!chooser.Choose("s", {"a1", "b1"}));
  }

  void Choice_ManyRequests_SpreadsByThoseInFlight() {
    std::vector<ForwardPeer> peers;
    for (int i = 0; i < 10; ++i) {
      peers.push_back(Peer("a" + std::to_string(i), "a"));
    }
    chooser.SetPeers(peers);
    std::map<std::string, int> inFlight;
    for (int i = 0; i < 200; ++i) {
      const std::string name = chooser.Choose("s", {})->name;
      chooser.OnStarted(name);
      inFlight[name] += 1;
    }
    for (const auto& [name, count] : inFlight) {
      CPPUNIT_ASSERT(count >= 17 && count <= 23);
    }
  }

  // Each daemon is asked once, then only the one that serves.
  void Choice_AllButOneOf87Refuse_FindsTheOne() {
    std::vector<ForwardPeer> peers;
    for (int i = 0; i < 86; ++i) {
      peers.push_back(Peer("p" + std::to_string(i), i % 3 == 0 ? "a" : "b"));
    }
    chooser.SetPeers(peers);
    int asked = 0;
    for (int request = 0; request < 100; ++request) {
      std::vector<std::string> tried;
      while (const auto peer = chooser.Choose("s", tried)) {
        asked += 1;
        tried.push_back(peer->name);
        if (peer->name == "p41") {
          break;
        }
        chooser.OnRefused(peer->name, "s");
      }
      CPPUNIT_ASSERT(tried.back() == "p41");
    }
    CPPUNIT_ASSERT(asked <= 86 + 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardChooserTest);

}  // namespace
}  // namespace zincstep
