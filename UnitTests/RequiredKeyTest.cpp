#include <set>

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

constexpr int kOk = 200;
constexpr int kUnauthenticated = 401;

/// A route that needs a key and a public one; `aTenants` is the whole field
/// with a comma before it, or empty.
std::string ConfigWith(int aVersion, const std::string& aTenants) {
  return R"({"configVersion":)" + std::to_string(aVersion) + R"(,"routes":[
    {"name":"u","hostname":"h","pathPrefix":"/unsafe/","routeType":"unsafe",
     "timeoutMs":2000,"maxAttempts":1,"backend":"plain"},
    {"name":"l","hostname":"h","pathPrefix":"/llm/","routeType":"streaming",
     "timeoutMs":2000,"maxAttempts":1,"backend":"model"},
    {"name":"p","hostname":"h","pathPrefix":"/public/","routeType":"unsafe",
     "timeoutMs":2000,"maxAttempts":1,"public":true,"backend":"plain"}],
    "services":[{"name":"plain"},{"name":"model","engine":{"layers":2,
     "layer_mb":1,"kvTokenBytes":1000,"step_ms":1,"models":[{"name":"m"}],
     "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}]}}])" +
         aTenants + "}";
}

const std::string kOneTenant =
    R"(,"tenants":[{"name":"acme","apiKeys":["key1"]}])";

/// A list of tenants with drawn keys, which may be empty.
std::string DrawTenants(Random& aDraws, std::set<std::string>& aKeys) {
  std::string list;
  for (std::uint64_t i = aDraws.Below(3); i > 0; --i) {
    std::string keys;
    for (std::uint64_t k = aDraws.Below(3); k > 0; --k) {
      const std::string key = "key" + std::to_string(aDraws.Below(4));
      aKeys.insert(key);
      keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
    }
    list += (list.empty() ? "{" : ",{") + std::string(R"("name":"t)") +
            std::to_string(i) + R"(","apiKeys":[)" + keys + "]}";
  }
  return R"(,"tenants":[)" + list + "]";
}

