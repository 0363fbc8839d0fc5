#pragma once

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {

/// Keeps this daemon's entry in the store, by which the others find it.
class DaemonEntry {
 public:
  /// What the keys of such entries begin with, behind the settings' prefix.
  static constexpr const char* kPrefix = "members/";

  DaemonEntry(const EdgeSettings& aSettings, AsyncStore& aStore,
              const Clock& aClock)
      : settings(aSettings), store(aStore), clock(aClock) {}

  /// Writes the entry or renews its lease where it is time; to be called
  /// several times a second.
  void Keep();

 private:
  void Write();

  const EdgeSettings& settings;
  AsyncStore& store;
  const Clock& clock;
  std::uint64_t lease = 0;
  Instant nextKeep{};
  bool isWriting = false;
};

}  // namespace zincstep
