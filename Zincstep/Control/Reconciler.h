#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"

namespace zincstep {

/// One upstream as it is, beside what is declared for it.
struct UpstreamState {
  std::string name;
  std::string address;
  std::string model;
  LayerRange layers;
  std::string declaredVersion;
  /// Empty while it loads, or where it was not heard.
  std::string actualVersion;
  double sequences = 0;
  bool reachable = false;
  bool leaving = false;
  bool checksFence = false;
};

/// An order to load a version, sent under a fence.
struct LoadOrder {
  std::string upstream;
  std::string address;
  std::string version;
  /// The version that it must hold now: an order that comes late, when
  /// the upstream has moved on, does nothing.
  std::string expectedVersion;
};

/// What the reconciler wants now.
struct ReconcileStep {
  /// Upstreams that daemons are to give no new work.
  std::vector<std::string> paused;
  std::vector<LoadOrder> orders;
  /// What is not as declared, and why it waits: upstream to reason.
  std::map<std::string, std::string> stuck;
};

/// Settings of a reconciler.
struct ReconcilerSettings {
  /// Loads at a time, for the weight store's sake.
  int loadsAtATime = 2;
  /// Pause before an order that had no effect is sent again; doubles.
  Micros initialBackoff = 2s;
  Micros maxBackoff = 60s;
  /// A paused upstream whose sequences do not end is changed after this.
  Micros drainTimeout = 330s;
  /// Time for which a load may take before it counts as stuck.
  Micros loadTimeout = 120s;
};

/// Brings upstreams from the version they hold to the declared one.
///
/// One upstream after the other is paused, left to end its sequences, and
/// ordered to load. An upstream may only be taken out while the others of
/// its model still cover every layer in one of the versions; it is not
/// when nothing would be left, unless no chain is whole anyway. The state
/// of the world is read anew in each step, so that a stray order or a
/// restart is mended like any other difference.
class Reconciler {
 public:
  explicit Reconciler(ReconcilerSettings aSettings) : settings(aSettings) {}

  /// Decides on the next step.
  ReconcileStep Step(const std::vector<UpstreamState>& aStates,
                     const std::map<std::string, int>& aLayers, Instant aNow);

  /// Forgets all, as when the duty is lost.
  void Reset() { this->changes.clear(); }

 private:
  struct Change {
    Instant pausedAt;
    Instant retryAt;
    int orders = 0;
  };

  bool CanSpare(const std::vector<UpstreamState>& aStates,
                const UpstreamState& aOne, int aLayers) const;
  bool MayBegin(const std::vector<UpstreamState>& aStates,
                const UpstreamState& aOne, int aLayers, int aMoving,
                std::string& aWhyNot) const;
  void Advance(const UpstreamState& aOne, Change& aChange, Instant aNow,
               ReconcileStep& aStep) const;

  ReconcilerSettings settings;
  std::map<std::string, Change> changes;
};

/// Whether these upstreams cover all layers in one version.
bool CoversAllLayers(const std::vector<const UpstreamState*>& aUpstreams,
                     int aLayers);

}  // namespace zincstep
