// Answers that stop midway, as the load tool counts them.

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "LoadTool/LoadRun.h"
#include "UnitTests/CutUpstream.h"

namespace zincstep {
namespace {

const std::string kHead =
    "HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n";
/// One token and the end marker of a daemon's stream.
const std::string kBody =
    "1c\r\ndata: {\"finish_reason\":null}\r\n"
    "1\r\n\n\r\nd\r\ndata: [DONE]\n\r\n0\r\n\r\n";

class CutLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutLoadTest);
  CPPUNIT_TEST(Answer_CutAnywhere_CountsAsBroken);
  CPPUNIT_TEST(Answer_Whole_CountsAsWhole);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  CutUpstream upstream{loop};
  std::thread thread;

  /// Returns the report of a run whose answers are `aBytes`.
  nlohmann::json Run(const std::string& aBytes) {
    asio::post(loop, asio::use_future(
                         [&] { upstream.Script(aBytes, CutKind::Close); }))
        .get();
    load::LoadSettings settings;
    settings.targets = {upstream.Address()};
    settings.meanTokens = 0;
    settings.maxTokens = 1;
    settings.rate = 1000;
    settings.seconds = 0.001;
    return nlohmann::json::parse(load::LoadRun(settings).Run());
  }

 public:
  void setUp() override {
    thread = std::thread([this] { loop.run(); });
  }
  void tearDown() override {
    loop.stop();
    thread.join();
  }

  // Guards against answers that count as whole from their end marker on,
  // although the response stopped before its last chunk.
  void Answer_CutAnywhere_CountsAsBroken() {
    const std::string whole = kHead + kBody;
    for (std::size_t size = 0; size < whole.size(); ++size) {
      const auto report = this->Run(whole.substr(0, size));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(size), 0,
                                   report["whole_answers"].get<int>());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(size),
                                   report["sent"].get<int>(),
                                   report["broken_answers"].get<int>());
    }
  }

  void Answer_Whole_CountsAsWhole() {
    const auto report = this->Run(kHead + kBody);
    CPPUNIT_ASSERT_EQUAL(report["sent"].get<int>(),
                         report["whole_answers"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, report["broken_answers"].get<int>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutLoadTest);

}  // namespace
}  // namespace zincstep
