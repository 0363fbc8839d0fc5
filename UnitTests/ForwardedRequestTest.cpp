#include <algorithm>

#include "RelayFixture.h"
#include "UnitTests/RefusingPort.h"

namespace zincstep {

namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kUnauthenticated = 401;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr const char* kRuns = "zincstep-runs";
constexpr const char* kAdmittedVersion = "zincstep-admitted-version";
constexpr const char* kRefusingVersion = "zincstep-refusing-version";

HttpHeaders OwnHeaders(const CallerMessage& aMessage) {
  return {{"X-Attempt-Id",
           std::string(FindHeader(aMessage.head.headers, "X-Attempt-Id"))}};
}

}  // namespace

/// Requests at a daemon that reaches no upstream.
class ForwardedRequestTest final : public RelayFixture {
  CPPUNIT_TEST_SUITE(ForwardedRequestTest);
  CPPUNIT_TEST(Request_NoUpstreamReached_IsServedByPeer);
  CPPUNIT_TEST(Request_Forwarded_ArrivesWithKeyAndTimeLeft);
  CPPUNIT_TEST(Request_PeerRefuses_IsSentToAnother);
  CPPUNIT_TEST(Request_PeerDoesNotKnowTheKey_IsSentToAnother);
  CPPUNIT_TEST(Request_PeerIsDown_IsSentToAnother);
  CPPUNIT_TEST(Request_AllPeersRefuse_IsRefusedAsNotRun);
  CPPUNIT_TEST(Request_TwoPeersLackRoom_IsRefusedWithTheirRetryAfter);
  CPPUNIT_TEST(Request_PeersUpstreamsRefuse_TakesRetryForAnotherPeer);
  CPPUNIT_TEST(Request_UpstreamRefuses_IsNotForwarded);
  CPPUNIT_TEST(Request_OneOfThreeUpstreamsUnreachable_IsNotForwarded);
  CPPUNIT_TEST(Request_NewConnectionsFailBesideOpenStreams_IsForwarded);
  CPPUNIT_TEST(Unsafe_PeerBreaksOff_IsNotSentAgain);
  CPPUNIT_TEST(Unsafe_PeerAnswersOfFailedRun_AnswerIsForwarded);
  CPPUNIT_TEST(Safe_PeerBreaksOff_IsSentToAnother);
  CPPUNIT_TEST(Safe_Forwarded_MayRunOnceAtPeer);
  CPPUNIT_TEST(Safe_RunAtPeerFails_RunsOnceMore);
  CPPUNIT_TEST(Safe_RunsAtPeersFail_RunsUpToMaxAttempts);
  CPPUNIT_TEST(Stream_UpstreamLostMidway_ContinuesAtPeerAfterLastEvent);
  CPPUNIT_TEST(Stream_PeerLostMidway_ContinuesAtAnother);
  CPPUNIT_TEST(Stream_PeerFallsSilent_ContinuesAtAnother);
  CPPUNIT_TEST(Stream_PeersNoLongerAdmitIt_EndsAtOnce);
  CPPUNIT_TEST(Stream_OnlyPeerNoLongerAdmitsIt_EndsAtOnce);
  CPPUNIT_TEST(Stream_PeersRefuseItsSize_EndsAtOnce);
  CPPUNIT_TEST(Stream_OnePeerDoesNotAdmitItTwice_WaitsForAnother);
  CPPUNIT_TEST(Stream_TwoPeersDoNotAdmitIt_WaitsForAnother);
  CPPUNIT_TEST(Stream_LastPeerThatMayAdmitItLeaves_EndsAtOnce);
  CPPUNIT_TEST(Stream_OnePeerNoLongerAdmitsIt_ContinuesAtAnother);
  CPPUNIT_TEST(Stream_PeersHaveOlderVersion_WaitsForTheirs);
  CPPUNIT_TEST(Request_PeersNoLongerAdmitIt_IsRefusedAsByThem);
  CPPUNIT_TEST(Request_PeersRefuseItsSize_IsRefusedAsByThem);
  CPPUNIT_TEST(Request_PeersAreSlowToRead_IsSentToAnother);
  CPPUNIT_TEST(Request_PeerDoesNotAdmitAnother_IsServedThere);
  CPPUNIT_TEST(Caller_StatesWhatDaemonsState_IsNotPassedOn);
  CPPUNIT_TEST(Caller_DisconnectsDuringForward_EndsItAtPeer);
  CPPUNIT_TEST_SUITE_END();

