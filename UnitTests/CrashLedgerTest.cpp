#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/ScriptedControl.h"
#include "Zincstep/Relay/CrashWatch.h"

namespace zincstep {
namespace {

constexpr RequestFingerprint kGuilty{1};
constexpr RequestFingerprint kOther{2};

class CrashLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashLedgerTest);
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
  CPPUNIT_TEST_SUITE_END();

  CrashLedgerSettings settings;
  CrashLedger ledger{settings};
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
    CPPUNIT_ASSERT(ledger.OnCrash({kGuilty, 1}, now) == CrashVerdict::Innocent);
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
    now += settings.answeredTime;
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
  }

  void Answer_OfManyOthers_IsForgottenInOrder() {
    ledger.OnAnswered(kGuilty, now);
    for (std::uint64_t i = 0; i < settings.mostAnswered; ++i) {
      ledger.OnAnswered(RequestFingerprint{1000 + i}, now);
    }
    this->CrashThree(kGuilty);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.OnCrash({RequestFingerprint{1001}, 1}, now) ==
                   CrashVerdict::Innocent);
  }

  void Block_AfterItsTime_Ends() {
    this->CrashThree(kGuilty);
    ledger.OnCrash({kOther, 1}, now);
    now += settings.memory;
    ledger.Tick(now);
    CPPUNIT_ASSERT(!ledger.IsBlamed(kOther));
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
    ledger.SetListed({kGuilty}, now);
    CPPUNIT_ASSERT(ledger.UnlistedCrashes(now).empty());
    ledger.SetListed({}, now);
    CPPUNIT_ASSERT(!this->IsBlocked(kGuilty));
  }

  void Block_ListedOnly_Holds() {
    ledger.SetListed({kGuilty}, now);
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(ledger.Blocked(now).contains(kGuilty));
  }

  void Room_ManyRequests_LeavesTheBlocked() {
    this->CrashThree(kGuilty);
    for (std::uint64_t i = 0; i < 2 * settings.mostRequests; ++i) {
      now += 1us;
      ledger.OnCrash({RequestFingerprint{1000 + i}, i}, now);
    }
    CPPUNIT_ASSERT(this->IsBlocked(kGuilty));
    CPPUNIT_ASSERT(!ledger.IsBlamed(RequestFingerprint{1000}));
  }
};

/// The watch with attempts to connect that the test ends.
class CrashWatchTest : public CppUnit::TestFixture, private CrashListener {
  CPPUNIT_TEST_SUITE(CrashWatchTest);
  CPPUNIT_TEST(Loss_UpstreamRefuses_IsItsEnd);
  CPPUNIT_TEST(Loss_UpstreamAccepts_ProvesNothing);
  CPPUNIT_TEST(Loss_SilentOnce_IsAskedAgain);
  CPPUNIT_TEST(Loss_SilenceNoticedLate_ProvesNothing);
  CPPUNIT_TEST(Loss_WhileAnAttemptIsOpen_IsAskedForAnew);
  CPPUNIT_TEST(Answer_OfABlamedRequest_IsToldOnce);
  CPPUNIT_TEST(Answer_BeforeTheCrash_IsBlamedByNobody);
  CPPUNIT_TEST(Cleared_ElsewhereAndBlamedHere_IsToldOn);
  CPPUNIT_TEST(Blamed_ManyRequests_AreForgottenWithTheLedger);
  CPPUNIT_TEST_SUITE_END();

