#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "PerformanceTests/FakeFleet.h"
#include "Zincstep/Routing/Routing.h"

namespace zincstep {
namespace {

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(Plan_AnyFleet_StaysBelowUpperBound);
  CPPUNIT_TEST(Plan_OneUpstream_EqualsItsSpeed);
  CPPUNIT_TEST(Choose_AnyFleet_CoversAllLayersOnce);
  CPPUNIT_TEST(Choose_AnyFleet_UsesNoUpstreamTwice);
  CPPUNIT_TEST(Choose_SameSeed_ReturnsSameChains);
  CPPUNIT_TEST(Choose_LeavingUpstream_IsNeverChosen);
  CPPUNIT_TEST(Choose_OtherVersion_IsNeverChosen);
  CPPUNIT_TEST(Choose_IdleFleet_ChoosesFastestPath);
  CPPUNIT_TEST(Repair_FailedHop_KeepsOtherHops);
  CPPUNIT_TEST(Repair_NoAlternative_UsesSuspectsAsLastResort);
  CPPUNIT_TEST(Load_UnreachableUpstream_GetsNoTrial);
  CPPUNIT_TEST(Load_SuspectThatReports_WarmsUp);
  CPPUNIT_TEST(Prefix_TwoOrganisations_ShareNoHash);
  CPPUNIT_TEST(Balancer_FailingReplica_IsEjectedTemporarily);
  CPPUNIT_TEST(Balancer_MostFailing_DoesNotEjectAll);
  CPPUNIT_TEST_SUITE_END();

  static FlowPlan ComputePlan(const ChainPlanner& aPlanner, Instant aNow) {
    return ComputeFlowPlan(aPlanner.GetFleet(), aPlanner.UsableShares(aNow));
  }

  static Fleet MakeFleet(std::uint64_t aSeed) {
    bench::FleetShape shape;
    shape.seed = aSeed;
    return bench::MakeBenchFleet(shape);
  }

  Instant now{Micros{10s}};

  std::vector<Chain> ChooseMany(ChainPlanner& aPlanner, int aCount) {
    Random random(5);
    std::vector<Chain> chains;
    for (int i = 0; i < aCount; ++i) {
      ChainChoiceInput input;
      input.now = this->now;
      chains.push_back(aPlanner.Choose(input, random)->chain);
      aPlanner.OnStart(chains.back());
    }
    return chains;
  }

 public:
  void Plan_AnyFleet_StaysBelowUpperBound() {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      const Fleet fleet = MakeFleet(seed);
      const FlowPlan plan = ComputeFlowPlan(
          fleet, std::vector<double>(fleet.replicas.size(), 1.0));
      CPPUNIT_ASSERT(plan.tokensPerSecond <= plan.upperBound * 1.0001);
      CPPUNIT_ASSERT(plan.tokensPerSecond >= 0.95 * plan.upperBound);
      // No group is assigned more work than its capacity.
      std::vector<double> used(plan.groups.size(), 0);
      for (const FlowPath& path : plan.paths) {
        for (const FlowHop& hop : path.hops) {
          const FlowGroup& group =
              plan.groups[static_cast<std::size_t>(hop.group)];
          used[static_cast<std::size_t>(hop.group)] +=
              path.tokensPerSecond * group.layerSeconds * hop.layers.Size() /
              (group.slots * group.usableMembers);
        }
      }
      for (const double use : used) {
        CPPUNIT_ASSERT(use <= 1.0001);
      }
    }
  }

