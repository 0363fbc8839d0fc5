// Responses to reports, orders and the store's calls that stop midway: none may
// be read as done, as refused or as the end of a lease.

#include "UnitTests/CutUpstream.h"
#include "UnitTests/RelayFixture.h"
#include "Zincstep/Cluster/StoreEraTracker.h"

namespace zincstep {
namespace {

constexpr const char* kDone = "done";
constexpr std::string_view kReport =
    R"({"layers":{"from":0,"targetVersion":2},"running":1,"queued":1,)"
    R"("kvUsed":10,"kvTotal":1000,"stalled":[]})";

using OutcomeDone = std::function<void(std::string)>;

template <class T>
std::function<void(Result<T>)> Report(OutcomeDone aDone) {
  return [done = std::move(aDone)](const Result<T>& aResult) {
    done(aResult ? kDone
                 : std::string(ErrorInfoFor(aResult.error().kind).name));
  };
}

/// The clients of replicas and of the store.
struct ControlClients {
  ControlClients(asio::io_context& aLoop, const std::string& aAddress)
      : control(platform::MakeUpstreamControl(aLoop)),
        store(platform::MakeStore(aLoop, aAddress, eras).value()) {
    upstream.id = "i1";
    upstream.address = aAddress;
  }

  StoreEraTracker eras;
  std::unique_ptr<UpstreamControl> control;
  std::unique_ptr<AsyncStore> store;
  UpstreamEntry upstream;
};

/// A call, the status and body of its response, and what that must result in.
struct ControlCase {
  std::string name;
  std::string status;
  std::string body;
  std::string outcome;
  std::function<void(ControlClients&, OutcomeDone)> call;
};

void QueryReport(ControlClients& aClients, OutcomeDone aDone) {
  aClients.control->Report(aClients.upstream, 60s,
                           Report<UpstreamReport>(std::move(aDone)));
}
void Place(ControlClients& aClients, OutcomeDone aDone) {
  aClients.control->Place(aClients.upstream, {0, 2}, 1,
                          ReleaseMode::DrainRequests,
                          Report<OrderOutcome>(std::move(aDone)));
}
void Range(ControlClients& aClients, OutcomeDone aDone) {
  aClients.store->Range("k", Report<StoreRange>(std::move(aDone)));
}
void Watch(ControlClients& aClients, OutcomeDone aDone) {
  aClients.store->Watch("k", {}, 1ms, Report<StoreEvents>(std::move(aDone)));
}
void Commit(ControlClients& aClients, OutcomeDone aDone) {
  StoreChange change;
  change.key = "k";
  change.value = "v";
  aClients.store->Commit(change, Report<StoreCommit>(std::move(aDone)));
}
void WriteAll(ControlClients& aClients, OutcomeDone aDone) {
  aClients.store->WriteAll({}, Report<StoreRevision>(std::move(aDone)));
}
void Grant(ControlClients& aClients, OutcomeDone aDone) {
  aClients.store->Grant(1s, Report<std::uint64_t>(std::move(aDone)));
}
void Renew(ControlClients& aClients, OutcomeDone aDone) {
  aClients.store->Renew(1, Report<bool>(std::move(aDone)));
}
void End(ControlClients& aClients, OutcomeDone aDone) {
  aClients.store->End(1, Report<bool>(std::move(aDone)));
}

const std::vector<ControlCase> kCases = {
    {"report", "200 OK", std::string(kReport), kDone, QueryReport},
    {"report", "421 Misdirected Request", "{}", "upstream_ended", QueryReport},
    {"order", "200 OK", "{}", kDone, Place},
    {"order", "404 Not Found", "{}", kDone, Place},
    {"order", "409 Conflict", "{}", kDone, Place},
    {"range", "200 OK", R"({"at":1,"items":[]})", kDone, Range},
    {"watch", "200 OK", R"({"at":1,"events":[]})", kDone, Watch},
    {"watch", "410 Gone", "{}", "history_lost", Watch},
    {"commit", "200 OK", R"({"revision":7})", kDone, Commit},
    {"commit", "412 Precondition Failed", R"({"items":[]})", kDone, Commit},
    {"write", "200 OK", R"({"revision":7})", kDone, WriteAll},
    {"write", "404 Not Found", "{}", "lease_lost", WriteAll},
    {"grant", "200 OK", R"({"lease":3})", kDone, Grant},
    {"renew", "200 OK", "{}", kDone, Renew},
    {"renew", "404 Not Found", "{}", "lease_lost", Renew},
    {"end", "200 OK", "{}", kDone, End},
};

/// Whether the response is the first of its connection.
enum class Use { First, Kept };

class CutControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutControlTest);
  CPPUNIT_TEST(Call_CutResponse_IsNotRead);
  CPPUNIT_TEST(Report_CutOnKeptConnection_IsNotRead);
  CPPUNIT_TEST(Call_WholeResponse_IsRead);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  CutUpstream upstream{loop};

