#include "Zincstep/Relay/CapacityQueue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "Zincstep/Relay/RefusedRequests.h"

namespace zincstep {

namespace {

constexpr double kTokens = 900;

}  // namespace

class CapacityQueueTest final : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityQueueTest);
  CPPUNIT_TEST(Next_SeveralPriorities_UrgentOneFirst);
  CPPUNIT_TEST(Next_OrdersOfOnePriority_ReturnedFirstEarlyLater);
  CPPUNIT_TEST(Next_UrgentOnesKeepComing_LowestStartsEvery20th);
  CPPUNIT_TEST(Next_LowPick_TakesFirstOrderOfLowestPriority);
  CPPUNIT_TEST(Next_BusyOrganisation_GoesAfterOthers);
  CPPUNIT_TEST(Add_FullQueue_RefusesLeastUrgent);
  CPPUNIT_TEST(Add_FullQueueOfSamePriority_RefusesNewOne);
  CPPUNIT_TEST(Add_TooManyBodyBytes_RefusesLeastUrgent);
  CPPUNIT_TEST(Defer_RequestWithoutChain_KeepsItsPlace);
  CPPUNIT_TEST(PopExpired_DeferredRequest_IsReturnedOnce);
  CPPUNIT_TEST(Remove_WaitingRequest_FreesPlaceAndBytes);
  CPPUNIT_TEST(Refused_ReturnsAsTold_IsKnown);
  CPPUNIT_TEST(Refused_MoreThanMaximum_ForgetsOldest);
  CPPUNIT_TEST_SUITE_END();

  CapacityQueue queue{CapacityQueueSettings{}};
  Instant now{Micros{10s}};

  WaitingRequest RequestOf(std::uint64_t aId, int aPriority,
                           const std::string& aOrganisation = "a") const {
    WaitingRequest request;
    request.id = aId;
    request.priority = aPriority;
    request.organisation = aOrganisation;
    request.tokens = kTokens;
    request.bodyBytes = 1000;
    request.startBy = this->now + 400ms;
    return request;
  }

  std::vector<std::uint64_t> Add(const WaitingRequest& aRequest) {
    return this->queue.Add(aRequest, this->now);
  }

  /// Starts the next request; returns its id, or 0 if none waits.
  std::uint64_t StartNext() {
    const auto next = this->queue.Next(this->now);
    if (next) {
      this->queue.OnStarted(next->id);
    }
    return next ? next->id : 0;
  }

 public:
  void Next_SeveralPriorities_UrgentOneFirst() {
    this->Add(this->RequestOf(1, 2));
    this->Add(this->RequestOf(2, 0));
    this->Add(this->RequestOf(3, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->StartNext());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->StartNext());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->StartNext());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->StartNext());
  }

  // Returning earlier than told must not gain a place.
  void Next_OrdersOfOnePriority_ReturnedFirstEarlyLater() {
    std::uint64_t id = 0;
    for (const WaitingOrder order :
         {WaitingOrder::OverShare, WaitingOrder::ReturnedEarly,
          WaitingOrder::New, WaitingOrder::Returned}) {
      id += 1;
      WaitingRequest request = this->RequestOf(id, 1);
      request.order = order;
      this->Add(request);
    }
    for (const std::uint64_t expected : {4, 3, 2, 1}) {
      CPPUNIT_ASSERT_EQUAL(expected, this->StartNext());
    }
  }

  void Next_UrgentOnesKeepComing_LowestStartsEvery20th() {
    this->Add(this->RequestOf(1000, 2));
    int starts = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
      this->Add(this->RequestOf(id, 0));
      starts += 1;
      if (this->StartNext() == 1000) {
        break;
      }
    }
    CPPUNIT_ASSERT_EQUAL(20, starts);
  }

  // The organisation that exceeds its share must not get the starts that keep
  // its priority from starving.
  void Next_LowPick_TakesFirstOrderOfLowestPriority() {
    WaitingRequest over = this->RequestOf(1000, 2, "over");
    over.order = WaitingOrder::OverShare;
    this->Add(over);
    this->Add(this->RequestOf(1001, 2));
    for (std::uint64_t id = 1; id <= 19; ++id) {
      this->Add(this->RequestOf(id, 0));
      CPPUNIT_ASSERT_EQUAL(id, this->StartNext());
    }
    this->Add(this->RequestOf(20, 0));
    CPPUNIT_ASSERT(this->queue.Next(this->now)->ignoresHeadroom);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1001}, this->StartNext());
  }

  void Next_BusyOrganisation_GoesAfterOthers() {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      this->Add(this->RequestOf(id, 1, "busy"));
      this->StartNext();
    }
    this->Add(this->RequestOf(10, 1, "busy"));
    this->Add(this->RequestOf(11, 1, "other"));
    this->queue.OnEnded("busy", kTokens);
    // The idle one is raised to the counter of the busy one, so both take
    // turns; it would not wait for three starts.
    this->StartNext();
    this->Add(this->RequestOf(12, 1, "busy"));
    this->StartNext();
    CPPUNIT_ASSERT(this->queue.Find(11) == nullptr);
  }

  void Add_FullQueue_RefusesLeastUrgent() {
    const std::size_t count = CapacityQueueSettings{}.maxWaiting;
    for (std::uint64_t id = 1; id <= count; ++id) {
      CPPUNIT_ASSERT(this->Add(this->RequestOf(id, id == 7 ? 3 : 1)).empty());
    }
    CPPUNIT_ASSERT(this->Add(this->RequestOf(1000, 0)) ==
                   std::vector<std::uint64_t>{7});
    CPPUNIT_ASSERT_EQUAL(count, this->queue.Waiting());
    CPPUNIT_ASSERT(this->queue.Find(1000) != nullptr);
  }

  void Add_FullQueueOfSamePriority_RefusesNewOne() {
    const std::size_t count = CapacityQueueSettings{}.maxWaiting;
    for (std::uint64_t id = 1; id <= count; ++id) {
      this->Add(this->RequestOf(id, 1));
    }
    CPPUNIT_ASSERT(this->Add(this->RequestOf(1000, 1)) ==
                   std::vector<std::uint64_t>{1000});
    CPPUNIT_ASSERT_EQUAL(count, this->queue.Waiting());
  }

  // A few large bodies must not use up a daemon's memory.
  void Add_TooManyBodyBytes_RefusesLeastUrgent() {
    const std::size_t limit = CapacityQueueSettings{}.maxBodyBytes;
    WaitingRequest large = this->RequestOf(1, 2);
    large.bodyBytes = limit / 2;
    this->Add(large);
    WaitingRequest urgent = this->RequestOf(2, 0);
    urgent.bodyBytes = limit / 2 + 1;
    CPPUNIT_ASSERT(this->Add(urgent) == std::vector<std::uint64_t>{1});
    WaitingRequest tooLarge = this->RequestOf(3, 0);
    tooLarge.bodyBytes = limit + 1;
    CPPUNIT_ASSERT(this->Add(tooLarge) == std::vector<std::uint64_t>{3});
    CPPUNIT_ASSERT_EQUAL(limit / 2 + 1, this->queue.BodyBytes());
  }

  // One request that fits on no upstream must not block those behind it, nor
  // lose its place.
  void Defer_RequestWithoutChain_KeepsItsPlace() {
    this->Add(this->RequestOf(1, 1));
    this->Add(this->RequestOf(2, 1));
    this->queue.Defer(this->queue.Next(this->now)->id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->queue.Next(this->now)->id);
    this->queue.EndDeferral(this->now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->queue.Next(this->now)->id);
  }

  void PopExpired_DeferredRequest_IsReturnedOnce() {
    this->Add(this->RequestOf(1, 1));
    this->Add(this->RequestOf(2, 0));
    this->queue.Defer(2);
    this->now += 1s;
    CPPUNIT_ASSERT((this->queue.PopExpired(this->now) ==
                    std::vector<std::uint64_t>{1, 2}));
    CPPUNIT_ASSERT(this->queue.PopExpired(this->now).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->queue.Waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->queue.BodyBytes());
  }

  void Remove_WaitingRequest_FreesPlaceAndBytes() {
    this->Add(this->RequestOf(1, 1));
    CPPUNIT_ASSERT(this->queue.Remove(1));
    CPPUNIT_ASSERT(!this->queue.Remove(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->queue.BodyBytes());
    CPPUNIT_ASSERT(!this->queue.Next(this->now).has_value());
  }

  void Refused_ReturnsAsTold_IsKnown() {
    RefusedRequests refused;
    const Fingerprint request{7};
    refused.OnRefused(request, 500ms, this->now);
    const auto historyAfter = [&](Micros aTime) {
      return refused.HistoryOf(request, this->now + aTime);
    };
    CPPUNIT_ASSERT(historyAfter(100ms) == RefusalHistory::ReturnedEarly);
    CPPUNIT_ASSERT(historyAfter(500ms) == RefusalHistory::Waited);
    CPPUNIT_ASSERT(historyAfter(11s) == RefusalHistory::None);
    CPPUNIT_ASSERT(refused.HistoryOf(Fingerprint{8}, this->now) ==
                   RefusalHistory::None);
  }

  void Refused_MoreThanMaximum_ForgetsOldest() {
    RefusedRequests refused;
    for (std::uint64_t id = 1; id <= 10'000; ++id) {
      refused.OnRefused(Fingerprint{id}, 500ms, this->now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, refused.Size());
    CPPUNIT_ASSERT(refused.HistoryOf(Fingerprint{1}, this->now) ==
                   RefusalHistory::None);
    CPPUNIT_ASSERT(refused.HistoryOf(Fingerprint{10'000}, this->now) !=
                   RefusalHistory::None);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityQueueTest);

}  // namespace zincstep
