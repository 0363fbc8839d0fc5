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

/// Tests of claims and witnesses, leases, membership, version changes and the
/// hop monitor.
class AgreementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgreementTest);
  CPPUNIT_TEST(Witnesses_ThreeDomains_AreInThreeDomains);
  CPPUNIT_TEST(Witnesses_MemberRemoved_ChangesOnlyItsKeys);
  CPPUNIT_TEST(Claim_TwoWitnessesSplit_FirstWitnessDecides);
  CPPUNIT_TEST(Witness_ConflictingGrants_GrantsNeitherAfterHandover);
  CPPUNIT_TEST(Witness_Full_RefusesAndEvictsNothing);
  CPPUNIT_TEST(Lease_PausedLeader_MayNotIssueOrders);
  CPPUNIT_TEST(Lease_SlowRenewal_CountsFromSendTime);
  CPPUNIT_TEST(Leaving_StaleVmList_StaysLeaving);
  CPPUNIT_TEST(Peers_SameView_AgreeOnOneOwner);
  CPPUNIT_TEST(Peers_MessageWithoutTable_IsRefused);
  CPPUNIT_TEST(Reconciler_OnlyUpstreamOfRange_IsNotPaused);
  CPPUNIT_TEST(Reconciler_TwoReplicas_ChangesOneAtATime);
  CPPUNIT_TEST(Monitor_Hang_IsDetectedWithin250Milliseconds);
  CPPUNIT_TEST(Monitor_Link100TimesSlower_IsDetectedWithinThreeTokens);
  CPPUNIT_TEST(Monitor_StableStream_ReportsNoFailure);
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

  void Witnesses_MemberRemoved_ChangesOnlyItsKeys() {
    const MemberList before = ListOf(3, 4);
    MemberList after = before;
    after.members.erase(after.members.begin());
    for (int key = 0; key < 200; ++key) {
      const auto old = WitnessesOf(before, std::to_string(key));
      const auto current = WitnessesOf(after, std::to_string(key));
      const bool hadRemoved =
          std::find(old.begin(), old.end(), "vm0/x") != old.end();
      CPPUNIT_ASSERT(hadRemoved || old == current);
    }
  }

  void Claim_TwoWitnessesSplit_FirstWitnessDecides() {
    MemberLists lists;
    lists.lists = {ListOf(1, 2)};
    Claim one;
    one.key = "k";
    one.claimant = {"a", 1};
    Claim other = one;
    other.claimant = {"b", 2};
    ClaimRound first(one, lists, this->now + 1s);
    ClaimRound second(other, lists, this->now + 1s);
    const auto witnesses = WitnessesOf(lists.lists[0], "k");
    // Each claimant gets its first vote from a different witness.
    const auto won =
        first.OnVote(witnesses[0], {ClaimVote::Kind::Granted, one}, this->now);
    CPPUNIT_ASSERT(won == ClaimVerdict::Won);
    CPPUNIT_ASSERT(!second.OnVote(
        witnesses[1], {ClaimVote::Kind::Granted, other}, this->now));
    const auto lost = second.OnVote(
        witnesses[0], {ClaimVote::Kind::HeldByOther, one}, this->now);
    CPPUNIT_ASSERT(lost == ClaimVerdict::HeldByOther);
  }

  void Witness_ConflictingGrants_GrantsNeitherAfterHandover() {
    WitnessTable stopping{WitnessTableSettings{}};
    WitnessTable successor{WitnessTableSettings{}};
    Claim one;
    one.key = "k";
    one.claimant = {"a", 1};
    Claim other = one;
    other.claimant = {"b", 2};
    (void)stopping.Vote(one, this->now);
    (void)successor.Vote(other, this->now);
    successor.Merge(stopping.Close(), this->now);
    CPPUNIT_ASSERT(successor.Vote(one, this->now).kind ==
                   ClaimVote::Kind::HeldByOther);
    CPPUNIT_ASSERT(successor.Vote(other, this->now).kind ==
                   ClaimVote::Kind::HeldByOther);
    CPPUNIT_ASSERT(stopping.Vote(one, this->now).kind ==
                   ClaimVote::Kind::Closed);
  }

  void Witness_Full_RefusesAndEvictsNothing() {
    WitnessTableSettings settings;
    settings.maxBytes = 5000;
    WitnessTable table(settings);
    Claim claim;
    claim.claimant = {"a", 1};
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
      claim.key = "key" + std::to_string(i);
      granted += table.Vote(claim, this->now).kind == ClaimVote::Kind::Granted;
    }
    CPPUNIT_ASSERT(granted > 5 && granted < 20);
    claim.key = "key0";
    claim.claimant = {"b", 2};
    CPPUNIT_ASSERT(table.Vote(claim, this->now).kind ==
                   ClaimVote::Kind::HeldByOther);
    // The keys expire after the retention period, which frees their memory.
    claim.key = "key99";
    CPPUNIT_ASSERT(table.Vote(claim, this->now + kKeyRetention).kind ==
                   ClaimVote::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Size());
  }

  void Lease_PausedLeader_MayNotIssueOrders() {
    LeaseGuard guard({9s, 3s});
    guard.OnLeaseAcquired(7, this->now);
    CPPUNIT_ASSERT(guard.MayIssueOrders(this->now + 5s));
    CPPUNIT_ASSERT(!guard.MayIssueOrders(this->now + 6s));
    CPPUNIT_ASSERT(!guard.IsHeld(this->now + 9s));
  }

  void Lease_SlowRenewal_CountsFromSendTime() {
    LeaseGuard guard({9s, 3s});
    guard.OnLeaseAcquired(7, this->now);
    guard.OnRenewed(this->now + 3s);
    CPPUNIT_ASSERT(guard.IsHeld(this->now + 11s));
    CPPUNIT_ASSERT(!guard.IsHeld(this->now + 12s));
  }

  void Leaving_StaleVmList_StaysLeaving() {
    LeavingUpstreams leaving;
    VmEntry vm;
    vm.name = "u1";
    vm.role = VmRole::Upstream;
    CPPUNIT_ASSERT(leaving.OnVmList({vm}).empty());
    CPPUNIT_ASSERT(leaving.OnLeaving("u1"));
    // A VM list that is out of date doesn't clear the mark.
    CPPUNIT_ASSERT(leaving.OnVmList({vm}).empty());
    CPPUNIT_ASSERT(leaving.IsLeaving("u1"));
    CPPUNIT_ASSERT(leaving.OnVmList({}).empty());
    // The VM was removed and added again: it is another VM of the same name.
    CPPUNIT_ASSERT(leaving.OnVmList({vm}).empty());
    CPPUNIT_ASSERT(!leaving.IsLeaving("u1"));
  }

  void Peers_SameView_AgreeOnOneOwner() {
    std::vector<VmEntry> vms;
    for (int i = 0; i < 5; ++i) {
      VmEntry vm;
      vm.name = "e" + std::to_string(i);
      vm.failureDomain = "d";
      vm.peerAddress = "x:" + std::to_string(i);
      vms.push_back(vm);
    }
    std::set<std::string> owners;
    for (int i = 0; i < 5; ++i) {
      PeerTable table("e" + std::to_string(i), "d", {});
      table.SetVms(vms, {});
      for (int other = 0; other < 5; ++other) {
        GossipMessage gossip;
        gossip.vm = "e" + std::to_string(other);
        gossip.member = gossip.vm + "/x";
        table.OnGossip(gossip, this->now);
      }
      owners.insert(table.OwnerOf("reader", this->now));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owners.size());
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

  void Reconciler_OnlyUpstreamOfRange_IsNotPaused() {
    Reconciler reconciler({});
    const std::vector<UpstreamState> states{StateOf("a", {0, 4}),
                                            StateOf("b", {4, 8})};
    const ReconcileStep step = reconciler.Step(states, {{"m", 8}}, this->now);
    CPPUNIT_ASSERT(step.paused.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, step.stuck.size());
  }

  void Reconciler_TwoReplicas_ChangesOneAtATime() {
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

  void Monitor_Hang_IsDetectedWithin250Milliseconds() {
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

  void Monitor_Link100TimesSlower_IsDetectedWithinThreeTokens() {
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

  void Monitor_StableStream_ReportsNoFailure() {
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
