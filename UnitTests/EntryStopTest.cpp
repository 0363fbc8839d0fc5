#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <asio.hpp>
#include <future>

#include "UnitTests/LocalDomain.h"

namespace zincstep {
namespace {

/// Returns a port that was free just now.
std::string FreeAddress() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// An entry daemon as a child process.
class EntryProcess {
 public:
  explicit EntryProcess(const EntrySettings& aSettings) {
    const auto millis = [](Micros aDuration) {
      return std::to_string(aDuration / 1ms);
    };
    std::vector<std::string> words{
        ZINCSTEP_ENTRY_PROGRAM,
        "--listen=" + aSettings.listen,
        "--admin-listen=" + aSettings.adminListen,
        "--peer-listen=" + aSettings.peerListen,
        "--platform=" + aSettings.platform,
        "--vm=" + aSettings.vm,
        "--failure-domain=" + aSettings.failureDomain,
        "--gossip-ms=" + millis(aSettings.gossipInterval),
        "--load-ms=" + millis(aSettings.loadInterval),
        "--vm-list-ms=" + millis(aSettings.vmListInterval),
        "--member-list-ms=" + millis(aSettings.memberListInterval),
        "--settle-ms=" + millis(aSettings.settleTime),
        "--drain-grace-ms=" + millis(aSettings.drainGrace),
        "--watch-ms=" + millis(aSettings.watchTimeout)};
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    const int error = posix_spawn(&this->pid, ZINCSTEP_ENTRY_PROGRAM, &files,
                                  nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    CPPUNIT_ASSERT_EQUAL(0, error);
  }
  ~EntryProcess() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
    }
  }
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Signal(int aSignal) const { ::kill(this->pid, aSignal); }
  /// Waits for the end of the process; returns its status.
  int Wait() {
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(this->pid, ::waitpid(this->pid, &status, 0));
    this->pid = -1;
    return status;
  }

 private:
  pid_t pid = -1;
};

class EntryStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryStopTest);
  CPPUNIT_TEST(Sigterm_RequestRuns_CompletesItAndExitsWithZero);
  CPPUNIT_TEST(Sigterm_Idle_ExitsWithZero);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kTokens = 300;

  LocalDomain domain{{{"a1", {0, 12}, 2ms}}};
  EntrySettings settings = this->domain.BaseSettings("entry-1", "hall-a");
  std::unique_ptr<EntryProcess> process;

  HttpCall Completion(int aTokens) const {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->settings.listen + "/v1/completions";
    call.headers = {{"Authorization", "Bearer test-key"}};
    call.body = nlohmann::json{
        {"model", "demo"},
        {"prompt", "stop"},
        {"max_tokens",
         aTokens}}.dump();
    call.timeout = 60s;
    return call;
  }

 public:
  void setUp() override {
    this->settings.listen = FreeAddress();
    this->settings.adminListen = FreeAddress();
    this->settings.peerListen = FreeAddress();
    this->process = std::make_unique<EntryProcess>(this->settings);
    this->domain.ListEntry(this->settings);
    CPPUNIT_ASSERT(LocalDomain::Eventually(
        [&] { return FetchBlocking(this->Completion(1)).status == 200; }));
  }
  void tearDown() override { this->process.reset(); }

  // Guards against a daemon that SIGTERM ends without draining. The signal was
  // delivered to the log's thread, which did not block it, so that the default
  // action ended the process and all its requests.
  void Sigterm_RequestRuns_CompletesItAndExitsWithZero() {
    auto response = std::async(std::launch::async, [this] {
      return FetchBlocking(this->Completion(kTokens));
    });
    CPPUNIT_ASSERT(LocalDomain::Eventually(
        [&] { return this->domain.EngineLoadOf("a1") > 0; }));
    this->process->Signal(SIGTERM);
    const HttpCallResult result = response.get();
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    const auto json = nlohmann::json::parse(result.body);
    CPPUNIT_ASSERT_EQUAL(this->domain.ExpectedText("stop", kTokens),
                         json["choices"][0]["text"].get<std::string>());
    const int status = this->process->Wait();
    CPPUNIT_ASSERT(WIFEXITED(status));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(status));
  }

  void Sigterm_Idle_ExitsWithZero() {
    this->process->Signal(SIGTERM);
    const int status = this->process->Wait();
    CPPUNIT_ASSERT(WIFEXITED(status));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(status));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryStopTest);

}  // namespace
}  // namespace zincstep
