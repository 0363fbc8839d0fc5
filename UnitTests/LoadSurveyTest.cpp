#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "Zincstep/Pool/LoadSurvey.h"

namespace zincstep {
namespace {

constexpr SurveyRank kLeader{0, true};
constexpr SurveyRank kOther{1, false};

class LoadSurveyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadSurveyTest);
  CPPUNIT_TEST(Next_Leader_AsksAtOnce);
  CPPUNIT_TEST(Next_LeaderWithLateList_AsksOnlyWithinPeriod);
  CPPUNIT_TEST(Next_OtherUntold_AsksAfterDelay);
  CPPUNIT_TEST(Next_OtherToldByPeer_AsksNothing);
  CPPUNIT_TEST(Next_OtherToldOfSome_AsksTheRest);
  CPPUNIT_TEST(Next_NoPeersKnown_AsksAsOther);
  CPPUNIT_TEST(Next_EmptyPool_AsksNothing);
  CPPUNIT_TEST(Next_LaterStagesAndPlainServices_AreNotAsked);
  CPPUNIT_TEST(Next_RestingOrLimitedOrLost_IsNotAsked);
  CPPUNIT_TEST(Next_LoadedReport_IsRepeatedOnce);
  CPPUNIT_TEST(Next_AllReportsIdle_AreNotRepeated);
  CPPUNIT_TEST(Next_LoadToldSinceReport_IsNotRepeated);
  CPPUNIT_TEST(Next_MissingReport_IsRepeatedOnceIfAnotherIsLoaded);
  CPPUNIT_TEST(Next_AllReportsMissing_EndsWithoutRepetition);
  CPPUNIT_TEST(Next_ManyUpstreams_IsBounded);
  CPPUNIT_TEST(Next_ManyUpstreams_RanksDivideThem);
  CPPUNIT_TEST(Next_BoundSpent_NothingIsRepeated);
  CPPUNIT_TEST(Next_RestartedUpstream_IsAskedAnew);
  CPPUNIT_TEST(OnReport_AnnouncesLoadOfItsTime);
  CPPUNIT_TEST(OnReport_NewerLoadKnown_IsKept);
  CPPUNIT_TEST_SUITE_END();

  FakeClock clock;
  LoadSurveySettings settings;
  std::vector<UpstreamPtr> upstreams;
  LoadSurvey survey{this->settings, this->clock.Now()};

  static UpstreamPtr Make(const std::string& aId, LayerRange aLayers,
                          const std::string& aKind = "h100") {
    UpstreamEntry entry;
    entry.id = aId;
    entry.kind = aKind;
    entry.layers = aLayers;
    entry.slots = 192;
    return std::make_shared<LiveUpstream>(entry);
  }

  void AddFirstStages(int aCount) {
    for (int i = 0; i < aCount; ++i) {
      this->upstreams.push_back(Make("u" + std::to_string(i), {0, 20}));
    }
  }

  std::size_t Ask(SurveyRank aRank) {
    return this->survey.Next(this->upstreams, aRank, this->clock.Now()).size();
  }

  void Report(std::size_t aUpstream, int aRunning, int aQueued) {
    this->survey.OnReport(*this->upstreams[aUpstream], aRunning, aQueued,
                          this->clock.Now());
  }

  void Tell(std::size_t aUpstream) {
    this->upstreams[aUpstream]->firstStage.Announce({10, 0, this->clock.Now()});
  }

 public:
  // Guards against first requests after a start of all daemons that take the
  // first stages for idle: 84% of the streams went to three of nine.
  void Next_Leader_AsksAtOnce() {
    AddFirstStages(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Ask(kLeader));
    CPPUNIT_ASSERT(this->survey.IsPending());
    // Each is asked once.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
  }

  void Next_LeaderWithLateList_AsksOnlyWithinPeriod() {
    clock.Advance(settings.period);
    AddFirstStages(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ask(kLeader));
    AddFirstStages(1);
    upstreams.back() = Make("late", {0, 20});
    clock.Advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
  }

