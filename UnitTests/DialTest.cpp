// Daemons, callers and upstreams of one machine share one range of ephemeral
// ports. An outgoing connection that has a daemon's port as its local one must
// not keep that daemon from listening, and a dial that connects to itself must
// not look like a live process.

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>

#include "Zincstep/Net/CurlTransfer.h"
#include "Zincstep/Net/SingleCall.h"
#include "Zincstep/Net/TcpSocket.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

std::string ToText(const TcpEndpoint& aEndpoint) {
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

/// Returns an endpoint whose port was free just now.
TcpEndpoint FreeEndpoint() {
  asio::io_context loop;
  const Tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint();
}

class DialTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DialTest);
  CPPUNIT_TEST(Listen_PortOfACheck_Succeeds);
  CPPUNIT_TEST(Listen_PortOfACall_Succeeds);
  CPPUNIT_TEST(Listen_PortOfAPeerConnection_Succeeds);
  CPPUNIT_TEST(Listen_PortOfATransfer_Succeeds);
  CPPUNIT_TEST(Listen_PortOfAClosedCheck_Succeeds);
  CPPUNIT_TEST(Dial_ItsOwnPort_IsRefused);
  CPPUNIT_TEST(Dial_ItsOwnPort_FreesThePort);
  CPPUNIT_TEST(Dial_AnotherSocket_Connects);
  CPPUNIT_TEST(Dial_SocketCannotBeOpened_ReportsWhy);
  CPPUNIT_TEST(Transfer_ItsOwnPort_IsNotSent);
  CPPUNIT_TEST_SUITE_END();

  /// Dials of a test. Another process's connection, which may be opened without
  /// the option, can have the same local port: one dial of them must succeed.
  static constexpr int kMaxDials = 20;

  asio::io_context loop;

  /// Returns the result of listening on `aEndpoint`.
  Result<void> Listen(const TcpEndpoint& aEndpoint) {
    Tcp::acceptor daemon(loop);
    return ListenOn(daemon, ToText(aEndpoint));
  }

  /// Expects that a daemon can listen on the port from which `aDial` connects
  /// to the endpoint that it is called with. The connection is open meanwhile,
  /// unless `aEnd` closes it.
  void ExpectListen(
      const std::function<void(const TcpEndpoint&)>& aDial,
      const std::function<void(Tcp::socket&)>& aEnd = [](Tcp::socket&) {}) {
    Result<void> listening;
    for (int dial = 0; dial < kMaxDials; ++dial) {
      Tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
      aDial(acceptor.local_endpoint());
      std::optional<Tcp::socket> accepted;
      acceptor.async_accept([&](const asio::error_code&, Tcp::socket aSocket) {
        accepted.emplace(std::move(aSocket));
      });
      loop.restart();
      while (!accepted) {
        loop.run_one();
      }
      const TcpEndpoint dialler = accepted->remote_endpoint();
      aEnd(*accepted);
      listening = this->Listen(dialler);
      if (listening) {
        return;
      }
    }
    CPPUNIT_FAIL(listening.error().message);
  }

  void ExpectListenOn(const TcpEndpoint& aEndpoint) {
    const Result<void> listening = this->Listen(aEndpoint);
    CPPUNIT_ASSERT_MESSAGE(listening ? "" : listening.error().message,
                           listening.has_value());
  }

  /// Connects a socket that is bound to `aLocal` to `aTarget`.
  asio::error_code Dial(Tcp::socket& aSocket, const TcpEndpoint& aLocal,
                        const TcpEndpoint& aTarget) {
    aSocket.open(Tcp::v4());
    aSocket.bind(aLocal);
    std::optional<asio::error_code> result;
    Connect(aSocket, aTarget,
            [&](const asio::error_code& aError) { result = aError; });
    CPPUNIT_ASSERT(!result);
    loop.restart();
    loop.run();
    return result.value();
  }

 public:
  void Listen_PortOfACheck_Succeeds() {
    this->ExpectListen([this](const TcpEndpoint& aTarget) {
      CheckReachable(loop, aTarget, 60s, [](Reachability) {});
    });
  }

  void Listen_PortOfACall_Succeeds() {
    this->ExpectListen([this](const TcpEndpoint& aTarget) {
      FetchResponse(loop, aTarget, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 60s,
                    [](const Result<HttpResponse>&) {});
    });
  }

  void Listen_PortOfAPeerConnection_Succeeds() {
    struct : PeerListener {
      void OnPeerData(std::string) override {}
    } listener;
    const auto transport = MakePeerTransport(PeerTransportSettings{}, listener);
    CPPUNIT_ASSERT(transport->Start().has_value());
    this->ExpectListen([&](const TcpEndpoint& aTarget) {
      transport->Send(ToText(aTarget), PeerFrame{"x", {}});
    });
  }

  void Listen_PortOfATransfer_Succeeds() {
    std::vector<std::future<HttpCallResult>> results;
    this->ExpectListen([&](const TcpEndpoint& aTarget) {
      HttpCall call;
      call.url = "http://" + ToText(aTarget) + "/";
      results.push_back(std::async(std::launch::async,
                                   [call] { return FetchBlocking(call); }));
    });
  }

  // Guards against a port that is kept for 60 s after the connection's end.
  void Listen_PortOfAClosedCheck_Succeeds() {
    std::optional<Reachability> result;
    this->ExpectListen(
        [&](const TcpEndpoint& aTarget) {
          result.reset();
          CheckReachable(loop, aTarget, 50ms, [&](Reachability aReachability) {
            result = aReachability;
          });
        },
        [&](Tcp::socket& aAccepted) {
          while (!result) {
            loop.run_one();
          }
          aAccepted.close();  // The dialler closed first: TIME_WAIT.
        });
  }

  // Guards against a dial to a port on which nobody listens that looks like a
  // live upstream or peer.
  void Dial_ItsOwnPort_IsRefused() {
    const TcpEndpoint own = FreeEndpoint();
    Tcp::socket socket(loop);
    CPPUNIT_ASSERT_EQUAL(
        asio::error_code(asio::error::connection_refused).message(),
        this->Dial(socket, own, own).message());
  }

  // Guards against a connection to itself that keeps its daemon from listening.
  void Dial_ItsOwnPort_FreesThePort() {
    const TcpEndpoint own = FreeEndpoint();
    Tcp::socket socket(loop);
    this->Dial(socket, own, own);
    this->ExpectListenOn(own);
  }

  void Dial_AnotherSocket_Connects() {
    Tcp::socket socket(loop);
    const Tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    const TcpEndpoint target = acceptor.local_endpoint();
    CPPUNIT_ASSERT(!this->Dial(socket, FreeEndpoint(), target));
    CPPUNIT_ASSERT(socket.remote_endpoint() == target);
  }

  // Guards against a callback that is lost, or that runs before the dial
  // returns.
  void Dial_SocketCannotBeOpened_ReportsWhy() {
    Tcp::socket socket(loop);
    CPPUNIT_ASSERT(this->Dial(socket, FreeEndpoint(),
                              {asio::ip::address_v6::loopback(), 1}));
  }

  void Transfer_ItsOwnPort_IsNotSent() {
    const TcpEndpoint own = FreeEndpoint();
    HttpCall call;
    call.url = "http://" + ToText(own) + "/";
    CurlTransfer transfer(call, nullptr);
    curl_easy_setopt(transfer.Handle(), CURLOPT_LOCALPORT,
                     static_cast<long>(own.port()));
    const HttpCallResult result =
        transfer.Finish(curl_easy_perform(transfer.Handle()));
    CPPUNIT_ASSERT_MESSAGE(result.fault, result.end == CallEnd::NotSent);
    this->ExpectListenOn(own);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DialTest);

}  // namespace
}  // namespace zincstep
