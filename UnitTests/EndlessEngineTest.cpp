// Guards against users of libcurl's client that read or keep a part of a
// response without end.

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "LoadTool/LoadRun.h"
#include "UnitTests/EndlessUpstream.h"
#include "Zincstep/Engine/Engine.h"
#include "Zincstep/Platform/Platform.h"

namespace zincstep {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n\r\n";
/// More than a client's bound and the sockets' buffers hold.
constexpr std::size_t kMaxSentBytes = 64 << 20;

/// The last event of each kind, passed to the loop's thread.
class EngineEvents final : public EngineListener {
 public:
  explicit EngineEvents(asio::io_context& aLoop) : loop(aLoop) {}

  void OnToken(TokenEvent) override {}
  void OnAttemptFailed(std::uint64_t, int, int, HopFailure aFailure) override {
    asio::post(this->loop, [this, aFailure] { this->failure = aFailure; });
  }
  void OnProgress(std::uint64_t, int, std::vector<StageProgress>) override {}
  void OnLoad(const std::string&, Result<EngineLoad> aLoad) override {
    asio::post(this->loop,
               [this, load = std::move(aLoad)] { this->load = load; });
  }

  std::optional<HopFailure> failure;
  std::optional<Result<EngineLoad>> load;

 private:
  asio::io_context& loop;
};

class EndlessEngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessEngineTest);
  CPPUNIT_TEST(Attempt_LineWithoutEnd_Fails);
  CPPUNIT_TEST(Attempt_LineInSmallChunks_Fails);
  CPPUNIT_TEST(Attempt_LinesThatAreNoEvents_Fails);
  CPPUNIT_TEST(Attempt_RefusalWithoutEnd_Fails);
  CPPUNIT_TEST(Load_BodyWithoutEnd_Fails);
  CPPUNIT_TEST(StoreList_BodyWithoutEnd_Fails);
  CPPUNIT_TEST(LoadTool_LineWithoutEnd_CountsAsBroken);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  EngineEvents events{loop};
  std::unique_ptr<HttpClient> http = MakeHttpClient();
  std::unique_ptr<EngineClient> engines =
      MakeForwardingEngineClient(*http, events);
  std::unique_ptr<EndlessUpstream> endless;

  void Serve(const std::string& aBegin, const std::string& aPiece) {
    endless = std::make_unique<EndlessUpstream>(loop, aBegin, aPiece);
  }

  /// Waits until all connections are closed, and fails if the upstream could
  /// send `kMaxSentBytes` before.
  void CheckClosed() {
    while ((endless->requests == 0 || endless->closed < endless->requests) &&
           endless->sentBytes < kMaxSentBytes) {
      loop.run_one();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(endless->sentBytes) + " bytes sent",
                           endless->sentBytes < kMaxSentBytes);
  }

  void CheckAttempt(const std::string& aBegin, const std::string& aPiece) {
    this->Serve(aBegin, aPiece);
    EngineAttempt attempt;
    attempt.request = 1;
    attempt.attempt = 1;
    attempt.timeLeft = 600s;
    attempt.stages.emplace_back().address = endless->Address();
    engines->Start(attempt);
    this->CheckClosed();
    while (!events.failure) {
      loop.run_one();
    }
    CPPUNIT_ASSERT(events.failure == HopFailure::Dead);
  }

  /// Runs `aStep`, which blocks, on a thread; returns whether it ended before
  /// the upstream had sent `kMaxSentBytes`.
  template <class Step>
  bool EndsInTime(Step aStep) {
    bool hasEnded = false;
    std::thread thread([&] {
      aStep();
      asio::post(loop, [&] { hasEnded = true; });
    });
    while (!hasEnded && endless->sentBytes < kMaxSentBytes) {
      loop.run_one();
    }
    const bool isInTime = hasEnded;
    endless->Close();
    thread.join();
    return isInTime;
  }

 public:
  // The client's thread calls the engine client until it has ended.
  void tearDown() override { http.reset(); }

  void Attempt_LineWithoutEnd_Fails() { this->CheckAttempt(kHead, "x"); }

  // Guards against a client that searches the whole line for each part.
  void Attempt_LineInSmallChunks_Fails() {
    this->CheckAttempt("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "8\r\ndata: xx\r\n");
  }

  // Lines that are no events are ignored, but not for ever.
  void Attempt_LinesThatAreNoEvents_Fails() {
    this->CheckAttempt(kHead, std::string(8 << 10, 'x') + "\n");
  }

  void Attempt_RefusalWithoutEnd_Fails() {
    this->CheckAttempt("HTTP/1.1 503 Full\r\n\r\n", "x");
  }

  void Load_BodyWithoutEnd_Fails() {
    this->Serve(kHead, "x");
    engines->QueryLoad("a1", endless->Address());
    this->CheckClosed();
    while (!events.load) {
      loop.run_one();
    }
    CPPUNIT_ASSERT(!events.load->has_value());
  }

  void StoreList_BodyWithoutEnd_Fails() {
    this->Serve(kHead, "x");
    PlatformSettings settings;
    settings.address = endless->Address();
    settings.timeout = 600s;
    const auto store = MakeHttpKeyValueStore(settings);
    bool hasFailed = false;
    const bool isInTime =
        this->EndsInTime([&] { hasFailed = !store->List("x"); });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(endless->sentBytes) + " bytes sent",
                           isInTime);
    CPPUNIT_ASSERT(hasFailed);
  }

  void LoadTool_LineWithoutEnd_CountsAsBroken() {
    this->Serve(kHead, "x");
    load::LoadSettings settings;
    settings.targets = {endless->Address()};
    settings.rate = 1000;
    settings.seconds = 0.001;
    nlohmann::json report;
    const bool isInTime = this->EndsInTime(
        [&] { report = nlohmann::json::parse(load::LoadRun(settings).Run()); });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(endless->sentBytes) + " bytes sent",
                           isInTime);
    CPPUNIT_ASSERT_EQUAL(report["sent"].get<int>(),
                         report["broken_answers"].get<int>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessEngineTest);

}  // namespace
}  // namespace zincstep