  // Guards against a domain whose leader died: its other daemons would never
  // learn the load.
  void Next_OtherUntold_AsksAfterDelay() {
    AddFirstStages(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kOther));
    clock.Advance(settings.othersDelay - 1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kOther));
    clock.Advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Ask(kOther));
  }

  // Guards against reports that cost money and tell nothing new: one daemon
  // that starts into a running domain, or 28 that start with their leader.
  void Next_OtherToldByPeer_AsksNothing() {
    AddFirstStages(5);
    clock.Advance(200ms);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      Tell(i);
    }
    for (int i = 0; i < 20; ++i) {
      clock.Advance(50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kOther));
    }
    clock.Advance(2s);
    CPPUNIT_ASSERT(survey.IsOver(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, survey.Requested());
  }

  void Next_OtherToldOfSome_AsksTheRest() {
    AddFirstStages(3);
    Tell(1);
    clock.Advance(settings.othersDelay);
    const auto asked = survey.Next(upstreams, kOther, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
    CPPUNIT_ASSERT(asked[0] != upstreams[1] && asked[1] != upstreams[1]);
  }

  // Guards against a daemon that is partitioned from its peers: it ranks first
  // among none, and asks as late as the others do.
  void Next_NoPeersKnown_AsksAsOther() {
    AddFirstStages(2);
    constexpr SurveyRank unknown{0, false};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(unknown));
    clock.Advance(settings.othersDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Ask(unknown));
  }

  // Guards against reports at the first start of a pool, whose upstreams hold
  // no layers yet.
  void Next_EmptyPool_AsksNothing() {
    for (int i = 0; i < 30; ++i) {
      upstreams.push_back(Make("u" + std::to_string(i), {}));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
    clock.Advance(settings.othersDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kOther));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, survey.Requested());
  }

  void Next_LaterStagesAndPlainServices_AreNotAsked() {
    upstreams = {Make("later", {20, 40}), Make("plain", {}, ""),
                 Make("first", {0, 20})};
    const auto asked = survey.Next(upstreams, kLeader, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), asked[0]->Entry().id);
  }

  // Guards against calls beyond the share of a limit, and to an upstream that
  // requested a pause.
  void Next_RestingOrLimitedOrLost_IsNotAsked() {
    AddFirstStages(5);
    upstreams[0]->BackOffUntil(clock.Now() + 10s);
    upstreams[1]->SetCallRate(100, clock.Now());
    upstreams[2]->Suspect(clock.Now());
    upstreams[3]->SetLeaving(clock.Now());
    const auto asked = survey.Next(upstreams, kLeader, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
    CPPUNIT_ASSERT(asked[0] == upstreams[4]);
  }

  void Next_LoadedReport_IsRepeatedOnce() {
    AddFirstStages(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Ask(kLeader));
    Report(0, 96, 1);
    Report(1, 96, 0);
    clock.Advance(settings.repeatDelay - 1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
    clock.Advance(1ms);
    const auto again = survey.Next(upstreams, kLeader, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0] == upstreams[0]);
    Report(0, 192, 90);
    clock.Advance(settings.repeatDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, survey.Requested());
    clock.Advance(2s);
    CPPUNIT_ASSERT(survey.IsOver(clock.Now()));
  }

  void Next_AllReportsIdle_AreNotRepeated() {
    AddFirstStages(2);
    Ask(kLeader);
    Report(0, 10, 0);
    Report(1, 0, 0);
    clock.Advance(settings.repeatDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
  }

  void Next_LoadToldSinceReport_IsNotRepeated() {
    AddFirstStages(2);
    Ask(kLeader);
    Report(0, 190, 0);
    Report(1, 190, 0);
    clock.Advance(settings.repeatDelay);
    Tell(0);
    const auto again = survey.Next(upstreams, kLeader, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0] == upstreams[1]);
  }

  // Guards against a report that is lost because the upstream is overloaded.
  void Next_MissingReport_IsRepeatedOnceIfAnotherIsLoaded() {
    AddFirstStages(2);
    Ask(kLeader);
    Report(0, 190, 0);
    survey.OnNoReport(*upstreams[1]);
    CPPUNIT_ASSERT(!survey.IsPending());
    CPPUNIT_ASSERT(!upstreams[1]->firstStage.Announced(clock.Now()));
    clock.Advance(settings.repeatDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Ask(kLeader));
    survey.OnNoReport(*upstreams[0]);
    survey.OnNoReport(*upstreams[1]);
    clock.Advance(settings.repeatDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
  }

  // Guards against endless requests to upstreams that are partitioned off.
  void Next_AllReportsMissing_EndsWithoutRepetition() {
    AddFirstStages(3);
    Ask(kLeader);
    for (const UpstreamPtr& upstream : upstreams) {
      survey.OnNoReport(*upstream);
    }
    for (int i = 0; i < 50; ++i) {
      clock.Advance(50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
    }
    CPPUNIT_ASSERT(survey.IsOver(clock.Now()));
  }

  void Next_ManyUpstreams_IsBounded() {
    AddFirstStages(40);
    CPPUNIT_ASSERT_EQUAL(settings.maxReports, Ask(kLeader));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
  }

  // Guards against all daemons asking the same 16 of a domain's first stages.
  void Next_ManyUpstreams_RanksDivideThem() {
    AddFirstStages(40);
    std::set<std::string> asked;
    clock.Advance(settings.othersDelay);
    for (std::size_t rank = 0; rank < 3; ++rank) {
      LoadSurvey each(settings, clock.Now() - settings.othersDelay);
      for (const UpstreamPtr& upstream :
           each.Next(upstreams, {rank, rank == 0}, clock.Now())) {
        asked.insert(upstream->Entry().id);
      }
    }
    CPPUNIT_ASSERT_EQUAL(upstreams.size(), asked.size());
  }

  void Next_BoundSpent_NothingIsRepeated() {
    AddFirstStages(16);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, Ask(kLeader));
    for (std::size_t i = 0; i < 16; ++i) {
      CPPUNIT_ASSERT(!survey.IsOver(clock.Now()));
      Report(i, 192, 50);
    }
    CPPUNIT_ASSERT(survey.IsOver(clock.Now()));
    clock.Advance(settings.repeatDelay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Ask(kLeader));
  }

  // Guards against attributing the load of an ended incarnation to the next.
  void Next_RestartedUpstream_IsAskedAnew() {
    AddFirstStages(1);
    Ask(kLeader);
    Report(0, 190, 0);
    UpstreamEntry entry = upstreams[0]->Entry();
    entry.startTimeMs = 7;
    upstreams[0] = std::make_shared<LiveUpstream>(entry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ask(kLeader));
    Report(0, 0, 0);
    CPPUNIT_ASSERT_EQUAL(
        0, upstreams[0]->firstStage.Announced(clock.Now())->running);
  }

  void OnReport_AnnouncesLoadOfItsTime() {
    AddFirstStages(1);
    Ask(kLeader);
    Report(0, 194, 38);
    const auto load = upstreams[0]->firstStage.Announced(clock.Now());
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(194, load->running);
    CPPUNIT_ASSERT_EQUAL(38, load->queued);
    CPPUNIT_ASSERT(load->at == clock.Now() - 200ms);
  }

  void OnReport_NewerLoadKnown_IsKept() {
    AddFirstStages(1);
    Ask(kLeader);
    Tell(0);
    Report(0, 194, 38);
    CPPUNIT_ASSERT_EQUAL(
        10, upstreams[0]->firstStage.Announced(clock.Now())->running);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadSurveyTest);

}  // namespace
}  // namespace zincstep
