#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "RelayFixture.h"
#include "UnitTests/RefusingPort.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;

}  // namespace

/// Requests at another daemon while this daemon's loop is held.
class HeldForwardTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(HeldForwardTest);
  CPPUNIT_TEST(Stream_ResponseNotReadYet_IsForwarded);
  CPPUNIT_TEST(Stream_NextEventNotReadYet_RunIsKept);
  CPPUNIT_TEST(Stream_OtherResponseNotReadYet_NoThirdIsAsked);
  CPPUNIT_TEST_SUITE_END();

  /// More than the time without a byte after which the other daemon counts as
  /// silent: twice the latency objective before the first event.
  static constexpr Micros kHeld = 2500ms;

  const RefusingPort refusing{loop};
  asio::io_context otherLoop;
  asio::ip::tcp::acceptor acceptor{otherLoop,
                                   {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket peer{otherLoop};
  std::optional<Result<HttpResponse>> answer;

  /// Sends a request, which the other daemon reads.
  void SendToPeer(const std::string& aRequest) {
    forwards.SetPeers(
        {{"peer",
          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
          ""}});
    FetchResponse(loop, {asio::ip::address_v4::loopback(), listener->Port()},
                  aRequest, 10s, [this](Result<HttpResponse> aAnswer) {
                    answer = std::move(aAnswer);
                  });
    this->Accept(acceptor, peer);
  }

  /// Accepts a connection, and reads the request on it.
  void Accept(asio::ip::tcp::acceptor& aAcceptor,
              asio::ip::tcp::socket& aSocket) {
    aAcceptor.non_blocking(true);
    this->RunUntil([&] {
      asio::error_code error;
      aAcceptor.accept(aSocket, error);
      return !error;
    });
    aSocket.non_blocking(true);
    std::string text;
    this->RunUntil([&] {
      asio::error_code error;
      std::array<char, 1024> buffer{};
      text.append(buffer.data(),
                  aSocket.read_some(asio::buffer(buffer), error));
      return text.find("\r\n\r\n") != std::string::npos;
    });
  }

  /// Sends a part of the response, and waits until this daemon has received it.
  void Respond(const std::string& aText) { Respond(peer, aText); }

  static void Respond(asio::ip::tcp::socket& aFrom, const std::string& aText) {
    asio::write(aFrom, asio::buffer(aText));
    int unacknowledged = 1;
    while (unacknowledged > 0) {
      CPPUNIT_ASSERT_EQUAL(
          0, ::ioctl(aFrom.native_handle(), SIOCOUTQ, &unacknowledged));
    }
  }

  /// Passes time without the loop, and has the tick run first.
  void Hold() {
    clock.Advance(kHeld);
    relay->Tick();
  }

  /// Head of a response to the request with this id.
  static std::string Head(const std::string& aId, const std::string& aLength) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + aId +
           "\r\nX-Response-Seal: seal\r\n" + aLength + "\r\n\r\n";
  }

 public:
  // Guards against giving up the run of a sound daemon whose response has
  // arrived: callers got 502 where no other daemon was left.
  void Stream_ResponseNotReadYet_IsForwarded() {
    this->List("model", refusing.Address());
    this->SendToPeer(this->Attempt("/llm/x"));
    this->Respond(Head("r1", "Transfer-Encoding: chunked") +
                  "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    this->Hold();
    this->RunUntil([this] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(kOk, (*answer)->status);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), (*answer)->body);
  }

  // Guards against cancelling a run that has gone on for one at a daemon that
  // may refuse it.
  void Stream_NextEventNotReadYet_RunIsKept() {
    this->List("model", refusing.Address());
    this->SendToPeer(this->Attempt("/llm/x"));
    this->Respond(Head("r1", "Transfer-Encoding: chunked") +
                  "f\r\nid: 1\ndata: a\n\n\r\n");
    this->RunFor(50ms);
    ScriptedUpstream other(loop, clock,
                           [](const auto& aTo, const auto&) { aTo->Abort(); });
    forwards.SetPeers(
        {{"peer",
          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), ""},
         {"other", other.Address(), ""}});
    this->Respond("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    this->Hold();
    this->RunUntil([&] { return answer.has_value() || !other.seen.empty(); });
    CPPUNIT_ASSERT(other.seen.empty());
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         (*answer)->body);
  }

  // Guards against a backoff of a sound daemon, and a retry for a third one,
  // where its response to a stream with a silent run has arrived.
  void Stream_OtherResponseNotReadYet_NoThirdIsAsked() {
    std::string config = kRelayConfig;
    config.replace(config.find("\"configVersion\":1"), 17,
                   "\"configVersion\":2");
    config.replace(config.rfind("\"maxAttempts\":2"), 15, "\"maxAttempts\":3");
    view.OnConfiguration({"", config, 20});
    view.OnValidated({20}, clock.Now());
    RetryWindowSettings few;
    few.burst = 4;
    few.perRequest = 0;
    RetryWindow& window = retryWindows.emplace("model", few).first->second;
    this->List("model", refusing.Address());
    this->SendToPeer(this->Attempt("/llm/x"));
    this->Respond(Head("r1", "Transfer-Encoding: chunked") +
                  "f\r\nid: 1\ndata: a\n\n\r\n");
    this->RunFor(50ms);
    asio::ip::tcp::acceptor secondAcceptor(
        otherLoop, {asio::ip::address_v4::loopback(), 0});
    asio::ip::tcp::socket second(otherLoop);
    const auto addressOf = [](const asio::ip::tcp::acceptor& aAcceptor) {
      return "127.0.0.1:" + std::to_string(aAcceptor.local_endpoint().port());
    };
    std::vector<ForwardPeer> known{{"peer", addressOf(acceptor), ""},
                                   {"second", addressOf(secondAcceptor), ""}};
    forwards.SetPeers(known);
    this->Accept(secondAcceptor, second);
    ScriptedUpstream third(loop, clock,
                           [](const auto& aTo, const auto&) { aTo->Abort(); });
    known.push_back({"third", third.Address(), ""});
    forwards.SetPeers(known);
    Respond(second, Head("r1", "Transfer-Encoding: chunked") +
                        "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    this->Hold();
    CPPUNIT_ASSERT(forwards.Choose("model", {"peer", "third"}).has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, window.Available(clock.Now()), 1e-6);
    this->RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(third.seen.empty());
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         (*answer)->body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldForwardTest);

}  // namespace zincstep
