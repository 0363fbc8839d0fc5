// A daemon that runs out of descriptors or memory loses what it was about to
// do, and nothing else: it neither ends nor spins, and serves as before once
// others have returned what it lacks.

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <fstream>

#include "UnitTests/EdgeChild.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

class ProcessLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessLimitsTest);
  CPPUNIT_TEST(Accept_NoDescriptorLeft_ResumesOnceOthersClose);
  CPPUNIT_TEST(PeerMessages_LargerThanTheMemory_KeepItRunning);
  CPPUNIT_TEST(PeerMessages_AnnouncedOnly_UseNoMemory);
  CPPUNIT_TEST(CallerBodies_LargerThanTheMemory_KeepItRunning);
  CPPUNIT_TEST_SUITE_END();

  /// Enough to start; 20 are in use then.
  static constexpr rlim_t kDescriptors = 40;
  static constexpr std::size_t kConnections = 60;
  static constexpr std::size_t kMessageBytes = 8 << 20;

  ChildProcessSettings settings = EdgeChild::Settings();
  asio::io_context loop;

  Tcp::endpoint EndpointOf(const char* aVariable) const {
    return {asio::ip::address_v4::loopback(),
            EdgeChild::PortOf(settings, aVariable)};
  }

  std::vector<Tcp::socket> Connect(const char* aVariable) {
    std::vector<Tcp::socket> sockets;
    while (sockets.size() < kConnections) {
      sockets.emplace_back(loop).connect(this->EndpointOf(aVariable));
    }
    return sockets;
  }

  /// Starts a message of `kMessageBytes` on a connection.
  static void Announce(Tcp::socket& aPeer) {
    std::array<unsigned char, 4> length{};
    for (std::size_t i = 0; i < length.size(); ++i) {
      length[i] = static_cast<unsigned char>(kMessageBytes >> (8 * i));
    }
    asio::write(aPeer, asio::buffer(length));
  }

  /// Returns a size that the system states for a process, in bytes.
  static std::size_t MemoryOf(const ChildProcess& aProcess,
                              const std::string& aField) {
    std::ifstream status("/proc/" + std::to_string(aProcess.Pid()) + "/status");
    for (std::string word; status >> word;) {
      if (word == aField + ":") {
        std::size_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes << 10;
      }
    }
    return 0;
  }

  bool IsServed() {
    Tcp::socket caller(loop);
    asio::error_code error;  // A failure shows in the response.
    caller.connect(this->EndpointOf("ZINCSTEP_ADMIN_LISTEN"), error);
    asio::write(caller,
                asio::buffer(std::string_view(
                    "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")),
                error);
    std::string response;
    asio::read_until(caller, asio::dynamic_buffer(response), "\r\n", error);
    return response.starts_with("HTTP/1.1 200 ");
  }

  /// Limits a process to its present memory and `aBytes` more.
  static void LimitMemory(const ChildProcess& aProcess, std::size_t aBytes) {
    const rlim_t size = MemoryOf(aProcess, "VmSize") + aBytes;
    const rlimit memory{size, size};
    CPPUNIT_ASSERT_EQUAL(
        0, ::prlimit(aProcess.Pid(), RLIMIT_AS, &memory, nullptr));
  }

  /// Waits until the daemon has returned the memory of closed connections.
  void ExpectServiceSoon(ChildProcess& aDaemon) {
    while (!this->IsServed()) {
      CPPUNIT_ASSERT_MESSAGE(aDaemon.Output(), !aDaemon.HasEnded());
    }
    CPPUNIT_ASSERT_MESSAGE(aDaemon.Output(), !aDaemon.HasEnded());
  }

  void ExpectService(const ChildProcess& aDaemon) {
    CPPUNIT_ASSERT_MESSAGE(aDaemon.Output(), this->IsServed());
  }

 public:
  // Guards against an accept that is repeated at once, at full speed, for as
  // long as no descriptor is left.
  void Accept_NoDescriptorLeft_ResumesOnceOthersClose() {
    settings.beforeExec = [] {
      const rlimit descriptors{kDescriptors, kDescriptors};
      ::setrlimit(RLIMIT_NOFILE, &descriptors);
    };
    for (const char* variable : EdgeChild::kListenVariables) {
      ChildProcess daemon(settings);
      CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
      std::vector<Tcp::socket> sockets = this->Connect(variable);
      CPPUNIT_ASSERT_MESSAGE(variable,
                             daemon.ReadUntil("\"event\":\"accept_failed\""));
      sockets.clear();
      CPPUNIT_ASSERT_MESSAGE(daemon.Output(),
                             daemon.ReadUntil("\"event\":\"accept_resumed\""));
      this->ExpectService(daemon);
    }
  }

  // Guards against an exception that nobody catches.
  void PeerMessages_LargerThanTheMemory_KeepItRunning() {
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
    LimitMemory(daemon, 4 * kMessageBytes);
    std::vector<Tcp::socket> peers = this->Connect("ZINCSTEP_PEER_LISTEN");
    const std::string most(kMessageBytes - 1, 'x');
    for (Tcp::socket& peer : peers) {
      asio::error_code ignored;  // The daemon may close the connection.
      Announce(peer);
      asio::write(peer, asio::buffer(most), ignored);
    }
    CPPUNIT_ASSERT_MESSAGE(daemon.Output(),
                           daemon.ReadUntil("\"reason\":\"out of memory\""));
    peers.clear();
    this->ExpectServiceSoon(daemon);
  }

  void CallerBodies_LargerThanTheMemory_KeepItRunning() {
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
    LimitMemory(daemon, 2 * kMessageBytes);
    std::vector<Tcp::socket> callers = this->Connect("ZINCSTEP_LISTEN");
    constexpr std::size_t kBodyBytes = 1 << 20;
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(kBodyBytes + 1) + "\r\n\r\n" +
        std::string(kBodyBytes, 'x');
    for (Tcp::socket& caller : callers) {
      asio::error_code ignored;  // The daemon may close the connection.
      asio::write(caller, asio::buffer(request), ignored);
    }
    CPPUNIT_ASSERT_MESSAGE(daemon.Output(),
                           daemon.ReadUntil("\"event\":\"handler_failed\""));
    callers.clear();
    this->ExpectServiceSoon(daemon);
  }

  // Guards against four bytes that cost 8 MB.
  void PeerMessages_AnnouncedOnly_UseNoMemory() {
    ChildProcess daemon(settings);
    CPPUNIT_ASSERT(daemon.ReadUntil("\"event\":\"started\""));
    const std::size_t before = MemoryOf(daemon, "VmHWM");
    std::vector<Tcp::socket> peers = this->Connect("ZINCSTEP_PEER_LISTEN");
    for (Tcp::socket& peer : peers) {
      Announce(peer);
      asio::write(peer, asio::buffer(std::string_view("x")));
    }
    // A message that is too long is refused after all earlier ones were read.
    Tcp::socket last(loop);
    last.connect(this->EndpointOf("ZINCSTEP_PEER_LISTEN"));
    asio::write(last, asio::buffer(std::string(4, '\xff')));
    asio::error_code error;
    std::array<char, 1> byte{};
    last.read_some(asio::buffer(byte), error);
    CPPUNIT_ASSERT(error == asio::error::eof);
    CPPUNIT_ASSERT(MemoryOf(daemon, "VmHWM") <
                   before + kConnections * kMessageBytes / 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessLimitsTest);

}  // namespace
}  // namespace zincstep
