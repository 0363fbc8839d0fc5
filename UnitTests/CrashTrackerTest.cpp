#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {
namespace {

constexpr RequestFingerprint kGuilty{1};
constexpr RequestFingerprint kOther{2};

class CrashTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTrackerTest);
  CPPUNIT_TEST(Fingerprint_OfAnotherOrganisationOrBody_Differs);
  CPPUNIT_TEST(Fingerprint_PartsThatRunTogether_Differ);
  CPPUNIT_TEST(Fingerprint_Text_ReadsAsWritten);
  CPPUNIT_TEST(Crash_ThreeIncarnations_Block);
  CPPUNIT_TEST(Crash_OneIncarnationToldByMany_CountsOnce);
  CPPUNIT_TEST(Answer_Whole_TakesAllBack);
  CPPUNIT_TEST(Answer_Lately_SpeaksForTheRequest);
  CPPUNIT_TEST(Answer_OfManyOthers_IsForgottenInOrder);
  CPPUNIT_TEST(Block_AfterItsTime_Ends);
  CPPUNIT_TEST(Block_NoMoreListed_Ends);
  CPPUNIT_TEST(Block_ListedOnly_Holds);
  CPPUNIT_TEST(Room_ManyRequests_LeavesTheBlocked);
  CPPUNIT_TEST(Suspected_AsManyAsBlock_IsHeldBackUntilSettled);
  CPPUNIT_TEST(Suspected_BesideCrashes_CountsWithThem);
  CPPUNIT_TEST(Suspected_AnsweredLately_IsNotHeldBack);
  CPPUNIT_TEST_SUITE_END();

  CrashTrackerSettings settings;
  CrashTracker ledger{settings};
  Instant now{Micros{100s}};

  void CrashThree(RequestFingerprint aRequest) {
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
      ledger.OnCrash({aRequest, upstream}, now);
    }
  }

  bool IsBlocked(RequestFingerprint aRequest) {
    return ledger.BlockedFor(aRequest, now) > Micros{0};
  }

 public:
  void Fingerprint_OfAnotherOrganisationOrBody_Differs() {
    const RequestIdentity one{"POST", "h", "/p/", "acme", "body"};
    RequestIdentity other = one;
    CPPUNIT_ASSERT(FingerprintOf(one) == FingerprintOf(other));
    other.organisation = "other";
    CPPUNIT_ASSERT(FingerprintOf(one) != FingerprintOf(other));
    other = one;
    other.body = "bodies";
    CPPUNIT_ASSERT(FingerprintOf(one) != FingerprintOf(other));
  }

  void Fingerprint_PartsThatRunTogether_Differ() {
    const RequestIdentity one{"POST", "h", "/p/", "ab", "c"};
    const RequestIdentity other{"POST", "h", "/p/", "a", "bc"};
    CPPUNIT_ASSERT(FingerprintOf(one) != FingerprintOf(other));
  }

  void Fingerprint_Text_ReadsAsWritten() {
    const RequestFingerprint one{0x0123456789abcdefULL};
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"), TextOf(one));
    CPPUNIT_ASSERT(ParseFingerprint(TextOf(one)) == one);
    for (const char* wrong : {"", "123", "0123456789abcdeg",
                              "0123456789abcdef0", "-123456789abcdef"}) {
      CPPUNIT_ASSERT(!ParseFingerprint(wrong));
    }
  }

  void Crash_ThreeIncarnations_Block() {
    CPPUNIT_ASSERT(ledger.OnCrash({kGuilty, 1}, now) == CrashVerdict::Counted);
    CPPUNIT_ASSERT(ledger.OnCrash({kGuilty, 2}, now) == CrashVerdict::Counted);
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.OnCrash({kGuilty, 3}, now) == CrashVerdict::Blocked);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(!this->IsBlocked(kOther));
    CPPUNIT_ASSERT(ledger.OnCrash({kGuilty, 4}, now) == CrashVerdict::Counted);
  }

  void Crash_OneIncarnationToldByMany_CountsOnce() {
    for (int i = 0; i < 5; ++i) {
      ledger.OnCrash({kGuilty, 1}, now);
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
  }

  void Answer_Whole_TakesAllBack() {
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(ledger.OnAnswered(kGuilty, now));
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.IsEmpty());
    CPPUNIT_ASSERT(!ledger.OnAnswered(kGuilty, now));
  }

  // Identical requests of many callers were on three upstreams that ended
  // within 60 ms, none was left to be answered, and all were refused for ten
  // minutes.
  void Answer_Lately_SpeaksForTheRequest() {
    ledger.OnAnswered(kGuilty, now);
    now += 1s;
    CPPUNIT_ASSERT(ledger.OnCrash({kGuilty, 1}, now) == CrashVerdict::Ignored);
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
    now += settings.answeredTime;
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
  }

  void Answer_OfManyOthers_IsForgottenInOrder() {
    ledger.OnAnswered(kGuilty, now);
    for (std::uint64_t i = 0; i < settings.maxAnswered; ++i) {
      ledger.OnAnswered(RequestFingerprint{1000 + i}, now);
    }
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.OnCrash({RequestFingerprint{1001}, 1}, now) ==
                   CrashVerdict::Ignored);
  }

  void Block_AfterItsTime_Ends() {
    this->CrashThree(kGuilty);
    ledger.OnCrash({kOther, 1}, now);
    now += settings.memory;
    ledger.Tick(now);
    CPPUNIT_ASSERT(!ledger.HasCrashes(kOther));
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    now += settings.blockedTime;
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.Blocked(now).empty());
    ledger.Tick(now);
    CPPUNIT_ASSERT(ledger.IsEmpty());
  }

  void Block_NoMoreListed_Ends() {
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ledger.UnlistedCrashes(now).size());
    ledger.SetBlockList({kGuilty}, now);
    CPPUNIT_ASSERT(ledger.UnlistedCrashes(now).empty());
    ledger.SetBlockList({}, now);
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
  }

  void Block_ListedOnly_Holds() {
    ledger.SetBlockList({kGuilty}, now);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.Blocked(now).contains(kGuilty));
  }

  void Room_ManyRequests_LeavesTheBlocked() {
    this->CrashThree(kGuilty);
    for (std::uint64_t i = 0; i < 2 * settings.maxRequests; ++i) {
      now += 1us;
      ledger.OnCrash({RequestFingerprint{1000 + i}, i}, now);
    }
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(!ledger.HasCrashes(RequestFingerprint{1000}));
  }

  // While nothing was known of three ends, the same request went on to a
  // fourth.
  void Suspected_AsManyAsBlock_IsHeldBackUntilSettled() {
    for (const std::uint64_t upstream : {1, 2, 3}) {
      CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
      ledger.OnSuspected({kGuilty, upstream});
      ledger.OnSuspected({kGuilty, upstream});
    }
    CPPUNIT_ASSERT(ledger.BlockedFor(kGuilty, now) == settings.holdTime);
    CPPUNIT_ASSERT(!this->IsBlocked(kOther));
    // Nobody is told, and nothing is written, of what is not known.
    CPPUNIT_ASSERT(ledger.Blocked(now).empty());
    CPPUNIT_ASSERT(!ledger.HasCrashes(kGuilty));
    ledger.OnSuspicionResolved({kGuilty, 2});
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
  }

  void Suspected_BesideCrashes_CountsWithThem() {
    ledger.OnCrash({kGuilty, 1}, now);
    ledger.OnCrash({kGuilty, 2}, now);
    ledger.OnSuspected({kGuilty, 2});
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
    ledger.OnSuspected({kGuilty, 3});
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
  }

  void Suspected_AnsweredLately_IsNotHeldBack() {
    ledger.OnAnswered(kOther, now);
    for (const std::uint64_t upstream : {1, 2, 3}) {
      ledger.OnSuspected({kOther, upstream});
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kOther));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTrackerTest);

}  // namespace
}  // namespace zincstep
