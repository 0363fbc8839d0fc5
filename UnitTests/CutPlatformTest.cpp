// Responses of the platform that stop midway: none may be read as a value, as a
// key that does not exist, as a conflict or as a lease that has expired.

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "UnitTests/CutUpstream.h"
#include "Zincstep/Platform/Platform.h"

namespace zincstep {
namespace {

constexpr const char* kDone = "done";

template <class T>
std::string OutcomeOf(const Result<T>& aResult) {
  return aResult ? kDone : std::string(ErrorInfoFor(aResult.error().kind).name);
}

/// A call, the status and body of its response, and what that must result in.
struct PlatformCase {
  std::string status;
  std::string body;
  std::string outcome;
  std::function<std::string(const PlatformSettings&)> call;
};

const std::string kStored = R"({"key":"k","value":"v","revision":3})";

template <class T>
std::string OutcomeOfOptional(const Result<std::optional<T>>& aResult) {
  return aResult && !*aResult ? "none" : OutcomeOf(aResult);
}

std::string Get(const PlatformSettings& aSettings) {
  return OutcomeOfOptional(MakeHttpKeyValueStore(aSettings)->Get("k"));
}
std::string List(const PlatformSettings& aSettings) {
  return OutcomeOf(MakeHttpKeyValueStore(aSettings)->List("k"));
}
std::string CompareAndSwap(const PlatformSettings& aSettings) {
  return OutcomeOfOptional(
      MakeHttpKeyValueStore(aSettings)->CompareAndSwap("k", 2, "v", 0));
}
std::string Remove(const PlatformSettings& aSettings) {
  const auto result = MakeHttpKeyValueStore(aSettings)->Remove("k", 2);
  return result && !*result ? "none" : OutcomeOf(result);
}
std::string GrantLease(const PlatformSettings& aSettings) {
  return OutcomeOf(MakeHttpKeyValueStore(aSettings)->GrantLease(1s));
}
std::string RenewLease(const PlatformSettings& aSettings) {
  return OutcomeOf(MakeHttpKeyValueStore(aSettings)->RenewLease(1));
}
std::string Watch(const PlatformSettings& aSettings) {
  return OutcomeOfOptional(
      MakeHttpKeyValueStore(aSettings)->Watch("k", 2, 1ms));
}
std::string ListVms(const PlatformSettings& aSettings) {
  return OutcomeOf(MakeHttpVmList(aSettings)->List());
}

const std::vector<PlatformCase> kCases = {
    {"200 OK", kStored, kDone, Get},
    {"404 Not Found", "{}", "none", Get},
    {"200 OK", R"({"values":[]})", kDone, List},
    {"200 OK", R"({"revision":3})", kDone, CompareAndSwap},
    {"409 Conflict", "{}", "none", CompareAndSwap},
    {"200 OK", "{}", kDone, Remove},
    {"409 Conflict", "{}", "none", Remove},
    {"200 OK", R"({"lease":3})", kDone, GrantLease},
    {"200 OK", "{}", kDone, RenewLease},
    {"404 Not Found", "{}", "lease_lost", RenewLease},
    {"200 OK", kStored, kDone, Watch},
    {"404 Not Found", "{}", "none", Watch},
    {"200 OK", R"({"vms":[],"revision":1})", kDone, ListVms},
    {"304 Not Modified", "", kDone, ListVms},
};

class CutPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutPlatformTest);
  CPPUNIT_TEST(Platform_CutResponse_IsUnavailable);
  CPPUNIT_TEST(Platform_WholeResponse_IsRead);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  CutUpstream upstream{loop};
  std::thread thread;

  std::string Call(const PlatformCase& aCase, const std::string& aBytes,
                   CutKind aCut) {
    asio::post(loop, asio::use_future([&] { upstream.Script(aBytes, aCut); }))
        .get();
    PlatformSettings settings;
    settings.address = upstream.Address();
    settings.timeout = 60s;
    return aCase.call(settings);
  }

  static std::vector<std::string> ResponsesOf(const PlatformCase& aCase) {
    const std::string start = "HTTP/1.1 " + aCase.status + "\r\nServer: s\r\n";
    if (aCase.body.empty()) {
      return {start + "\r\n"};
    }
    const std::string size = std::to_string(aCase.body.size());
    constexpr const char* kDigits = "0123456789abcdef";
    const std::string hexSize = {kDigits[aCase.body.size() / 16],
                                 kDigits[aCase.body.size() % 16]};
    return {start + "Content-Length: " + size + "\r\n\r\n" + aCase.body,
            start + "Transfer-Encoding: chunked\r\n\r\n" + hexSize + "\r\n" +
                aCase.body + "\r\n0\r\n\r\n"};
  }

 public:
  void setUp() override {
    thread = std::thread([this] { loop.run(); });
  }
  void tearDown() override {
    loop.stop();
    thread.join();
  }

  // Guards against a key that counts as removed, a lease as lost or a write as
  // a conflict since a status line arrived, and no more.
  void Platform_CutResponse_IsUnavailable() {
    std::string wrong;
    for (const PlatformCase& one : kCases) {
      for (const std::string& response : ResponsesOf(one)) {
        for (const CutKind cut : {CutKind::Close, CutKind::Reset}) {
          for (std::size_t size = 0; size < response.size(); ++size) {
            const std::string outcome =
                this->Call(one, response.substr(0, size), cut);
            if (outcome != "platform_unavailable") {
              wrong += "\n" + outcome + " at " + std::to_string(size) + " of " +
                       response;
            }
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  void Platform_WholeResponse_IsRead() {
    for (const PlatformCase& one : kCases) {
      for (const std::string& response : ResponsesOf(one)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, one.outcome,
                                     this->Call(one, response, CutKind::Close));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutPlatformTest);

}  // namespace
}  // namespace zincstep