  std::vector<ForwardPeer> known;
  std::vector<std::unique_ptr<ScriptedUpstream>> peers;
  const RefusingPort refusing{loop};

  /// Lists an upstream that refuses connections.
  void ListUnreachable(const std::string& aService) {
    this->List(aService, refusing.Address());
  }

  /// Adds another daemon that handles forwarded requests as scripted.
  ScriptedUpstream& AddPeer(ScriptedUpstream::Script aScript) {
    peers.push_back(
        std::make_unique<ScriptedUpstream>(loop, clock, std::move(aScript)));
    known.push_back(
        {"peer" + std::to_string(peers.size()), peers.back()->Address(), ""});
    forwards.SetPeers(known);
    return *peers.back();
  }

  ScriptedUpstream& AddServingPeer() {
    return this->AddPeer([](const auto& aTo, const auto& aMessage) {
      AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
    });
  }

  /// Adds a daemon that refuses with a 503 of its own of this kind.
  ScriptedUpstream& AddRefusingPeer(const char* aKind) {
    return this->AddPeer([aKind](const auto& aTo, const auto& aMessage) {
      HttpHeaders headers = OwnHeaders(aMessage);
      headers.push_back({"Retry-After", "0.125"});
      aTo->Answer(kUnavailable, headers, aKind);
    });
  }

  /// Adds a daemon whose configuration of that version lacks the key.
  ScriptedUpstream& AddPeerWithoutKey(int aVersion) {
    return this->AddPeer([aVersion](const auto& aTo, const auto& aMessage) {
      HttpHeaders headers = OwnHeaders(aMessage);
      headers.push_back({kRefusingVersion, std::to_string(aVersion)});
      aTo->Answer(kUnauthenticated, headers, "unauthenticated");
    });
  }

  /// Adds a daemon that refuses before it has read the request.
  ScriptedUpstream& AddUnreadingPeer(int aStatus) {
    return this->AddPeer([aStatus](const auto& aTo, const auto& aMessage) {
      aTo->Answer(aStatus, OwnHeaders(aMessage), "not read");
    });
  }

  /// Adds an upstream that is lost in the middle of its first stream.
  void AddLost() {
    this->AddUpstream("model", [this](const auto& aTo, const auto& aMessage) {
      if (aMessage.head.target == "/report") {
        aTo->Abort();
        return;
      }
      aTo->BeginChunks(kOk, SealedHeaders(aMessage));
      aTo->AppendChunk("id: 1\ndata: a\n\n");
      asio::post(loop, [this] { upstreams[0]->Close(); });
    });
  }

  /// Adds a daemon that continues streams.
  void AddContinuingPeer() {
    this->AddPeer([](const auto& aTo, const auto& aMessage) {
      aTo->BeginChunks(kOk, SealedHeaders(aMessage));
      aTo->AppendChunk("id: 2\ndata: b\n\n");
      aTo->EndChunks();
    });
  }

  /// Sends a stream that is handed over, and expects that it is truncated long
  /// before its deadline.
  void CheckStreamEndsAtOnce(std::size_t aRefusals = 2) {
    this->AddLost();
    const Instant begin = clock.Now();
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT(clock.Now() - begin < 4s);
    CPPUNIT_ASSERT_EQUAL(aRefusals, this->SeenByPeers());
  }

  std::size_t SeenByPeers() const {
    std::size_t seen = 0;
    for (const auto& peer : peers) {
      seen += peer->seen.size();
    }
    return seen;
  }

