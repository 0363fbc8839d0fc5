#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>
#include <set>

#include "FuzzTests/StateCheck.h"
#include "Zincstep/Sequence/Sequence.h"

namespace zincstep {
namespace {

constexpr std::uint64_t kRequest = 77;
constexpr int kLayers = 12;
constexpr int kStages = 3;
constexpr int kReplicasPerStage = 3;
constexpr int kMaxTokens = 24;

/// The correct token at a position.
std::int32_t ExpectedToken(int aPosition) { return 1000 + 7 * aPosition; }

/// Three stages with three replicas each; repairs fail while
/// `hasNoCapacity` is set.
class FakeRepairer final : public ChainRepairer {
 public:
  static int ReplicaOf(int aStage, int aIndex) {
    return aStage * kReplicasPerStage + aIndex;
  }

  static Chain FirstChain() {
    Chain chain;
    for (int stage = 0; stage < kStages; ++stage) {
      chain.hops.push_back({ReplicaOf(stage, 0), LayersOf(stage)});
    }
    return chain;
  }

  static LayerRange LayersOf(int aStage) {
    return {4 * aStage, 4 * aStage + 4};
  }

  Result<Chain> Repair(const Chain& aChain, const std::vector<bool>& aFailed,
                       Instant, bool) override {
    if (this->hasNoCapacity) {
      return Fail(ErrorKind::NoCapacity, "no replica available");
    }
    Chain next = aChain;
    for (std::size_t i = 0; i < aFailed.size(); ++i) {
      if (aFailed[i]) {
        const int stage = static_cast<int>(i);
        const int index = next.hops[i].replica % kReplicasPerStage;
        next.hops[i].replica =
            ReplicaOf(stage, (index + 1) % kReplicasPerStage);
      }
    }
    return next;
  }

  bool hasNoCapacity = false;
};

/// RapidCheck's model; the invariants are checked by `CheckedStream`.
struct StreamModel {
  bool isOver = false;
};

/// The stream machine with invariant checks on each of its actions: positions
/// rise by one, and the stream ends once.
class CheckedStream {
 public:
  CheckedStream() {
    StreamSettings settings;
    settings.maxTokens = kMaxTokens;
    settings.deadline = this->clock.Now() + 60s;
    this->machine = std::make_unique<StreamMachine>(kRequest, kLayers, settings,
                                                    this->repairer);
    this->Check(
        this->machine->Start(FakeRepairer::FirstChain(), this->clock.Now()));
  }

  TokenEvent Event(int aPosition, int aAttempt) const {
    TokenEvent event;
    event.request = kRequest;
    event.attempt = aAttempt;
    event.position = aPosition;
    event.token = ExpectedToken(aPosition);
    for (int stage = 0; stage < kStages; ++stage) {
      event.stages.push_back(
          {FakeRepairer::LayersOf(stage), 0us, 1000us, 200us});
    }
    return event;
  }

  void Check(const StreamActions& aActions) {
    for (const StreamAction& action : aActions) {
      RC_ASSERT(!this->isOver);
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        RC_ASSERT(start->attempt > this->attempt);
        RC_ASSERT(start->chain.Covers(kLayers));
        RC_ASSERT(start->stages.size() == start->chain.hops.size());
        this->attempt = start->attempt;
        for (const ChainHop& hop : start->chain.hops) {
          this->unreleased.insert(hop.replica);
        }
      } else if (const auto* emit = std::get_if<EmitToken>(&action)) {
        RC_ASSERT(emit->position == this->emitted);
        RC_ASSERT(emit->token == ExpectedToken(emit->position));
        this->emitted += 1;
      } else if (const auto* release = std::get_if<ReleaseStages>(&action)) {
        for (const int replica : release->replicas) {
          this->unreleased.erase(replica);
        }
      } else if (const auto* fail = std::get_if<FailStream>(&action)) {
        RC_ASSERT(fail->tokens == this->emitted);
        this->isOver = true;
      } else if (std::holds_alternative<FinishStream>(action)) {
        // A stream finishes only when complete; it is never silently truncated.
        RC_ASSERT(this->emitted == kMaxTokens);
        this->isOver = true;
      }
    }
    RC_ASSERT(this->machine->Tokens().size() ==
              static_cast<std::size_t>(this->emitted));
    if (this->machine->IsOver()) {
      // No upstream that took part keeps state of the stream.
      RC_ASSERT(this->unreleased.empty());
    }
  }

  FakeClock clock;
  FakeRepairer repairer;
  std::unique_ptr<StreamMachine> machine;
  int attempt = 0;
  int emitted = 0;
  bool isOver = false;
  std::set<int> unreleased;
};

using Base = rc::state::Command<StreamModel, CheckedStream>;

/// The next token of the current attempt, after a short or long time.
struct NextToken : Base {
  int millis = *rc::gen::element(5, 20, 100, 400);
  bool isLinkSlow = *rc::gen::arbitrary<bool>();
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.clock.Advance(Micros{1000 * this->millis});
    TokenEvent event = aSut.Event(aSut.emitted, aSut.attempt);
    if (this->isLinkSlow && this->millis >= 100) {
      event.stages[1].link = Micros{1000 * this->millis};
    }
    aSut.Check(aSut.machine->OnToken(event, aSut.clock.Now()));
  }
  void show(std::ostream& aOut) const override {
    aOut << "NextToken(" << this->millis << ")";
  }
};

