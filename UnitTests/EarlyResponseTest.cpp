// Guards against bytes of one request where the rest of another's body is due:
// servers answer a long request before they have read it, and read on later.

#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Core/Random.h"
#include "Zincstep/Net/CallerConnection.h"
#include "Zincstep/Net/SingleCall.h"

namespace zincstep {
namespace {

/// More than the buffers of two sockets hold.
constexpr std::size_t kLongBody = 8 << 20;

/// The body of request `aNumber`, which differs from that of the next ones.
std::string BodyOf(int aNumber, std::size_t aBytes) {
  return std::string(aBytes, static_cast<char>('a' + aNumber % 26));
}

/// When a server sends its response to a request.
enum class ResponseTime { OnHead, InBody, AtEnd };

/// Reads one connection by the rules of HTTP alone, and answers its requests at
/// drawn moments.
class RawServerConnection
    : public std::enable_shared_from_this<RawServerConnection> {
 public:
  RawServerConnection(TcpSocket aSocket, Random& aRandom, int& aMixed)
      : socket(std::move(aSocket)), random(aRandom), mixed(aMixed) {}

  void Read() {
    auto self = this->shared_from_this();
    const std::size_t most = 1 + this->random.Below(this->buffer.size());
    this->socket.async_read_some(
        asio::buffer(this->buffer.data(), most),
        [self](const asio::error_code& aError, std::size_t aSize) {
          if (!aError) {
            self->OnBytes({self->buffer.data(), aSize});
            self->Read();
          }
        });
  }

 private:
  void OnBytes(std::string_view aBytes) {
    while (!aBytes.empty()) {
      aBytes.remove_prefix(this->remaining > 0 ? this->TakeBody(aBytes)
                                               : this->TakeHead(aBytes));
    }
  }

  std::size_t TakeHead(std::string_view aBytes) {
    constexpr std::string_view kEnd = "\r\n\r\n";
    const std::size_t before = this->head.size();
    this->head += aBytes;
    const std::size_t end = this->head.find(kEnd);
    if (end == std::string::npos) {
      return aBytes.size();
    }
    const std::size_t used = end + kEnd.size() - before;
    this->OnHead();
    this->head.clear();
    return used;
  }

  void OnHead() {
    int number = 0;
    std::size_t length = 0;
    if (std::sscanf(this->head.c_str(),
                    "POST /%d HTTP/1.1\r\nContent-Length: %zu", &number,
                    &length) != 2) {
      this->mixed += 1;  // Not the begin of a request.
      return;
    }
    this->expected = BodyOf(number, 1)[0];
    this->remaining = length;
    this->respondsBelow = length;
    switch (static_cast<ResponseTime>(this->random.Below(3))) {
      case ResponseTime::OnHead:
        break;
      case ResponseTime::InBody:
        this->respondsBelow = length / 2;
        break;
      case ResponseTime::AtEnd:
        this->respondsBelow = 0;
        break;
    }
    this->RespondIfDue();
  }

  std::size_t TakeBody(std::string_view aBytes) {
    const std::size_t used = std::min(aBytes.size(), this->remaining);
    const std::string_view part = aBytes.substr(0, used);
    if (part.find_first_not_of(this->expected) != std::string_view::npos) {
      this->mixed += 1;
    }
    this->remaining -= used;
    this->RespondIfDue();
    return used;
  }

  void RespondIfDue() {
    if (!this->respondsBelow || this->remaining > *this->respondsBelow) {
      return;
    }
    this->respondsBelow.reset();
    constexpr std::string_view kResponse =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    asio::error_code ignored;  // The client may have closed.
    asio::write(this->socket, asio::buffer(kResponse), ignored);
  }

  TcpSocket socket;
  Random& random;
  int& mixed;
  std::array<char, 64 << 10> buffer{};
  std::string head;
  char expected = 0;
  std::size_t remaining = 0;
  std::optional<std::size_t> respondsBelow;
};

class EarlyResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlyResponseTest);
  CPPUNIT_TEST(Pool_ResponseBeforeRequestIsWritten_DoesNotKeepConnection);
  CPPUNIT_TEST(Pool_RandomResponseTimes_MixNoRequests);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  FakeClock clock;
  ConnectionPool pool{ConnectionPoolSettings{}, clock};
  asio::ip::tcp::acceptor acceptor{
      loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0)};
  Random random{3};
  int mixed = 0;

  void Accept() {
    acceptor.async_accept([this](const asio::error_code& aError,
                                 TcpSocket aSocket) {
      if (!aError) {
        std::make_shared<RawServerConnection>(std::move(aSocket), random, mixed)
            ->Read();
        this->Accept();
      }
    });
  }

  void Fetch(int aNumber, std::size_t aBytes,
             std::function<void(Result<HttpResponse>)> aDone) {
    FetchResponse(loop, acceptor.local_endpoint(),
                  "POST /" + std::to_string(aNumber) +
                      " HTTP/1.1\r\nContent-Length: " + std::to_string(aBytes) +
                      "\r\n\r\n" + BodyOf(aNumber, aBytes),
                  60s, std::move(aDone), PooledConnections{&pool, "u"});
  }

  void RunUntil(const std::function<bool()>& aDone) {
    while (!aDone()) {
      loop.run_one();
    }
  }

 public:
  void Pool_ResponseBeforeRequestIsWritten_DoesNotKeepConnection() {
    TcpSocket server{loop};
    bool isDone = false;
    this->Fetch(1, kLongBody, [&](Result<HttpResponse> aResponse) {
      CPPUNIT_ASSERT(aResponse.has_value());
      isDone = true;
    });
    acceptor.async_accept(server, [&](const asio::error_code&) {
      asio::write(server, asio::buffer(std::string_view(
                              "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")));
    });
    this->RunUntil([&] { return isDone; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.IdleCount());
  }

  void Pool_RandomResponseTimes_MixNoRequests() {
    this->Accept();
    constexpr std::array<std::size_t, 4> kSizes{0, 100, 70'000, kLongBody};
    constexpr int kRequests = 200;
    constexpr int kAtOnce = 4;
    int started = 0;
    int done = 0;
    std::size_t reused = 0;
    while (done < kRequests) {
      while (started < kRequests && started - done < kAtOnce) {
        reused += pool.IdleCount() > 0 ? 1 : 0;
        this->Fetch(started, kSizes[random.Below(kSizes.size())],
                    [&](const Result<HttpResponse>&) { done += 1; });
        started += 1;
      }
      loop.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(0, mixed);
    CPPUNIT_ASSERT(reused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyResponseTest);

}  // namespace
}  // namespace zincstep
