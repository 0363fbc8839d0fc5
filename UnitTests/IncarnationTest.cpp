// An upstream may restart under the same id, and its start time alone tells the
// two incarnations apart; it has no layers or requests of the former one.
// Guards against treating both as one: the new incarnation kept the old one's
// suspicion, its leaving state and its orders, and streams waited on
// connections whose other end knew nothing of them. With three in ten of the
// upstreams behind a partition and restarted, a score of 0.32 was left where
// 0.66 is left if the same ones crash.

#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

class IncarnationTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(IncarnationTest);
  CPPUNIT_TEST(Entry_Restarted_DiscardsKnownState);
  CPPUNIT_TEST(Entry_RestartedAfterLeaving_IsUsed);
  CPPUNIT_TEST(Entry_SameIncarnation_KeepsKnownState);
  CPPUNIT_TEST(Entry_OlderRevision_DoesNotReplaceNewerIncarnation);
  CPPUNIT_TEST(FindNumber_FormerIncarnation_ReturnsNull);
  CPPUNIT_TEST(Stream_FirstUpstreamRestarts_ResumesAtOnce);
  CPPUNIT_TEST(Service_SafeRequestAndUpstreamRestarts_RunsElsewhere);
  CPPUNIT_TEST(Service_UnsafeRequestAndUpstreamRestarts_IsNotSentAgain);
  CPPUNIT_TEST(Entry_ReturnsAfterItsSuccessor_IsNotUsed);
  CPPUNIT_TEST(Entry_ExpiresBesideItsSuccessor_IsNotUsedAgain);
  CPPUNIT_TEST(Entry_OtherServiceAtItsAddress_EndsNoIncarnation);
  CPPUNIT_TEST(Entry_ExpiresAndReturnsWithoutSuccessor_IsUsed);
  CPPUNIT_TEST(Entry_OtherIdListedAtItsAddress_IsSucceededUntilItResponds);
  CPPUNIT_TEST(Entry_ListedAfterItsSuccessor_IsSucceeded);
  CPPUNIT_TEST(Refusal_ByAnotherInstance_EndsIncarnation);
  CPPUNIT_TEST(Report_NewerIncarnation_Fails);
  CPPUNIT_TEST(Report_ListedIncarnation_Succeeds);
  CPPUNIT_TEST_SUITE_END();

  /// Connections with a request that is never answered; they stay open.
  std::vector<ConnectionPtr> unansweredConnections;
  std::uint64_t revision = 100;

  void Put(const std::string& aId, const std::string& aAddress,
           std::int64_t aStartTimeMs, const std::string& aState = "ready",
           const std::string& aService = "model") {
    revision += 1;
    this->PutAt(revision, aId, aAddress, aStartTimeMs, aState, aService);
  }

  void PutAt(std::uint64_t aRevision, const std::string& aId,
             const std::string& aAddress, std::int64_t aStartTimeMs,
             const std::string& aState, const std::string& aService) {
    const bool isModel = aService == "model";
    view.OnUpstreamEvents(
        {{{{aId,
            R"({"backend":")" + aService + R"(","address":")" + aAddress +
                R"(","zone":"","state":")" + aState +
                R"(","slots":4,"sequence":0,"born":)" +
                std::to_string(aStartTimeMs) +
                (isModel ? R"(,"routeType":"k","layers":{"from":0,)"
                           R"("targetVersion":2}})"
                         : "}"),
            aRevision},
           false}},
         std::max(revision, aRevision)});
  }

  UpstreamPtr Find(const std::string& aId) {
    return view.Directory().Find(aId);
  }

  /// Sends a request and runs until its response arrives; calls `aOnSent` once
  /// an upstream has received it.
  Result<HttpResponse> SendAnd(const std::string& aRequest,
                               const std::function<void()>& aOnSent) {
    std::optional<Result<HttpResponse>> response;
    FetchResponse(loop,
                  {asio::ip::address_v4::loopback(), this->listener->Port()},
                  aRequest, 10s, [&](Result<HttpResponse> aResponse) {
                    response = std::move(aResponse);
                  });
    this->RunUntil([&] { return !unansweredConnections.empty(); });
    aOnSent();
    this->RunUntil([&] { return response.has_value(); });
    return *response;
  }

  /// Adds an upstream of that service that never responds, then one that does.
  void AddSilentAndResponding(const std::string& aService) {
    for (const bool isSilent : {true, false}) {
      upstreams.push_back(std::make_unique<ScriptedUpstream>(
          loop, clock, [this, isSilent](const auto& aTo, const auto& aMessage) {
            if (aMessage.head.target == "/report") {
              aTo->Answer(200, {}, R"({"running":1,"queued":0,"born":1})");
            } else if (isSilent) {
              unansweredConnections.push_back(aTo);
            } else if (aMessage.head.target.starts_with("/llm/")) {
              aTo->BeginChunks(200, SealedHeaders(aMessage));
              aTo->AppendChunk("id: 1\ndata: a\n\n");
              aTo->EndChunks();
            } else {
              aTo->Answer(200, SealedHeaders(aMessage), "ok");
            }
          }));
    }
    this->Put("i1", upstreams[0]->Address(), 1, "ready", aService);
  }

  void RestartFirst(const std::string& aService) {
    this->Put("i2", upstreams[1]->Address(), 1, "ready", aService);
    // A restarted upstream holds nothing; draining keeps it unused here.
    this->Put("i1", upstreams[0]->Address(), 2, "draining", aService);
  }

 public:
  void Entry_OtherIdListedAtItsAddress_IsSucceededUntilItResponds() {
    this->Put("i1", "10.0.0.1:80", 1, "ready", "plain");
    const UpstreamPtr first = this->Find("i1");
    this->Put("i2", "10.0.0.2:80", 1, "ready", "plain");
    CPPUNIT_ASSERT(!first->IsSucceeded());
    this->Put("i3", "10.0.0.1:80", 2, "ready", "plain");
    CPPUNIT_ASSERT(first->IsSucceeded() && !first->HasEnded());
    CPPUNIT_ASSERT(!this->Find("i3")->IsSucceeded());
    // A later write of the predecessor's entry succeeds nobody.
    this->Put("i1", "10.0.0.1:80", 1, "draining", "plain");
    CPPUNIT_ASSERT(!this->Find("i3")->IsSucceeded());
    first->OnResponse(clock.Now());
    CPPUNIT_ASSERT(!first->IsSucceeded());
  }

  // Guards against taking the order of a list for that of the starts: a
  // starting daemon took upstreams for ended whose predecessors were still
  // listed.
  void Entry_ListedAfterItsSuccessor_IsSucceeded() {
    this->Put("i2", "10.0.0.1:80", 2, "ready", "plain");
    this->Put("i3", "10.0.0.1:80", 1, "ready", "plain");
    CPPUNIT_ASSERT(!this->Find("i2")->IsSucceeded());
    CPPUNIT_ASSERT(this->Find("i3")->IsSucceeded());
  }

  void Entry_Restarted_DiscardsKnownState() {
    this->Put("i1", "127.0.0.1:1", 1);
    const UpstreamPtr former = this->Find("i1");
    former->Suspect(clock.Now());
    former->localWork = 50;
    former->SetSlowdown(7, clock.Now());
    this->Put("i1", "127.0.0.1:1", 2);
    const UpstreamPtr present = this->Find("i1");
    CPPUNIT_ASSERT(present != former);
    CPPUNIT_ASSERT(!present->IsSuspect(clock.Now()));
    CPPUNIT_ASSERT_EQUAL(0.0, present->Work());
    CPPUNIT_ASSERT_EQUAL(1.0, present->Slowdown(clock.Now()));
    CPPUNIT_ASSERT(former->IsDeregistered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         view.Directory().OfService("model").size());
  }

  void Entry_RestartedAfterLeaving_IsUsed() {
    this->Put("i1", "127.0.0.1:1", 1, "draining");
    this->Put("i1", "127.0.0.1:1", 2);
    CPPUNIT_ASSERT(this->Find("i1")->IsUsable(clock.Now()));
    CPPUNIT_ASSERT(!this->Find("i1")->IsLeaving(clock.Now(), 0s));
  }

  void Entry_SameIncarnation_KeepsKnownState() {
    this->Put("i1", "127.0.0.1:1", 1);
    const UpstreamPtr one = this->Find("i1");
    one->Suspect(clock.Now());
    this->Put("i1", "127.0.0.1:1", 1);
    CPPUNIT_ASSERT(this->Find("i1") == one);
    CPPUNIT_ASSERT(one->IsSuspect(clock.Now()));
  }

  void Entry_OlderRevision_DoesNotReplaceNewerIncarnation() {
    this->Put("i1", "127.0.0.1:1", 2);
    const UpstreamPtr present = this->Find("i1");
    this->PutAt(revision - 1, "i1", "127.0.0.1:1", 1, "ready", "model");
    CPPUNIT_ASSERT(this->Find("i1") == present);
  }

  void FindNumber_FormerIncarnation_ReturnsNull() {
    this->Put("i1", "127.0.0.1:1", 1);
    const std::uint64_t former = this->Find("i1")->Number();
    this->Put("i1", "127.0.0.1:1", 2);
    CPPUNIT_ASSERT(view.Directory().FindNumber(former) == nullptr);
    CPPUNIT_ASSERT(this->Find("i1") ==
                   view.Directory().FindNumber(this->Find("i1")->Number()));
  }

  void RemoveEntry(const std::string& aId) {
    revision += 1;
    view.OnUpstreamEvents({{{{aId, "", revision}, true}}, revision});
  }

  // A write of the ended incarnation was delayed, and its entry stayed in the
  // list for three and a half seconds beside the successor at its address: of
  // 170 sends per second 60 to 75 were refused.
  void Entry_ReturnsAfterItsSuccessor_IsNotUsed() {
    this->Put("i1", "127.0.0.1:1", 0);
    this->RemoveEntry("i1");
    this->Put("i2", "127.0.0.1:1", 0);
    this->Put("i1", "127.0.0.1:1", 0);
    CPPUNIT_ASSERT(!this->Find("i1")->IsUsable(clock.Now()));
    CPPUNIT_ASSERT(!this->Find("i1")->IsHealthy(clock.Now()));
    CPPUNIT_ASSERT(this->Find("i2")->IsUsable(clock.Now()));
    this->RemoveEntry("i1");
    this->Put("i1", "127.0.0.1:1", 0);
    CPPUNIT_ASSERT(!this->Find("i1")->IsUsable(clock.Now()));
  }

  void Entry_ExpiresBesideItsSuccessor_IsNotUsedAgain() {
    this->Put("i1", "127.0.0.1:1", 0);
    this->Put("i2", "127.0.0.1:1", 0);
    this->RemoveEntry("i1");
    this->Put("i1", "127.0.0.1:1", 0);
    CPPUNIT_ASSERT(!this->Find("i1")->IsUsable(clock.Now()));
    CPPUNIT_ASSERT(this->Find("i2")->IsUsable(clock.Now()));
  }

  // An entry of another writer may have any address.
  void Entry_OtherServiceAtItsAddress_EndsNoIncarnation() {
    this->Put("i1", "127.0.0.1:1", 0);
    this->Put("i2", "127.0.0.1:1", 0, "ready", "nobodys");
    this->RemoveEntry("i1");
    this->Put("i1", "127.0.0.1:1", 0);
    CPPUNIT_ASSERT(this->Find("i1")->IsUsable(clock.Now()));
  }

  void Entry_ExpiresAndReturnsWithoutSuccessor_IsUsed() {
    this->Put("i1", "127.0.0.1:1", 0);
    this->RemoveEntry("i1");
    this->Put("i1", "127.0.0.1:1", 0);
    CPPUNIT_ASSERT(this->Find("i1")->IsUsable(clock.Now()));
  }

  void Refusal_ByAnotherInstance_EndsIncarnation() {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock, [](const auto& aTo, const auto& aMessage) {
          aTo->Answer(
              421,
              {{"X-Attempt-Id",
                std::string(FindHeader(aMessage.head.headers, "X-Attempt-Id"))},
               {"X-Instance-Id", "i2"}},
              "");
        }));
    this->Put("i1", upstreams[0]->Address(), 0);
    const UpstreamPtr former = this->Find("i1");
    this->Ask(this->Request("/llm/"));
    CPPUNIT_ASSERT(former->HasEnded());
    CPPUNIT_ASSERT(!former->IsUsable(clock.Now()));
  }

  // The upstream's reports show no problem, so the stream used to wait a
  // second.
  void Stream_FirstUpstreamRestarts_ResumesAtOnce() {
    this->AddSilentAndResponding("model");
    const auto response = this->SendAnd(
        this->Request("/llm/"), [this] { this->RestartFirst("model"); });
    CPPUNIT_ASSERT_EQUAL(200, response->status);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), response->body);
    // It was not probed: the stream did not wait for a timeout.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstreams[0]->seen.size());
  }

  void Service_SafeRequestAndUpstreamRestarts_RunsElsewhere() {
    this->AddSilentAndResponding("plain");
    const auto response = this->SendAnd(
        this->Request("/safe/"), [this] { this->RestartFirst("plain"); });
    CPPUNIT_ASSERT_EQUAL(200, response->status);
  }

  void Service_UnsafeRequestAndUpstreamRestarts_IsNotSentAgain() {
    this->AddSilentAndResponding("plain");
    const auto response = this->SendAnd(
        this->Request("/unsafe/"), [this] { this->RestartFirst("plain"); });
    CPPUNIT_ASSERT_EQUAL(504, response->status);
    CPPUNIT_ASSERT(upstreams[1]->seen.empty());
  }

  Result<UpstreamReport> ReportOf(std::int64_t aListedStartMs,
                                  std::int64_t aReportedStartMs) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
        loop, clock, [aReportedStartMs](const auto& aTo, const auto&) {
          aTo->Answer(200, {},
                      R"({"born":)" + std::to_string(aReportedStartMs) + "}");
        }));
    this->Put("i1", upstreams.back()->Address(), aListedStartMs);
    std::optional<Result<UpstreamReport>> report;
    control->Report(
        this->Find("i1")->Entry(), 1s,
        [&](const Result<UpstreamReport>& aReport) { report = aReport; });
    this->RunUntil([&] { return report.has_value(); });
    return *report;
  }

  void Report_NewerIncarnation_Fails() {
    CPPUNIT_ASSERT(!this->ReportOf(1, 2).has_value());
  }

  void Report_ListedIncarnation_Succeeds() {
    CPPUNIT_ASSERT(this->ReportOf(2, 2).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationTest);

}  // namespace
}  // namespace zincstep
