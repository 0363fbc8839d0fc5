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
constexpr int kHolders = 3;
constexpr int kMaxTokens = 24;

/// Right token of a position.
std::int32_t RightToken(int aPosition) { return 1000 + 7 * aPosition; }

/// Three stages with three holders each; a test takes holders away.
class FakeRepairer final : public ChainRepairer {
 public:
  static int ReplicaOf(int aStage, int aHolder) {
    return aStage * kHolders + aHolder;
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
    if (this->empty) {
      return Fail(ErrorKind::NoCapacity, "nobody");
    }
    Chain next = aChain;
    for (std::size_t i = 0; i < aFailed.size(); ++i) {
      if (aFailed[i]) {
        const int stage = static_cast<int>(i);
        const int holder = next.hops[i].replica % kHolders;
        next.hops[i].replica = ReplicaOf(stage, (holder + 1) % kHolders);
      }
    }
    return next;
  }

  bool empty = false;
};

/// What the oracle knows: positions go up by one, and the end is one.
struct StreamModel {
  bool isOver = false;
};

/// The machine with the checks of the rules on each of its actions.
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
    event.token = RightToken(aPosition);
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
        RC_ASSERT(emit->token == RightToken(emit->position));
        this->emitted += 1;
      } else if (const auto* release = std::get_if<ReleaseStages>(&action)) {
        for (const int replica : release->replicas) {
          this->unreleased.erase(replica);
        }
      } else if (const auto* fail = std::get_if<FailStream>(&action)) {
        RC_ASSERT(fail->tokens == this->emitted);
        this->isOver = true;
      } else if (std::holds_alternative<FinishStream>(action)) {
        // Whole, or not finished: never silently short.
        RC_ASSERT(this->emitted == kMaxTokens);
        this->isOver = true;
      }
    }
    RC_ASSERT(this->machine->Tokens().size() ==
              static_cast<std::size_t>(this->emitted));
    if (this->machine->IsOver()) {
      // Nothing is left behind on any upstream that had a part in it.
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

/// The next token of the present attempt, quick or slow.
struct NextToken : Base {
  int millis = *rc::gen::element(5, 20, 100, 400);
  bool slowLink = *rc::gen::arbitrary<bool>();
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.clock.Advance(Micros{1000 * this->millis});
    TokenEvent event = aSut.Event(aSut.emitted, aSut.attempt);
    if (this->slowLink && this->millis >= 100) {
      event.stages[1].link = Micros{1000 * this->millis};
    }
    aSut.Check(aSut.machine->OnToken(event, aSut.clock.Now()));
  }
  void show(std::ostream& aOut) const override {
    aOut << "NextToken(" << this->millis << ")";
  }
};

/// An event that must change nothing: late, doubled or another's.
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

/// A token ahead of its turn, or with a layer skipped, doubled or swapped.
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

/// A hop fails, by the present attempt's word or an earlier one's.
struct HopFails : Base {
  int stage = *rc::gen::inRange(-1, kStages);
  bool isOld = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  HopFailure failure = *rc::gen::element(HopFailure::Dead, HopFailure::Refused,
                                         HopFailure::CacheLost);
  void run(const StreamModel&, CheckedStream& aSut) const override {
    const int attempt = aSut.attempt - (this->isOld ? 1 : 0);
    const int before = aSut.attempt;
    aSut.Check(aSut.machine->OnFailure(attempt, this->stage, this->failure,
                                       aSut.clock.Now()));
    if (this->isOld) {
      RC_ASSERT(aSut.attempt == before);
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "HopFails(" << this->stage << "," << this->isOld << ")";
  }
};

/// Time passes without a word of any stage.
struct TimePasses : Base {
  int millis = *rc::gen::element(10, 150, 300, 1000, 6000);
  bool answers = *rc::gen::arbitrary<bool>();
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.clock.Advance(Micros{1000 * this->millis});
    StreamActions actions = aSut.machine->OnTimer(aSut.clock.Now());
    const bool asked =
        std::any_of(actions.begin(), actions.end(), [](const auto& aOne) {
          return std::holds_alternative<ProbeStages>(aOne);
        });
    aSut.Check(actions);
    if (asked && this->answers) {
      std::vector<StageProgress> progress(kStages, {true, false, false});
      progress[1].holdsStep = true;
      aSut.Check(aSut.machine->OnProgress(aSut.attempt, progress));
    }
  }
  void show(std::ostream& aOut) const override {
    aOut << "TimePasses(" << this->millis << ")";
  }
};

/// All holders of some range go, or come back.
struct Capacity : Base {
  bool empty = *rc::gen::arbitrary<bool>();
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.repairer.empty = this->empty;
  }
  void show(std::ostream& aOut) const override {
    aOut << "Capacity(" << this->empty << ")";
  }
};

/// The caller goes.
struct CallerGoes : Base {
  void run(const StreamModel&, CheckedStream& aSut) const override {
    aSut.Check(aSut.machine->OnCallerDisconnected());
    aSut.isOver = true;
    RC_ASSERT(aSut.machine->IsOver());
  }
  void show(std::ostream& aOut) const override { aOut << "CallerGoes"; }
};

class StreamStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamStateTest);
  CPPUNIT_TEST(Stream_AnyFaults_KeepsTheRules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Stream_AnyFaults_KeepsTheRules() {
    CPPUNIT_ASSERT(CheckState("stream", [] {
      CheckedStream stream;
      rc::state::check(
          StreamModel{}, stream,
          rc::state::gen::execOneOfWithArgs<
              NextToken, NextToken, NextToken, NextToken, NextToken, NextToken,
              WrongToken, BrokenToken, HopFails, TimePasses, Capacity>());
      // At the end the caller goes, wherever the stream stands.
      CallerGoes().run(StreamModel{}, stream);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamStateTest);

}  // namespace
}  // namespace zincstep
