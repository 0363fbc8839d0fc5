#pragma once

#include <optional>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Load that an upstream announced in a response or a report.
struct AnnouncedLoad {
  int running = 0;
  int queued = 0;
  /// When the upstream had this load, as far as known.
  Instant at{};

  int Requests() const { return this->running + this->queued; }
};

/// Who received an announced load from the upstream.
enum class LoadSource { ThisDaemon, Peer };

/// Requests in flight at an upstream as the first stage of their chains.
///
/// An upstream runs a limited number of requests as first stage, whatever their
/// size, and queues some more. Requests are counted by the daemons that sent
/// them; the load that the upstream announces covers those of daemons that are
/// partitioned or have ended.
class FirstStageLoad {
 public:
  /// Records the start or the end of a request of this daemon.
  void OnStarted(Instant aNow);
  void OnEnded();
  /// Adds or removes requests that another daemon reported.
  void AddRemote(int aRequests) { this->remote += aRequests; }
  void RemoveRemote(int aRequests);
  /// Records an announced load, unless a newer one is known.
  void Announce(const AnnouncedLoad& aLoad,
                LoadSource aSource = LoadSource::ThisDaemon);

  /// Requests of this daemon.
  int Local() const { return this->local; }
  /// Requests of this daemon and those that others reported.
  int Counted() const { return this->local + this->remote; }
  /// The newest announced load; none if it is out of date.
  std::optional<AnnouncedLoad> Announced(Instant aNow) const;
  /// The newest announced load if this daemon received it from the upstream
  /// itself within `aMaxAge`; else none.
  std::optional<AnnouncedLoad> AnnouncedHere(Instant aNow,
                                             Micros aMaxAge) const;
  /// Returns the requests that are expected to run or to be queued now.
  /// `aResponseSeconds` is the mean duration of a response.
  ///
  /// The part of an announced load that the counts do not cover belongs to
  /// daemons that do not report, and ends within one response.
  double Expected(double aResponseSeconds, Instant aNow) const;
  /// Returns the time that a request sent now is expected to be queued, at an
  /// upstream with `aSlots` slots.
  Micros ExpectedWait(int aSlots, double aResponseSeconds, Instant aNow) const;

 private:
  int local = 0;
  int remote = 0;
  std::optional<AnnouncedLoad> announced;
  LoadSource source = LoadSource::ThisDaemon;
  /// Starts of this daemon's requests since the announced load, within the
  /// maximum age of one; oldest first.
  std::vector<Instant> recentStarts;
};

}  // namespace zincstep