 public:
  void Request_NoUpstreamReached_IsServedByPeer() {
    this->ListUnreachable("plain");
    this->ListUnreachable("model");
    this->AddServingPeer();
    for (const char* path : {"/safe/x", "/unsafe/x", "/llm/x"}) {
      const auto answer = this->Ask(this->Request(path));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(kOk, answer->status);
      CPPUNIT_ASSERT_EQUAL(
          std::string("seal"),
          std::string(FindHeader(answer->headers, "X-Response-Seal")));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->SeenByPeers());
  }

  void Request_Forwarded_ArrivesWithKeyAndTimeLeft() {
    this->ListUnreachable("plain");
    const ScriptedUpstream& peer = this->AddServingPeer();
    this->Ask(this->Request("/unsafe/x?q=1"));
    const HttpHead& head = peer.seen.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("/unsafe/x?q=1"), head.target);
    const auto header = [&](const char* aName) {
      return std::string(FindHeader(head.headers, aName));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer key1"), header("Authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), header("X-Attempt-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("h"), header("Host"));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), header(kRuns));
    // The caller waits for 3 s, the route's timeout is 2 s.
    const int left = std::stoi(header("X-Deadline-Ms"));
    CPPUNIT_ASSERT(left > 0 && left <= 2000);
  }