  void Plan_OneUpstream_EqualsItsSpeed() {
    Fleet fleet;
    fleet.layers = 10;
    fleet.domains = 1;
    fleet.links = {{0, 0}};
    FleetReplica replica;
    replica.layers = {0, 10};
    replica.layerSeconds = 0.001;
    replica.slots = 4;
    fleet.replicas = {replica};
    const FlowPlan plan = ComputeFlowPlan(fleet, {0.5});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200.0, plan.tokensPerSecond, 0.01);
  }

  void Choose_AnyFleet_CoversAllLayersOnce() {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ChainPlanner planner(MakeFleet(seed), {});
      planner.SetPlan(ComputePlan(planner, this->now));
      for (const Chain& chain : this->ChooseMany(planner, 300)) {
        CPPUNIT_ASSERT(chain.Covers(planner.GetFleet().layers));
        for (const ChainHop& hop : chain.hops) {
          const auto at = static_cast<std::size_t>(hop.replica);
          CPPUNIT_ASSERT(
              planner.GetFleet().replicas[at].layers.Covers(hop.layers));
        }
      }
    }
  }

  void Choose_AnyFleet_UsesNoUpstreamTwice() {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ChainPlanner planner(MakeFleet(seed), {});
      planner.SetPlan(ComputePlan(planner, this->now));
      for (const Chain& chain : this->ChooseMany(planner, 300)) {
        std::set<int> seen;
        for (const ChainHop& hop : chain.hops) {
          CPPUNIT_ASSERT(seen.insert(hop.replica).second);
        }
      }
    }
  }

  void Choose_SameSeed_ReturnsSameChains() {
    ChainPlanner one(MakeFleet(3), {});
    ChainPlanner other(MakeFleet(3), {});
    one.SetPlan(ComputePlan(one, this->now));
    other.SetPlan(ComputePlan(other, this->now));
    const auto left = this->ChooseMany(one, 200);
    const auto right = this->ChooseMany(other, 200);
    for (std::size_t i = 0; i < left.size(); ++i) {
      CPPUNIT_ASSERT(left[i].hops == right[i].hops);
    }
  }

  void Choose_LeavingUpstream_IsNeverChosen() {
    ChainPlanner planner(MakeFleet(1), {});
    planner.SetPlan(ComputePlan(planner, this->now));
    for (int i = 0; i < 30; ++i) {
      planner.Loads().SetLeaving(i);
    }
    for (const Chain& chain : this->ChooseMany(planner, 200)) {
      for (const ChainHop& hop : chain.hops) {
        CPPUNIT_ASSERT(hop.replica >= 30);
      }
    }
  }

  void Choose_OtherVersion_IsNeverChosen() {
    ChainPlanner planner(MakeFleet(1), {});
    planner.SetPlan(ComputePlan(planner, this->now));
    for (int i = 0; i < 30; ++i) {
      planner.Loads().SetHoldsVersion(i, false);
    }
    for (const Chain& chain : this->ChooseMany(planner, 100)) {
      for (const ChainHop& hop : chain.hops) {
        CPPUNIT_ASSERT(hop.replica >= 30);
      }
    }
  }

  void Choose_IdleFleet_ChoosesFastestPath() {
    ChainPlanner planner(MakeFleet(1), {});
    planner.SetPlan(ComputePlan(planner, this->now));
    Random random(1);
    ChainChoiceInput input;
    input.now = this->now;
    const Choice choice = *planner.Choose(input, random);
    CPPUNIT_ASSERT_EQUAL(0, choice.chain.path);
    CPPUNIT_ASSERT(choice.isWithinWindow);
  }

  void Repair_FailedHop_KeepsOtherHops() {
    ChainPlanner planner(MakeFleet(1), {});
    planner.SetPlan(ComputePlan(planner, this->now));
    const Chain chain = this->ChooseMany(planner, 1).front();
    std::vector<bool> failed(chain.hops.size(), false);
    failed[1] = true;
    planner.Loads().OnFailure(chain.hops[1].replica, this->now);
    const Chain repaired = *planner.Repair(chain, failed, this->now, false);
    CPPUNIT_ASSERT(repaired.Covers(planner.GetFleet().layers));
    CPPUNIT_ASSERT(repaired.hops.front() == chain.hops.front());
    CPPUNIT_ASSERT(repaired.hops.back().replica == chain.hops.back().replica);
    for (const ChainHop& hop : repaired.hops) {
      CPPUNIT_ASSERT(hop.replica != chain.hops[1].replica);
    }
  }

  void Repair_NoAlternative_UsesSuspectsAsLastResort() {
    Fleet fleet;
    fleet.layers = 4;
    fleet.domains = 1;
    fleet.links = {{0, 0}};
    FleetReplica replica;
    replica.layers = {0, 4};
    replica.layerSeconds = 0.001;
    fleet.replicas = {replica};
    ChainPlanner planner(fleet, {});
    planner.SetPlan(ComputePlan(planner, this->now));
    const Chain chain = this->ChooseMany(planner, 1).front();
    planner.Loads().OnFailure(0, this->now);
    CPPUNIT_ASSERT(!planner.Repair(chain, {true}, this->now, false));
    CPPUNIT_ASSERT(planner.Repair(chain, {true}, this->now, true));
    planner.Loads().SetLeaving(0);
    CPPUNIT_ASSERT(!planner.Repair(chain, {true}, this->now, true));
  }

  void Load_UnreachableUpstream_GetsNoTrial() {
    LoadTable loads(1, {});
    for (int i = 0; i < 20; ++i) {
      loads.OnUnreachable(0, this->now);
      CPPUNIT_ASSERT(!loads.IsUsable(0, this->now));
      this->now += 1s;
      CPPUNIT_ASSERT(!loads.IsUsable(0, this->now));
    }
  }

  void Load_SuspectThatReports_WarmsUp() {
    LoadTable loads(1, {});
    loads.OnFailure(0, this->now);
    loads.OnReport(0, 0, this->now + 100ms);
    CPPUNIT_ASSERT(loads.State(0) == ReplicaState::Suspect);
    loads.OnReport(0, 0, this->now + 600ms);
    CPPUNIT_ASSERT(loads.State(0) == ReplicaState::Up);
    CPPUNIT_ASSERT(loads.UsableShare(0, this->now + 700ms) < 0.2);
    CPPUNIT_ASSERT(loads.UsableShare(0, this->now + 11s) > 0.9);
    // A second failure before a sequence succeeds doubles the backoff.
    loads.OnFailure(0, this->now + 1s);
    loads.OnReport(0, 0, this->now + 1600ms);
    CPPUNIT_ASSERT(loads.State(0) == ReplicaState::Suspect);
  }

  void Prefix_TwoOrganisations_ShareNoHash() {
    const std::string prompt(640, 'p');
    const auto one = PrefixHashes("shops", "m/v1/", prompt);
    const auto other = PrefixHashes("resorts", "m/v1/", prompt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, one.size());
    for (const std::uint64_t hash : other) {
      CPPUNIT_ASSERT(std::find(one.begin(), one.end(), hash) == one.end());
    }
    CPPUNIT_ASSERT(one != PrefixHashes("shops", "m/v2/", prompt));
  }

  void Balancer_FailingReplica_IsEjectedTemporarily() {
    ServiceBalancer balancer(
        {{"a", "1", "d"}, {"b", "2", "d"}, {"c", "3", "d"}}, "d", {});
    for (int i = 0; i < 3; ++i) {
      balancer.OnStart(0);
      balancer.OnEnd(0, 1ms, true, this->now);
    }
    CPPUNIT_ASSERT(balancer.IsEjected(0, this->now));
    Random random(1);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(*balancer.Choose(this->now, random, {}) != 0);
    }
    CPPUNIT_ASSERT(!balancer.IsEjected(0, this->now + 2s));
  }

  void Balancer_MostFailing_DoesNotEjectAll() {
    ServiceBalancer balancer({{"a", "1", "d"}, {"b", "2", "d"}}, "d", {});
    for (int replica = 0; replica < 2; ++replica) {
      for (int i = 0; i < 3; ++i) {
        balancer.OnStart(replica);
        balancer.OnEnd(replica, 1ms, true, this->now);
      }
    }
    Random random(1);
    CPPUNIT_ASSERT(balancer.Choose(this->now, random, {}).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace
}  // namespace zincstep