  static UpstreamPtr MakeUpstream(const char* aId) {
    UpstreamEntry entry;
    entry.id = aId;
    return std::make_shared<LiveUpstream>(entry);
  }

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    found.insert(found.end(), aCrashes.begin(), aCrashes.end());
  }
  void OnCleared(RequestFingerprint) override { cleared += 1; }
  void OnBlocked(RequestFingerprint) override { blocked += 1; }
  void OnCrashSuspicion() override { suspicions += 1; }

  FakeClock clock;
  ScriptedControl control;
  CrashLedger ledger{CrashLedgerSettings{}};
  CrashWatch watch{ledger, control, clock, *this};
  UpstreamPtr upstream = MakeUpstream("i1");
  std::vector<UpstreamCrash> found;
  int cleared = 0;
  int blocked = 0;
  int suspicions = 0;

 public:
  void setUp() override { clock.Advance(100s); }

  void Loss_UpstreamRefuses_IsItsEnd() {
    watch.OnRunLost(kGuilty, upstream);
    control.EndReach(Reachability::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT_EQUAL(upstream->Number(), found[0].upstream);
    CPPUNIT_ASSERT(ledger.IsBlamed(kGuilty));
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(1, suspicions);
    for (const char* id : {"i2", "i3"}) {
      watch.OnRunLost(kGuilty, MakeUpstream(id));
      control.EndReach(Reachability::Refused);
    }
    CPPUNIT_ASSERT_EQUAL(1, blocked);
  }

  void Loss_UpstreamAccepts_ProvesNothing() {
    watch.OnRunLost(kGuilty, upstream);
    control.EndReach(Reachability::Reached);
    CPPUNIT_ASSERT(found.empty() && ledger.IsEmpty());
    CPPUNIT_ASSERT(!upstream->IsSuspect(clock.Now()));
  }

  void Loss_SilentOnce_IsAskedAgain() {
    watch.OnRunLost(kGuilty, upstream);
    control.EndReach(Reachability::Silent);
    CPPUNIT_ASSERT(found.empty());
    control.EndReach(Reachability::Silent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
  }

  void Loss_SilenceNoticedLate_ProvesNothing() {
    watch.OnRunLost(kGuilty, upstream);
    control.EndReach(Reachability::Silent);
    clock.Advance(1s);
    control.EndReach(Reachability::Silent);
    CPPUNIT_ASSERT(found.empty() && ledger.IsEmpty());
  }

  void Loss_WhileAnAttemptIsOpen_IsAskedForAnew() {
    // The open attempt may have come before the crash.
    watch.OnRunLost(kOther, upstream);
    watch.OnRunLost(kGuilty, upstream);
    control.EndReach(Reachability::Reached);
    CPPUNIT_ASSERT(ledger.IsEmpty());
    control.EndReach(Reachability::Refused);
    CPPUNIT_ASSERT(ledger.IsBlamed(kGuilty) && !ledger.IsBlamed(kOther));
  }

  void Answer_OfABlamedRequest_IsToldOnce() {
    watch.Take({kGuilty, 1}, Evidence::Told);
    watch.OnAnswered(kOther);
    CPPUNIT_ASSERT_EQUAL(0, cleared);
    watch.OnAnswered(kGuilty);
    watch.OnAnswered(kGuilty);
    CPPUNIT_ASSERT_EQUAL(1, cleared);
  }

  void Answer_BeforeTheCrash_IsBlamedByNobody() {
    watch.OnAnswered(kOther);
    watch.OnRunLost(kOther, upstream);
    control.EndReach(Reachability::Refused);
    CPPUNIT_ASSERT(found.empty() && ledger.IsEmpty());
    // The upstream has ended all the same.
    CPPUNIT_ASSERT(upstream->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT(watch.Take({kOther, 2}, Evidence::Told) ==
                   CrashVerdict::Innocent);
  }

  void Cleared_ElsewhereAndBlamedHere_IsToldOn() {
    watch.OnRunLost(kOther, upstream);
    control.EndReach(Reachability::Refused);
    CPPUNIT_ASSERT(watch.TakeCleared(kOther));
    CPPUNIT_ASSERT(!ledger.IsBlamed(kOther));
    CPPUNIT_ASSERT(!watch.TakeCleared(kOther));
    watch.Take({kGuilty, 1}, Evidence::Told);
    CPPUNIT_ASSERT(!watch.TakeCleared(kGuilty));
  }

  // A caller that makes a new request each time is remembered no longer.
  void Blamed_ManyRequests_AreForgottenWithTheLedger() {
    constexpr std::uint64_t kMany = 20'000;
    for (std::uint64_t i = 0; i < kMany; ++i) {
      clock.Advance(1us);
      watch.Take({RequestFingerprint{1000 + i}, i}, Evidence::Found);
    }
    CPPUNIT_ASSERT(!watch.TakeCleared(RequestFingerprint{1000}));
    CPPUNIT_ASSERT(watch.TakeCleared(RequestFingerprint{1000 + kMany - 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);
CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);

}  // namespace
}  // namespace zincstep
