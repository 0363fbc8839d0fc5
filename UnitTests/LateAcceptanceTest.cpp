#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cmath>
#include <numbers>

#include "UnitTests/StopDesigns.h"

namespace zincstep {
namespace {

/// Lengths of streams over a history.
enum class Lengths { Equal, HeavyTail, FewLong, LongerFromSignal, FewSamples };

inline constexpr NameTable<Lengths, 5> kLengthsNames{{
    {Lengths::Equal, "equal"},
    {Lengths::HeavyTail, "heavy tail"},
    {Lengths::FewLong, "few long"},
    {Lengths::LongerFromSignal, "longer from the signal on"},
    {Lengths::FewSamples, "few samples"},
}};

/// Random histories of streams before and during a stop.
class LateAcceptanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateAcceptanceTest);
  CPPUNIT_TEST(Accepts_StreamReadLate_EndsBeforeExit);
  CPPUNIT_TEST(Accepts_StreamReadLate_ShortDeadline_IsServed);
  CPPUNIT_TEST(Accepts_LongDeadlineThreeSecondsAfterSignal_IsRefused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kRoute = "route";
  static constexpr Micros kMaxDeadline = 20s;
  static constexpr Micros kHistory = 60s;

  const StopPolicySettings settings{};
  Random random{7};

  double Normal() {
    const double radius = std::sqrt(-2 * std::log(1 - this->random.Unit()));
    return radius * std::cos(2 * std::numbers::pi * this->random.Unit());
  }

  Micros DrawLength(Lengths aLengths, bool aIsStopping) {
    double seconds = 0.3;
    switch (aLengths) {
      case Lengths::Equal:
        break;
      case Lengths::HeavyTail:
        seconds = 0.5 * std::exp(1.2 * this->Normal());
        break;
      case Lengths::FewLong:
        seconds = this->random.Unit() < 0.008 ? 7 : 0.3;
        break;
      case Lengths::LongerFromSignal:
        seconds = (aIsStopping ? 6 : 1) * (0.2 + this->random.Unit());
        break;
      case Lengths::FewSamples:
        seconds = 1 + 2 * this->random.Unit();
        break;
    }
    return std::min(FromSeconds(seconds), kMaxDeadline);
  }

  /// Half of the callers wait for less than the stop takes.
  Micros DrawDeadline() {
    return this->random.Below(2) == 0
               ? kMaxDeadline
               : FromSeconds(0.5 + 7 * this->random.Unit());
  }

  /// Plays a history and a stop: a stream that is read after the balancer's
  /// last connection is accepted if its deadline comes before the end. Returns
  /// the number of accepted streams that still ran then.
  int CountCut(Lengths aLengths) {
    RouteDurations durations{RouteDurationsSettings{}};
    StopPolicy policy{this->settings};
    const Micros interval = aLengths == Lengths::FewSamples ? 2s : 20ms;
    Instant now{Micros{100s}};
    const Instant signal = now + kHistory;
    const Instant end =
        signal + this->settings.gracePeriod - this->settings.killMargin;
    for (; now < signal; now += interval) {
      durations.OnEnded(kRoute, this->DrawLength(aLengths, false), now);
    }
    policy.Begin(signal);
    int cut = 0;
    for (now = signal + this->settings.balancerRemovalDelay; now < end;
         now += interval) {
      const Micros deadline = this->DrawDeadline();
      const ExpectedDuration expected{deadline, durations.Usual(kRoute, now),
                                      true, true};
      const Micros length =
          std::min(this->DrawLength(aLengths, true), deadline);
      const bool isAccepted = policy.Accepts(expected, now);
      cut += isAccepted && now + length > end ? 1 : 0;
      CPPUNIT_ASSERT(isAccepted || now + deadline > end);
    }
    return cut;
  }

 public:
  // Guards against accepting a stream by how long others took: one that was
  // read 3.3 s after the signal ran for longer, and was truncated at the exit.
  void Accepts_StreamReadLate_EndsBeforeExit() {
    for (const auto& [lengths, name] : kLengthsNames) {
      int cut = 0;
      for (int history = 0; history < 20; ++history) {
        cut += this->CountCut(lengths);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name), 0, cut);
    }
  }

  // Guards against refusing everything: what ends in any case is accepted until
  // it could not.
  void Accepts_StreamReadLate_ShortDeadline_IsServed() {
    StopPolicy policy{this->settings};
    const Instant signal{Micros{100s}};
    policy.Begin(signal);
    const ExpectedDuration brief{1500ms, UsualDurations{9s, 9s}, true, true};
    CPPUNIT_ASSERT(policy.Accepts(brief, signal + 3s));
    CPPUNIT_ASSERT(policy.Accepts(brief, signal + 6s));
    CPPUNIT_ASSERT(!policy.Accepts(brief, signal + 6100ms));
  }

  // Guards against accepting a stream by recent durations that was read 3.022 s
  // after the signal and truncated 4.5 s later, with 14 s of its time left.
  void Accepts_LongDeadlineThreeSecondsAfterSignal_IsRefused() {
    StopPolicy policy{this->settings};
    const Instant signal{Micros{100s}};
    policy.Begin(signal);
    for (const Micros usual : {Micros{1s}, Micros{3638ms}, Micros{4365ms}}) {
      const ExpectedDuration expected{20s, UsualDurations{usual, usual}, true,
                                      true};
      const StopQuestion question{policy, expected, std::nullopt,
                                  signal + 3022ms};
      CPPUNIT_ASSERT(AcceptsByShares(question));
      const StopDecision decision = policy.Decide(expected, question.now);
      CPPUNIT_ASSERT(!decision.isAccepted);
      CPPUNIT_ASSERT(decision.basis == StopBasis::Deadline);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateAcceptanceTest);

}  // namespace
}  // namespace zincstep
