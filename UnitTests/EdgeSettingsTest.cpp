#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <vector>

#include "Zincstep/Edge/EdgeComponents.h"

namespace zincstep {
namespace {

class EdgeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeSettingsTest);
  CPPUNIT_TEST(MaxSyncStaleness_DefaultNotice_LeavesTimeToQueryStore);
  CPPUNIT_TEST(MaxSyncStaleness_ShortNotice_LeavesTimeForResponse);
  CPPUNIT_TEST(Read_LoadFeatures_AreAutoUnlessTurnedOff);
  CPPUNIT_TEST(LimitsOfForwarded_CallersLimitsShrink_KeepTheirSizes);
  CPPUNIT_TEST_SUITE_END();

  EdgeSettings settings;

  static LoadFeatures ReadFeatures() {
    std::vector<std::string> words{"zincstep-edge",      "--name=n",
                                   "--failure-domain=d", "--listen=127.0.0.1:1",
                                   "--admin-listen=h:2", "--peer-listen=h:3",
                                   "--store=127.0.0.1:4"};
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    return ReadEdgeSettings(static_cast<int>(words.size()), arguments.data())
        .features;
  }

 public:
  // Guards against a variable that turns off another feature than it names.
  void Read_LoadFeatures_AreAutoUnlessTurnedOff() {
    const std::vector<std::pair<const char*, FeatureMode LoadFeatures::*>>
        features{
            {"ZINCSTEP_FIRST_STAGE_BALANCE", &LoadFeatures::firstStageBalance},
            {"ZINCSTEP_PRIORITY_SCHEDULING", &LoadFeatures::priorityScheduling},
            {"ZINCSTEP_DOMAIN_DEMAND", &LoadFeatures::domainDemand},
            {"ZINCSTEP_REPAIR_ESTIMATE", &LoadFeatures::repairEstimate},
            {"ZINCSTEP_LOAD_SURVEY", &LoadFeatures::loadSurvey}};
    for (const auto& [variable, unused] : features) {
      ::setenv(variable, "off", 1);
      const LoadFeatures read = ReadFeatures();
      ::unsetenv(variable);
      for (const auto& [name, member] : features) {
        const bool isOff = read.*member == FeatureMode::Off;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(name) == variable,
                                     isOff);
      }
    }
  }

  // Guards against lists that are used for longer than a drain notice allows: a
  // request reached an upstream 2,012 ms after the upstream announced its
  // departure, because a list was used until it was 1.7 s old.
  void MaxSyncStaleness_DefaultNotice_LeavesTimeToQueryStore() {
    settings.drainNotice = 2s;
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) <= 1400ms);
    settings.drainNotice = 3s;
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) <= 2400ms);
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) >= 2s);
  }

  void MaxSyncStaleness_ShortNotice_LeavesTimeForResponse() {
    settings.drainNotice = 500ms;
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) >= 1s);
  }

  // Guards against a request that one daemon accepted by a former version and
  // another one refuses as too large.
  void LimitsOfForwarded_CallersLimitsShrink_KeepTheirSizes() {
    const CallerLimits wide{16 << 10, 4 << 20, 3s, 15s};
    const CallerLimits narrow{8 << 10, 1 << 20, 1s, 2s};
    const CallerLimits first = LimitsOfForwarded(wide, {0, 0, 0s, 0s});
    CPPUNIT_ASSERT(first.maxHeaderBytes > wide.maxHeaderBytes);
    CPPUNIT_ASSERT_EQUAL(wide.maxBodyBytes, first.maxBodyBytes);
    const CallerLimits second = LimitsOfForwarded(narrow, first);
    CPPUNIT_ASSERT_EQUAL(first.maxHeaderBytes, second.maxHeaderBytes);
    CPPUNIT_ASSERT_EQUAL(wide.maxBodyBytes, second.maxBodyBytes);
    CPPUNIT_ASSERT(narrow.headerTimeout == second.headerTimeout);
    CPPUNIT_ASSERT(narrow.idleTimeout == second.idleTimeout);
    const CallerLimits third = LimitsOfForwarded(wide, second);
    CPPUNIT_ASSERT_EQUAL(first.maxHeaderBytes, third.maxHeaderBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeSettingsTest);

}  // namespace
}  // namespace zincstep
