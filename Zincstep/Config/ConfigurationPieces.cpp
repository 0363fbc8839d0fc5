#include "Zincstep/Config/ConfigurationPieces.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

/// Number of buckets of a list section. With 1,300 organisations a piece holds
/// about 20 of them, a few kilobytes.
constexpr std::uint64_t kBucketCount = 64;

/// Converts a node to JSON with sorted mappings and scalars as strings.
Json ToCanonical(const YAML::Node& aNode) {
  if (aNode.IsMap()) {
    Json object = Json::object();
    for (const auto& entry : aNode) {
      object[entry.first.Scalar()] = ToCanonical(entry.second);
    }
    return object;
  }
  if (aNode.IsSequence()) {
    Json array = Json::array();
    for (const YAML::Node& item : aNode) {
      array.push_back(ToCanonical(item));
    }
    return array;
  }
  return aNode.IsScalar() ? Json(aNode.Scalar()) : Json(nullptr);
}

std::string ItemName(const Json& aItem) {
  if (aItem.is_object() && aItem.contains("name") &&
      aItem.at("name").is_string()) {
    return aItem.at("name").get<std::string>();
  }
  return WriteJson(aItem);
}

std::string BucketName(const std::string& aSection, const std::string& aItem) {
  const std::uint64_t bucket = Hash64(aItem) % kBucketCount;
  const std::string digits = std::to_string(bucket);
  return aSection + "/" + (digits.size() < 2 ? "0" : "") + digits;
}

/// Returns the items of all sections by `section/name`, in canonical form.
std::map<std::string, Json> ItemsOf(const ConfigurationPieces& aPieces) {
  std::map<std::string, Json> items;
  for (const PieceName& name : aPieces.names) {
    const auto text = aPieces.texts.find(name.digest);
    if (text == aPieces.texts.end()) {
      continue;
    }
    const Result<Json> piece = ParseForeignJson(text->second);
    const std::string section = name.section.substr(0, name.section.find('/'));
    if (!piece) {
      continue;  // No configuration has it: JoinConfiguration rejects it.
    }
    if (!piece->is_array()) {
      items[section] = *piece;
      continue;
    }
    for (const Json& item : *piece) {
      items[section + "/" + ItemName(item)] = item;
    }
  }
  return items;
}

void AddPiece(ConfigurationPieces& aPieces, const std::string& aSection,
              const Json& aContent) {
  const std::string text = WriteJson(aContent);
  const std::string digest = Sha256Hex(text);
  aPieces.names.push_back({aSection, digest});
  aPieces.texts[digest] = text;
}

}  // namespace

std::string ConfigurationPieces::Digest() const {
  std::string content;
  for (const PieceName& name : this->names) {
    content += name.section + "=" + name.digest + "\n";
  }
  return Sha256Hex(content);
}

ConfigurationPieces SplitConfiguration(const std::string& aYaml) {
  const Json root = ToCanonical(YAML::Load(aYaml));
  std::map<std::string, std::vector<Json>> buckets;
  ConfigurationPieces pieces;
  for (const auto& [section, content] : root.items()) {
    if (!content.is_array()) {
      AddPiece(pieces, section, content);
      continue;
    }
    for (const Json& item : content) {
      buckets[BucketName(section, ItemName(item))].push_back(item);
    }
  }
  for (auto& [name, items] : buckets) {
    std::sort(items.begin(), items.end(),
              [](const Json& aLeft, const Json& aRight) {
                return ItemName(aLeft) < ItemName(aRight);
              });
    AddPiece(pieces, name, Json(items));
  }
  return pieces;
}

Result<std::string> JoinConfiguration(const ConfigurationPieces& aPieces) {
  Json root = Json::object();
  for (const PieceName& name : aPieces.names) {
    const auto text = aPieces.texts.find(name.digest);
    if (text == aPieces.texts.end() || Sha256Hex(text->second) != name.digest) {
      return Fail(ErrorKind::Internal,
                  "piece " + name.section + " is missing or damaged");
    }
    const std::size_t slash = name.section.find('/');
    const std::string section = name.section.substr(0, slash);
    const Result<Json> piece = ParseForeignJson(text->second);
    if (!piece) {
      return Fail(ErrorKind::Internal,
                  "piece " + name.section + ": " + piece.error().message);
    }
    Json& content = root[section];
    if (slash == std::string::npos) {
      content = *piece;
      continue;
    }
    if (!piece->is_array() || !(content.is_null() || content.is_array())) {
      return Fail(ErrorKind::Internal,
                  "piece " + name.section + " is not part of a list");
    }
    for (const Json& item : *piece) {
      content.push_back(item);
    }
  }
  return WriteJson(root, 1);
}

std::vector<ConfigurationChange> CompareConfigurations(
    const ConfigurationPieces& aBefore, const ConfigurationPieces& aAfter) {
  using Kind = ConfigurationChange::Kind;
  const auto before = ItemsOf(aBefore);
  const auto after = ItemsOf(aAfter);
  std::vector<ConfigurationChange> changes;
  for (const auto& [name, item] : before) {
    const auto found = after.find(name);
    if (found == after.end()) {
      changes.push_back({Kind::Removed, name});
    } else if (found->second != item) {
      changes.push_back({Kind::Changed, name});
    }
  }
  for (const auto& [name, item] : after) {
    if (!before.contains(name)) {
      changes.push_back({Kind::Added, name});
    }
  }
  return changes;
}

}  // namespace zincstep
