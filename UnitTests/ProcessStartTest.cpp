// A process that ends during its start, is started again at once and ends
// again never serves. What a parent or another process on the machine leaves
// behind must not end it: a port in use, an empty setting, missing descriptors.

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>

#include "UnitTests/EdgeChild.h"
#include "UnitTests/EntryChild.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

/// An outgoing connection of another process, by its local port.
class OutgoingConnection {
 public:
  explicit OutgoingConnection(std::uint16_t aLocalPort)
      : acceptor(this->loop, {asio::ip::address_v4::loopback(), 0}),
        socket(this->loop, {asio::ip::address_v4::loopback(), aLocalPort}) {
    this->socket.connect(this->acceptor.local_endpoint());
  }

  /// Frees the port at once, by a reset.
  void Reset() {
    this->socket.set_option(asio::socket_base::linger(true, 0));
    this->socket.close();
  }

 private:
  asio::io_context loop;
  Tcp::acceptor acceptor;
  Tcp::socket socket;
};

/// Starts of the daemon that `Child` describes.
template <class Child>
class ProcessStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessStartTest);
  CPPUNIT_TEST(Start_PortUsedByAConnection_WaitsUntilItIsFree);
  CPPUNIT_TEST(Start_PortUsedByAListener_WaitsUntilItIsFree);
  CPPUNIT_TEST(Start_StoppedWhilePortIsInUse_ExitsWithZero);
  CPPUNIT_TEST(Start_AddressOfNoInterface_IsReported);
  CPPUNIT_TEST(Start_AddressWithoutPort_IsRefused);
  CPPUNIT_TEST(Start_EmptySettings_CountAsNotSet);
  CPPUNIT_TEST(Start_FractionalMilliseconds_AreRead);
  CPPUNIT_TEST(Start_RequiredSettingEmpty_IsRefused);
  CPPUNIT_TEST(Start_StandardDescriptorsClosed_AreNotReused);
  CPPUNIT_TEST(Start_FewDescriptors_RunsOrReportsWhy);
  CPPUNIT_TEST_SUITE_END();

  ChildProcessSettings settings = Child::Settings();

  void StartsWith(const char* aVariable, const char* aValue) {
    settings.environment[aVariable] = aValue;
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT_MESSAGE(std::string(aVariable) + ": " + daemon.Output(),
                           daemon.ReadUntil("\"event\":\"started\""));
  }

 public:
  // Guards against a restart that fails as long as some connection has the
  // port: 60 s for one that was closed.
  void Start_PortUsedByAConnection_WaitsUntilItIsFree() {
    for (const char* variable : Child::kListenVariables) {
      OutgoingConnection other(Child::PortOf(settings, variable));
      ChildProcess daemon(settings);
      CPPUNIT_ASSERT_MESSAGE(variable,
                             daemon.ReadUntil("\"event\":\"listen_failed\""));
      other.Reset();
      CPPUNIT_ASSERT_MESSAGE(daemon.Output(),
                             daemon.ReadUntil("\"event\":\"started\""));
    }
  }

  void Start_PortUsedByAListener_WaitsUntilItIsFree() {
    asio::io_context loop;
    for (const char* variable : Child::kListenVariables) {
      Tcp::acceptor other(loop, {asio::ip::address_v4::loopback(),
                                 Child::PortOf(settings, variable)});
      ChildProcess daemon(settings);
      CPPUNIT_ASSERT_MESSAGE(variable,
                             daemon.ReadUntil("\"event\":\"listen_failed\""));
      other.close();
      CPPUNIT_ASSERT_MESSAGE(daemon.Output(),
                             daemon.ReadUntil("\"event\":\"started\""));
    }
  }

  void Start_StoppedWhilePortIsInUse_ExitsWithZero() {
    OutgoingConnection other(Child::PortOf(settings, "ZINCSTEP_PEER_LISTEN"));
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"listen_failed\""));
    daemon.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), daemon.WaitForEnd());
  }

  // An address that no wait can make valid is a mistake of the settings.
  void Start_AddressOfNoInterface_IsReported() {
    for (const char* variable : Child::kListenVariables) {
      for (const char* address : {"no-address:1", "192.0.2.1:1"}) {
        ChildProcessSettings wrong = settings;
        wrong.environment[variable] = address;
        ChildProcess daemon(wrong);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(daemon.Output(), std::string("exit 1"),
                                     daemon.WaitForEnd());
        CPPUNIT_ASSERT_MESSAGE(
            daemon.Output(),
            daemon.LastLine().find("start_failed") != std::string::npos);
      }
    }
  }

  // Guards against an exception that the port's conversion throws.
  void Start_AddressWithoutPort_IsRefused() {
    for (const char* variable : Child::kListenVariables) {
      for (const char* address :
           {"127.0.0.1", "127.0.0.1:", ":", "127.0.0.1:99999", "a:b"}) {
        ChildProcessSettings wrong = settings;
        wrong.environment[variable] = address;
        ChildProcess daemon(wrong);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(address, std::string("exit 2"),
                                     daemon.WaitForEnd());
        CPPUNIT_ASSERT_MESSAGE(
            daemon.Output(),
            daemon.Output().find(variable) != std::string::npos);
      }
    }
  }

  // Guards against a platform that sets what it has no value for to "".
  void Start_EmptySettings_CountAsNotSet() {
    for (const char* variable : Child::kOptionalVariables) {
      this->StartsWith(variable, "");
    }
  }

  void Start_FractionalMilliseconds_AreRead() {
    this->StartsWith(Child::kMillisVariables[0], "2000.0");
    this->StartsWith(Child::kMillisVariables[1], "4999.5");
  }

  void Start_RequiredSettingEmpty_IsRefused() {
    settings.environment[Child::kRequiredVariable] = "";
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 2"), daemon.WaitForEnd());
    CPPUNIT_ASSERT(daemon.Output().find(Child::kRequiredVariable) !=
                   std::string::npos);
  }

  // Guards against log lines that are written into a socket: the first
  // descriptors that are opened become 0 to 2.
  void Start_StandardDescriptorsClosed_AreNotReused() {
    settings.hasPipe = false;
    settings.beforeExec = [] {
      for (const int descriptor : {0, 1, 2}) {
        ::close(descriptor);
      }
    };
    ChildProcess daemon(settings);
    Child::ConnectTo(daemon, settings, "ZINCSTEP_ADMIN_LISTEN");
    CPPUNIT_ASSERT(!daemon.HasEnded());
    for (const char* descriptor : {"0", "1", "2"}) {
      const std::string link = "/proc/" + std::to_string(daemon.Pid()) +
                               "/fd/" + std::string(descriptor);
      CPPUNIT_ASSERT_EQUAL(std::string("/dev/null"),
                           std::filesystem::read_symlink(link).string());
    }
  }

  // Guards against exceptions that no one catches, and against a reason that a
  // later error replaces.
  void Start_FewDescriptors_RunsOrReportsWhy() {
    for (rlim_t limit = 4; limit <= 24; ++limit) {
      settings.beforeExec = [limit] {
        const rlimit descriptors{limit, limit};
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
      };
      ChildProcess daemon(settings);
      const bool isRunning =
          daemon.ReadUntil("\"event\":\"started\"") || !daemon.HasEnded();
      const std::string what = std::to_string(limit) + ": " + daemon.Output();
      if (!isRunning) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("exit 1"),
                                     daemon.WaitForEnd());
        CPPUNIT_ASSERT_MESSAGE(
            what, what.find("start_failed") != std::string::npos &&
                      what.find("Too many open files") != std::string::npos);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessStartTest<EdgeChild>);
CPPUNIT_TEST_SUITE_REGISTRATION(ProcessStartTest<EntryChild>);

}  // namespace
}  // namespace zincstep
