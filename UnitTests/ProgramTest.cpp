// The client, the load tool and the stand-ins end when they are done or told
// to, with their own exit status: neither an output that nobody reads nor
// signals that the parent has blocked end or keep them.

#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <unistd.h>

#include "UnitTests/DaemonChild.h"

namespace zincstep {
namespace {

class ProgramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgramTest);
  CPPUNIT_TEST(Client_ReaderIsGone_ExitsWithItsStatus);
  CPPUNIT_TEST(LoadTool_ReaderIsGone_ExitsWithItsStatus);
  CPPUNIT_TEST(StandIns_BrokenPipe_KeepsRunning);
  CPPUNIT_TEST(StandIns_StopBlockedByTheParent_ExitsWithZero);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::array kStandIns{ZINCSTEP_STANDIN_ENGINE_PROGRAM,
                                        ZINCSTEP_STANDIN_PLATFORM_PROGRAM,
                                        ZINCSTEP_STANDIN_SERVICE_PROGRAM};
  static constexpr std::array kListenVariables{"ZINCSTEP_LISTEN"};

  ChildProcessSettings settings;

  /// Lets the child write into a pipe that has no reader.
  static void CloseReader() {
    std::array<int, 2> ends{-1, -1};
    if (::pipe(ends.data()) == 0) {
      ::dup2(ends[1], STDOUT_FILENO);
      ::dup2(ends[1], STDERR_FILENO);
      ::close(ends[0]);
      ::close(ends[1]);
    }
  }

 public:
  // Guards against SIGPIPE in place of the status that scripts read.
  void Client_ReaderIsGone_ExitsWithItsStatus() {
    settings.program = ZINCSTEP_CLIENT_PROGRAM;
    settings.arguments = {"--daemon=127.0.0.1:1", "daemon"};
    settings.hasPipe = false;
    settings.beforeExec = CloseReader;
    ChildProcess client(settings);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 5"), client.WaitForEnd());
  }

  void LoadTool_ReaderIsGone_ExitsWithItsStatus() {
    settings.program = ZINCSTEP_LOAD_PROGRAM;
    settings.arguments = {"--targets=127.0.0.1:1", "--seconds=0.1"};
    settings.hasPipe = false;
    settings.beforeExec = CloseReader;
    ChildProcess tool(settings);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), tool.WaitForEnd());
  }

  // Guards against a stand-in that ends on a caller's broken connection.
  void StandIns_BrokenPipe_KeepsRunning() {
    for (const char* program : kStandIns) {
      settings.program = program;
      DaemonChild::DrawPorts(settings, kListenVariables);
      ChildProcess standIn(settings);
      DaemonChild::ConnectTo(standIn, settings, "ZINCSTEP_LISTEN");
      standIn.Signal(SIGPIPE);
      standIn.Signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(program, std::string("exit 0"),
                                   standIn.WaitForEnd());
    }
  }

  // Guards against a stand-in that has to be killed.
  void StandIns_StopBlockedByTheParent_ExitsWithZero() {
    for (const char* program : kStandIns) {
      settings.program = program;
      settings.beforeExec = [] {
        sigset_t all;
        sigfillset(&all);
        ::sigprocmask(SIG_SETMASK, &all, nullptr);
      };
      DaemonChild::DrawPorts(settings, kListenVariables);
      ChildProcess standIn(settings);
      DaemonChild::ConnectTo(standIn, settings, "ZINCSTEP_LISTEN");
      standIn.Signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(program, std::string("exit 0"),
                                   standIn.WaitForEnd());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramTest);

}  // namespace
}  // namespace zincstep
