#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Identifies one piece of a configuration by the digest of its content.
struct PieceName {
  /// Section and bucket, such as `organisations/03`.
  std::string section;
  /// SHA-256 of the piece's text.
  std::string digest;

  bool operator==(const PieceName&) const = default;
};

/// A configuration split into content-addressed pieces.
///
/// A change to one organisation or upstream changes one piece, so that only
/// this piece is written and read again, and every piece stays well below the
/// maximum value size of the key-value service.
struct ConfigurationPieces {
  std::vector<PieceName> names;
  /// Text of each piece by its digest.
  std::map<std::string, std::string> texts;

  /// Returns the digest of all pieces; equivalent files have equal digests.
  std::string Digest() const;
};

/// Splits a valid operators' file; lists are sorted by item name.
ConfigurationPieces SplitConfiguration(const std::string& aYaml);

/// Joins the pieces into a file that `ParseConfiguration` reads.
///
/// Fails with `Internal` where a piece is missing or does not match its digest.
Result<std::string> JoinConfiguration(const ConfigurationPieces& aPieces);

/// One difference between two configurations.
struct ConfigurationChange {
  enum class Kind { Added, Removed, Changed };
  Kind kind = Kind::Changed;
  /// Section and item name, such as `organisations/tavua-ovens`.
  std::string item;
};

/// Names of the changes in the client's output.
inline constexpr NameTable<ConfigurationChange::Kind, 3> kChangeNames{{
    {ConfigurationChange::Kind::Added, "added"},
    {ConfigurationChange::Kind::Removed, "removed"},
    {ConfigurationChange::Kind::Changed, "changed"},
}};

/// Returns the changes by item that turn `aBefore` into `aAfter`.
std::vector<ConfigurationChange> CompareConfigurations(
    const ConfigurationPieces& aBefore, const ConfigurationPieces& aAfter);

}  // namespace zincstep
