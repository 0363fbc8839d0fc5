#include "Zincstep/Config/YamlReader.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

YamlReader::YamlReader(const YAML::Node& aNode, std::string aPath,
                       std::vector<ConfigurationError>& aErrors)
    : node(aNode), path(std::move(aPath)), errors(&aErrors) {
  if (!this->node.IsMap()) {
    this->AddError("", "a mapping");
  }
}

YAML::Node YamlReader::Child(const char* aKey) const {
  if (!this->node.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node& parent = this->node;
  return parent[aKey];
}

void YamlReader::AddErrorAt(const YAML::Node& aNode, const std::string& aPath,
                            const std::string& aExpected) {
  const YAML::Mark mark = aNode.IsDefined() ? aNode.Mark() : this->node.Mark();
  this->errors->push_back({mark.line + 1, aPath, aExpected});
}

void YamlReader::AddError(const std::string& aKey,
                          const std::string& aExpected) {
  if (aKey.empty()) {
    this->AddErrorAt(this->node, this->path, aExpected);
    return;
  }
  const std::string fullPath =
      this->path.empty() ? aKey : this->path + "." + aKey;
  this->AddErrorAt(this->Child(aKey.c_str()), fullPath, aExpected);
}

void YamlReader::AllowOnly(std::initializer_list<std::string_view> aKeys) {
  if (!this->node.IsMap()) {
    return;
  }
  std::vector<std::string> seen;
  for (const auto& entry : this->node) {
    const std::string key = entry.first.Scalar();
    const std::string fullPath =
        this->path.empty() ? key : this->path + "." + key;
    if (std::find(aKeys.begin(), aKeys.end(), key) == aKeys.end()) {
      this->AddErrorAt(entry.first, fullPath, "a known key");
    }
    if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
      this->AddErrorAt(entry.first, fullPath, "each key only once");
    }
    seen.push_back(key);
  }
}

std::string YamlReader::Text(const char* aKey) {
  const YAML::Node child = this->Child(aKey);
  if (!child.IsDefined() || !child.IsScalar() || child.Scalar().empty()) {
    this->AddError(aKey, "a non-empty string");
    return {};
  }
  return child.Scalar();
}

std::string YamlReader::TextOr(const char* aKey, const std::string& aDefault) {
  return this->Child(aKey).IsDefined() ? this->Text(aKey) : aDefault;
}

std::int64_t YamlReader::Integer(const char* aKey, std::int64_t aMin,
                                 std::int64_t aMax) {
  const YAML::Node child = this->Child(aKey);
  std::int64_t value = 0;
  const bool isParsed = child.IsDefined() && child.IsScalar() &&
                        YAML::convert<std::int64_t>::decode(child, value);
  if (!isParsed || value < aMin || value > aMax) {
    this->AddError(aKey, "an integer from " + std::to_string(aMin) + " to " +
                             std::to_string(aMax));
    return aMin;
  }
  return value;
}

std::int64_t YamlReader::IntegerOr(const char* aKey, std::int64_t aMin,
                                   std::int64_t aMax, std::int64_t aDefault) {
  return this->Child(aKey).IsDefined() ? this->Integer(aKey, aMin, aMax)
                                       : aDefault;
}

double YamlReader::NumberOr(const char* aKey, double aMin, double aMax,
                            double aDefault) {
  const YAML::Node child = this->Child(aKey);
  if (!child.IsDefined()) {
    return aDefault;
  }
  double value = 0;
  const bool isParsed =
      child.IsScalar() && YAML::convert<double>::decode(child, value);
  if (!isParsed || !std::isfinite(value) || value < aMin || value > aMax) {
    this->AddError(aKey, "a number from " + std::to_string(aMin) + " to " +
                             std::to_string(aMax));
    return aDefault;
  }
  return value;
}

bool YamlReader::FlagOr(const char* aKey, bool aDefault) {
  const YAML::Node child = this->Child(aKey);
  if (!child.IsDefined()) {
    return aDefault;
  }
  bool value = aDefault;
  if (!child.IsScalar() || !YAML::convert<bool>::decode(child, value)) {
    this->AddError(aKey, "true or false");
  }
  return value;
}

std::vector<std::string> YamlReader::Texts(const char* aKey) {
  const YAML::Node child = this->Child(aKey);
  std::vector<std::string> texts;
  if (!child.IsDefined() || child.IsNull()) {
    return texts;
  }
  if (!child.IsSequence()) {
    this->AddError(aKey, "a list of non-empty strings");
    return texts;
  }
  for (const YAML::Node& item : child) {
    if (!item.IsScalar() || item.Scalar().empty()) {
      this->AddErrorAt(item, this->path + "." + aKey,
                       "a list of non-empty strings");
      continue;
    }
    texts.push_back(item.Scalar());
  }
  return texts;
}

std::vector<YamlReader> YamlReader::Mappings(const char* aKey) {
  const YAML::Node child = this->Child(aKey);
  std::vector<YamlReader> readers;
  if (!child.IsDefined() || child.IsNull()) {
    return readers;
  }
  if (!child.IsSequence()) {
    this->AddError(aKey, "a list");
    return readers;
  }
  const std::string prefix = this->path.empty() ? "" : this->path + ".";
  for (std::size_t i = 0; i < child.size(); ++i) {
    const std::string fullPath = prefix + aKey + "[" + std::to_string(i) + "]";
    readers.emplace_back(child[i], fullPath, *this->errors);
  }
  return readers;
}

LayerRange YamlReader::Layers(const char* aKey) {
  const YAML::Node child = this->Child(aKey);
  LayerRange range;
  const bool isParsed = child.IsDefined() && child.IsSequence() &&
                        child.size() == 2 &&
                        YAML::convert<int>::decode(child[0], range.first) &&
                        YAML::convert<int>::decode(child[1], range.last);
  if (!isParsed || range.first < 0 || range.last <= range.first) {
    this->AddError(aKey, "[first, last] with 0 <= first < last");
    return {};
  }
  return range;
}

}  // namespace zincstep
