#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>

#include "FuzzTests/StateCheck.h"
#include "StandIns/MemoryStore.h"
#include "Zincstep/Control/Control.h"

namespace zincstep {
namespace {

constexpr std::size_t kContenders = 3;
constexpr Micros kTtl = 9s;
/// Maximum delivery time of an order that was sent in time.
constexpr Micros kMaxFlightTime = 1500ms;
constexpr const char* kLeaderKey = "duty/d";

struct LeaseModel {};

/// An order in flight to an upstream.
struct InFlightOrder {
  std::uint64_t fence = 0;
  std::string version;
  std::string expected;
  Instant arrivesAt;
};

/// Daemons that contend for leadership, and upstreams that receive orders.
class LeaseWorld {
 public:
  struct Contender {
    LeaseGuard guard{LeaseGuardSettings{kTtl, kTtl / 3}};
    LeaseId lease = 0;
    Instant leaderSince;
  };
  struct Upstream {
    bool checksFence = false;
    std::string version = "v0";
    std::uint64_t highestFence = 0;
    std::uint64_t lastFence = 0;
  };

  LeaseWorld() { this->upstreams[1].checksFence = true; }

  void TryAcquire(std::size_t aContender, bool aIsResponseLost) {
    Contender& contender = this->contenders[aContender];
    const Instant sentAt = this->clock.Now();
    if (contender.guard.IsHeld(sentAt) || this->memory.Get(kLeaderKey)) {
      return;
    }
    const std::string name = std::to_string(aContender);
    contender.lease = this->memory.GrantLease(kTtl);
    this->clock.Advance(this->latency);
    const auto swapped =
        this->memory.CompareAndSwap(kLeaderKey, 0, name, contender.lease);
    const auto found = this->memory.Get(kLeaderKey);
    const bool isOwn = found && found->value == name;
    if (aIsResponseLost ? isOwn : swapped.has_value()) {
      contender.guard.OnLeaseAcquired(found->revision, sentAt);
      contender.leaderSince = sentAt;
    }
  }

  void Renew(std::size_t aContender) {
    Contender& contender = this->contenders[aContender];
    const Instant sentAt = this->clock.Now();
    if (!contender.guard.IsHeld(sentAt)) {
      return;
    }
    this->clock.Advance(this->latency);
    if (this->memory.RenewLease(contender.lease)) {
      contender.guard.OnRenewed(sentAt);
    } else {
      contender.guard.OnLeaseLost();
    }
  }

  /// Sends an order for the declared version if the contender is leader;
  /// `aIsPaused`: the process pauses between the check and the send.
  void SendOrder(std::size_t aContender, std::size_t aUpstream,
                 bool aIsPaused) {
    Contender& contender = this->contenders[aContender];
    Upstream& upstream = this->upstreams[aUpstream];
    const Instant now = this->clock.Now();
    const bool mustWait = !upstream.checksFence &&
                          now - contender.leaderSince < kTtl + kMaxFlightTime;
    if (!contender.guard.MayIssueOrders(now) || mustWait) {
      return;
    }
    // A contender that may issue orders also holds the lease by the store's
    // clock.
    const auto leaderItem = this->memory.Get(kLeaderKey);
    RC_ASSERT(leaderItem && leaderItem->revision == contender.guard.Fence());
    const Micros delay = aIsPaused ? Micros(60s) : kMaxFlightTime;
    this->ordersInFlight.push_back({contender.guard.Fence(),
                                    "v" + std::to_string(this->declaredVersion),
                                    upstream.version, now + delay});
    this->targets.push_back(aUpstream);
  }

  void DeliverOrders() {
    const Instant now = this->clock.Now();
    for (std::size_t i = 0; i < this->ordersInFlight.size();) {
      if (this->ordersInFlight[i].arrivesAt > now) {
        ++i;
        continue;
      }
      Upstream& upstream = this->upstreams[this->targets[i]];
      const InFlightOrder order = this->ordersInFlight[i];
      const bool isStale = order.fence < upstream.highestFence;
      const bool isRejected = upstream.checksFence && isStale;
      if (!isRejected && order.expected == upstream.version) {
        upstream.version = order.version;
        upstream.lastFence = order.fence;
        RC_ASSERT(!(upstream.checksFence && isStale));
      }
      upstream.highestFence = std::max(upstream.highestFence, order.fence);
      const auto offset = static_cast<std::ptrdiff_t>(i);
      this->ordersInFlight.erase(this->ordersInFlight.begin() + offset);
      this->targets.erase(this->targets.begin() + offset);
    }
  }

  /// From any state, once faults stop, all upstreams reach the declared
  /// version.
  void CheckConverges() {
    this->latency = 10ms;
    this->clock.Advance(120s);
    this->DeliverOrders();
    for (int round = 0; round < 40; ++round) {
      for (std::size_t contender = 0; contender < kContenders; ++contender) {
        this->TryAcquire(contender, false);
        this->Renew(contender);
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
          const std::string targetVersion =
              "v" + std::to_string(this->declaredVersion);
          if (this->upstreams[i].version != targetVersion) {
            this->SendOrder(contender, i, false);
          }
        }
      }
      this->clock.Advance(1s);
      this->DeliverOrders();
    }
    for (const Upstream& upstream : this->upstreams) {
      RC_ASSERT(upstream.version ==
                "v" + std::to_string(this->declaredVersion));
    }
  }

  FakeClock clock;
  standins::MemoryStore memory{this->clock};
  std::vector<Contender> contenders = std::vector<Contender>(kContenders);
  std::vector<Upstream> upstreams = std::vector<Upstream>(2);
  std::vector<InFlightOrder> ordersInFlight;
  std::vector<std::size_t> targets;
  Micros latency = 10ms;
  int declaredVersion = 1;
};

using Base = rc::state::Command<LeaseModel, LeaseWorld>;

struct LeaseStep : Base {
  int kind = *rc::gen::inRange(0, 6);
  std::size_t contender = *rc::gen::inRange<std::size_t>(0, kContenders);
  std::size_t upstream = *rc::gen::inRange<std::size_t>(0, 2);
  bool flag = *rc::gen::arbitrary<bool>();
  int millis = *rc::gen::element(10, 500, 2000, 5000, 9500, 60000);

  void run(const LeaseModel&, LeaseWorld& aWorld) const override {
    switch (this->kind) {
      case 0:
        aWorld.TryAcquire(this->contender, this->flag);
        break;
      case 1:
        aWorld.Renew(this->contender);
        break;
      case 2:
        aWorld.SendOrder(this->contender, this->upstream, this->flag);
        break;
      case 3:
        aWorld.clock.Advance(Micros{1000 * this->millis});
        aWorld.DeliverOrders();
        break;
      case 4:
        aWorld.latency = Micros{std::min(1000 * this->millis, 3000000)};
        break;
      default:
        aWorld.declaredVersion += 1;
        break;
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "Step(" << this->kind << "," << this->contender << ","
         << this->upstream << "," << this->flag << "," << this->millis << ")";
  }
};

class LeaseStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseStateTest);
  CPPUNIT_TEST(Orders_PausesAndExpiredLeases_NoStaleOrderPersists);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Orders_PausesAndExpiredLeases_NoStaleOrderPersists() {
    CPPUNIT_ASSERT(CheckState("leases", [] {
      LeaseWorld world;
      rc::state::check(LeaseModel{}, world,
                       rc::state::gen::execOneOfWithArgs<LeaseStep>());
      world.CheckConverges();
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseStateTest);

}  // namespace
}  // namespace zincstep
