#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {
namespace {

class EdgeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeSettingsTest);
  CPPUNIT_TEST(LongestReliance_UsualNotice_LeavesTimeToAskTheStore);
  CPPUNIT_TEST(LongestReliance_ShortNotice_LeavesTimeForAnAnswer);
  CPPUNIT_TEST_SUITE_END();

  EdgeSettings settings;

 public:
  // tavua-orders, trouble-1 seed 151092778697: a request reached an upstream
  // 2,012 ms after the word that it leaves; a list was relied on for 1.7 s.
  void LongestReliance_UsualNotice_LeavesTimeToAskTheStore() {
    settings.drainNotice = 2s;
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) <= 1400ms);
    settings.drainNotice = 3s;
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) <= 2400ms);
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) >= 2s);
  }

  void LongestReliance_ShortNotice_LeavesTimeForAnAnswer() {
    settings.drainNotice = 500ms;
    CPPUNIT_ASSERT(MaxSyncStaleness(settings) >= 1s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeSettingsTest);

}  // namespace
}  // namespace zincstep
