#include <cppunit/extensions/HelperMacros.h>
#include <asio.hpp>

#include "UnitTests/LocalDomain.h"

namespace zincstep {
namespace {

/// Sends raw bytes and returns everything received until the close.
std::string SendRaw(const std::string& aAddress, const std::string& aBytes) {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  const std::size_t colon = aAddress.rfind(':');
  const auto port = std::stoi(aAddress.substr(colon + 1));
  socket.connect({asio::ip::make_address(aAddress.substr(0, colon)),
                  static_cast<std::uint16_t>(port)});
  asio::error_code error;
  asio::write(socket, asio::buffer(aBytes), error);
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), error);
  return response;
}

class WrongInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WrongInputTest);
  CPPUNIT_TEST(Caller_WithoutKey_Is401);
  CPPUNIT_TEST(Caller_WithUnknownKey_Is401);
  CPPUNIT_TEST(Body_NotJson_Is400);
  CPPUNIT_TEST(Body_WrongFields_Are400);
  CPPUNIT_TEST(Model_Unknown_Is404);
  CPPUNIT_TEST(Model_OfOtherOrganisation_Is404);
  CPPUNIT_TEST(Adapter_Unknown_Is404);
  CPPUNIT_TEST(Prompt_TooLong_Is413);
  CPPUNIT_TEST(Body_TooLarge_Is413);
  CPPUNIT_TEST(Method_Wrong_Is405);
  CPPUNIT_TEST(Deadline_Wrong_Is400);
  CPPUNIT_TEST(Headers_TooMany_Are431);
  CPPUNIT_TEST(Headers_Flood_Is431);
  CPPUNIT_TEST(Chunking_Malformed_Is400);
  CPPUNIT_TEST(RequestLine_Garbage_Is400);
  CPPUNIT_TEST(Body_TooSlow_Is408);
  CPPUNIT_TEST(Head_Trickled_Is408);
  CPPUNIT_TEST(ValidRequests_DuringWrongInput_AreServed);
  CPPUNIT_TEST_SUITE_END();

  LocalDomain domain{{{"a1", {0, 12}}}};
  EntryDaemon& daemon{this->domain.AddDaemon("entry-1")};

  int StatusOf(const std::string& aBody, HttpHeaders aHeaders = {}) {
    const auto result = this->domain.Call(
        this->daemon, "POST", "/v1/completions", aBody, std::move(aHeaders));
    // Each refusal has an error object with the outcome `not_run`.
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    CPPUNIT_ASSERT(json.is_object() && json.contains("error"));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         json["error"]["outcome"].get<std::string>());
    return result.status;
  }

  std::string Raw(const std::string& aBytes) {
    return SendRaw(this->daemon.Settings().listen, aBytes);
  }

  void CheckServes() {
    const auto result = this->domain.Complete(this->daemon, "still?", 3);
    CPPUNIT_ASSERT_EQUAL(200, result.status);
  }

 public:
  void Caller_WithoutKey_Is401() {
    CPPUNIT_ASSERT_EQUAL(401,
                         this->StatusOf("{}", {{"Authorization", "Basic x"}}));
  }
  void Caller_WithUnknownKey_Is401() {
    CPPUNIT_ASSERT_EQUAL(
        401, this->StatusOf("{}", {{"Authorization", "Bearer who"}}));
  }
  void Body_NotJson_Is400() {
    CPPUNIT_ASSERT_EQUAL(400, this->StatusOf("{\"model\":"));
  }
  void Body_WrongFields_Are400() {
    for (const char* body :
         {R"([])", R"({"model":1,"prompt":"x"})", R"({"model":"demo"})",
          R"({"model":"demo","prompt":""})",
          R"({"model":"demo","prompt":"x","max_tokens":0})",
          R"({"model":"demo","prompt":"x","max_tokens":"many"})",
          R"({"model":"demo","prompt":"x","max_tokens":9999})",
          R"({"model":"demo","prompt":"x","stream":"yes"})",
          R"({"model":"demo","prompt":"x","n":2})"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, this->StatusOf(body));
    }
  }
  void Model_Unknown_Is404() {
    CPPUNIT_ASSERT_EQUAL(404,
                         this->StatusOf(R"({"model":"none","prompt":"x"})"));
  }
  void Model_OfOtherOrganisation_Is404() {
    CPPUNIT_ASSERT_EQUAL(
        404, this->StatusOf(R"({"model":"demo","prompt":"x"})",
                            {{"Authorization", "Bearer other-key"}}));
  }
  void Adapter_Unknown_Is404() {
    CPPUNIT_ASSERT_EQUAL(404,
                         this->StatusOf(R"({"model":"demo:no","prompt":"x"})"));
  }
  void Prompt_TooLong_Is413() {
    const std::string prompt(9000, 'x');
    CPPUNIT_ASSERT_EQUAL(
        413, this->StatusOf(R"({"model":"demo","prompt":")" + prompt + "\"}"));
  }
  void Body_TooLarge_Is413() {
    CPPUNIT_ASSERT_EQUAL(413, this->StatusOf(std::string(2 << 20, 'x')));
    this->CheckServes();
  }
  void Method_Wrong_Is405() {
    const auto result =
        this->domain.Call(this->daemon, "GET", "/v1/completions", "");
    CPPUNIT_ASSERT_EQUAL(405, result.status);
  }
  void Deadline_Wrong_Is400() {
    for (const char* deadline : {"soon", "-1", "0", "99999999", "5x"}) {
      CPPUNIT_ASSERT_EQUAL(
          400, this->StatusOf(R"({"model":"demo","prompt":"x"})",
                              {{"zincstep-deadline-ms", deadline}}));
    }
  }
  void Headers_TooMany_Are431() {
    HttpHeaders headers;
    for (int i = 0; i < 150; ++i) {
      headers.push_back({"x-" + std::to_string(i), "y"});
    }
    CPPUNIT_ASSERT_EQUAL(431, this->StatusOf("{}", headers));
    this->CheckServes();
  }
  void Headers_Flood_Is431() {
    std::string request = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < 5000; ++i) {
      request += "x-" + std::to_string(i) + ": flood\r\n";
    }
    const std::string response = this->Raw(request);
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 431 "));
    this->CheckServes();
  }
  void Chunking_Malformed_Is400() {
    const std::string response = this->Raw(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Transfer-Encoding: chunked\r\n\r\nZZ\r\nabc\r\n");
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT(response.find("\"not_run\"") != std::string::npos);
    this->CheckServes();
  }
  void RequestLine_Garbage_Is400() {
    const std::string response = this->Raw("\x01\x02\x03 nonsense\r\n\r\n");
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 400 "));
    this->CheckServes();
  }
  void Body_TooSlow_Is408() {
    const std::string response = this->Raw(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: 100\r\n\r\n{\"model");
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 408 "));
  }
  // Guards against callers that hold a connection for ever by a byte of the
  // head now and then, each within the timeout.
  void Head_Trickled_Is408() {
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    const std::string& address = this->daemon.Settings().listen;
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    socket.connect(
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    socket.non_blocking(true);
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nX: ")));
    std::string response(4096, '\0');
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      asio::error_code error;
      socket.write_some(asio::buffer("x", 1), error);
      response.resize(socket.read_some(asio::buffer(response), error));
      if (response.empty()) {
        response.resize(4096);
      }
      return error != asio::error::would_block;
    }));
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 408 "));
  }
  void ValidRequests_DuringWrongInput_AreServed() {
    for (int i = 0; i < 5; ++i) {
      (void)this->Raw("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n");
      this->CheckServes();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WrongInputTest);

}  // namespace
}  // namespace zincstep
