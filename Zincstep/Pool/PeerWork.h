#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Pool/LiveUpstream.h"

namespace zincstep {

/// Work in flight at one upstream, as another daemon tells it.
struct PeerShare {
  UpstreamPtr upstream;
  /// In tokens x layers or in requests, as `LiveUpstream::own`.
  double work = 0;
};

/// What the other daemons told of their work in flight.
///
/// A daemon tells all of its work at a time, so it is kept by teller: what
/// one has at some dozen upstreams is replaced without a look at thousands of
/// others, and an upstream carries the sum alone. With sums by upstream and
/// teller, 100 daemons of a domain with 3,000 upstreams spent half of their
/// processor time here (perf, sweep at 300 machines).
class PeerWork {
 public:
  /// Replaces what `aDaemon` told before.
  void Update(const std::string& aDaemon, std::vector<PeerShare> aShares,
              Instant aNow);
  /// Takes back what daemons told that have told nothing for `aLife`: they
  /// have ended or are cut off.
  void Tick(Instant aNow, Micros aLife);

 private:
  struct Told {
    std::vector<PeerShare> shares;
    Instant at;
  };

  static void TakeBack(Told& aTold);

  std::map<std::string, Told> byDaemon;
};

}  // namespace zincstep
