#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {
namespace {

class EdgeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeSettingsTest);
  CPPUNIT_TEST(MaxSyncStaleness_DefaultNotice_LeavesTimeToQueryStore);
  CPPUNIT_TEST(MaxSyncStaleness_ShortNotice_LeavesTimeForResponse);
  CPPUNIT_TEST_SUITE_END();

  EdgeSettings settings;

 public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeSettingsTest);

}  // namespace
}  // namespace zincstep
