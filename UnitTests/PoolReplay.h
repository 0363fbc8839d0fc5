#pragma once

#include <algorithm>
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

  double Share(int aCount) const {
    return static_cast<double>(aCount) / std::max(1, this->arrivals);
  }
  double MeanHops() const { return this->hops / std::max(1, this->served); }
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
  };
  struct Daemon {
    std::string name;
    std::string domain;
    std::vector<UpstreamPtr> view;
    PeerWork peerWork;
    Instant nextReportAt;
  };
  struct Stream {
    std::size_t daemon = 0;
    std::vector<std::pair<std::size_t, double>> held;
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
  void TryStart(std::size_t aDaemon, int aAttemptsLeft);
  /// Returns the member that refuses the chain, or none.
  std::optional<std::size_t> RefusedBy(const PoolChain& aChain) const;
  void StartStream(std::size_t aDaemon, const PoolChain& aChain);
  void End(std::size_t aStream);
  void RecordRefusal(const std::string& aDomain);
  void SendReport(std::size_t aDaemon);
  /// Makes all daemons of the domain suspect an upstream.
  void SpreadSuspicion(const std::string& aDomain, std::size_t aUpstream);
  void StartFault(const ReplayFault& aFault);
  std::size_t IndexOf(const UpstreamPtr& aUpstream) const;

  ModelShape model;
  ReplayLoad load;
  Random random;
  ChainChooser chooser{ChainChooserSettings{}};
  std::vector<std::string> domains;
  std::vector<SimulatedUpstream> upstreams;
  std::map<std::string, std::size_t> indices;
  std::vector<Daemon> daemons;
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
