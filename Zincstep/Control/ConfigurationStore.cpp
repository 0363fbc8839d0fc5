#include "Zincstep/Control/ConfigurationStore.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxHistory = 64;
constexpr int kMaxResolveAttempts = 5;
/// Up to this number, missing pieces are read individually; more are read by
/// one list call.
constexpr std::size_t kMaxSingleReads = 4;

}  // namespace

std::string WriteRoot(const ConfigurationRoot& aRoot) {
  Json pieces = Json::array();
  for (const PieceName& piece : aRoot.pieces) {
    pieces.push_back({piece.section, piece.digest});
  }
  Json history = Json::array();
  for (const AcceptedWrite& write : aRoot.history) {
    history.push_back({write.revision, write.writer});
  }
  return Json{{"revision", aRoot.revision},
              {"pieces", std::move(pieces)},
              {"history", std::move(history)},
              {"accepted_at", aRoot.acceptedAt}}
      .dump();
}

Result<ConfigurationRoot> ReadRoot(const std::string& aText) {
  try {
    const Json json = ParseForeignJsonOrThrow(aText);
    ConfigurationRoot root;
    root.revision = json.at("revision").get<std::uint64_t>();
    root.acceptedAt = json.at("accepted_at").get<std::int64_t>();
    for (const Json& piece : json.at("pieces")) {
      root.pieces.push_back(
          {piece.at(0).get<std::string>(), piece.at(1).get<std::string>()});
    }
    for (const Json& write : json.at("history")) {
      root.history.push_back(
          {write.at(0).get<std::uint64_t>(), write.at(1).get<std::string>()});
    }
    return root;
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::Internal,
                std::string("invalid configuration root: ") + error.what());
  }
}

Result<std::optional<StoredConfiguration>> ConfigurationStore::Load(
    const ConfigurationPieces* aKnown) {
  const auto value = this->store.Get(kRootKey);
  if (!value) {
    return tl::unexpected(value.error());
  }
  if (!*value) {
    return std::optional<StoredConfiguration>();
  }
  Result<StoredConfiguration> loaded = this->LoadPieces(**value, aKnown);
  if (!loaded) {
    return tl::unexpected(loaded.error());
  }
  return std::optional(std::move(*loaded));
}

Result<StoredConfiguration> ConfigurationStore::LoadPieces(
    const StoredValue& aRoot, const ConfigurationPieces* aKnown) {
  Result<ConfigurationRoot> root = ReadRoot(aRoot.value);
  if (!root) {
    return tl::unexpected(root.error());
  }
  StoredConfiguration stored;
  stored.root = std::move(*root);
  stored.storeRevision = aRoot.revision;
  stored.pieces.names = stored.root.pieces;
  std::set<std::string> missing;
  for (const PieceName& name : stored.root.pieces) {
    if (aKnown != nullptr && aKnown->texts.contains(name.digest)) {
      stored.pieces.texts[name.digest] = aKnown->texts.at(name.digest);
    } else {
      missing.insert(name.digest);
    }
  }
  const Result<void> read = missing.size() > kMaxSingleReads
                                ? this->ReadAllPieces(missing, stored.pieces)
                                : this->ReadPieces(missing, stored.pieces);
  if (!read) {
    return tl::unexpected(read.error());
  }
  return stored;
}

Result<void> ConfigurationStore::ReadPieces(
    const std::set<std::string>& aDigests, ConfigurationPieces& aPieces) {
  for (const std::string& digest : aDigests) {
    const auto piece = this->store.Get(kPiecePrefix + digest);
    if (!piece) {
      return tl::unexpected(piece.error());
    }
    if (!*piece) {
      return Fail(ErrorKind::PlatformUnavailable,
                  "piece " + digest + " is not in the store");
    }
    aPieces.texts[digest] = (*piece)->value;
  }
  return {};
}

Result<void> ConfigurationStore::ReadAllPieces(
    const std::set<std::string>& aDigests, ConfigurationPieces& aPieces) {
  const auto all = this->store.List(kPiecePrefix);
  if (!all) {
    return tl::unexpected(all.error());
  }
  const std::string prefix = kPiecePrefix;
  std::set<std::string> missing = aDigests;
  for (const KeyedValue& piece : *all) {
    const std::string digest = piece.key.substr(prefix.size());
    if (missing.erase(digest) > 0) {
      aPieces.texts[digest] = piece.stored.value;
    }
  }
  if (!missing.empty()) {
    return Fail(ErrorKind::PlatformUnavailable,
                "piece " + *missing.begin() + " is not in the store");
  }
  return {};
}

