#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// A fault: some upstreams are lost, or slow for a while.
struct ReplayFault {
  Micros at{0};
  /// Share of all upstreams, selected at random.
  double share = 0;
  /// Factor on the time of their steps; 0: they are lost.
  double slowdown = 0;
  Micros duration{0};
};

/// A load on a pool and its faults.
struct ReplayLoad {
  /// Streams that arrive per second in each failure domain.
  double arrivals = 64;
  /// Factor on the arrivals of the first domain from `shiftAt` on.
  double shiftFactor = 1;
  Micros shiftAt{0};
  /// Tokens of a prompt, and decoding steps of an answer.
  double prompt = 760;
  double steps = 141;
  Micros length = 8s;
  int daemonsPerDomain = 59;
  /// Daemons in all failure domains together; 0: `daemonsPerDomain` in each.
  int daemons = 0;
  /// Share of the streams with another prompt and answer, and these.
  double longShare = 0;
  double longPrompt = 1200;
  double longSteps = 400;
  /// Factor on the arrivals of all domains for a while.
  double burstFactor = 1;
  Micros burstAt{0};
  Micros burstLength{0};
  /// Time at which all daemons start anew; 0: none.
  Micros restartAt{0};
  /// Whether first stages are chosen by their requests and slots.
  FeatureMode firstStageBalance = FeatureMode::Auto;
  ChainChooserSettings chooser;
  std::vector<ReplayFault> faults;
};

/// Outcome of the streams.
struct ReplayResult {
  int arrivals = 0;
  int served = 0;
  /// No chain was found, or all attempts failed.
  int refused = 0;
  /// Refused while less than half of the domain's memory was in use.
  int refusedWhileFree = 0;
  /// Attempts that an upstream refused.
  int rejected = 0;
  /// A member was lost during the stream.
  int interrupted = 0;
  /// Streams with longer gaps between events than callers accept.
  int slow = 0;
  double hops = 0;
  /// Milliseconds per decoding step of all served streams together.
  double stepMs = 0;
  /// First events later than callers accept.
  int late = 0;
  /// Streams that were sent since all daemons started anew.
  int restarted = 0;
  int lateRestarted = 0;
  /// Requests that a first stage refused because its queue was full.
  int queueFull = 0;
  /// Sum over samples and domains of the load of the busiest first stage over
  /// the mean of its domain, and the number of samples.
  double imbalance = 0;
  int samples = 0;
  /// Mean absolute error of the expected first event, in milliseconds.
  double errorMs = 0;

  double Share(int aCount) const {
    return static_cast<double>(aCount) / std::max(1, this->arrivals);
  }
  double MeanHops() const { return this->hops / std::max(1, this->served); }
  double MeanStepMs() const { return this->stepMs / std::max(1, this->served); }
  double MeanErrorMs() const {
    return this->errorMs / std::max(1, this->served);
  }
  double MeanImbalance() const {
    return this->imbalance / std::max(1, this->samples);
  }
  void Add(const ReplayResult& aOther);
};

/// Simulates a load on a pool with the chain selection of the daemons.
///
/// Time is simulated. Each daemon has its own view of the upstreams, knows its
/// own work at once and that of the other daemons of its domain from periodic
/// reports. An upstream refuses a stream if its memory is full or it is lost; a
/// stream takes the time of its steps through all members.
class PoolReplay {
 public:
  PoolReplay(const ModelShape& aModel, std::vector<PlacedUpstream> aPool,
             ReplayLoad aLoad, std::uint64_t aSeed);

  ReplayResult Run();

 private:
  /// Actual state of an upstream.
  struct SimulatedUpstream {
    PlacedUpstream placed;
    double used = 0;
    double capacity = 0;
    double slowdown = 1;
    bool isLost = false;
    /// Streams that run with it as the first stage, and those that wait.
    int running = 0;
    std::deque<std::size_t> queue;
  };
  struct Daemon {
    std::string name;
    std::string domain;
    std::vector<UpstreamPtr> view;
    PeerWork peerWork;
    Instant nextReportAt;
  };
  struct Request {
    Instant arrivedAt;
    double prompt = 0;
    double steps = 0;

    /// Number of tokens that its stream is expected to hold.
    double Tokens() const { return this->prompt + this->steps / 2; }
  };
  struct Stream {
    std::size_t daemon = 0;
    std::vector<std::pair<std::size_t, double>> held;
    /// Members in the view of the daemon that sent it.
    std::vector<UpstreamPtr> members;
    Request request;
    Instant sentAt;
    Micros expectedWait{0};
    Micros expectedFirstEvent{0};
    double prefillMs = 0;
    double stepMs = 0;
    bool isInterrupted = false;
    bool isSlow = false;
  };
  struct Event {
    Instant at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator>(const Event& aOther) const {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->sequence > aOther.sequence;
    }
  };

  void At(Instant aAt, std::function<void()> aRun);
  void OnArrival(std::size_t aDomain);
  void TryStart(std::size_t aDaemon, int aAttemptsLeft,
                const Request& aRequest);
  /// Returns the member that refuses the chain, or none.
  std::optional<std::size_t> RefusedBy(const PoolChain& aChain,
                                       const Request& aRequest) const;
  void StartStream(std::size_t aDaemon, const PoolChain& aChain,
                   const Request& aRequest);
  /// A slot at the first stage is free for the stream.
  void RunStream(std::size_t aStream);
  void OnFirstEvent(std::size_t aStream);
  void End(std::size_t aStream);
  void MakeDaemons();
  void MakeView(Daemon& aDaemon) const;
  /// All daemons lose their state.
  void Restart();
  /// Adds a sample of the balance of first stages.
  void SampleBalance();
  void RecordRefusal(const std::string& aDomain);
  void SendReport(std::size_t aDaemon);
  /// Makes all daemons of the domain suspect an upstream.
  void SpreadSuspicion(const std::string& aDomain, std::size_t aUpstream);
  void StartFault(const ReplayFault& aFault);
  std::size_t IndexOf(const UpstreamPtr& aUpstream) const;

  ModelShape model;
  ReplayLoad load;
  Random random;
  ChainChooser chooser;
  std::vector<std::string> domains;
  std::vector<SimulatedUpstream> upstreams;
  std::map<std::string, std::size_t> indices;
  std::vector<Daemon> daemons;
  /// Daemons of each domain.
  std::vector<std::vector<std::size_t>> domainDaemons;
  /// Response times that all daemons measure alike.
  DemandMeter meter;
  std::vector<Stream> streams;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t lastSequence = 0;
  Instant now{Micros{100s}};
  Instant end;
  ReplayResult result;
};

/// Returns the pool with the planner's initial layout.
std::vector<PlacedUpstream> InitialPlacement(const ModelShape& aModel,
                                             std::vector<PlacedUpstream> aPool);

}  // namespace zincstep
