#pragma once

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Edge/EdgeSettings.h"

namespace zincstep {

/// Keeps this daemon's entry in the store, by which the others find it.
class DaemonEntry {
 public:
  /// What an entry tells of a daemon.
  struct Text {
    std::string name;
    /// Where it listens for other daemons.
    std::string address;
    std::string failureDomain;
  };

  /// Reads an entry; `aKey` is without the settings' prefix. None where it is
  /// no such entry, or does not parse.
  static std::optional<Text> Read(const std::string& aKey,
                                  const std::string& aValue);

  DaemonEntry(const EdgeSettings& aSettings, AsyncStore& aStore,
              const Clock& aClock)
      : settings(aSettings), store(aStore), clock(aClock) {}

  /// Writes the entry or renews its lease where it is time; to be called
  /// several times a second.
  void Keep();

 private:
  /// What the keys of such entries begin with, behind the settings' prefix.
  static constexpr const char* kPrefix = "members/";

  void Write();

  const EdgeSettings& settings;
  AsyncStore& store;
  const Clock& clock;
  std::uint64_t lease = 0;
  Instant nextKeep{};
  bool isWriting = false;
};

}  // namespace zincstep
