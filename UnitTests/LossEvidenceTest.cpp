#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {
namespace {

using Indices = std::vector<std::size_t>;

class LossEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LossEvidenceTest);
  CPPUNIT_TEST(PeerSuspicion_MemberRespondedSince_DoesNotCount);
  CPPUNIT_TEST(PeerSuspicion_Old_DoesNotCount);
  CPPUNIT_TEST(PeerSuspicion_Alone_IsNoSuspicionOfThisDaemon);
  CPPUNIT_TEST(SilentStreams_OfAnEarlierCheck_DoNotCount);
  CPPUNIT_TEST(Exclusion_EndsWithAResponseOrInTime);
  CPPUNIT_TEST(WorkAtLoss_StreamsLeave_KeepsFirstValue);
  CPPUNIT_TEST(WorkAtLoss_SuspectedUpstream_IsRecorded);
  CPPUNIT_TEST(FindLikelyLost_TwoSilentStreams_ReturnsNone);
  CPPUNIT_TEST(FindLikelyLost_SharedMember_ReturnsIt);
  CPPUNIT_TEST(FindLikelyLost_SameEvidenceAgainstFirstStage_KeepsIt);
  CPPUNIT_TEST(FindLikelyLost_OnlyFirstStageShared_ReturnsIt);
  CPPUNIT_TEST(FindLikelyLost_EvidenceAgainstMany_ReturnsNone);
  CPPUNIT_TEST(FindLikelyLost_PeerSuspicion_ComesFirst);
  CPPUNIT_TEST_SUITE_END();

  Instant now{Micros{50s}};
  LossEvidence evidence;

  static std::string Text(const Indices& aIndices) {
    std::string text;
    for (const std::size_t index : aIndices) {
      text += std::to_string(index) + " ";
    }
    return text;
  }

  static std::string Lost(const std::vector<MemberEvidence>& aMembers) {
    return Text(FindLikelyLost(aMembers));
  }

 public:
  void PeerSuspicion_MemberRespondedSince_DoesNotCount() {
    evidence.OnPeerSuspicion(now);
    CPPUNIT_ASSERT(evidence.IsSuspectedByPeer(now - 90ms, now + 25ms));
    CPPUNIT_ASSERT(!evidence.IsSuspectedByPeer(now + 10ms, now + 25ms));
  }

  void PeerSuspicion_Old_DoesNotCount() {
    evidence.OnPeerSuspicion(now);
    CPPUNIT_ASSERT(!evidence.IsSuspectedByPeer({}, now + 600ms));
    CPPUNIT_ASSERT(!LossEvidence{}.IsSuspectedByPeer({}, Instant{} + 1ms));
  }

  // Guards against a peer that is slow or partitioned itself taking upstreams
  // out of use at all daemons.
  void PeerSuspicion_Alone_IsNoSuspicionOfThisDaemon() {
    LiveUpstream upstream{UpstreamEntry{}};
    upstream.loss.OnPeerSuspicion(now);
    CPPUNIT_ASSERT(!upstream.IsSuspect(now));
    CPPUNIT_ASSERT(upstream.IsUsable(now));
  }

  void SilentStreams_OfAnEarlierCheck_DoNotCount() {
    evidence.CountSilent(now);
    evidence.CountSilent(now);
    CPPUNIT_ASSERT_EQUAL(2, evidence.SilentStreams(now));
    CPPUNIT_ASSERT_EQUAL(0, evidence.SilentStreams(now + 25ms));
    evidence.CountSilent(now + 25ms);
    CPPUNIT_ASSERT_EQUAL(1, evidence.SilentStreams(now + 25ms));
  }

  // Guards against one rejected reroute per stream when several members are
  // lost at once: 70 streams had three rejections before an accepted one.
  void Exclusion_EndsWithAResponseOrInTime() {
    evidence.Exclude(now);
    CPPUNIT_ASSERT(evidence.IsExcluded(now - 100ms, now + 299ms));
    CPPUNIT_ASSERT(!evidence.IsExcluded(now + 1ms, now + 100ms));
    CPPUNIT_ASSERT(!evidence.IsExcluded(now - 100ms, now + 300ms));
    CPPUNIT_ASSERT(!LossEvidence{}.IsExcluded({}, Instant{} + 1ms));
  }

  // Guards against an estimate from the work that remains after other streams
  // have left: the later a stream decides, the less it seemed to be.
  void WorkAtLoss_StreamsLeave_KeepsFirstValue() {
    evidence.OnLoss(9000, now);
    evidence.OnLoss(500, now + 100ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9000, evidence.WorkAtLoss(500, now + 200ms),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700, evidence.WorkAtLoss(700, now + 1100ms),
                                 1e-9);
  }

  void WorkAtLoss_SuspectedUpstream_IsRecorded() {
    LiveUpstream upstream{UpstreamEntry{}};
    upstream.localWork = 100;
    upstream.AddRemoteWork(900);
    upstream.Suspect(now);
    upstream.localWork = 0;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1000, upstream.loss.WorkAtLoss(upstream.Work(), now + 50ms), 1e-9);
  }

  void FindLikelyLost_TwoSilentStreams_ReturnsNone() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Lost({{false, 2}, {false, 1}, {false, 2}}));
    CPPUNIT_ASSERT_EQUAL(std::string(), Lost({}));
  }

  void FindLikelyLost_SharedMember_ReturnsIt() {
    CPPUNIT_ASSERT_EQUAL(std::string("2 "),
                         Lost({{false, 0}, {false, 1}, {false, 3}}));
  }

  // Guards against a new run, which uses an attempt, where a reroute suffices.
  void FindLikelyLost_SameEvidenceAgainstFirstStage_KeepsIt() {
    CPPUNIT_ASSERT_EQUAL(std::string("2 "),
                         Lost({{false, 3}, {false, 1}, {false, 3}}));
  }

  void FindLikelyLost_OnlyFirstStageShared_ReturnsIt() {
    CPPUNIT_ASSERT_EQUAL(std::string("0 "),
                         Lost({{false, 4}, {false, 1}, {false, 2}}));
  }

  // Guards against leaving all members of a chain when each of the silent
  // streams takes the same one.
  void FindLikelyLost_EvidenceAgainstMany_ReturnsNone() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(), Lost({{false, 3}, {false, 3}, {false, 3}, {false, 3}}));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Lost({{true, 0}, {true, 0}, {true, 0}, {true, 0}}));
  }

  void FindLikelyLost_PeerSuspicion_ComesFirst() {
    CPPUNIT_ASSERT_EQUAL(std::string("1 "),
                         Lost({{false, 4}, {true, 1}, {false, 4}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossEvidenceTest);

}  // namespace
}  // namespace zincstep
