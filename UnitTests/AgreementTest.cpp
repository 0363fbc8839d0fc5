#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "Zincstep/Control/Control.h"
#include "Zincstep/Membership/Membership.h"
#include "Zincstep/Peer/Generated/Peer_generated.h"
#include "Zincstep/Sequence/Sequence.h"

namespace zincstep {
namespace {

MemberList ListOf(int aDomains, int aPerDomain) {
  MemberList list{1, {}};
  for (int i = 0; i < aDomains * aPerDomain; ++i) {
    list.members.push_back({"vm" + std::to_string(i) + "/x",
                            "d" + std::to_string(i % aDomains), ""});
  }
  return list;
}

/// Witnesses, leases, membership and the rules of changes.
class AgreementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgreementTest);
  CPPUNIT_TEST(Witnesses_ThreeDomains_AreInThreeDomains);
  CPPUNIT_TEST(Witnesses_MemberGone_MoveOnlyItsKeys);
  CPPUNIT_TEST(Claim_TwoWitnessesSplit_FirstDecides);
  CPPUNIT_TEST(Witness_OnePromiseEach_GrantsNeitherAfterHandOver);
  CPPUNIT_TEST(Witness_Full_RefusesAndForgetsNothing);
  CPPUNIT_TEST(Lease_PausedHolder_MayNotAct);
  CPPUNIT_TEST(Lease_SlowRenewal_CountsFromItsSending);
  CPPUNIT_TEST(Roster_Leaving_IsSticky);
  CPPUNIT_TEST(Peers_SameView_OneHolderADuty);
  CPPUNIT_TEST(Peers_MessageWithoutTable_IsRefused);
  CPPUNIT_TEST(Reconciler_OnlyHolderOfARange_IsNotPaused);
  CPPUNIT_TEST(Reconciler_Pair_ChangesOneAfterTheOther);
  CPPUNIT_TEST(Monitor_Hang_IsFoundWithin250Millis);
  CPPUNIT_TEST(Monitor_LinkSlows100Fold_IsFoundInFewTokens);
  CPPUNIT_TEST(Monitor_SteadyStream_RaisesNoAlarm);
  CPPUNIT_TEST_SUITE_END();

  Instant now{Micros{100s}};

  static TokenEvent TokenOf(Micros aCompute, Micros aLink) {
    TokenEvent event;
    event.stages = {{{0, 4}, 0us, aCompute, aLink},
                    {{4, 8}, 0us, aCompute, 0us}};
    return event;
  }

 public:
  void Witnesses_ThreeDomains_AreInThreeDomains() {
    const MemberList list = ListOf(3, 4);
    for (int key = 0; key < 200; ++key) {
      std::set<char> domains;
      for (const std::string& name : WitnessesOf(list, std::to_string(key))) {
        const int number = std::atoi(name.c_str() + 2);
        domains.insert(static_cast<char>(number % 3));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, domains.size());
    }
  }

  void Witnesses_MemberGone_MoveOnlyItsKeys() {
    const MemberList before = ListOf(3, 4);
    MemberList after = before;
    after.members.erase(after.members.begin());
    for (int key = 0; key < 200; ++key) {
      const auto old = WitnessesOf(before, std::to_string(key));
      const auto fresh = WitnessesOf(after, std::to_string(key));
      const bool hadGone =
          std::find(old.begin(), old.end(), "vm0/x") != old.end();
      CPPUNIT_ASSERT(hadGone || old == fresh);
    }
  }

  void Claim_TwoWitnessesSplit_FirstDecides() {
    MemberLists lists;
    lists.lists = {ListOf(1, 2)};
    Claim one;
    one.key = "k";
    one.claimant = {"a", 1};
    Claim other = one;
    other.claimant = {"b", 2};
    ClaimRound left(one, lists, this->now + 1s);
    ClaimRound right(other, lists, this->now + 1s);
    const auto witnesses = WitnessesOf(lists.lists[0], "k");
    // Each claimant reaches another witness first.
    const auto won =
        left.OnVote(witnesses[0], {ClaimVote::Kind::Granted, one}, this->now);
    CPPUNIT_ASSERT(won == ClaimVerdict::Won);
    CPPUNIT_ASSERT(!right.OnVote(witnesses[1],
                                 {ClaimVote::Kind::Granted, other}, this->now));
    const auto lost = right.OnVote(
        witnesses[0], {ClaimVote::Kind::HeldByOther, one}, this->now);
    CPPUNIT_ASSERT(lost == ClaimVerdict::HeldByOther);
  }

