#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {
namespace {

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(Enqueue_WaitTooLong_IsRefusedWithRetryAfter);
  CPPUNIT_TEST(Peek_TwoOrganisations_ReturnsLowestCounter);
  CPPUNIT_TEST(Peek_HighPriority_DoesNotStarveLow);
  CPPUNIT_TEST(Shed_SeveralPriorities_RemovesLowestFirst);
  CPPUNIT_TEST(Counter_AfterIdleTime_EarnsNoCredit);
  CPPUNIT_TEST(PopExpired_ExpiredRequest_IsReturnedOnce);
  CPPUNIT_TEST(Limit_PeerTimeout_FallsBackToEqualShare);
  CPPUNIT_TEST(Limit_Partition_SumStaysWithinLimit);
  CPPUNIT_TEST(Budget_Outage_BoundsRetries);
  CPPUNIT_TEST(RetryShare_MoreDaemonsThanRetries_IsWholeRetries);
  CPPUNIT_TEST_SUITE_END();

  FairQueue queue{FairQueueSettings{}};
  Instant now{Micros{10s}};

  QueuedRequest RequestOf(std::uint64_t aId, const std::string& aOrganisation,
                          Priority aPriority = Priority::Normal) {
    QueuedRequest request;
    request.id = aId;
    request.organisation = aOrganisation;
    request.level = static_cast<std::size_t>(aPriority);
    request.tokens = 100;
    request.startBy = this->now + 10s;
    return request;
  }

  bool Enqueue(std::uint64_t aId, const std::string& aOrganisation,
               Priority aPriority = Priority::Normal) {
    return this->queue
        .Enqueue(this->RequestOf(aId, aOrganisation, aPriority), 10000,
                 this->now)
        .has_value();
  }

 public:
  void Enqueue_WaitTooLong_IsRefusedWithRetryAfter() {
    const auto slow = [this](std::uint64_t aId) {
      return this->queue.Enqueue(this->RequestOf(aId, "a"), 50, this->now);
    };
    CPPUNIT_ASSERT(slow(1).has_value());
    const Result<void> second = slow(2);
    CPPUNIT_ASSERT(!second.has_value());
    CPPUNIT_ASSERT(second.error().kind == ErrorKind::Overloaded);
    CPPUNIT_ASSERT(second.error().RetryAfter() >= 200ms);
    CPPUNIT_ASSERT(ErrorInfoFor(second.error().kind).outcome ==
                   Outcome::NotRun);
  }

  void Peek_TwoOrganisations_ReturnsLowestCounter() {
    this->queue.OnBegin("a", 1, {0, 500});
    CPPUNIT_ASSERT(this->Enqueue(1, "a"));
    CPPUNIT_ASSERT(this->Enqueue(2, "b"));
    this->queue.OnBegin("b", 1, {0, 10});
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         this->queue.Peek(this->now)->organisation);
  }

  void Peek_HighPriority_DoesNotStarveLow() {
    CPPUNIT_ASSERT(this->Enqueue(1000, "low", Priority::Low));
    int picks = 0;
    for (std::uint64_t id = 1; picks < 100; ++id, ++picks) {
      CPPUNIT_ASSERT(this->Enqueue(id, "high", Priority::High));
      const auto next = this->queue.Peek(this->now);
      this->queue.Dequeue(next->id);
      if (next->id == 1000) {
        break;
      }
    }
    CPPUNIT_ASSERT(picks >= 10 && picks < 30);
  }

  void Shed_SeveralPriorities_RemovesLowestFirst() {
    CPPUNIT_ASSERT(this->Enqueue(1, "a", Priority::Low));
    CPPUNIT_ASSERT(this->Enqueue(2, "a", Priority::High));
    CPPUNIT_ASSERT(this->Enqueue(3, "b", Priority::Normal));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->queue.Shed()->id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->queue.Shed()->id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->queue.Shed()->id);
    CPPUNIT_ASSERT(!this->queue.Shed().has_value());
  }

  void Counter_AfterIdleTime_EarnsNoCredit() {
    this->queue.OnBegin("busy", 1, {0, 10000});
    CPPUNIT_ASSERT(this->Enqueue(1, "idle"));
    CPPUNIT_ASSERT(this->queue.Counter("idle") >= this->queue.Counter("busy"));
  }

  void PopExpired_ExpiredRequest_IsReturnedOnce() {
    CPPUNIT_ASSERT(this->Enqueue(1, "a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->queue.PopExpired(this->now + 60s).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         this->queue.PopExpired(this->now + 60s).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->queue.Waiting());
  }

  void Limit_PeerTimeout_FallsBackToEqualShare() {
    DomainLimit limit({});
    limit.SetPeers({"p1", "p2", "p3"}, this->now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(25.0, limit.Share("a", 100, this->now), 0.001);
    for (const char* peer : {"p1", "p2", "p3"}) {
      limit.OnReport(peer, {}, this->now);
    }
    (void)limit.Admit("a", 100, 10, this->now);
    CPPUNIT_ASSERT(limit.Share("a", 100, this->now) > 90);
    this->now += 4s;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(25.0, limit.Share("a", 100, this->now), 0.001);
  }

  void Limit_Partition_SumStaysWithinLimit() {
    // Each daemon of four gets a report of one peer only, so that all fall
    // back to the equal share.
    std::vector<DomainLimit> limits(4, DomainLimit({}));
    double sum = 0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
      limits[i].SetPeers({"x", "y", "z"}, this->now);
      limits[i].OnReport("x", {{OrganisationHash("a"), 50}}, this->now);
      (void)limits[i].Admit("a", 100, 10, this->now);
      sum += limits[i].Share("a", 100, this->now);
    }
    CPPUNIT_ASSERT(sum <= 100.001);
  }

  // With a fractional share, each of 985 daemons had 0.84 of a retry, and no
  // daemon could ever retry.
  void RetryShare_MoreDaemonsThanRetries_IsWholeRetries() {
    constexpr double kSlack = 1040;
    for (const std::size_t daemons : {8UL, 100UL, 300UL, 985UL, 1970UL}) {
      double sum = 0;
      std::size_t withRetry = 0;
      for (std::size_t rank = 0; rank < daemons; ++rank) {
        const double share = RetryShare(kSlack, {daemons, rank});
        sum += share;
        RetryWindowSettings settings;
        settings.burst = share;
        withRetry +=
            RetryWindow(settings).TryAcquireRetry(this->now, 0.5) ? 1 : 0;
      }
      CPPUNIT_ASSERT(sum <= kSlack);
      CPPUNIT_ASSERT(withRetry >= std::min<std::size_t>(daemons, 832));
    }
  }

  void Budget_Outage_BoundsRetries() {
    RetryBudget budget({});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest();
      while (budget.TryAcquireRetry()) {
        retries += 1;
      }
    }
    CPPUNIT_ASSERT(retries <= 0.08 * 1000 + 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace zincstep
