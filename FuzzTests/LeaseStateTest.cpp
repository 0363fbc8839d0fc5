#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>

#include "FuzzTests/StateCheck.h"
#include "StandIns/MemoryStore.h"
#include "Zincstep/Control/Control.h"

namespace zincstep {
namespace {

constexpr std::size_t kHolders = 3;
constexpr Micros kTtl = 9s;
/// Longest flight of an order that was sent in time.
constexpr Micros kFlight = 1500ms;
constexpr const char* kDuty = "duty/d";

struct LeaseModel {};

/// An order on its way to an upstream.
struct OrderFlight {
  std::uint64_t fence = 0;
  std::string version;
  std::string expected;
  Instant lands;
};

/// Daemons that contend for a duty, and upstreams that take orders.
class LeaseWorld {
 public:
  struct Holder {
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

  void Take(std::size_t aHolder, bool aAnswerLost) {
    Holder& holder = this->holders[aHolder];
    const Instant sentAt = this->clock.Now();
    if (holder.guard.IsHeld(sentAt) || this->memory.Get(kDuty)) {
      return;
    }
    const std::string name = std::to_string(aHolder);
    holder.lease = this->memory.GrantLease(kTtl);
    this->clock.Advance(this->latency);
    const auto swapped =
        this->memory.CompareAndSwap(kDuty, 0, name, holder.lease);
    const auto found = this->memory.Get(kDuty);
    const bool mine = found && found->value == name;
    if (aAnswerLost ? mine : swapped.has_value()) {
      holder.guard.OnLeaseAcquired(found->revision, sentAt);
      holder.leaderSince = sentAt;
    }
  }

  void Renew(std::size_t aHolder) {
    Holder& holder = this->holders[aHolder];
    const Instant sentAt = this->clock.Now();
    if (!holder.guard.IsHeld(sentAt)) {
      return;
    }
    this->clock.Advance(this->latency);
    if (this->memory.RenewLease(holder.lease)) {
      holder.guard.OnRenewed(sentAt);
    } else {
      holder.guard.OnLeaseLost();
    }
  }

  /// The holder orders `aVersion`, after a pause between check and send.
  void Order(std::size_t aHolder, std::size_t aUpstream, bool aPaused) {
    Holder& holder = this->holders[aHolder];
    Upstream& upstream = this->upstreams[aUpstream];
    const Instant now = this->clock.Now();
    const bool waitsOut =
        !upstream.checksFence && now - holder.leaderSince < kTtl + kFlight;
    if (!holder.guard.MayIssueOrders(now) || waitsOut) {
      return;
    }
    // Whoever may act holds the lease by the service's own clock too.
    const auto duty = this->memory.Get(kDuty);
    RC_ASSERT(duty && duty->revision == holder.guard.Fence());
    const Micros late = aPaused ? Micros(60s) : kFlight;
    this->flights.push_back({holder.guard.Fence(),
                             "v" + std::to_string(this->declared),
                             upstream.version, now + late});
    this->targets.push_back(aUpstream);
  }

  void Land() {
    const Instant now = this->clock.Now();
    for (std::size_t i = 0; i < this->flights.size();) {
      if (this->flights[i].lands > now) {
        ++i;
        continue;
      }
      Upstream& upstream = this->upstreams[this->targets[i]];
      const OrderFlight order = this->flights[i];
      const bool isOld = order.fence < upstream.highestFence;
      const bool refused = upstream.checksFence && isOld;
      if (!refused && order.expected == upstream.version) {
        upstream.version = order.version;
        upstream.lastFence = order.fence;
        RC_ASSERT(!(upstream.checksFence && isOld));
      }
      upstream.highestFence = std::max(upstream.highestFence, order.fence);
      const auto at = static_cast<std::ptrdiff_t>(i);
      this->flights.erase(this->flights.begin() + at);
      this->targets.erase(this->targets.begin() + at);
    }
  }

  /// From any state: with the faults over, what is declared comes to be.
  void CheckConverges() {
    this->latency = 10ms;
    this->clock.Advance(120s);
    this->Land();
    for (int round = 0; round < 40; ++round) {
      for (std::size_t holder = 0; holder < kHolders; ++holder) {
        this->Take(holder, false);
        this->Renew(holder);
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
          const std::string wanted = "v" + std::to_string(this->declared);
          if (this->upstreams[i].version != wanted) {
            this->Order(holder, i, false);
          }
        }
      }
      this->clock.Advance(1s);
      this->Land();
    }
    for (const Upstream& upstream : this->upstreams) {
      RC_ASSERT(upstream.version == "v" + std::to_string(this->declared));
    }
  }

  FakeClock clock;
  standins::MemoryStore memory{this->clock};
  std::vector<Holder> holders = std::vector<Holder>(kHolders);
  std::vector<Upstream> upstreams = std::vector<Upstream>(2);
  std::vector<OrderFlight> flights;
  std::vector<std::size_t> targets;
  Micros latency = 10ms;
  int declared = 1;
};

using Base = rc::state::Command<LeaseModel, LeaseWorld>;

struct LeaseStep : Base {
  int kind = *rc::gen::inRange(0, 6);
  std::size_t holder = *rc::gen::inRange<std::size_t>(0, kHolders);
  std::size_t upstream = *rc::gen::inRange<std::size_t>(0, 2);
  bool flag = *rc::gen::arbitrary<bool>();
  int millis = *rc::gen::element(10, 500, 2000, 5000, 9500, 60000);

  void run(const LeaseModel&, LeaseWorld& aWorld) const override {
    switch (this->kind) {
      case 0:
        aWorld.Take(this->holder, this->flag);
        break;
      case 1:
        aWorld.Renew(this->holder);
        break;
      case 2:
        aWorld.Order(this->holder, this->upstream, this->flag);
        break;
      case 3:
        aWorld.clock.Advance(Micros{1000 * this->millis});
        aWorld.Land();
        break;
      case 4:
        aWorld.latency = Micros{std::min(1000 * this->millis, 3000000)};
        break;
      default:
        aWorld.declared += 1;
        break;
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "Step(" << this->kind << "," << this->holder << ","
         << this->upstream << "," << this->flag << "," << this->millis << ")";
  }
};

class LeaseStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseStateTest);
  CPPUNIT_TEST(Orders_PausesAndLapses_NoneOfAStaleHolderLasts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Orders_PausesAndLapses_NoneOfAStaleHolderLasts() {
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
