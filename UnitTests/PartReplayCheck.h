#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "UnitTests/PartReplay.h"

namespace zincstep {

inline constexpr Micros kReplayTime = 30s;

/// Plays three seeds at each size. Checks that fewer than one sound request
/// in a thousand is refused, and that poison is not sent more than `aMaxSends`
/// times once it is known, and at most three times late.
inline void CheckPartSends(const ReplayFaults& aFaults, int aMaxCrashes,
                           int aMaxSends) {
  for (const std::size_t daemons : {4, 26, 295}) {
    int sound = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      PartReplay replay(daemons, aFaults, seed);
      replay.Run(kReplayTime);
      std::cout << "daemons " << daemons << " crashes " << replay.poisonCrashes
                << " sent later " << replay.sentAfterBlock << " late "
                << replay.sentLate << " refused " << replay.refusedSound
                << " of " << replay.sound << "\n";
      CPPUNIT_ASSERT(replay.poisonCrashes <= aMaxCrashes);
      CPPUNIT_ASSERT(replay.sentAfterBlock <= aMaxSends);
      CPPUNIT_ASSERT(replay.sentLate <= 3);
      sound += replay.sound;
      refused += replay.refusedSound;
    }
    CPPUNIT_ASSERT(refused * 1000 < sound);
  }
}

/// The same for poison that is not sent once it is known.
inline void CheckParts(const ReplayFaults& aFaults, int aMaxCrashes) {
  CheckPartSends(aFaults, aMaxCrashes, 0);
}

}  // namespace zincstep
