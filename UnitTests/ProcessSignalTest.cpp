// A process ends when it is told to, and only then: neither a signal that says
// something else, nor one that comes early, late or twice, nor an output that
// nobody reads ends it or keeps it.

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <thread>

#include "UnitTests/EdgeChild.h"
#include "UnitTests/EntryChild.h"

namespace zincstep {
namespace {

/// Signals to the daemon that `Child` describes, and what it writes.
template <class Child>
class ProcessSignalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessSignalTest);
  CPPUNIT_TEST(HangUp_BeforeTheStart_KeepsRunning);
  CPPUNIT_TEST(HangUp_WhileTheProcessEnds_ExitsWithZero);
  CPPUNIT_TEST(Stop_BlockedByTheParent_ExitsWithZero);
  CPPUNIT_TEST(Stop_IgnoredByTheParent_ExitsWithZero);
  CPPUNIT_TEST(SignalsWithoutMeaning_WhileItRuns_KeepItRunning);
  CPPUNIT_TEST(Output_BeyondTheFileSizeLimit_KeepsRunning);
  CPPUNIT_TEST(Output_NobodyReads_ExitsWithZero);
  CPPUNIT_TEST(Output_ReaderIsGone_ExitsWithZero);
  CPPUNIT_TEST_SUITE_END();

  ChildProcessSettings settings = Child::Settings();

  static void ExpectStop(ChildProcess& aDaemon) {
    aDaemon.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aDaemon.Output(), std::string("exit 0"),
                                 aDaemon.WaitForEnd());
  }

 public:
  // Guards against the default action before the handlers are installed.
  void HangUp_BeforeTheStart_KeepsRunning() {
    for (int i = 0; i < 10; ++i) {
      ChildProcess daemon(settings);
      CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"starting\""));
      while (!daemon.HasEnded() &&
             daemon.Output().find("\"event\":\"started\"") ==
                 std::string::npos) {
        daemon.Signal(SIGHUP);
        daemon.ReadUntil("\"event\"");
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      }
      CPPUNIT_ASSERT(!daemon.HasEnded());
    }
  }

  // Guards against the default action after the handlers are removed.
  void HangUp_WhileTheProcessEnds_ExitsWithZero() {
    for (int i = 0; i < 3; ++i) {
      ChildProcess daemon(settings);
      CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
      while (!daemon.HasEnded()) {
        daemon.Signal(SIGTERM);
        daemon.Signal(SIGHUP);
        daemon.Signal(SIGINT);
        std::this_thread::sleep_for(std::chrono::microseconds(100));
      }
      CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), daemon.WaitForEnd());
    }
  }

  // Guards against a daemon that has to be killed, with all of its requests.
  void Stop_BlockedByTheParent_ExitsWithZero() {
    settings.beforeExec = [] {
      sigset_t all;
      sigfillset(&all);
      ::sigprocmask(SIG_SETMASK, &all, nullptr);
    };
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
    ExpectStop(daemon);
  }

  void Stop_IgnoredByTheParent_ExitsWithZero() {
    settings.beforeExec = [] {
      ::signal(SIGTERM, SIG_IGN);
      ::signal(SIGHUP, SIG_IGN);
    };
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
    ExpectStop(daemon);
  }

  void SignalsWithoutMeaning_WhileItRuns_KeepItRunning() {
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
    for (const int signal : {SIGHUP, SIGPIPE, SIGUSR1, SIGUSR2, SIGXFSZ,
                             SIGALRM, SIGWINCH, SIGCHLD, SIGURG, SIGCONT}) {
      daemon.Signal(signal);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(signal), false,
                                   daemon.HasEnded());
    }
    ExpectStop(daemon);
  }

  // Guards against SIGXFSZ, which a log file beyond the limit raises.
  void Output_BeyondTheFileSizeLimit_KeepsRunning() {
    const std::string log = std::filesystem::temp_directory_path() /
                            ("zincstep-log-" + std::to_string(::getpid()));
    settings.hasPipe = false;
    settings.beforeExec = [&log] {
      constexpr rlim_t kFewBytes = 64;
      const rlimit size{kFewBytes, kFewBytes};
      ::setrlimit(RLIMIT_FSIZE, &size);
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(file, STDOUT_FILENO);
    };
    ChildProcess daemon(settings);
    Child::ConnectTo(daemon, settings, "ZINCSTEP_LISTEN");
    ExpectStop(daemon);
    std::filesystem::remove(log);
  }

  // Guards against an exit that waits for the log's last lines for good.
  void Output_NobodyReads_ExitsWithZero() {
    std::array<int, 2> ends{-1, -1};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK));
    const std::string page(1 << 12, '.');
    while (::write(ends[1], page.data(), page.size()) > 0) {
    }
    ::fcntl(ends[1], F_SETFL, 0);
    settings.hasPipe = false;
    settings.beforeExec = [&ends] {
      ::dup2(ends[1], STDOUT_FILENO);
      ::dup2(ends[1], STDERR_FILENO);
    };
    ChildProcess daemon(settings);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    ExpectStop(daemon);
    ::close(ends[0]);
    ::close(ends[1]);
  }

  void Output_ReaderIsGone_ExitsWithZero() {
    settings.beforeExec = [] {
      std::array<int, 2> ends{-1, -1};
      if (::pipe(ends.data()) == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::dup2(ends[1], STDERR_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
      }
    };
    settings.hasPipe = false;
    ChildProcess daemon(settings);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    ExpectStop(daemon);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessSignalTest<EdgeChild>);
CPPUNIT_TEST_SUITE_REGISTRATION(ProcessSignalTest<EntryChild>);

}  // namespace
}  // namespace zincstep
