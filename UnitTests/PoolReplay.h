#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Upstreams that are lost, or slow for a while.
struct ReplayTrouble {
  Micros at{0};
  /// Share of all upstreams, drawn at random.
  double share = 0;
  /// They take so many times longer; 0: they are lost.
  double pace = 0;
  Micros lasts{0};
};

/// A load on a pool.
struct ReplayLoad {
  /// Streams that arrive a second in each failure domain.
  double arrivals = 64;
  /// Factor on the arrivals of the first domain, from a time on.
  double shift = 1;
  Micros shiftAt{0};
  /// Tokens of a prompt, and steps of an answer.
  double prompt = 760;
  double steps = 141;
  Micros length = 8s;
  int daemonsPerDomain = 59;
  std::vector<ReplayTrouble> troubles;
};

/// What became of the streams.
struct ReplayResult {
  int arrivals = 0;
  int served = 0;
  /// No chain was found, or the attempts were used up.
  int refused = 0;
  /// The same while less than half of the domain's memory was in use.
  int refusedWhileFree = 0;
  /// Attempts that an upstream refused.
  int rejected = 0;
  /// A member was lost while the stream ran.
  int interrupted = 0;
  /// Streams whose pauses were longer than callers accept.
  int slow = 0;
  double hops = 0;

  double Share(int aCount) const {
    return static_cast<double>(aCount) / std::max(1, this->arrivals);
  }
  double MeanHops() const { return this->hops / std::max(1, this->served); }
  void Add(const ReplayResult& aOther);
};

/// Plays a load against a pool with the daemons' own choice of chains.
///
/// Time is simulated; each daemon has its own view of the upstreams, knows its
/// own work at once and that of its domain's other daemons from what they tell
/// now and then. An upstream refuses where its memory is full or it is lost; a
/// stream takes the time of its steps through all members.
class PoolReplay {
 public:
  PoolReplay(const ModelShape& aModel, std::vector<PlacedUpstream> aPool,
             ReplayLoad aLoad, std::uint64_t aSeed);

  ReplayResult Run();

 private:
  /// An upstream as it really is.
  struct Truth {
    PlacedUpstream placed;
    double used = 0;
    double capacity = 0;
    double pace = 1;
    bool isLost = false;
  };
  struct Daemon {
    std::string name;
    std::string domain;
    std::vector<UpstreamPtr> view;
    PeerWork told;
    Instant nextTelling;
  };
  struct Stream {
    std::size_t daemon = 0;
    std::vector<std::pair<std::size_t, double>> held;
    bool isInterrupted = false;
    bool isSlow = false;
  };
  struct Event {
    Instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& aOther) const {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->order > aOther.order;
    }
  };

  void At(Instant aAt, std::function<void()> aRun);
  void Arrive(std::size_t aDomain);
  void Try(std::size_t aDaemon, int aTriesLeft);
  /// The member that refuses the chain, if one does.
  std::optional<std::size_t> RefusedBy(const PoolChain& aChain) const;
  void StartStream(std::size_t aDaemon, const PoolChain& aChain);
  void End(std::size_t aStream);
  void Refuse(const std::string& aDomain);
  void Tell(std::size_t aDaemon);
  /// The domain's daemons hear that an upstream does not answer.
  void TellSuspicion(const std::string& aDomain, std::size_t aUpstream);
  void StartTrouble(const ReplayTrouble& aTrouble);
  std::size_t IndexOf(const UpstreamPtr& aUpstream) const;

  ModelShape model;
  ReplayLoad load;
  Random random;
  ChainChooser chooser{ChainChooserSettings{}};
  std::vector<std::string> domains;
  std::vector<Truth> upstreams;
  std::map<std::string, std::size_t> indices;
  std::vector<Daemon> daemons;
  std::vector<Stream> streams;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t lastOrder = 0;
  Instant now{Micros{100s}};
  Instant end;
  ReplayResult result;
};

/// A pool laid out by the planner as it starts.
std::vector<PlacedUpstream> LaidOut(const ModelShape& aModel,
                                    std::vector<PlacedUpstream> aPool);

}  // namespace zincstep