  std::string Run(ControlClients& aClients, const ControlCase& aCase) {
    std::optional<std::string> outcome;
    aCase.call(aClients,
               [&](std::string aOutcome) { outcome = std::move(aOutcome); });
    while (!outcome) {
      loop.run_one();
    }
    return *outcome;
  }

  std::string Call(const ControlCase& aCase, const std::string& aBytes,
                   CutKind aCut, Use aUse = Use::First) {
    ControlClients clients(loop, upstream.Address());
    upstream.Script(aBytes, aCut, aUse == Use::Kept ? 1 : 0);
    if (aUse == Use::Kept) {
      upstream.whole = ResponsesOf(kCases.front()).front();
      CPPUNIT_ASSERT_EQUAL(std::string(kDone),
                           this->Run(clients, kCases.front()));
    }
    const std::string outcome = this->Run(clients, aCase);
    CPPUNIT_ASSERT_EQUAL(aUse == Use::Kept ? 1 : 0,
                         upstream.ReusedConnections());
    return outcome;
  }

  static std::vector<std::string> ResponsesOf(const ControlCase& aCase) {
    const std::string start = "HTTP/1.1 " + aCase.status + "\r\nServer: s\r\n";
    // One chunk for each byte needs no size in hexadecimal.
    std::string chunks;
    for (const char byte : aCase.body) {
      chunks += std::string("1\r\n") + byte + "\r\n";
    }
    return {
        start + "Content-Length: " + std::to_string(aCase.body.size()) +
            "\r\n\r\n" + aCase.body,
        start + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"};
  }

  void CheckCuts(const ControlCase& aCase, Use aUse) {
    const std::vector<std::string> allowed = {"answer_incomplete",
                                              "platform_unavailable"};
    for (const std::string& response : ResponsesOf(aCase)) {
      for (const CutKind cut : {CutKind::Close, CutKind::Reset}) {
        for (std::size_t size = 0; size < response.size(); ++size) {
          const std::string outcome =
              this->Call(aCase, response.substr(0, size), cut, aUse);
          const bool isError = std::find(allowed.begin(), allowed.end(),
                                         outcome) != allowed.end();
          CPPUNIT_ASSERT_MESSAGE(aCase.name + ": " + outcome + " at " +
                                     std::to_string(size) + " of " + response,
                                 isError);
        }
      }
    }
  }

 public:
  void Call_CutResponse_IsNotRead() {
    for (const ControlCase& one : kCases) {
      this->CheckCuts(one, Use::First);
    }
  }

  // Only reports use kept connections.
  void Report_CutOnKeptConnection_IsNotRead() {
    this->CheckCuts(kCases[0], Use::Kept);
    this->CheckCuts(kCases[1], Use::Kept);
  }

  void Call_WholeResponse_IsRead() {
    for (const ControlCase& one : kCases) {
      for (const std::string& response : ResponsesOf(one)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name + ": " + response, one.outcome,
                                     this->Call(one, response, CutKind::Close));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutControlTest);

}  // namespace
}  // namespace zincstep
