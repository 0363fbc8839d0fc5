#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {
namespace {

constexpr Fingerprint kPoison{1};
constexpr Fingerprint kOther{2};

class CrashTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTrackerTest);
  CPPUNIT_TEST(Fingerprint_OfAnotherOrganisationOrBody_Differs);
  CPPUNIT_TEST(Fingerprint_SameConcatenationOfParts_Differs);
  CPPUNIT_TEST(Fingerprint_Text_RoundTrips);
  CPPUNIT_TEST(Crash_ThreeIncarnations_BlocksRequest);
  CPPUNIT_TEST(Crash_OneIncarnationReportedRepeatedly_CountsOnce);
  CPPUNIT_TEST(Completion_AfterBlock_ClearsCrashes);
  CPPUNIT_TEST(Completion_Recent_IgnoresCrashes);
  CPPUNIT_TEST(Completion_ManyOthers_EvictsOldestFirst);
  CPPUNIT_TEST(Block_AfterBlockDuration_Ends);
  CPPUNIT_TEST(Block_RemovedFromBlockList_Ends);
  CPPUNIT_TEST(Block_OnBlockListOnly_IsBlocked);
  CPPUNIT_TEST(Eviction_ManyRequests_KeepsBlocked);
  CPPUNIT_TEST(Suspected_MaxCrashes_IsBlockedUntilResolved);
  CPPUNIT_TEST(Suspected_WithRecordedCrashes_AddsToThem);
  CPPUNIT_TEST(Suspected_CompletedRecently_IsNotBlocked);
  CPPUNIT_TEST(Suspected_ByPeers_AddsToOwnUntilWithdrawn);
  CPPUNIT_TEST(Suspected_ByPeersOnly_EndsWithTime);
  CPPUNIT_TEST(Completion_Repeated_IsEvictedByTheLastOne);
  CPPUNIT_TEST(Part_CrashesUnderOneOrganisation_BlockNoOther);
  CPPUNIT_TEST(Part_FiveCrashesUnderAll_BlockEveryOrganisation);
  CPPUNIT_TEST(Part_CarriedInAllCrashesOfAnother_BlocksWithItOnly);
  CPPUNIT_TEST(Part_CarriedInOneCrashMore_Blocks);
  CPPUNIT_TEST(Part_OnBlockListOnly_Blocks);
  CPPUNIT_TEST(Parts_NamedTwice_AreOneCandidate);
  CPPUNIT_TEST_SUITE_END();

  CrashTrackerSettings settings;
  CrashTracker tracker{settings};
  Instant now{Micros{100s}};

  void CrashThree(Fingerprint aRequest) {
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
      tracker.OnCrash({aRequest, upstream}, now);
    }
  }

  bool IsBlocked(Fingerprint aRequest) {
    return tracker.BlockedFor(aRequest, now) > Micros{0};
  }

 public:
  void Suspected_ByPeers_AddsToOwnUntilWithdrawn() {
    const Fingerprint request{7};
    tracker.OnSuspected({request, 1});
    CPPUNIT_ASSERT(tracker.OnSuspectedByPeer({request, 1}, now));
    CPPUNIT_ASSERT(tracker.OnSuspectedByPeer({request, 2}, now));
    CPPUNIT_ASSERT(!this->IsBlocked(request));
    CPPUNIT_ASSERT(tracker.OnSuspectedByPeer({request, 3}, now));
    CPPUNIT_ASSERT(this->IsBlocked(request));
    tracker.OnWithdrawn({request, 2});
    CPPUNIT_ASSERT(!this->IsBlocked(request));
    // A crash is no suspicion any more, and counts once.
    tracker.OnCrash({request, 3}, now);
    CPPUNIT_ASSERT(!this->IsBlocked(request));
    tracker.OnSuspectedByPeer({request, 4}, now);
    CPPUNIT_ASSERT(this->IsBlocked(request));
    CPPUNIT_ASSERT(tracker.Blocked(now).empty());
    CPPUNIT_ASSERT(tracker.Clear(request));
    CPPUNIT_ASSERT(!this->IsBlocked(request));
  }

  void Suspected_ByPeersOnly_EndsWithTime() {
    const Fingerprint request{7};
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
      tracker.OnSuspectedByPeer({request, upstream}, now);
    }
    CPPUNIT_ASSERT(this->IsBlocked(request));
    now += settings.peerSuspicionRetention;
    CPPUNIT_ASSERT(!this->IsBlocked(request));
    tracker.Tick(now);
    CPPUNIT_ASSERT(!tracker.MayBlock());
  }

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

  void Fingerprint_SameConcatenationOfParts_Differs() {
    const RequestIdentity one{"POST", "h", "/p/", "ab", "c"};
    const RequestIdentity other{"POST", "h", "/p/", "a", "bc"};
    CPPUNIT_ASSERT(FingerprintOf(one) != FingerprintOf(other));
  }

  void Fingerprint_Text_RoundTrips() {
    const Fingerprint one{0x0123456789abcdefULL};
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"), TextOf(one));
    CPPUNIT_ASSERT(ParseFingerprint(TextOf(one)) == one);
    for (const char* wrong : {"", "123", "0123456789abcdeg",
                              "0123456789abcdef0", "-123456789abcdef"}) {
      CPPUNIT_ASSERT(!ParseFingerprint(wrong));
    }
  }

  void Crash_ThreeIncarnations_BlocksRequest() {
    CPPUNIT_ASSERT(tracker.OnCrash({kPoison, 1}, now) == CrashVerdict::Counted);
    CPPUNIT_ASSERT(tracker.OnCrash({kPoison, 2}, now) == CrashVerdict::Counted);
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(tracker.OnCrash({kPoison, 3}, now) == CrashVerdict::Blocked);
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(!this->IsBlocked(kOther));
    CPPUNIT_ASSERT(tracker.OnCrash({kPoison, 4}, now) == CrashVerdict::Counted);
  }

  void Crash_OneIncarnationReportedRepeatedly_CountsOnce() {
    for (int i = 0; i < 5; ++i) {
      tracker.OnCrash({kPoison, 1}, now);
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
  }

  void Completion_AfterBlock_ClearsCrashes() {
    this->CrashThree(kPoison);
    CPPUNIT_ASSERT(tracker.OnCompleted(kPoison, now));
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(tracker.IsEmpty());
    CPPUNIT_ASSERT(!tracker.OnCompleted(kPoison, now));
  }

  // Many callers sent the same request, which ran on three upstreams that
  // crashed within 60 ms. No run was left that could complete and clear it, so
  // that all its callers were refused for ten minutes.
  void Completion_Recent_IgnoresCrashes() {
    tracker.OnCompleted(kPoison, now);
    now += 1s;
    CPPUNIT_ASSERT(tracker.OnCrash({kPoison, 1}, now) == CrashVerdict::Ignored);
    this->CrashThree(kPoison);
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
    now += settings.completedRetention;
    this->CrashThree(kPoison);
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
  }

  void Completion_ManyOthers_EvictsOldestFirst() {
    tracker.OnCompleted(kPoison, now);
    for (std::uint64_t i = 0; i < settings.maxCompleted; ++i) {
      tracker.OnCompleted(Fingerprint{1000 + i}, now);
    }
    this->CrashThree(kPoison);
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(tracker.OnCrash({Fingerprint{1001}, 1}, now) ==
                   CrashVerdict::Ignored);
  }

  void Block_AfterBlockDuration_Ends() {
    this->CrashThree(kPoison);
    tracker.OnCrash({kOther, 1}, now);
    now += settings.crashRetention;
    tracker.Tick(now);
    CPPUNIT_ASSERT(!tracker.HasCrashes(kOther));
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
    now += settings.blockDuration;
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(tracker.Blocked(now).empty());
    tracker.Tick(now);
    CPPUNIT_ASSERT(tracker.IsEmpty());
  }

  void Block_RemovedFromBlockList_Ends() {
    this->CrashThree(kPoison);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tracker.UnlistedCrashes(now).size());
    tracker.SetBlockList({kPoison}, now);
    CPPUNIT_ASSERT(tracker.UnlistedCrashes(now).empty());
    tracker.SetBlockList({}, now);
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
  }

  void Block_OnBlockListOnly_IsBlocked() {
    tracker.SetBlockList({kPoison}, now);
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(tracker.Blocked(now).contains(kPoison));
  }

  void Eviction_ManyRequests_KeepsBlocked() {
    this->CrashThree(kPoison);
    for (std::uint64_t i = 0; i < 2 * settings.maxRequests; ++i) {
      now += 1us;
      tracker.OnCrash({Fingerprint{1000 + i}, i}, now);
    }
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
    CPPUNIT_ASSERT(!tracker.HasCrashes(Fingerprint{1000}));
  }

  // While three suspected crashes were being checked, the same request was
  // sent to a fourth upstream.
  void Suspected_MaxCrashes_IsBlockedUntilResolved() {
    for (const std::uint64_t upstream : {1, 2, 3}) {
      CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
      tracker.OnSuspected({kPoison, upstream});
      tracker.OnSuspected({kPoison, upstream});
    }
    CPPUNIT_ASSERT(tracker.BlockedFor(kPoison, now) ==
                   settings.suspectedRetryAfter);
    CPPUNIT_ASSERT(!this->IsBlocked(kOther));
    // Suspected crashes are neither reported to peers nor written to the store.
    CPPUNIT_ASSERT(tracker.Blocked(now).empty());
    CPPUNIT_ASSERT(!tracker.HasCrashes(kPoison));
    tracker.OnSuspicionResolved({kPoison, 2});
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
  }

  void Suspected_WithRecordedCrashes_AddsToThem() {
    tracker.OnCrash({kPoison, 1}, now);
    tracker.OnCrash({kPoison, 2}, now);
    tracker.OnSuspected({kPoison, 2});
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
    tracker.OnSuspected({kPoison, 3});
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
  }

  void Suspected_CompletedRecently_IsNotBlocked() {
    tracker.OnCompleted(kOther, now);
    for (const std::uint64_t upstream : {1, 2, 3}) {
      tracker.OnSuspected({kOther, upstream});
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kOther));
  }

  static CrashCandidates Carrying(const std::string& aOrganisation,
                                  const std::vector<std::string>& aParts) {
    static int number = 0;
    number += 1;
    const std::string body = std::to_string(number);
    return CandidatesOf({"POST", "h", "/p/", aOrganisation, body}, "model",
                        aParts);
  }

  /// Records a crash of each upstream under a request of its own.
  void CrashUnder(const std::string& aOrganisation,
                  const std::vector<std::string>& aParts,
                  const std::vector<std::uint64_t>& aUpstreams) {
    for (const std::uint64_t upstream : aUpstreams) {
      Carrying(aOrganisation, aParts).ForEach([&](Fingerprint aOne) {
        tracker.OnCrash({aOne, upstream}, now);
      });
    }
  }

  bool MayRun(const std::string& aOrganisation,
              const std::vector<std::string>& aParts) {
    return !tracker.FindBlock(Carrying(aOrganisation, aParts), now);
  }

  void Completion_Repeated_IsEvictedByTheLastOne() {
    settings.maxCompleted = 2;
    tracker = CrashTracker{settings};
    tracker.OnCompleted(kPoison, now);
    now += 1s;
    tracker.OnCompleted(kOther, now);
    now += 1s;
    tracker.OnCompleted(kPoison, now);
    tracker.OnCompleted(Fingerprint{3}, now);
    CPPUNIT_ASSERT(tracker.OnCrash({kPoison, 1}, now) == CrashVerdict::Ignored);
    CPPUNIT_ASSERT(tracker.OnCrash({kOther, 1}, now) == CrashVerdict::Counted);
  }

  void Part_CrashesUnderOneOrganisation_BlockNoOther() {
    this->CrashUnder("acme", {"p"}, {1, 2, 3});
    CPPUNIT_ASSERT(!this->MayRun("acme", {"b", "p"}));
    CPPUNIT_ASSERT(this->MayRun("other", {"b", "p"}));
    CPPUNIT_ASSERT(this->MayRun("acme", {"b"}));
  }

  void Part_FiveCrashesUnderAll_BlockEveryOrganisation() {
    this->CrashUnder("acme", {"p"}, {1, 2});
    this->CrashUnder("other", {"p"}, {3, 4});
    CPPUNIT_ASSERT(this->MayRun("third", {"p"}));
    this->CrashUnder("third", {"p"}, {5});
    CPPUNIT_ASSERT(!this->MayRun("third", {"p"}));
    CPPUNIT_ASSERT(!this->MayRun("fourth", {"p"}));
  }

  // Guards against refusing sound requests that share a part with all those
  // that crashed upstreams.
  void Part_CarriedInAllCrashesOfAnother_BlocksWithItOnly() {
    this->CrashUnder("acme", {"a", "p"}, {1, 2, 3});
    CPPUNIT_ASSERT(this->MayRun("acme", {"a"}));
    CPPUNIT_ASSERT(this->MayRun("acme", {"a", "b"}));
    CPPUNIT_ASSERT(!this->MayRun("acme", {"a", "p"}));
  }

  void Part_CarriedInOneCrashMore_Blocks() {
    this->CrashUnder("acme", {"a", "p"}, {1, 2, 3});
    this->CrashUnder("acme", {"b", "p"}, {4});
    CPPUNIT_ASSERT(!this->MayRun("acme", {"p"}));
    CPPUNIT_ASSERT(this->MayRun("acme", {"a"}));
  }

  void Part_OnBlockListOnly_Blocks() {
    const CrashCandidates one = Carrying("acme", {"p"});
    tracker.SetBlockList({one.parts.begin(), one.parts.end()}, now);
    CPPUNIT_ASSERT(!this->MayRun("acme", {"p"}));
    CPPUNIT_ASSERT(this->MayRun("acme", {"a"}));
  }

  void Parts_NamedTwice_AreOneCandidate() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         Carrying("acme", {"p", "p"}).parts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Carrying("", {"p"}).parts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTrackerTest);

}  // namespace
}  // namespace zincstep
