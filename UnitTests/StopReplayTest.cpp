#include "UnitTests/StopPlans.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace zincstep {
namespace {

/// Guards against a stopping daemon that accepts streams late and truncates
/// them at its exit, and against one that refuses what it could serve.
class StopReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopReplayTest);
  CPPUNIT_TEST(LateStream_AnyStops_IsNotTruncated);
  CPPUNIT_TEST(LateStream_RestartedDaemons_IsNotTruncated);
  CPPUNIT_TEST(LateStream_KnownDurations_IsNotTruncated);
  CPPUNIT_TEST(LateStream_ShortDeadline_IsServed);
  CPPUNIT_TEST(Refused_OthersAreIn_IsServedOnReturn);
  CPPUNIT_TEST(Check_SharesAsPromise_FailsIt);
  CPPUNIT_TEST(Check_DeadlineFromSignalOn_FailsIt);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kSeeds = 20;
  /// Share of attempts that a stopping daemon may refuse while the balancer has
  /// it in. That is for 2 s at most, so that 5.5 s are left. `RouteDurations`
  /// gives the upper end of a bin, so that it expects more than 5.5 s for 0.8
  /// of a route's streams only if 4 of 20 took longer than 5.24 s, where the
  /// next lower bin ends. Of the three routes' streams 0.024, 0.041 and 0.061
  /// do; by the binomial distribution 4 of 20 do with probabilities of 0.001,
  /// 0.008 and 0.030, 0.013 on average, and less often of more than 20. Without
  /// known durations 5 s are expected, which always fit.
  ///
  /// At 2, 26 and 300 daemons the balancer sends requests only to daemons that
  /// are in while at least half of the others are, so that this is also a bound
  /// on what is refused a second time then.
  static constexpr double kMaxRefusedShare = 0.013;

  struct Played {
    std::string name;
    StopCounts counts;
  };

  static std::string Text(const Played& aPlayed) {
    const StopCounts& counts = aPlayed.counts;
    return aPlayed.name + ": " + std::to_string(counts.truncatedLate) + " of " +
           std::to_string(counts.acceptedLate) + " late streams truncated, " +
           std::to_string(counts.refusedTwiceBesideOthers) +
           " refused twice, of " +
           std::to_string(counts.sentWhileStoppingAndIn) + "\n";
  }

  /// Plays all stops of a domain.
  static std::vector<Played> Play(const StopReplaySettings& aSettings,
                                  int aSeeds) {
    std::vector<Played> all;
    for (const StopPlan& plan : StopPlansOf(aSettings.daemons)) {
      all.push_back(
          {std::to_string(aSettings.daemons) + " daemons, " + plan.name,
           PlayStops(aSettings, plan, aSeeds)});
      // Guards against plays in which nothing happens.
      const StopCounts& counts = all.back().counts;
      CPPUNIT_ASSERT(counts.stops >= 2 * aSeeds);
      CPPUNIT_ASSERT(counts.served > counts.streams / 3);
    }
    return all;
  }

  static StopReplaySettings Of(std::size_t aDaemons) {
    StopReplaySettings settings;
    settings.daemons = aDaemons;
    return settings;
  }

  /// The policy of the tree at all sizes; played once, as two tests use it.
  static const std::vector<Played>& AsBuilt() {
    static const std::vector<Played> all = [] {
      std::vector<Played> played = Play(Of(2), 2 * kSeeds);
      for (const auto& [daemons, seeds] : {std::pair{26, kSeeds}, {300, 1}}) {
        for (Played& each :
             Play(Of(static_cast<std::size_t>(daemons)), seeds)) {
          played.push_back(std::move(each));
        }
      }
      return played;
    }();
    return all;
  }

  static bool TruncatesNoneLate(const StopCounts& aCounts) {
    return aCounts.truncatedLate == 0;
  }
  static bool ServesReturning(const StopCounts& aCounts) {
    return aCounts.refusedTwiceBesideOthers <=
           kMaxRefusedShare * aCounts.sentWhileStoppingAndIn;
  }

  /// Returns a text on the plays that fail a check.
  static std::string Failed(const std::vector<Played>& aAll,
                            bool (*aPasses)(const StopCounts&)) {
    std::string failed;
    for (const Played& played : aAll) {
      failed += aPasses(played.counts) ? "" : Text(played);
    }
    return failed;
  }

 public:
  void LateStream_AnyStops_IsNotTruncated() {
    const std::string failed = Failed(AsBuilt(), TruncatesNoneLate);
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  // Restarted daemons know few durations, and not the longest.
  void LateStream_RestartedDaemons_IsNotTruncated() {
    StopReplaySettings settings = Of(2);
    settings.rounds = 3;
    const std::string failed =
        Failed(Play(settings, kSeeds), TruncatesNoneLate);
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  // Daemons that know hundreds of durations; short streams seem to fit.
  void LateStream_KnownDurations_IsNotTruncated() {
    StopReplaySettings settings = Of(2);
    settings.warmUp = 65s;
    std::string failed = Failed(Play(settings, kSeeds), TruncatesNoneLate);
    settings.lengthFactor = 0.25;
    failed += Failed(Play(settings, kSeeds), TruncatesNoneLate);
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  // Guards against refusing all late streams: those whose deadline is before
  // the end of the stop are accepted.
  void LateStream_ShortDeadline_IsServed() {
    StopReplaySettings settings = Of(2);
    settings.streamDeadline = 3s;
    const std::string failed =
        Failed(Play(settings, kSeeds), [](const StopCounts& aCounts) {
          return aCounts.acceptedLate > 0 && TruncatesNoneLate(aCounts);
        });
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  void Refused_OthersAreIn_IsServedOnReturn() {
    const std::string failed = Failed(AsBuilt(), ServesReturning);
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  // Guards against a replay in which a design without the promise passes.
  void Check_SharesAsPromise_FailsIt() {
    StopReplaySettings settings = Of(2);
    settings.design = AcceptsByShares;
    CPPUNIT_ASSERT(!Failed(Play(settings, kSeeds), TruncatesNoneLate).empty());
  }

  // Guards against a replay in which a design that refuses too much passes.
  void Check_DeadlineFromSignalOn_FailsIt() {
    StopReplaySettings settings = Of(26);
    settings.design = AcceptsByDeadline;
    CPPUNIT_ASSERT(!Failed(Play(settings, 1), ServesReturning).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopReplayTest);

}  // namespace
}  // namespace zincstep
