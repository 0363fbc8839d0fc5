#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Relay/RepairChoice.h"

namespace zincstep {
namespace {

class RepairChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepairChoiceTest);
  CPPUNIT_TEST(Choose_ReadsFitTheGap_ReroutesAll);
  CPPUNIT_TEST(Choose_ReadsExceedTheGap_DividesByHash);
  CPPUNIT_TEST(Choose_Divided_BothPartsEndTogether);
  CPPUNIT_TEST(Choose_MoreSilence_ReroutesNoMoreThanFits);
  CPPUNIT_TEST(Choose_NoAttempt_Reroutes);
  CPPUNIT_TEST(Choose_NoWorkOrUnknownRate_ReroutesAsBefore);
  CPPUNIT_TEST(Choose_LayerWithoutHolder_RunsAnew);
  CPPUNIT_TEST(Choose_HolderBusyWithReads_TakesLonger);
  CPPUNIT_TEST(Choose_TwoLostMembers_SlowerOneCounts);
  CPPUNIT_TEST(ReadRate_OverlappingHolders_LeastLayerCounts);
  CPPUNIT_TEST_SUITE_END();

  static constexpr LayerRange kLost{20, 30};
  static constexpr double kTokens = 900;

  /// Streams of 900 tokens through ten lost layers, which two holders read at
  /// 150,000 tokens per second together: 80 streams take 480 ms.
  static RepairInput Input(double aStreams) {
    RepairInput input;
    input.lost = {{kLost, aStreams * kTokens * kLost.Size()}};
    input.holders = {{kLost, 750'000, 0ms}, {{15, 30}, 750'000, 0ms}};
    input.newRunRate = 600'000;
    input.silence = 90ms;
    input.maxGap = 250ms;
    input.firstEventTime = 70ms;
    input.mayRunAnew = true;
    input.hash = 0.5;
    return input;
  }

  static RepairAction ActionOf(RepairInput aInput, double aHash) {
    aInput.hash = aHash;
    return ChooseRepair(aInput).action;
  }

 public:
  // Guards against new runs, which cost a retry each, where a reroute is in
  // time.
  void Choose_ReadsFitTheGap_ReroutesAll() {
    const RepairDecision decision = ChooseRepair(Input(20));
    CPPUNIT_ASSERT(decision.reason == RepairReason::FitsGap);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, ToSeconds(decision.allRerouted), 1e-3);
    for (const double hash : {0.0, 0.5, 0.999}) {
      CPPUNIT_ASSERT(ActionOf(Input(20), hash) == RepairAction::Reroute);
    }
  }

  // Guards against all streams of a lost member being sent to the same few
  // holders, which read the prompts one after the other: 424 of 972 repaired
  // streams had a gap over 250 ms.
  void Choose_ReadsExceedTheGap_DividesByHash() {
    const RepairDecision decision = ChooseRepair(Input(80));
    CPPUNIT_ASSERT(decision.reason == RepairReason::Divided);
    CPPUNIT_ASSERT(decision.rerouteShare > 0.2);
    CPPUNIT_ASSERT(decision.rerouteShare < 0.5);
    CPPUNIT_ASSERT(ActionOf(Input(80), decision.rerouteShare - 0.01) ==
                   RepairAction::Reroute);
    CPPUNIT_ASSERT(ActionOf(Input(80), decision.rerouteShare + 0.01) ==
                   RepairAction::NewRun);
  }

  void Choose_Divided_BothPartsEndTogether() {
    for (const double streams : {30.0, 60.0, 80.0, 150.0, 400.0}) {
      const RepairInput input = Input(streams);
      const RepairDecision decision = ChooseRepair(input);
      CPPUNIT_ASSERT(decision.reason == RepairReason::Divided);
      const double rerouted =
          decision.rerouteShare * ToSeconds(decision.allRerouted);
      const double anew =
          ToSeconds(input.firstEventTime) +
          (1 - decision.rerouteShare) * streams * kTokens / input.newRunRate;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(rerouted, anew, 1e-3);
    }
  }

  void Choose_MoreSilence_ReroutesNoMoreThanFits() {
    RepairInput input = Input(20);
    input.silence = 200ms;
    CPPUNIT_ASSERT(ChooseRepair(input).reason == RepairReason::Divided);
    CPPUNIT_ASSERT(ChooseRepair(input).rerouteShare <= 1);
  }

  // Guards against a stream that uses more attempts than its route permits, or
  // that waits for the retry budget while a reroute is possible.
  void Choose_NoAttempt_Reroutes() {
    RepairInput input = Input(400);
    input.mayRunAnew = false;
    input.hash = 0.999;
    CPPUNIT_ASSERT(ChooseRepair(input).action == RepairAction::Reroute);
    CPPUNIT_ASSERT(ChooseRepair(input).reason == RepairReason::NoAttempt);
  }

  void Choose_NoWorkOrUnknownRate_ReroutesAsBefore() {
    RepairInput input = Input(0);
    input.hash = 0.999;
    CPPUNIT_ASSERT(ChooseRepair(input).action == RepairAction::Reroute);
    CPPUNIT_ASSERT(ChooseRepair(input).reason == RepairReason::NoEstimate);
    input = Input(80);
    input.hash = 0.999;
    input.newRunRate = 0;
    CPPUNIT_ASSERT(ChooseRepair(input).action == RepairAction::Reroute);
    CPPUNIT_ASSERT(ChooseRepair(RepairInput{}).action == RepairAction::Reroute);
  }

  void Choose_LayerWithoutHolder_RunsAnew() {
    RepairInput input = Input(5);
    input.holders = {{{20, 29}, 750'000, 0ms}};
    input.hash = 0;
    CPPUNIT_ASSERT(ChooseRepair(input).action == RepairAction::NewRun);
    CPPUNIT_ASSERT(ChooseRepair(input).reason == RepairReason::NoHolder);
  }

  void Choose_HolderBusyWithReads_TakesLonger() {
    RepairInput input = Input(20);
    input.holders[0].readWait = 200ms;
    const RepairDecision decision = ChooseRepair(input);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.22, ToSeconds(decision.allRerouted), 1e-3);
    CPPUNIT_ASSERT(decision.reason == RepairReason::Divided);
  }

  void Choose_TwoLostMembers_SlowerOneCounts() {
    RepairInput input = Input(20);
    input.lost.push_back({{30, 40}, 20 * kTokens * 10});
    input.holders.push_back({{30, 40}, 500'000, 0ms});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.36, ToSeconds(ChooseRepair(input).allRerouted), 1e-3);
  }

  void ReadRate_OverlappingHolders_LeastLayerCounts() {
    const std::vector<RepairHolder> holders{
        {{0, 10}, 1000, 0ms}, {{10, 20}, 1000, 0ms}, {{5, 10}, 500, 0ms}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, ReadRateThrough(holders, {0, 20}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300, ReadRateThrough(holders, {5, 10}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, ReadRateThrough(holders, {0, 21}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, ReadRateThrough(holders, {5, 5}), 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepairChoiceTest);

}  // namespace
}  // namespace zincstep
