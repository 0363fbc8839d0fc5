#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Another daemon that accepts requests which this one can't send to upstreams.
struct ForwardPeer {
  std::string name;
  /// host:port at which it accepts forwarded requests.
  std::string address;
  std::string failureDomain;
};

/// Settings of the choice of a daemon to forward to.
struct ForwardChooserSettings {
  std::string failureDomain;
  /// Initial and maximum time for which a daemon that refused a service's
  /// request gets no others of it: it may lack a path to the upstreams as well,
  /// or be overloaded. Doubles with each consecutive refusal.
  Micros minRefusalBackoff = 250ms;
  Micros maxRefusalBackoff = 2s;
  /// The same for a daemon that does not respond.
  Micros minFailureBackoff = 1s;
  Micros maxFailureBackoff = 8s;
  /// Maximum age of a daemon's report that it is cut off: daemons repeat it
  /// every 400 ms, and a lost message must not hide the end.
  Micros maxReachAge = 1s;
};

/// Chooses the daemons that requests are forwarded to.
///
/// Knows of other daemons how they handled forwarded requests: a daemon that
/// can't serve one refuses at once. A silent run has to be cancelled before
/// another daemon is asked, so that it also knows which daemons report that
/// they do not reach the upstreams either. Only daemons that send their work to
/// this one report that; the reach of others counts as unknown.
class ForwardChooser {
 public:
  ForwardChooser(ForwardChooserSettings aSettings, const Clock& aClock,
                 Random& aRandom)
      : settings(std::move(aSettings)), clock(aClock), random(aRandom) {}

  /// Sets the other daemons.
  void SetPeers(const std::vector<ForwardPeer>& aPeers);
  /// Returns a daemon for a request to `aService` that is not in `aTried`, or
  /// none. Prefers the own failure domain unless most of its daemons can't
  /// serve; of two random ones the one with fewer requests from here. One that
  /// is cut off from the service is only returned if all are: it may reach some
  /// upstreams.
  std::optional<ForwardPeer> Choose(const std::string& aService,
                                    const std::vector<std::string>& aTried);
  /// Whether a daemon is not known to be cut off from the service, or reaches
  /// more of its upstreams than this one, which doesn't reach `aUnreachable`.
  bool HasReaching(const std::string& aService, std::size_t aUnreachable) const;
  /// Whether any daemon is known besides `aPeers`, usable or not.
  bool HasOtherThan(const std::vector<std::string>& aPeers) const;
  /// Records the services that a daemon reports to be cut off from, and how
  /// many of their upstreams it doesn't reach. Replaces its previous report.
  void OnReach(const std::string& aPeer,
               const std::map<std::string, std::size_t>& aCutOffFrom);
  /// Records that a request was sent to a daemon, and that it has ended there.
  void OnStarted(const std::string& aPeer);
  void OnEnded(const std::string& aPeer);
  /// Records that a daemon refused a request to `aService`.
  void OnRefused(const std::string& aPeer, const std::string& aService);
  /// Records that a daemon did not respond.
  void OnNoResponse(const std::string& aPeer);
  /// Records that a daemon served a request to `aService`.
  void OnServed(const std::string& aPeer, const std::string& aService);

 private:
  struct Refusals {
    /// Consecutive ones.
    int count = 0;
    Instant until{};
  };
  struct State {
    ForwardPeer peer;
    /// Requests from this daemon in flight there.
    int active = 0;
    int failures = 0;
    Instant retryAt{};
    /// By service.
    std::map<std::string, Refusals> refusals;
    /// Upstreams that it doesn't reach of each service that it reported to be
    /// cut off from, and when.
    std::map<std::string, std::size_t> cutOffFrom;
    Instant reportedAt{};
  };

  /// Returns the daemons that may be chosen; of those that are cut off, only
  /// the ones that don't reach fewer than `aUnreachable` upstreams.
  std::vector<const State*> Candidates(const std::string& aService,
                                       const std::vector<std::string>& aTried,
                                       std::size_t aUnreachable) const;
  /// Returns how many upstreams a daemon that is cut off doesn't reach; 0 if it
  /// isn't.
  std::size_t Unreachable(const State& aState, const std::string& aService,
                          Instant aNow) const;
  bool IsUsable(const State& aState, const std::string& aService,
                Instant aNow) const;
  State* Find(const std::string& aPeer);

  ForwardChooserSettings settings;
  const Clock& clock;
  Random& random;
  /// By name.
  std::map<std::string, State> peers;
};

}  // namespace zincstep
