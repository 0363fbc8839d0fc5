#include "Zincstep/Admission/PriorityHeadroom.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "Zincstep/Admission/OrganisationShares.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

namespace {

constexpr double kTokens = 900;
constexpr Micros kInterval = 400ms;

}  // namespace

class PriorityHeadroomTest final : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PriorityHeadroomTest);
  CPPUNIT_TEST(MayStart_MostUrgent_NeedsItsOwnRoomOnly);
  CPPUNIT_TEST(MayStart_LessUrgent_LeavesWhatArrivesUnseen);
  CPPUNIT_TEST(Headroom_Burst_CoversItsExcess);
  CPPUNIT_TEST(Headroom_RunningRequestsEnd_CoversVariationOnly);
  CPPUNIT_TEST(Headroom_WaitingAtPeers_LeavesRoomForThem);
  CPPUNIT_TEST(Headroom_OldReports_GrowsWithTheirAge);
  CPPUNIT_TEST(Headroom_NoReports_MultipliesOwnRate);
  CPPUNIT_TEST(Headroom_PartitionedPeers_AreNotCounted);
  CPPUNIT_TEST(Headroom_NewDaemon_IsAFifthOfTheRoom);
  CPPUNIT_TEST(Headroom_HugeDemand_LeavesHalfOfTheRoom);
  CPPUNIT_TEST(Headroom_IdleDomain_AdmitsWhateverFits);
  CPPUNIT_TEST(Headroom_OverShare_LeavesRoomForItsOwnPriority);
  CPPUNIT_TEST(Shares_OneLargeOrganisation_IsOverShare);
  CPPUNIT_TEST(Shares_AllFits_NoneIsOverShare);
  CPPUNIT_TEST(Shares_PeersReports_AreCountedUntilTheyAge);
  CPPUNIT_TEST(Shares_Report_HasEightLargest);
  CPPUNIT_TEST(Room_SplitModel_IsThatOfTheScarcestLayer);
  CPPUNIT_TEST(Room_UnusableUpstream_IsNotCounted);
  CPPUNIT_TEST(Room_WithinItsAge_IsKeptUntilInvalidated);
  CPPUNIT_TEST_SUITE_END();

  PriorityHeadroom headroom{PriorityHeadroomSettings{}};
  Instant now{Micros{100s}};

  static DomainCapacity DomainOf(double aFreeRequests,
                                 double aTotalRequests = 1000) {
    return {{aFreeRequests * kTokens, aFreeRequests},
            {aTotalRequests * kTokens, aTotalRequests},
            0};
  }

  bool MayStart(int aPriority, double aFreeRequests,
                double aTotalRequests = 1000) {
    return this->headroom.MayStart({aPriority, kTokens, false, 0},
                                   DomainOf(aFreeRequests, aTotalRequests),
                                   this->now);
  }

  /// Requests of this daemon at a constant rate.
  void Send(int aPriority, int aPerSecond, Micros aDuration) {
    const Instant end = this->now + aDuration;
    while (this->now < end) {
      this->headroom.OnRequest(aPriority, kTokens, this->now);
      (void)this->Headroom(aPriority + 1);
      this->now += Micros{1s} / aPerSecond;
    }
  }

  void Report(const std::string& aPeer, double aRequestsPerSecond) {
    this->headroom.OnReport(aPeer, {{1, 0, aRequestsPerSecond * kTokens, 0, 0}},
                            this->now);
  }

  /// Headroom in requests for a request of this priority, while
  /// `aEndingRequests` end per second.
  double Headroom(int aPriority, double aEndingRequests = 0) {
    return this->headroom
        .Headroom({aPriority, kTokens, false, 0}, aEndingRequests * kTokens,
                  this->now)
        .starts;
  }

  /// Headroom for that many requests that arrive unseen, with the variation of
  /// their number.
  static double Unseen(double aRequests) {
    return aRequests + 2 * std::sqrt(aRequests);
  }

 public:
  void MayStart_MostUrgent_NeedsItsOwnRoomOnly() {
    this->Send(0, 50, 5s);
    CPPUNIT_ASSERT(this->MayStart(0, 1));
    CPPUNIT_ASSERT(!this->MayStart(0, 0.5));
  }

  void MayStart_LessUrgent_LeavesWhatArrivesUnseen() {
    this->Send(0, 50, 5s);
    // 50 per second, unseen for 0.4 s.
    CPPUNIT_ASSERT(!this->MayStart(1, 15));
    CPPUNIT_ASSERT(this->MayStart(1, 40));
  }

  void Headroom_Burst_CoversItsExcess() {
    this->Send(0, 50, 30s);
    const double usual = this->Headroom(1);
    this->Send(0, 95, 2s);
    const double inBurst = this->Headroom(1);
    // The excess of 45 per second for a second, less what the averages have
    // taken in.
    CPPUNIT_ASSERT(inBurst > usual + 30);
    CPPUNIT_ASSERT(inBurst < usual + 75);
  }

  // Headroom for all unseen arrivals left a sixth of a full pool idle, as
  // requests end as fast as they arrive.
  void Headroom_RunningRequestsEnd_CoversVariationOnly() {
    this->headroom.SetDomain(2, kInterval);
    this->Report("p", 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Unseen(20) - 20, this->Headroom(1, 60), 0.5);
  }

  void Headroom_WaitingAtPeers_LeavesRoomForThem() {
    this->headroom.SetDomain(2, kInterval);
    this->Send(0, 50, 4s);
    this->Report("p", 0);
    this->Send(0, 50, 1s);
    const double before = this->Headroom(1, 1000);
    this->headroom.OnReport("p", {{1, 0, 0, 0, 30}}, this->now);
    this->now += 25ms;
    CPPUNIT_ASSERT(this->Headroom(1, 1000) > before + 15);
  }

  void Headroom_OldReports_GrowsWithTheirAge() {
    this->headroom.SetDomain(2, kInterval);
    this->Report("p", 50);
    const double fresh = this->Headroom(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Unseen(50 * 0.4), fresh, 0.5);
    this->now += 1s;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Unseen(50 * 1.0), this->Headroom(1), 0.5);
  }

  void Headroom_NoReports_MultipliesOwnRate() {
    this->headroom.SetDomain(10, kInterval);
    this->Send(0, 5, 20s);
    const double headroom = this->Headroom(1);
    CPPUNIT_ASSERT(headroom > Unseen(10 * 5 * 0.4 * 0.8));
    CPPUNIT_ASSERT(headroom < Unseen(10 * 5 * 0.4 * 1.6));
  }

  // On each side of a partition the daemons divide what they see.
  void Headroom_PartitionedPeers_AreNotCounted() {
    this->headroom.SetDomain(3, kInterval);
    this->Report("p1", 50);
    this->Report("p2", 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Unseen(40), this->Headroom(1), 0.5);
    for (int i = 0; i < 10; ++i) {
      this->now += kInterval;
      this->Report("p1", 50);
      (void)this->Headroom(1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Unseen(20), this->Headroom(1), 0.5);
  }

  // Before the first reports, the daemon cannot know that others need room.
  void Headroom_NewDaemon_IsAFifthOfTheRoom() {
    this->headroom.SetDomain(10, kInterval);
    CPPUNIT_ASSERT(!this->MayStart(1, 190));
    CPPUNIT_ASSERT(this->MayStart(1, 210));
    CPPUNIT_ASSERT(this->MayStart(0, 2));
    this->Report("p", 1);
    CPPUNIT_ASSERT(this->MayStart(1, 10));
  }

  // Less urgent requests are delayed, not starved.
  void Headroom_HugeDemand_LeavesHalfOfTheRoom() {
    this->headroom.SetDomain(2, kInterval);
    this->Report("p", 1e6);
    CPPUNIT_ASSERT(!this->MayStart(1, 490));
    CPPUNIT_ASSERT(this->MayStart(1, 510));
  }

  void Headroom_IdleDomain_AdmitsWhateverFits() {
    this->headroom.SetDomain(2, kInterval);
    this->Report("p", 1e6);
    CPPUNIT_ASSERT(this->MayStart(3, 1, 1));
    CPPUNIT_ASSERT(!this->MayStart(3, 0.9, 1));
  }

  void Headroom_OverShare_LeavesRoomForItsOwnPriority() {
    this->headroom.SetDomain(2, kInterval);
    this->Report("p", 100);
    RoomRequest request{0, kTokens, false, 0};
    CPPUNIT_ASSERT(this->headroom.MayStart(request, DomainOf(10), this->now));
    request.isOverShare = true;
    request.organisationRate = 50 * kTokens;
    CPPUNIT_ASSERT(!this->headroom.MayStart(request, DomainOf(10), this->now));
    CPPUNIT_ASSERT(this->headroom.MayStart(request, DomainOf(32), this->now));
  }

  void Shares_OneLargeOrganisation_IsOverShare() {
    OrganisationShares shares;
    for (std::uint32_t organisation = 1; organisation <= 10; ++organisation) {
      shares.OnStarted(organisation, organisation == 1 ? 10'000 : 1000);
    }
    CPPUNIT_ASSERT(shares.IsOverShare(1, 15'000, 2, this->now));
    CPPUNIT_ASSERT(!shares.IsOverShare(2, 15'000, 2, this->now));
  }

  void Shares_AllFits_NoneIsOverShare() {
    OrganisationShares shares;
    shares.OnStarted(1, 10'000);
    shares.OnStarted(2, 1000);
    CPPUNIT_ASSERT(!shares.IsOverShare(1, 12'000, 2, this->now));
  }

  void Shares_PeersReports_AreCountedUntilTheyAge() {
    OrganisationShares shares;
    shares.OnStarted(1, 100);
    shares.OnStarted(2, 100);
    shares.OnReport("p", {{1, 0, 10'000}}, this->now);
    CPPUNIT_ASSERT(shares.IsOverShare(1, 5000, 2, this->now));
    this->now += 3s;
    shares.Tick(this->now, 1600ms);
    CPPUNIT_ASSERT(!shares.IsOverShare(1, 5000, 2, this->now));
  }

  void Shares_Report_HasEightLargest() {
    OrganisationShares shares;
    for (std::uint32_t organisation = 1; organisation <= 1300; ++organisation) {
      shares.OnStarted(organisation, organisation);
    }
    const auto largest = shares.Largest(kMaxOrganisationsExpected, this->now);
    CPPUNIT_ASSERT_EQUAL(kMaxOrganisationsExpected, largest.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1300}, largest[0].organisation);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1293}, largest[7].organisation);
  }

  void Room_SplitModel_IsThatOfTheScarcestLayer() {
    const ModelShape model = Model();
    const auto first = Upstream("u1", {0, 2});
    const auto wide = Upstream("u2", {0, 4});
    const auto second = Upstream("u3", {2, 4});
    DomainRooms rooms(1);
    const double wideTokens = ChainChooser::Capacity(model, wide->Entry()) / 4;
    const double secondTokens =
        ChainChooser::Capacity(model, second->Entry()) / 2;
    first->localWork = ChainChooser::Capacity(model, first->Entry());
    const DomainRoom room =
        rooms.Of(model, {first, wide, second}, 2, this->now)[0];
    CPPUNIT_ASSERT(room.holdsAllLayers);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(wideTokens, room.capacity.free.tokens, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8, room.capacity.free.starts, 1e-6);
    CPPUNIT_ASSERT(room.capacity.total.tokens <=
                   wideTokens + secondTokens + 1e-6);
    first->firstStage.AddRemote(3);
    rooms.Invalidate();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        5,
        rooms.Of(model, {first, wide, second}, 2, this->now)[0]
            .capacity.free.starts,
        1e-6);
  }

  void Room_UnusableUpstream_IsNotCounted() {
    const ModelShape model = Model();
    const auto lost = Upstream("u1", {0, 4});
    const auto second = Upstream("u2", {2, 4});
    lost->Suspect(this->now);
    DomainRooms rooms(1);
    const DomainRoom room = rooms.Of(model, {lost, second}, 2, this->now)[0];
    CPPUNIT_ASSERT(!room.holdsAllLayers);
    CPPUNIT_ASSERT_EQUAL(0.0, room.capacity.free.tokens);
    CPPUNIT_ASSERT_EQUAL(0.0, room.capacity.total.starts);
  }

  // Two starts on one cached room would share it.
  void Room_WithinItsAge_IsKeptUntilInvalidated() {
    const ModelShape model = Model();
    const std::vector<UpstreamPtr> all{Upstream("u1", {0, 4})};
    DomainRooms rooms(1);
    const double before =
        rooms.Of(model, all, 2, this->now)[0].capacity.free.tokens;
    all[0]->localWork = 400;
    CPPUNIT_ASSERT_EQUAL(
        before, rooms.Of(model, all, 2, this->now)[0].capacity.free.tokens);
    rooms.Invalidate();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        before - 100,
        rooms.Of(model, all, 2, this->now)[0].capacity.free.tokens, 1e-6);
    all[0]->localWork = 0;
    CPPUNIT_ASSERT_EQUAL(
        before,
        rooms.Of(model, all, 2, this->now + 25ms)[0].capacity.free.tokens);
  }

 private:
  static constexpr std::size_t kMaxOrganisationsExpected = 8;

  static ModelShape Model() {
    ModelShape model;
    model.layers = 4;
    model.layerMb = 1;
    model.tokenMb = 0.01;
    model.usualPrompt = 800;
    model.usualAnswer = 100;
    model.kinds = {{"k", 1000, 1, 1}};
    return model;
  }

  static UpstreamPtr Upstream(const std::string& aId, LayerRange aLayers) {
    UpstreamEntry entry;
    entry.id = aId;
    entry.service = "model";
    entry.kind = "k";
    entry.slots = 4;
    entry.layers = aLayers;
    return std::make_shared<LiveUpstream>(entry);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityHeadroomTest);

}  // namespace zincstep
