#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {
namespace {

constexpr Fingerprint kPoison{1};
constexpr Fingerprint kSound{2};

/// Crashes under requests of whose responses some had arrived.
class CrashEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashEvidenceTest);
  CPPUNIT_TEST(Begun_InAllCrashes_IsBlocked);
  CPPUNIT_TEST(Begun_InFewOfManyCrashes_IsNotBlocked);
  CPPUNIT_TEST(Begun_WhereCrashesEndMostRequests_IsNotBlocked);
  CPPUNIT_TEST(Begun_ReportedLate_CountsFromItsCrash);
  CPPUNIT_TEST(Begun_CompletedMeanwhile_IsCleared);
  CPPUNIT_TEST(Begun_OldCrashes_AreForgotten);
  CPPUNIT_TEST(Begun_AndWithoutResponse_CountTogether);
  CPPUNIT_TEST(Begun_Explained_IsNotBlocked);
  CPPUNIT_TEST(Begun_Unlisted_KeepsItsEvidence);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kRunning = 40;

  CrashTracker tracker{CrashTrackerSettings{}};
  Instant now{Micros{100s}};
  std::uint64_t lastUpstream = 0;

  /// Another upstream crashes, which ends `aLost` of this daemon's requests.
  std::uint64_t Crash(std::size_t aLost = 1) {
    now += 100ms;
    this->lastUpstream += 1;
    tracker.CountCrash(this->lastUpstream, aLost, kRunning, now);
    return this->lastUpstream;
  }

  void RecordBegun(Fingerprint aRequest, std::uint64_t aUpstream) {
    tracker.OnCrash({aRequest, aUpstream, CrashEvidence::ResponseBegun}, now);
  }

  bool IsBlocked(Fingerprint aRequest) {
    return tracker.BlockedFor(aRequest, now) > Micros{0};
  }

 public:
  void Begun_InAllCrashes_IsBlocked() {
    for (int crash = 0; crash < 5; ++crash) {
      CPPUNIT_ASSERT(crash >= 3 || !this->IsBlocked(kPoison));
      this->RecordBegun(kPoison, this->Crash());
    }
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
  }

  // A third of the pool crashes again and again, not caused by a request.
  void Begun_InFewOfManyCrashes_IsNotBlocked() {
    for (int crash = 0; crash < 60; ++crash) {
      const std::uint64_t upstream = this->Crash(2);
      if (crash % 12 == 0) {
        this->RecordBegun(kSound, upstream);
      }
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kSound));
  }

  void Begun_WhereCrashesEndMostRequests_IsNotBlocked() {
    for (int crash = 0; crash < 4; ++crash) {
      this->RecordBegun(kSound, this->Crash(kRunning / 2));
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kSound));
  }

  // Guards against taking a request for present in all crashes since its first
  // because that one was reported after the others.
  void Begun_ReportedLate_CountsFromItsCrash() {
    const std::uint64_t first = this->Crash(4);
    for (int other = 0; other < 30; ++other) {
      this->Crash(4);
    }
    this->RecordBegun(kSound, first);
    for (int crash = 0; crash < 3; ++crash) {
      this->RecordBegun(kSound, this->Crash(4));
    }
    CPPUNIT_ASSERT(!this->IsBlocked(kSound));
  }

  void Begun_CompletedMeanwhile_IsCleared() {
    for (int crash = 0; crash < 5; ++crash) {
      this->RecordBegun(kPoison, this->Crash());
    }
    CPPUNIT_ASSERT(tracker.OnCompleted(kPoison, now));
    CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
    this->RecordBegun(kPoison, this->Crash());
    CPPUNIT_ASSERT(!tracker.HasCrashes(kPoison));
  }

  void Begun_OldCrashes_AreForgotten() {
    this->RecordBegun(kSound, this->Crash());
    this->RecordBegun(kSound, this->Crash());
    now += 121s;
    tracker.Tick(now);
    this->RecordBegun(kSound, this->Crash());
    CPPUNIT_ASSERT(!this->IsBlocked(kSound));
  }

  // An upstream that ended several runs of a request counts by the strongest
  // evidence.
  void Begun_AndWithoutResponse_CountTogether() {
    for (int crash = 0; crash < 3; ++crash) {
      const std::uint64_t upstream = this->Crash(kRunning);
      this->RecordBegun(kPoison, upstream);
      CPPUNIT_ASSERT(!this->IsBlocked(kPoison));
      tracker.OnCrash({kPoison, upstream}, now);
    }
    CPPUNIT_ASSERT(this->IsBlocked(kPoison));
  }

  // A stream that was lost beside a poison request each time.
  void Begun_Explained_IsNotBlocked() {
    for (int crash = 0; crash < 6; ++crash) {
      const std::uint64_t upstream = this->Crash();
      this->RecordBegun(kPoison, upstream);
      if (crash > 0) {
        this->RecordBegun(kSound, upstream);
      }
    }
    CrashCandidates sound;
    sound.request = kSound;
    CrashCandidates poison;
    poison.request = kPoison;
    CPPUNIT_ASSERT(this->IsBlocked(kSound));
    CPPUNIT_ASSERT(!tracker.FindBlock(sound, now));
    CPPUNIT_ASSERT(tracker.FindBlock(poison, now));
  }

  void Begun_Unlisted_KeepsItsEvidence() {
    for (int crash = 0; crash < 5; ++crash) {
      this->RecordBegun(kPoison, this->Crash());
    }
    const auto unlisted = tracker.UnlistedCrashes(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, unlisted.size());
    for (const UpstreamCrash& crash : unlisted) {
      CPPUNIT_ASSERT(crash.evidence == CrashEvidence::ResponseBegun);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

}  // namespace
}  // namespace zincstep
