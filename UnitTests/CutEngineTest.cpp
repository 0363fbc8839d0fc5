// Responses of engines that stop midway: none shows that an engine is alive or
// that it has refused work.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/CutUpstream.h"
#include "Zincstep/Engine/Engine.h"

namespace zincstep {
namespace {

/// The last event of each kind, passed to the loop's thread.
class EngineEvents final : public EngineListener {
 public:
  explicit EngineEvents(asio::io_context& aLoop) : loop(aLoop) {}

  void OnToken(TokenEvent) override {}
  void OnAttemptFailed(std::uint64_t, int, int, HopFailure aFailure) override {
    asio::post(this->loop, [this, aFailure] { this->failure = aFailure; });
  }
  void OnProgress(std::uint64_t, int,
                  std::vector<StageProgress> aProgress) override {
    asio::post(this->loop, [this, progress = std::move(aProgress)] {
      this->hasResponded = progress.front().hasResponded;
    });
  }
  void OnLoad(const std::string&, Result<EngineLoad> aLoad) override {
    asio::post(this->loop, [this, hasLoad = aLoad.has_value()] {
      this->hasLoad = hasLoad;
    });
  }

  std::optional<HopFailure> failure;
  std::optional<bool> hasResponded;
  std::optional<bool> hasLoad;

 private:
  asio::io_context& loop;
};

constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nServer: s\r\n"
    "Content-Length: 2\r\n\r\n{}";
constexpr std::string_view kUnknown =
    "HTTP/1.1 404 Not Found\r\nServer: s\r\nContent-Length: 2\r\n\r\n{}";
constexpr std::string_view kLoad =
    "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 28\r\n\r\n"
    R"({"name":"a1","sequences":1 })";

class CutEngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutEngineTest);
  CPPUNIT_TEST(Attempt_CutRefusal_IsDeadStage);
  CPPUNIT_TEST(Probe_CutResponse_IsNoResponse);
  CPPUNIT_TEST(Load_CutResponse_Fails);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  CutUpstream upstream{loop};
  EngineEvents events{loop};
  std::unique_ptr<HttpClient> http = MakeHttpClient();
  std::unique_ptr<EngineClient> engines =
      MakeForwardingEngineClient(*http, events);

  template <class T>
  T WaitFor(std::optional<T>& aEvent) {
    while (!aEvent) {
      loop.run_one();
    }
    return *std::exchange(aEvent, std::nullopt);
  }

  HopFailure Attempt(std::string_view aBytes) {
    upstream.Script(std::string(aBytes), CutKind::Close);
    EngineAttempt attempt;
    attempt.request = 1;
    attempt.attempt = 1;
    attempt.timeLeft = 60s;
    attempt.stages.emplace_back().address = upstream.Address();
    engines->Start(attempt);
    return this->WaitFor(events.failure);
  }

  bool Probe(std::string_view aBytes) {
    upstream.Script(std::string(aBytes), CutKind::Close);
    engines->Probe(1, 1, {upstream.Address()});
    return this->WaitFor(events.hasResponded);
  }

  bool Load(std::string_view aBytes) {
    upstream.Script(std::string(aBytes), CutKind::Close);
    engines->QueryLoad("a1", upstream.Address());
    return this->WaitFor(events.hasLoad);
  }

 public:
  void tearDown() override { http.reset(); }

  void Attempt_CutRefusal_IsDeadStage() {
    for (std::size_t size = 0; size < kRefusal.size(); ++size) {
      CPPUNIT_ASSERT(this->Attempt(kRefusal.substr(0, size)) ==
                     HopFailure::Dead);
    }
    CPPUNIT_ASSERT(this->Attempt(kRefusal) == HopFailure::Refused);
  }

  void Probe_CutResponse_IsNoResponse() {
    for (std::size_t size = 0; size < kUnknown.size(); ++size) {
      CPPUNIT_ASSERT(!this->Probe(kUnknown.substr(0, size)));
    }
    // A probe ends after 80 ms, which a busy machine may exceed.
    while (!this->Probe(kUnknown)) {
    }
  }

  void Load_CutResponse_Fails() {
    for (std::size_t size = 0; size < kLoad.size(); ++size) {
      CPPUNIT_ASSERT(!this->Load(kLoad.substr(0, size)));
    }
    while (!this->Load(kLoad)) {
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutEngineTest);

}  // namespace
}  // namespace zincstep