  void Request_PeerRefuses_IsSentToAnother() {
    this->ListUnreachable("plain");
    this->AddRefusingPeer("upstream_unreachable");
    this->AddRefusingPeer("stopping");
    this->AddServingPeer();
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
    }
    // Daemons that refused are not asked again at once.
    CPPUNIT_ASSERT(peers[0]->seen.size() <= 1 && peers[1]->seen.size() <= 1);
  }

  void Request_PeerDoesNotKnowTheKey_IsSentToAnother() {
    this->ListUnreachable("plain");
    this->AddPeer([](const auto& aTo, const auto& aMessage) {
      aTo->Answer(401, OwnHeaders(aMessage), "unauthenticated");
    });
    this->AddServingPeer();
    CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
  }

  void Request_PeerIsDown_IsSentToAnother() {
    this->ListUnreachable("plain");
    this->AddServingPeer().Close();
    this->AddServingPeer();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
    }
  }

  void Request_AllPeersRefuse_IsRefusedAsNotRun() {
    this->ListUnreachable("plain");
    this->AddRefusingPeer("upstream_unreachable");
    this->AddRefusingPeer("upstream_unreachable");
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_unreachable"), answer->body);
    CPPUNIT_ASSERT(!FindHeader(answer->headers, "Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  void Request_TwoPeersLackRoom_IsRefusedWithTheirRetryAfter() {
    this->ListUnreachable("plain");
    for (int i = 0; i < 4; ++i) {
      this->AddRefusingPeer("no_capacity");
    }
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("0.125"),
        std::string(FindHeader(answer->headers, "Retry-After")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  // Guards against sends that no retry is taken for: the other daemon's
  // upstreams have received the request before.
  void Request_PeersUpstreamsRefuse_TakesRetryForAnotherPeer() {
    this->ListUnreachable("plain");
    this->AddRefusingPeer("overloaded");
    this->AddRefusingPeer("overloaded");
    RetryWindowSettings spent;
    spent.burst = 0.5;
    retryWindows.emplace("plain", spent);
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->SeenByPeers());
  }

  void Request_UpstreamRefuses_IsNotForwarded() {
    this->AddUpstream("plain", [](const auto& aTo, const auto& aMessage) {
      HttpHeaders headers = SealedHeaders(aMessage);
      headers.push_back({"X-Not-Executed", "1"});
      aTo->Answer(kUnavailable, headers, "");
    });
    this->AddServingPeer();
    CPPUNIT_ASSERT_EQUAL(kUnavailable,
                         this->Ask(this->Request("/unsafe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->SeenByPeers());
  }

  void Request_OneOfThreeUpstreamsUnreachable_IsNotForwarded() {
    this->AddSound("plain");
    this->AddSound("plain");
    this->ListUnreachable("plain");
    this->AddServingPeer();
    for (int i = 0; i < 12; ++i) {
      CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->SeenByPeers());
  }

  // Events of streams on open connections clear the suspicion of upstreams that
  // accept no new ones.
  void Request_NewConnectionsFailBesideOpenStreams_IsForwarded() {
    for (int i = 0; i < 3; ++i) {
      this->ListUnreachable("plain");
    }
    this->AddServingPeer();
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
      for (const UpstreamPtr& upstream : view.Directory().OfService("plain")) {
        upstream->OnResponse(clock.Now());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, this->SeenByPeers());
  }

  void Unsafe_PeerBreaksOff_IsNotSentAgain() {
    this->ListUnreachable("plain");
    for (int i = 0; i < 2; ++i) {
      this->AddPeer([](const auto& aTo, const auto&) { aTo->Abort(); });
    }
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kBadGateway, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->SeenByPeers());
  }

  void Unsafe_PeerAnswersOfFailedRun_AnswerIsForwarded() {
    this->ListUnreachable("plain");
    this->AddPeer([](const auto& aTo, const auto& aMessage) {
      aTo->Answer(kBadGateway, OwnHeaders(aMessage), "answer_incomplete");
    });
    this->AddServingPeer();
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    const bool wasFirst = !peers[0]->seen.empty();
    CPPUNIT_ASSERT_EQUAL(wasFirst ? kBadGateway : kOk, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->SeenByPeers());
  }

  void Safe_PeerBreaksOff_IsSentToAnother() {
    this->ListUnreachable("plain");
    this->AddPeer([](const auto& aTo, const auto&) { aTo->Abort(); });
    this->AddServingPeer();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/safe/x"))->status);
    }
  }

  // Guards against more runs than the route permits: 23 streams ran three times
  // with two permitted, as the other daemon's runs were counted as one.
  void Safe_Forwarded_MayRunOnceAtPeer() {
    this->ListUnreachable("plain");
    const ScriptedUpstream& peer = this->AddServingPeer();
    this->Ask(this->Request("/safe/x"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("1"),
        std::string(FindHeader(peer.seen.at(0).headers, kRuns)));
  }

  /// Adds daemons of which the first `aFailures` requests are answered with a
  /// failed run.
  void AddFailingPeers(int aFailures) {
    const auto asked = std::make_shared<int>(0);
    for (int i = 0; i < 3; ++i) {
      this->AddPeer([asked, aFailures](const auto& aTo, const auto& aMessage) {
        *asked += 1;
        if (*asked <= aFailures) {
          aTo->Answer(kBadGateway, OwnHeaders(aMessage), "answer_incomplete");
        } else {
          AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        }
      });
    }
  }

  void Safe_RunAtPeerFails_RunsOnceMore() {
    this->ListUnreachable("plain");
    this->AddFailingPeers(1);
    CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/safe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  void Safe_RunsAtPeersFail_RunsUpToMaxAttempts() {
    this->ListUnreachable("plain");
    this->AddFailingPeers(3);
    CPPUNIT_ASSERT_EQUAL(kBadGateway,
                         this->Ask(this->Request("/safe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  void Stream_UpstreamLostMidway_ContinuesAtPeerAfterLastEvent() {
    ScriptedUpstream* first = nullptr;
    first = &this->AddUpstream(
        "model", [this](const auto& aTo, const auto& aMessage) {
          if (aMessage.head.target == "/report") {
            aTo->Abort();
            return;
          }
          aTo->BeginChunks(kOk, SealedHeaders(aMessage));
          aTo->AppendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
          asio::post(loop, [this] { upstreams[0]->Close(); });
        });
    ScriptedUpstream& peer =
        this->AddPeer([](const auto& aTo, const auto& aMessage) {
          aTo->BeginChunks(kOk, SealedHeaders(aMessage));
          aTo->AppendChunk("id: 3\ndata: c\n\n");
          aTo->EndChunks();
        });
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
        answer->body);
    CPPUNIT_ASSERT(first->IsClosed());
    const HttpHeaders& headers = peer.seen.at(0).headers;
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         std::string(FindHeader(headers, "Last-Event-Id")));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         std::string(FindHeader(headers, kRuns)));
  }

  /// Adds two daemons; the one that is asked first sends an event and then
  /// `aThen`, the other completes the stream.
  void AddInterruptingPeers(
      const std::function<void(const ConnectionPtr&)>& aThen) {
    const auto asked = std::make_shared<int>(0);
    for (int i = 0; i < 2; ++i) {
      this->AddPeer([asked, aThen](const auto& aTo, const auto& aMessage) {
        *asked += 1;
        aTo->BeginChunks(kOk, SealedHeaders(aMessage));
        if (*asked == 1) {
          aTo->AppendChunk("id: 1\ndata: a\n\n");
          aThen(aTo);
          return;
        }
        aTo->AppendChunk("id: 2\ndata: b\n\n");
        aTo->EndChunks();
      });
    }
  }

  void CheckInterruptedStream() {
    this->ListUnreachable("model");
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  void Stream_PeerLostMidway_ContinuesAtAnother() {
    this->AddInterruptingPeers(
        [](const ConnectionPtr& aTo) { aTo->CloseWhenSent(); });
    this->CheckInterruptedStream();
  }

  void Stream_PeerFallsSilent_ContinuesAtAnother() {
    this->AddInterruptingPeers([](const ConnectionPtr&) {});
    this->CheckInterruptedStream();
  }

  // Guards against streams that wait until their deadline while each daemon
  // refuses them for good.
  void Stream_PeersNoLongerAdmitIt_EndsAtOnce() {
    for (int i = 0; i < 4; ++i) {
      this->AddPeerWithoutKey(2);
    }
    this->CheckStreamEndsAtOnce(4);
  }

  void Stream_OnlyPeerNoLongerAdmitsIt_EndsAtOnce() {
    this->AddPeerWithoutKey(2);
    this->CheckStreamEndsAtOnce(1);
  }

  void Stream_PeersRefuseItsSize_EndsAtOnce() {
    this->AddUnreadingPeer(kTooLarge);
    this->AddUnreadingPeer(kTooLarge);
    this->CheckStreamEndsAtOnce();
  }

  // A daemon that has just started lacks the version by which the request was
  // admitted.
  void Stream_OnePeerNoLongerAdmitsIt_ContinuesAtAnother() {
    this->AddPeerWithoutKey(2);
    this->AddContinuingPeer();
    this->AddLost();
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
  }

  // Guards against two refusals of one restarted daemon that end a stream while
  // another daemon only lacks room.
  void Stream_OnePeerDoesNotAdmitItTwice_WaitsForAnother() {
    this->AddPeerWithoutKey(2);
    this->AddRefusingPeer("no_capacity");
    this->AddLost();
    asio::steady_timer arrival(loop, 1s);
    arrival.async_wait([this](const auto&) { this->AddContinuingPeer(); });
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
  }

  // Guards against streams that end as two daemons have restarted since the
  // admission, while a third one that admits them lacks room.
  void Stream_TwoPeersDoNotAdmitIt_WaitsForAnother() {
    this->AddPeerWithoutKey(2);
    this->AddPeerWithoutKey(2);
    this->AddRefusingPeer("no_capacity");
    this->AddLost();
    asio::steady_timer arrival(loop, 1s);
    arrival.async_wait([this](const auto&) { this->AddContinuingPeer(); });
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
  }

  // Guards against streams that wait until their deadline although no daemon is
  // left that may admit them.
  void Stream_LastPeerThatMayAdmitItLeaves_EndsAtOnce() {
    this->AddPeerWithoutKey(2);
    this->AddRefusingPeer("no_capacity");
    asio::steady_timer departure(loop, 1s);
    departure.async_wait([this](const auto&) {
      known.pop_back();
      forwards.SetPeers(known);
    });
    this->AddLost();
    const Instant begin = clock.Now();
    CPPUNIT_ASSERT(!this->Ask(this->Attempt("/llm/x")).has_value());
    CPPUNIT_ASSERT(clock.Now() - begin < 4s);
  }

  // Guards against streams with a new key that end as the other daemons do not
  // know it yet.
  void Stream_PeersHaveOlderVersion_WaitsForTheirs() {
    this->AddPeerWithoutKey(0);
    this->AddPeerWithoutKey(0);
    this->AddLost();
    asio::steady_timer arrival(loop, 1s);
    arrival.async_wait([this](const auto&) { this->AddContinuingPeer(); });
    const auto answer = this->Ask(this->Attempt("/llm/x"));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         answer->body);
  }

  // Guards against callers that are asked to retry what no daemon admits.
  void Request_PeersNoLongerAdmitIt_IsRefusedAsByThem() {
    this->ListUnreachable("plain");
    for (int i = 0; i < 4; ++i) {
      this->AddPeerWithoutKey(2);
    }
    const auto answer = this->Ask(this->Request("/unsafe/x"));
    CPPUNIT_ASSERT_EQUAL(kUnauthenticated, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("unauthenticated"), answer->body);
    CPPUNIT_ASSERT(FindHeader(answer->headers, "Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  void Request_PeersRefuseItsSize_IsRefusedAsByThem() {
    this->ListUnreachable("plain");
    for (int i = 0; i < 4; ++i) {
      this->AddUnreadingPeer(kTooLarge);
    }
    CPPUNIT_ASSERT_EQUAL(kTooLarge,
                         this->Ask(this->Request("/unsafe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeenByPeers());
  }

  // Guards against daemons whose loops are held and that count as daemons
  // without room: the request was refused after two of them.
  void Request_PeersAreSlowToRead_IsSentToAnother() {
    this->ListUnreachable("plain");
    for (int i = 0; i < 4; ++i) {
      this->AddUnreadingPeer(kRequestTimeout);
    }
    this->AddServingPeer();
    CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
  }

  // Guards against daemons that get no requests of a service for a while as
  // they refused the key of one.
  void Request_PeerDoesNotAdmitAnother_IsServedThere() {
    this->ListUnreachable("plain");
    const auto asked = std::make_shared<int>(0);
    this->AddPeer([asked](const auto& aTo, const auto& aMessage) {
      *asked += 1;
      if (*asked > 1) {
        AnswerWhole(aTo, aMessage, SealedHeaders(aMessage));
        return;
      }
      HttpHeaders headers = OwnHeaders(aMessage);
      headers.push_back({kRefusingVersion, "2"});
      aTo->Answer(kUnauthenticated, headers, "unauthenticated");
    });
    CPPUNIT_ASSERT_EQUAL(kUnauthenticated,
                         this->Ask(this->Request("/unsafe/x"))->status);
    CPPUNIT_ASSERT_EQUAL(kOk, this->Ask(this->Request("/unsafe/x"))->status);
  }

  void Caller_StatesWhatDaemonsState_IsNotPassedOn() {
    this->ListUnreachable("plain");
    const ScriptedUpstream& peer = this->AddServingPeer();
    std::string request = this->Request("/unsafe/x");
    request.insert(request.find("\r\n") + 2, std::string(kRuns) + ": 7\r\n" +
                                                 kAdmittedVersion + ": 7\r\n");
    this->Ask(request);
    std::vector<std::string> stated;
    for (const HttpHeader& header : peer.seen.at(0).headers) {
      if (SameHeaderName(header.name, kRuns) ||
          SameHeaderName(header.name, kAdmittedVersion)) {
        stated.push_back(header.value);
      }
    }
    CPPUNIT_ASSERT(stated == (std::vector<std::string>{"0", "1"}));
  }

  void Caller_DisconnectsDuringForward_EndsItAtPeer() {
    this->ListUnreachable("model");
    ScriptedUpstream& peer =
        this->AddPeer([](const auto& aTo, const auto& aMessage) {
          aTo->BeginChunks(kOk, SealedHeaders(aMessage));
          aTo->AppendChunk("id: 1\ndata: a\n\n");
        });
    TcpSocket caller(loop);
    caller.connect({asio::ip::address_v4::loopback(), listener->Port()});
    asio::write(caller, asio::buffer(this->Attempt("/llm/x")));
    this->RunUntil([&] { return !peer.seen.empty(); });
    caller.close();
    this->RunUntil([&] { return peer.disconnects > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay->Active());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedRequestTest);

}  // namespace zincstep