Result<void> ConfigurationStore::WritePiece(const std::string& aDigest,
                                            const std::string& aText) {
  const std::string key = kPiecePrefix + aDigest;
  std::uint64_t expected = 0;
  Error last{ErrorKind::PlatformUnavailable, "", {}};
  for (int i = 0; i < kMaxResolveAttempts; ++i) {
    const auto written = this->store.CompareAndSwap(key, expected, aText, 0);
    if (written && *written) {
      return {};
    }
    // The piece exists or the response was lost. Writing it again changes its
    // revision, which keeps it from being removed as unused.
    const auto present = this->store.Get(key);
    if (!present) {
      last = present.error();
      continue;
    }
    expected = *present ? (*present)->revision : 0;
  }
  return tl::unexpected(last);
}

Result<void> ConfigurationStore::WritePieces(
    const ConfigurationPieces& aPieces,
    const std::optional<StoredConfiguration>& aBase) {
  for (const auto& [digest, text] : aPieces.texts) {
    if (aBase && aBase->pieces.texts.contains(digest)) {
      continue;
    }
    Result<void> written = this->WritePiece(digest, text);
    if (!written) {
      return written;
    }
  }
  return {};
}

Result<ApplyOutcome> ConfigurationStore::Resolve(const std::string& aWriter,
                                                 std::uint64_t aRevision) {
  Error last{ErrorKind::PlatformUnavailable, "", {}};
  for (int i = 0; i < kMaxResolveAttempts; ++i) {
    const auto value = this->store.Get(kRootKey);
    if (!value) {
      last = value.error();
      continue;
    }
    const auto root = *value ? ReadRoot((*value)->value)
                             : Result<ConfigurationRoot>(ConfigurationRoot{});
    if (!root) {
      return tl::unexpected(root.error());
    }
    for (const AcceptedWrite& write : root->history) {
      if (write.writer == aWriter) {
        return ApplyOutcome{write.revision, false, true};
      }
    }
    // A write still in flight fails its swap once the root has moved past the
    // base; until then it may take effect.
    if (root->revision >= aRevision) {
      return Fail(ErrorKind::ConfigConflict, "another file was accepted");
    }
    last = {ErrorKind::PlatformUnavailable,
            "no response, and the write has not taken effect yet; apply again",
            {}};
  }
  return tl::unexpected(last);
}

Result<ApplyOutcome> ConfigurationStore::Apply(
    const std::string& aYaml, const std::optional<StoredConfiguration>& aBase,
    const std::string& aWriter, const WallClock& aWallClock) {
  const ConfigurationPieces pieces = SplitConfiguration(aYaml);
  if (aBase && aBase->root.pieces == pieces.names) {
    return ApplyOutcome{aBase->root.revision, true, false};
  }
  const Result<void> written = this->WritePieces(pieces, aBase);
  if (!written) {
    return tl::unexpected(written.error());
  }
  ConfigurationRoot root;
  root.revision = aBase ? aBase->root.revision + 1 : 1;
  root.pieces = pieces.names;
  root.acceptedAt = aWallClock();
  if (aBase) {
    root.history = aBase->root.history;
  }
  root.history.push_back({root.revision, aWriter});
  if (root.history.size() > kMaxHistory) {
    root.history.erase(root.history.begin());
  }
  const std::uint64_t expected = aBase ? aBase->storeRevision : 0;
  const auto swapped =
      this->store.CompareAndSwap(kRootKey, expected, WriteRoot(root), 0);
  if (!swapped) {
    return this->Resolve(aWriter, root.revision);
  }
  if (!*swapped) {
    // A retry in a lower layer may have succeeded after a lost response.
    return this->Resolve(aWriter, root.revision);
  }
  return ApplyOutcome{root.revision, false, false};
}

Result<std::vector<KeyedValue>> ConfigurationStore::CollectUnused(
    const std::vector<KeyedValue>& aUnusedBefore) {
  const auto stored = this->store.List(kPiecePrefix);
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  // The root is read after the list, so that a piece referenced in between is
  // not removed.
  const auto value = this->store.Get(kRootKey);
  if (!value) {
    return tl::unexpected(value.error());
  }
  const auto root = *value ? ReadRoot((*value)->value)
                           : Result<ConfigurationRoot>(ConfigurationRoot{});
  if (!root) {
    return tl::unexpected(root.error());
  }
  std::set<std::string> used;
  for (const PieceName& piece : root->pieces) {
    used.insert(kPiecePrefix + piece.digest);
  }
  std::vector<KeyedValue> unused;
  for (const KeyedValue& piece : *stored) {
    if (used.contains(piece.key)) {
      continue;
    }
    const bool wasUnusedBefore =
        std::any_of(aUnusedBefore.begin(), aUnusedBefore.end(),
                    [&](const KeyedValue& aEarlier) {
                      return aEarlier.key == piece.key &&
                             aEarlier.stored.revision == piece.stored.revision;
                    });
    if (!wasUnusedBefore) {
      unused.push_back({piece.key, {"", piece.stored.revision}});
      continue;
    }
    const auto removed = this->store.Remove(piece.key, piece.stored.revision);
    if (!removed) {
      return tl::unexpected(removed.error());
    }
  }
  return unused;
}

}  // namespace zincstep
