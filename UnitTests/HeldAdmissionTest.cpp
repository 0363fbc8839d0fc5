#include <cppunit/extensions/HelperMacros.h>
#include <linux/sockios.h>
#include <pthread.h>
#include <signal.h>
#include <sys/ioctl.h>

#include "UnitTests/ConfigurationOnlyStore.h"
#include "UnitTests/DaemonChild.h"
#include "Zincstep/Edge/EdgeProcess.h"
#include "platform/Platform.h"

namespace zincstep {
namespace {

/// A configuration with a route whose requests must not be repeated and may
/// take longer than a stop.
constexpr const char* kConfiguration = R"({"configVersion":1,
 "services":[{"name":"plain"}],
 "tenants":[{"name":"acme","apiKeys":["key1"]}],
 "routes":[{"name":"u","hostname":"h","pathPrefix":"/unsafe/",
  "routeType":"unsafe","timeoutMs":20000,"backend":"plain"}]})";

/// Requests that a daemon reads after its stop signal has arrived, and before
/// its loop handles the signal.
class HeldAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldAdmissionTest);
  CPPUNIT_TEST(Request_ReadBeforeSignalIsHandled_IsDecidedByStop);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop{1};
  StoreEraTracker eras;
  EdgeSettings settings;
  std::unique_ptr<EdgeProcess> daemon;
  TcpSocket caller{loop};
  sigset_t mask{};

  void Send() {
    asio::write(caller,
                asio::buffer(std::string_view(
                    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n"
                    "X-Deadline-Ms: 20000\r\nAuthorization: Bearer key1\r\n"
                    "Content-Length: 2\r\n\r\nhi")));
    int unacknowledged = 1;
    while (unacknowledged > 0) {
      CPPUNIT_ASSERT_EQUAL(
          0, ::ioctl(caller.native_handle(), SIOCOUTQ, &unacknowledged));
    }
  }

  /// Runs the loop until the response arrives; returns its body.
  std::string Body() {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    constexpr std::string_view kLength = "Content-Length: ";
    std::string text;
    std::size_t size = std::string::npos;
    while (text.size() < size) {
      std::array<char, 1024> buffer{};
      std::optional<asio::error_code> error;
      std::size_t received = 0;
      caller.async_read_some(
          asio::buffer(buffer),
          [&](const asio::error_code& aError, std::size_t aSize) {
            error = aError;
            received = aSize;
          });
      while (!error) {
        CPPUNIT_ASSERT(loop.run_one() > 0);
      }
      CPPUNIT_ASSERT_MESSAGE(error->message(), !*error);
      text.append(buffer.data(), received);
      const std::size_t head = text.find(kHeadEnd);
      if (head != std::string::npos) {
        size = head + kHeadEnd.size() +
               std::stoul(text.substr(text.find(kLength) + kLength.size()));
      }
    }
    return text.substr(text.find(kHeadEnd) + kHeadEnd.size());
  }

 public:
  void setUp() override {
    ::pthread_sigmask(SIG_SETMASK, nullptr, &mask);
    ChildProcessSettings ports;
    const std::array names{"callers", "admin", "peers"};
    DaemonChild::DrawPorts(ports, names);
    settings.name = "n1";
    settings.failureDomain = "a";
    settings.listen = ports.environment["callers"];
    settings.adminListen = ports.environment["admin"];
    settings.peerListen = ports.environment["peers"];
    auto store = std::make_unique<ConfigurationOnlyStore>(loop);
    store->Put(kConfiguration);
    daemon = std::make_unique<EdgeProcess>(
        settings, loop,
        EdgeAdapters{platform::MakeDialect(), platform::MakeDecoder(),
                     std::move(store), platform::MakeUpstreamControl(loop),
                     platform::MakeClusterKeys(settings.storePrefix)},
        eras);
    CPPUNIT_ASSERT(daemon->Listen().has_value());
    daemon->Start();
    caller.connect({asio::ip::address_v4::loopback(),
                    DaemonChild::PortOf(ports, "callers")});
  }

  void tearDown() override {
    daemon->Stop();
    daemon.reset();
    ::pthread_sigmask(SIG_SETMASK, &mask, nullptr);
  }

  // Guards against requests that are accepted as by a daemon that runs on: they
  // were ended 7.5 s after the signal, streams in the middle of their response.
  void Request_ReadBeforeSignalIsHandled_IsDecidedByStop() {
    // Without upstreams each accepted request is refused for that reason; those
    // before the configuration for another one.
    std::string body;
    while (body != "no_capacity") {
      this->Send();
      body = this->Body();
    }
    CPPUNIT_ASSERT(!daemon->IsStopping());
    // The loop does not run in between, as if it were held.
    ::raise(SIGTERM);
    this->Send();
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"), this->Body());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldAdmissionTest);

}  // namespace
}  // namespace zincstep
