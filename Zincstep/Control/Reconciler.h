#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// The actual state of an upstream and its declared version.
struct UpstreamState {
  std::string name;
  std::string address;
  std::string model;
  LayerRange layers;
  std::string declaredVersion;
  /// Empty while it loads or if it did not respond.
  std::string actualVersion;
  double sequences = 0;
  bool reachable = false;
  bool leaving = false;
  bool checksFence = false;
};

/// An order to load a version, sent with a fence.
struct LoadOrder {
  std::string upstream;
  std::string address;
  std::string version;
  /// The version that the upstream must hold now. An order that arrives late,
  /// after the upstream has changed again, has no effect.
  std::string expectedVersion;
};

/// Actions that the reconciler requests now.
struct ReconcileStep {
  /// Upstreams that daemons send no new work to.
  std::vector<std::string> paused;
  std::vector<LoadOrder> orders;
  /// Upstreams that are not as declared, with the reason why they wait.
  std::map<std::string, std::string> stuck;
};

/// Settings of a reconciler.
struct ReconcilerSettings {
  /// Limits the load on the weight store.
  int maxConcurrentLoads = 2;
  /// Backoff before an order without effect is sent again; doubles each time.
  Micros initialBackoff = 2s;
  Micros maxBackoff = 60s;
  /// A paused upstream whose sequences do not end is changed after this time.
  Micros drainTimeout = 330s;
  /// Time after which a load counts as stuck.
  Micros loadTimeout = 120s;
};

/// Brings upstreams from their actual version to the declared one.
///
/// Each upstream is paused, drained of its sequences and ordered to load. An
/// upstream may only be taken out of service while the others of its model
/// still cover every layer in one version, unless no chain is complete anyway.
/// The actual state is read again in each step, so a stray order or a restart
/// is corrected like any other difference.
class Reconciler {
 public:
  explicit Reconciler(ReconcilerSettings aSettings) : settings(aSettings) {}

  /// Returns the next actions; call periodically.
  ReconcileStep Step(const std::vector<UpstreamState>& aStates,
                     const std::map<std::string, int>& aLayers, Instant aNow);

  /// Discards all state, as after the leadership is lost.
  void Reset() { this->changes.clear(); }

 private:
  struct Change {
    Instant pausedAt;
    Instant retryAt;
    int orders = 0;
  };

  bool CanTakeOutOfService(const std::vector<UpstreamState>& aStates,
                           const UpstreamState& aUpstream, int aLayers) const;
  bool CanStartChange(const std::vector<UpstreamState>& aStates,
                      const UpstreamState& aUpstream, int aLayers,
                      int aChanging, std::string& aReason) const;
  void ContinueChange(const UpstreamState& aUpstream, Change& aChange,
                      Instant aNow, ReconcileStep& aStep) const;

  ReconcilerSettings settings;
  std::map<std::string, Change> changes;
};

/// Whether these upstreams cover all layers in one version.
bool CoversAllLayers(const std::vector<const UpstreamState*>& aUpstreams,
                     int aLayers);

}  // namespace zincstep
