#include <cppunit/extensions/HelperMacros.h>

#include "Zincstep/Net/SingleCall.h"

namespace zincstep {
namespace {

constexpr std::size_t kMaxBody = 16 << 20;

class SingleCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SingleCallTest);
  CPPUNIT_TEST(Fetch_LargestBody_IsComplete);
  CPPUNIT_TEST(Fetch_BodyOverLimit_Fails);
  CPPUNIT_TEST(Fetch_ChunksOverLimit_Fail);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor{
      loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0)};
  TcpSocket server{loop};
  std::array<char, 4096> request{};

  /// Returns the result of a call to a server that sends `aResponse`.
  Result<HttpResponse> Fetch(const std::string& aResponse) {
    acceptor.async_accept(server, [&](const asio::error_code&) {
      server.async_read_some(
          asio::buffer(request), [&](const asio::error_code&, std::size_t) {
            // The caller may close before it has read all.
            asio::async_write(server, asio::buffer(aResponse),
                              [](const asio::error_code&, std::size_t) {});
          });
    });
    std::optional<Result<HttpResponse>> result;
    int results = 0;
    FetchResponse(loop, acceptor.local_endpoint(),
                  "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 60s,
                  [&](Result<HttpResponse> aResult) {
                    result = std::move(aResult);
                    results += 1;
                  });
    loop.run();
    CPPUNIT_ASSERT_EQUAL(1, results);
    return *result;
  }

  static std::string WithLength(std::size_t aBytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBytes) +
           "\r\n\r\n" + std::string(aBytes, 'x');
  }

 public:
  void Fetch_LargestBody_IsComplete() {
    const auto result = this->Fetch(WithLength(kMaxBody));
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT_EQUAL(kMaxBody, result->body.size());
  }

  // Guards against a list of the store that lacks entries and is taken for
  // complete: parts beyond the limit were discarded without an error.
  void Fetch_BodyOverLimit_Fails() {
    const auto result = this->Fetch(WithLength(kMaxBody + 1));
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT(result.error().kind == ErrorKind::ResponseIncomplete);
  }

  // Guards against the same for a body of unstated length, where a later and
  // smaller part still fitted after a larger one was discarded.
  void Fetch_ChunksOverLimit_Fail() {
    std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t kChunk = 1 << 20;
    for (std::size_t sent = 0; sent <= kMaxBody; sent += kChunk) {
      response += "100000\r\n" + std::string(kChunk, 'x') + "\r\n";
    }
    response += "1\r\ny\r\n0\r\n\r\n";
    const auto result = this->Fetch(response);
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT(result.error().kind == ErrorKind::ResponseIncomplete);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SingleCallTest);

}  // namespace
}  // namespace zincstep