/// Whether requests need a key, by the list of tenants in force.
class RequiredKeyTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(RequiredKeyTest);
  CPPUNIT_TEST(Request_LastTenantRemoved_IsUnauthenticated);
  CPPUNIT_TEST(Request_TenantsWithoutKeys_IsUnauthenticated);
  CPPUNIT_TEST(Request_TenantsAreNull_IsUnauthenticated);
  CPPUNIT_TEST(Request_FirstVersionHasNoTenant_IsUnauthenticated);
  CPPUNIT_TEST(Request_WithoutKeyWhereAKeyIsEmpty_IsUnauthenticated);
  CPPUNIT_TEST(Request_WithoutFieldForTenants_NeedsNoKey);
  CPPUNIT_TEST(Request_OnPublicRoute_NeedsNoKey);
  CPPUNIT_TEST(Forwarded_AdmittedBeforeKeysWereNeeded_IsServed);
  CPPUNIT_TEST(Decoder_TenantsAreNoList_RejectsTheConfiguration);
  CPPUNIT_TEST(Versions_DrawnAtRandom_AdmitTheirKeysOnly);
  CPPUNIT_TEST_SUITE_END();

  int version = 0;

  /// Puts a version in force; returns whether it is.
  bool Put(const std::string& aTenants) {
    version += 1;
    const auto revision = static_cast<std::uint64_t>(10 * version);
    view.OnConfiguration({"", ConfigWith(version, aTenants), revision});
    view.OnValidated({revision}, clock.Now());
    return view.ConfigVersion() == static_cast<std::uint64_t>(version);
  }

  /// A request with this key, without one where it is empty.
  std::string RequestWith(const std::string& aPath, const std::string& aKey) {
    std::string request = this->Request(aPath, aKey);
    if (aKey.empty()) {
      const std::size_t from = request.find("Authorization");
      request.erase(from, request.find("\r\n", from) + 2 - from);
    }
    return request;
  }

  int StatusOf(const std::string& aKey, const std::string& aPath) {
    return this->Ask(this->RequestWith(aPath, aKey))->status;
  }

  void CheckNoKeyIsAccepted() {
    for (const char* path : {"/unsafe/x", "/llm/x"}) {
      for (const char* key : {"key1", "never", ""}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(path) + " " + key,
                                     kUnauthenticated,
                                     this->StatusOf(key, path));
      }
    }
  }

 public:
  void setUp() override {
    this->Begin();
    this->AddSound("plain");
    this->AddSound("model");
  }

  // Guards against requests with removed, unknown and no keys that run once the
  // list of tenants is empty.
  void Request_LastTenantRemoved_IsUnauthenticated() {
    CPPUNIT_ASSERT(this->Put(kOneTenant));
    CPPUNIT_ASSERT_EQUAL(kOk, this->StatusOf("key1", "/unsafe/x"));
    CPPUNIT_ASSERT(this->Put(R"(,"tenants":[])"));
    this->CheckNoKeyIsAccepted();
  }

  void Request_TenantsWithoutKeys_IsUnauthenticated() {
    for (const char* keys : {"", R"(,"apiKeys":[])", R"(,"apiKeys":null)"}) {
      CPPUNIT_ASSERT(this->Put(std::string(R"(,"tenants":[{"name":"acme")") +
                               keys + "}]"));
      this->CheckNoKeyIsAccepted();
    }
  }

  void Request_TenantsAreNull_IsUnauthenticated() {
    CPPUNIT_ASSERT(this->Put(kOneTenant));
    CPPUNIT_ASSERT(this->Put(R"(,"tenants":null)"));
    this->CheckNoKeyIsAccepted();
  }

  void Request_FirstVersionHasNoTenant_IsUnauthenticated() {
    CPPUNIT_ASSERT(this->Put(R"(,"tenants":[])"));
    this->CheckNoKeyIsAccepted();
  }

  void Request_WithoutKeyWhereAKeyIsEmpty_IsUnauthenticated() {
    CPPUNIT_ASSERT(
        this->Put(R"(,"tenants":[{"name":"acme","apiKeys":["","key2"]}])"));
    this->CheckNoKeyIsAccepted();
    CPPUNIT_ASSERT_EQUAL(kOk, this->StatusOf("key2", "/unsafe/x"));
  }

  void Request_WithoutFieldForTenants_NeedsNoKey() {
    CPPUNIT_ASSERT(this->Put(""));
    CPPUNIT_ASSERT_EQUAL(kOk, this->StatusOf("", "/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kOk, this->StatusOf("", "/llm/x"));
  }

  void Request_OnPublicRoute_NeedsNoKey() {
    CPPUNIT_ASSERT(this->Put(R"(,"tenants":[])"));
    CPPUNIT_ASSERT_EQUAL(kOk, this->StatusOf("", "/public/x"));
  }

  // Guards against a request that was admitted without a key and is refused by
  // a daemon that already has the next version.
  void Forwarded_AdmittedBeforeKeysWereNeeded_IsServed() {
    CPPUNIT_ASSERT(this->Put(""));
    CPPUNIT_ASSERT(this->Put(R"(,"tenants":[])"));
    CallerListener forwarded(loop, relay->ForwardedRequests(), clock);
    CPPUNIT_ASSERT(forwarded.Start("127.0.0.1:0").has_value());
    const auto statusOf = [&](int aAdmittedVersion) {
      std::string request = this->RequestWith("/unsafe/x", "");
      request.insert(request.find("Content-Length"),
                     "zincstep-admitted-version: " +
                         std::to_string(aAdmittedVersion) + "\r\n");
      std::optional<Result<HttpResponse>> answer;
      FetchResponse(
          loop, {asio::ip::address_v4::loopback(), forwarded.Port()}, request,
          10s, [&](Result<HttpResponse> aOne) { answer = std::move(aOne); });
      this->RunUntil([&] { return answer.has_value(); });
      return (*answer)->status;
    };
    CPPUNIT_ASSERT_EQUAL(kOk, statusOf(1));
    CPPUNIT_ASSERT_EQUAL(kUnauthenticated, statusOf(2));
  }

  void Decoder_TenantsAreNoList_RejectsTheConfiguration() {
    CPPUNIT_ASSERT(this->Put(kOneTenant));
    for (const char* tenants : {"{}", "\"\"", "false", "0"}) {
      CPPUNIT_ASSERT_MESSAGE(
          tenants, !this->Put(std::string(R"(,"tenants":)") + tenants));
    }
  }

  void Versions_DrawnAtRandom_AdmitTheirKeysOnly() {
    constexpr int kVersions = 60;
    constexpr std::uint64_t kLacksField = 8;
    Random draws(5);
    for (int i = 0; i < kVersions; ++i) {
      std::set<std::string> keys;
      const bool hasField = draws.Below(kLacksField) > 0;
      CPPUNIT_ASSERT(this->Put(hasField ? DrawTenants(draws, keys) : ""));
      // Changes are decoded from the former version, the first from nothing.
      const auto whole = decoder->DecodeConfiguration(view.ConfigText());
      CPPUNIT_ASSERT(whole.has_value());
      CPPUNIT_ASSERT(*whole == view.Table()->Configuration());
      for (const char* key : {"key0", "key1", "key2", "key3", "never", ""}) {
        const bool isNamed = *key != '\0';
        if (!hasField && isNamed) {
          continue;
        }
        const bool isAdmitted = hasField ? keys.contains(key) : true;
        CPPUNIT_ASSERT_EQUAL(isAdmitted ? kOk : kUnauthenticated,
                             this->StatusOf(key, "/unsafe/x"));
      }
      CPPUNIT_ASSERT_EQUAL(kOk, this->StatusOf("", "/public/x"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequiredKeyTest);

}  // namespace
}  // namespace zincstep