  void Witness_OnePromiseEach_GrantsNeitherAfterHandOver() {
    WitnessTable stopping{WitnessTableSettings{}};
    WitnessTable successor{WitnessTableSettings{}};
    Claim one;
    one.key = "k";
    one.claimant = {"a", 1};
    Claim other = one;
    other.claimant = {"b", 2};
    (void)stopping.Ask(one, this->now);
    (void)successor.Ask(other, this->now);
    successor.Adopt(stopping.Close(), this->now);
    CPPUNIT_ASSERT(successor.Ask(one, this->now).kind ==
                   ClaimVote::Kind::HeldByOther);
    CPPUNIT_ASSERT(successor.Ask(other, this->now).kind ==
                   ClaimVote::Kind::HeldByOther);
    CPPUNIT_ASSERT(stopping.Ask(one, this->now).kind ==
                   ClaimVote::Kind::Closed);
  }

  void Witness_Full_RefusesAndForgetsNothing() {
    WitnessTableSettings settings;
    settings.maxBytes = 5000;
    WitnessTable table(settings);
    Claim claim;
    claim.claimant = {"a", 1};
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
      claim.key = "key" + std::to_string(i);
      granted += table.Ask(claim, this->now).kind == ClaimVote::Kind::Granted;
    }
    CPPUNIT_ASSERT(granted > 5 && granted < 20);
    claim.key = "key0";
    claim.claimant = {"b", 2};
    CPPUNIT_ASSERT(table.Ask(claim, this->now).kind ==
                   ClaimVote::Kind::HeldByOther);
    // After the memory of keys there is room again.
    claim.key = "key99";
    CPPUNIT_ASSERT(table.Ask(claim, this->now + kKeyRetention).kind ==
                   ClaimVote::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Size());
  }

  void Lease_PausedHolder_MayNotAct() {
    LeaseGuard guard({9s, 3s});
    guard.OnTaken(7, this->now);
    CPPUNIT_ASSERT(guard.MayIssueOrders(this->now + 5s));
    CPPUNIT_ASSERT(!guard.MayIssueOrders(this->now + 6s));
    CPPUNIT_ASSERT(!guard.IsHeld(this->now + 9s));
  }

  void Lease_SlowRenewal_CountsFromItsSending() {
    LeaseGuard guard({9s, 3s});
    guard.OnTaken(7, this->now);
    guard.OnRenewed(this->now + 3s);
    CPPUNIT_ASSERT(guard.IsHeld(this->now + 11s));
    CPPUNIT_ASSERT(!guard.IsHeld(this->now + 12s));
  }

  void Roster_Leaving_IsSticky() {
    LeavingUpstreams roster;
    VmEntry vm;
    vm.name = "u1";
    vm.role = VmRole::Upstream;
    CPPUNIT_ASSERT(roster.OnVmList({vm}).empty());
    CPPUNIT_ASSERT(roster.OnLeaving("u1"));
    // A list that lags behind does not take it back.
    CPPUNIT_ASSERT(roster.OnVmList({vm}).empty());
    CPPUNIT_ASSERT(roster.IsLeaving("u1"));
    CPPUNIT_ASSERT(roster.OnVmList({}).empty());
    // Gone and shown anew: another VM of that name.
    CPPUNIT_ASSERT(roster.OnVmList({vm}).empty());
    CPPUNIT_ASSERT(!roster.IsLeaving("u1"));
  }

  void Peers_SameView_OneHolderADuty() {
    std::vector<VmEntry> vms;
    for (int i = 0; i < 5; ++i) {
      VmEntry vm;
      vm.name = "e" + std::to_string(i);
      vm.failureDomain = "d";
      vm.peerAddress = "x:" + std::to_string(i);
      vms.push_back(vm);
    }
    std::set<std::string> holders;
    for (int i = 0; i < 5; ++i) {
      PeerTable table("e" + std::to_string(i), "d", {});
      table.SetVms(vms, {});
      for (int other = 0; other < 5; ++other) {
        GossipMessage gossip;
        gossip.vm = "e" + std::to_string(other);
        gossip.member = gossip.vm + "/x";
        table.OnGossip(gossip, this->now);
      }
      holders.insert(table.OwnerOf("reader", this->now));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holders.size());
  }

  void Peers_MessageWithoutTable_IsRefused() {
    flatbuffers::FlatBufferBuilder builder;
    const auto sender = builder.CreateString("a");
    builder.Finish(
        wire::CreateMessage(builder, sender, sender, wire::Body_Gossip, 0));
    const std::string_view bytes(
        reinterpret_cast<const char*>(builder.GetBufferPointer()),
        builder.GetSize());
    CPPUNIT_ASSERT(!ReadPeerMessage(bytes).has_value());
  }

  static UpstreamState StateOf(const char* aName, LayerRange aLayers) {
    UpstreamState state;
    state.name = aName;
    state.model = "m";
    state.layers = aLayers;
    state.declaredVersion = "v2";
    state.actualVersion = "v1";
    state.reachable = true;
    return state;
  }

  void Reconciler_OnlyHolderOfARange_IsNotPaused() {
    Reconciler reconciler({});
    const std::vector<UpstreamState> states{StateOf("a", {0, 4}),
                                            StateOf("b", {4, 8})};
    const ReconcileStep step = reconciler.Step(states, {{"m", 8}}, this->now);
    CPPUNIT_ASSERT(step.paused.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, step.stuck.size());
  }

  void Reconciler_Pair_ChangesOneAfterTheOther() {
    Reconciler reconciler({});
    std::vector<UpstreamState> states{StateOf("a", {0, 8}),
                                      StateOf("b", {0, 8})};
    ReconcileStep step = reconciler.Step(states, {{"m", 8}}, this->now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step.paused.size());
    CPPUNIT_ASSERT(step.orders.empty());
    step = reconciler.Step(states, {{"m", 8}}, this->now + 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), step.orders[0].expectedVersion);
    states[0].actualVersion = "v2";
    step = reconciler.Step(states, {{"m", 8}}, this->now + 4s);
    CPPUNIT_ASSERT(step.paused == std::vector<std::string>{"b"});
  }

  void Monitor_Hang_IsFoundWithin250Millis() {
    HopMonitor monitor{HopMonitorSettings{}};
    monitor.OnAttempt(2, this->now);
    for (int i = 0; i < 30; ++i) {
      this->now += 20ms;
      CPPUNIT_ASSERT(!monitor.OnToken(TokenOf(9ms, 1ms), this->now));
    }
    CPPUNIT_ASSERT(!monitor.IsHung(this->now + 100ms));
    CPPUNIT_ASSERT(monitor.ShouldProbe(this->now + 110ms));
    CPPUNIT_ASSERT(monitor.IsHung(this->now + 250ms));
  }

  void Monitor_LinkSlows100Fold_IsFoundInFewTokens() {
    HopMonitor monitor{HopMonitorSettings{}};
    monitor.OnAttempt(2, this->now);
    for (int i = 0; i < 30; ++i) {
      this->now += 20ms;
      (void)monitor.OnToken(TokenOf(9ms, 500us), this->now);
    }
    int tokens = 0;
    std::optional<SlowHop> slow;
    while (!slow && tokens < 10) {
      tokens += 1;
      this->now += 70ms;
      slow = monitor.OnToken(TokenOf(9ms, 50ms), this->now);
    }
    CPPUNIT_ASSERT(slow.has_value());
    CPPUNIT_ASSERT(slow->isLink);
    CPPUNIT_ASSERT_EQUAL(0, slow->hop);
    CPPUNIT_ASSERT(tokens <= 3);
  }

  void Monitor_SteadyStream_RaisesNoAlarm() {
    HopMonitor monitor{HopMonitorSettings{}};
    Random random(2);
    monitor.OnAttempt(2, this->now);
    for (int i = 0; i < 2000; ++i) {
      const Micros step{static_cast<std::int64_t>(8000 + 6000 * random.Unit())};
      this->now += 2 * step + 2ms;
      CPPUNIT_ASSERT(!monitor.OnToken(TokenOf(step, 1ms), this->now));
      CPPUNIT_ASSERT(!monitor.IsHung(this->now + 60ms));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgreementTest);

}  // namespace
}  // namespace zincstep
