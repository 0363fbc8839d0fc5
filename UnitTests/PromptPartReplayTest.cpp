// Counts the crashes that poison parts cause, and the sound requests that are
// refused meanwhile.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/PartReplayCheck.h"

namespace zincstep {
namespace {

class PromptPartReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptPartReplayTest);
  CPPUNIT_TEST(PoisonPart_OnceBlocked_IsNotSent);
  CPPUNIT_TEST(TwoPoisonParts_BesideOtherCrashes_AreBothBlocked);
  CPPUNIT_TEST(SoundRequests_WhenAThirdOfThePoolCrashes_AreServed);
  CPPUNIT_TEST(SoundRequests_AfterRestartOfAll_AreServed);
  CPPUNIT_TEST(PoisonPart_CrashingAfterEvents_IsNotSentOnceBlocked);
  CPPUNIT_TEST(PoisonPart_CrashingAfterEvents_BesideOtherCrashes_IsBlocked);
  CPPUNIT_TEST(PoisonPart_BesideManyStreams_IsBlocked);
  CPPUNIT_TEST(PoisonPart_PartitionedDaemons_EachSideBlocksIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Five that block the part for all organisations, and those sent until all
  // daemons know.
  void PoisonPart_OnceBlocked_IsNotSent() { CheckParts({1, 6, 0, false}, 12); }

  void TwoPoisonParts_BesideOtherCrashes_AreBothBlocked() {
    CheckParts({2, 6, 0.1, false}, 24);
  }

  void SoundRequests_WhenAThirdOfThePoolCrashes_AreServed() {
    CheckParts({0, 6, 0.33, false}, 0);
  }

  void SoundRequests_AfterRestartOfAll_AreServed() {
    CheckParts({1, 6, 0.1, true}, 16);
  }

  // Guards against runs that count against nobody once an event has arrived.
  void PoisonPart_CrashingAfterEvents_IsNotSentOnceBlocked() {
    for (const Micros delay : {10ms, 70ms, 700ms, 3000ms}) {
      CheckPartSends({1, 2, 0, false, delay}, 16, 4);
    }
  }

  void PoisonPart_CrashingAfterEvents_BesideOtherCrashes_IsBlocked() {
    CheckPartSends({1, 2, 0.33, false, 300ms}, 24, 12);
  }

  void PoisonPart_BesideManyStreams_IsBlocked() {
    CheckPartSends({1, 2, 0, false, 300ms, 12}, 24, 12);
  }

  // Each side has the crashes of its own requests alone.
  void PoisonPart_PartitionedDaemons_EachSideBlocksIt() {
    for (const std::size_t daemons : {4, 26, 295}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        PartReplay replay(daemons, {1, 6, 0, false, 300ms, 100, true}, seed);
        replay.Run(kReplayTime);
        std::cout << "partitioned daemons " << daemons << " crashes "
                  << replay.poisonCrashes << " sent at the end "
                  << replay.sentAtEnd << " refused " << replay.refusedSound
                  << " of " << replay.sound << "\n";
        CPPUNIT_ASSERT_EQUAL(0, replay.sentAtEnd);
        CPPUNIT_ASSERT(replay.refusedSound * 1000 < replay.sound);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartReplayTest);

}  // namespace
}  // namespace zincstep