/// An event that must be ignored: stale, duplicated or of another request.
struct WrongToken : Base {
  int kind = *rc::gen::inRange(0, 4);
  void run(const StreamModel&, CheckedStream& aSut) const override {
    const int before = aSut.emitted;
    TokenEvent event = aSut.Event(aSut.emitted, aSut.attempt);
    event.token = -1;
    if (this->kind == 0) {
      event.request += 1;
    } else if (this->kind == 1) {
      event.attempt -= 1;
    } else if (this->kind == 2) {
      event.attempt += 1;
    } else {
      event.position -= 1;
    }
    aSut.Check(aSut.machine->OnToken(event, aSut.clock.Now()));
    RC_ASSERT(aSut.emitted == before);
  }
  void show(std::ostream& aOut) const override {
    aOut << "WrongToken(" << this->kind << ")";
  }
};

/// A token with a position too high, or with a stage skipped, duplicated or
/// swapped.
struct BrokenToken : Base {
  int kind = *rc::gen::inRange(0, 4);
  void run(const StreamModel&, CheckedStream& aSut) const override {
    const int before = aSut.emitted;
    TokenEvent event = aSut.Event(aSut.emitted, aSut.attempt);
    event.token = -1;
    if (this->kind == 0) {
      event.position += 1;
    } else if (this->kind == 1) {
      event.stages.pop_back();
    } else if (this->kind == 2) {
      event.stages.insert(event.stages.begin(), event.stages.front());
    } else {
      std::swap(event.stages[0], event.stages[1]);
    }
    aSut.Check(aSut.machine->OnToken(event, aSut.clock.Now()));
    RC_ASSERT(aSut.emitted == before);
  }
  void show(std::ostream& aOut) const override {
    aOut << "BrokenToken(" << this->kind << ")";
  }
};

/// A hop failure, reported for the current attempt or the one before.
struct HopFails : Base {
  int stage = *rc::gen::inRange(-1, kStages);
  bool isStale = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  HopFailure failure = *rc::gen::element(HopFailure::Dead, HopFailure::Refused,
                                         HopFailure::CacheLost);
  void run(const StreamModel&, CheckedStream& aSut) const override {
    const int attempt = aSut.attempt - (this->isStale ? 1 : 0);
    const int before = aSut.attempt;
    aSut.Check(aSut.machine->OnFailure(attempt, this->stage, this->failure,
                                       aSut.clock.Now()));
    if (this->isStale) {
      RC_ASSERT(aSut.attempt == before);
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "HopFails(" << this->stage << "," << this->isStale << ")";
  }
};

/// Time passes without a token; the stages respond to probes or not.
struct TimePasses : Base {
  int millis = *rc::gen::element(10, 150, 300, 1000, 6000);
  bool doStagesRespond = *rc::gen::arbitrary<bool>();
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.clock.Advance(Micros{1000 * this->millis});
    StreamActions actions = aSut.machine->OnTimer(aSut.clock.Now());
    const bool hasProbed =
        std::any_of(actions.begin(), actions.end(), [](const auto& aOne) {
          return std::holds_alternative<ProbeStages>(aOne);
        });
    aSut.Check(actions);
    if (hasProbed && this->doStagesRespond) {
      std::vector<StageProgress> progress(kStages, {true, false, false});
      progress[1].holdsStep = true;
      aSut.Check(aSut.machine->OnProgress(aSut.attempt, progress));
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "TimePasses(" << this->millis << ")";
  }
};

/// All replicas become unavailable, or available again.
struct Capacity : Base {
  bool hasNoCapacity = *rc::gen::arbitrary<bool>();
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.repairer.hasNoCapacity = this->hasNoCapacity;
  }
  void show(std::ostream& aOut) const override {
    aOut << "Capacity(" << this->hasNoCapacity << ")";
  }
};

/// The caller disconnects.
struct CallerDisconnects : Base {
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.Check(aSut.machine->OnCallerDisconnected());
    aSut.isOver = true;
    RC_ASSERT(aSut.machine->IsOver());
  }
  void show(std::ostream& aOut) const override { aOut << "CallerDisconnects"; }
};

class StreamStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamStateTest);
  CPPUNIT_TEST(Stream_AnyFaults_PreservesInvariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Stream_AnyFaults_PreservesInvariants() {
    CPPUNIT_ASSERT(CheckState("stream", [] {
      CheckedStream stream;
      rc::state::check(
          StreamModel{}, stream,
          rc::state::gen::execOneOfWithArgs<
              NextToken, NextToken, NextToken, NextToken, NextToken, NextToken,
              WrongToken, BrokenToken, HopFails, TimePasses, Capacity>());
      // Finally the caller disconnects, whatever the state of the stream.
      CallerDisconnects().run(StreamModel{}, stream);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamStateTest);

}  // namespace
}  // namespace zincstep
