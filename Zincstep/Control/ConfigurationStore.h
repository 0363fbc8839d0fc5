#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Platform/Platform.h"

namespace zincstep {

/// An accepted write of the root, kept so that a writer can find its own.
struct AcceptedWrite {
  std::uint64_t revision = 0;
  std::string writer;
};

/// The root record, replaced by one compare-and-swap: the accepted
/// configuration.
struct ConfigurationRoot {
  /// Number of accepted files; rises by one each time.
  std::uint64_t revision = 0;
  std::vector<PieceName> pieces;
  /// The latest writes, newest last.
  std::vector<AcceptedWrite> history;
  /// Microseconds since 1970 at which the root was written.
  std::int64_t acceptedAt = 0;
};

/// Converts a root to text and back.
std::string WriteRoot(const ConfigurationRoot& aRoot);
Result<ConfigurationRoot> ReadRoot(const std::string& aText);

/// A complete accepted configuration, ready to be forwarded or parsed.
struct StoredConfiguration {
  ConfigurationRoot root;
  ConfigurationPieces pieces;
  /// Revision of the root's key in the store, expected by the next swap.
  std::uint64_t storeRevision = 0;
};

/// Returns microseconds since 1970.
using WallClock = std::function<std::int64_t()>;

/// Result of an application.
struct ApplyOutcome {
  std::uint64_t revision = 0;
  /// The file was already active; nothing was written.
  bool unchanged = false;
  /// The response was lost, but the store shows that the write took effect.
  bool resolvedFromStore = false;
};

/// Key of the root.
inline constexpr const char* kRootKey = "config/root";
/// Prefix of the keys of pieces.
inline constexpr const char* kPiecePrefix = "config/piece/";

/// Reads and replaces the configuration in the key-value service.
///
/// Pieces are written first, under their digests; then one compare-and-swap of
/// the root accepts the file as a unit. Each write of the root carries a unique
/// writer name, and the root keeps the latest of these names. After a lost
/// response the store alone shows whether the write took effect, even if
/// another write followed.
class ConfigurationStore {
 public:
  explicit ConfigurationStore(KeyValueStore& aStore) : store(aStore) {}

  /// Reads the accepted configuration; none if nothing was applied yet.
  ///
  /// Pieces in `aKnown` are not read again.
  Result<std::optional<StoredConfiguration>> Load(
      const ConfigurationPieces* aKnown);

  /// Like `Load`, from a root that has already been read.
  Result<StoredConfiguration> LoadPieces(const StoredValue& aRoot,
                                         const ConfigurationPieces* aKnown);

  /// Makes `aYaml` the accepted configuration in place of `aBase`.
  ///
  /// Fails with `ConfigConflict` if another file was accepted since, and with
  /// `PlatformUnavailable` if the outcome is not known yet.
  Result<ApplyOutcome> Apply(const std::string& aYaml,
                             const std::optional<StoredConfiguration>& aBase,
                             const std::string& aWriter,
                             const WallClock& aWallClock);

  /// Removes pieces that the root does not reference and that were already
  /// unused, at the same revision, in an earlier pass.
  ///
  /// Returns the pieces that are unused now, the input of the next pass. A
  /// writer that reuses an unused piece writes it again, which changes its
  /// revision, so a pass between the writes of its pieces and its root does not
  /// remove it.
  Result<std::vector<KeyedValue>> CollectUnused(
      const std::vector<KeyedValue>& aUnusedBefore);

 private:
  Result<void> ReadPieces(const std::set<std::string>& aDigests,
                          ConfigurationPieces& aPieces);
  Result<void> ReadAllPieces(const std::set<std::string>& aDigests,
                             ConfigurationPieces& aPieces);
  Result<void> WritePieces(const ConfigurationPieces& aPieces,
                           const std::optional<StoredConfiguration>& aBase);
  Result<void> WritePiece(const std::string& aDigest, const std::string& aText);
  Result<ApplyOutcome> Resolve(const std::string& aWriter,
                               std::uint64_t aRevision);

  KeyValueStore& store;
};

}  // namespace zincstep
