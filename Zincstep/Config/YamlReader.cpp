#include "Zincstep/Config/YamlReader.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

YamlReader::YamlReader(const YAML::Node& aNode, std::string aPath,
                       std::vector<ConfigurationError>& aFaults)
    : node(aNode), path(std::move(aPath)), faults(&aFaults) {
  if (!this->node.IsMap()) {
    this->Fault("", "a mapping");
  }
}

YAML::Node YamlReader::Child(const char* aKey) const {
  if (!this->node.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node& parent = this->node;
  return parent[aKey];
}

void YamlReader::FaultAt(const YAML::Node& aNode, const std::string& aPath,
                         const std::string& aExpected) {
  const YAML::Mark mark = aNode.IsDefined() ? aNode.Mark() : this->node.Mark();
  this->faults->push_back({mark.line + 1, aPath, aExpected});
}

void YamlReader::Fault(const std::string& aKey, const std::string& aExpected) {
  if (aKey.empty()) {
    this->FaultAt(this->node, this->path, aExpected);
    return;
  }
  const std::string place = this->path.empty() ? aKey : this->path + "." + aKey;
  this->FaultAt(this->Child(aKey.c_str()), place, aExpected);
}

void YamlReader::AllowOnly(std::initializer_list<std::string_view> aKeys) {
  if (!this->node.IsMap()) {
    return;
  }
  std::vector<std::string> seen;
  for (const auto& entry : this->node) {
    const std::string key = entry.first.Scalar();
    const std::string place = this->path.empty() ? key : this->path + "." + key;
    if (std::find(aKeys.begin(), aKeys.end(), key) == aKeys.end()) {
      this->FaultAt(entry.first, place, "no such key in this place");
    }
    if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
      this->FaultAt(entry.first, place, "each key once");
    }
    seen.push_back(key);
  }
}

std::string YamlReader::Text(const char* aKey) {
  const YAML::Node child = this->Child(aKey);
  if (!child.IsDefined() || !child.IsScalar() || child.Scalar().empty()) {
    this->Fault(aKey, "a text");
    return {};
  }
  return child.Scalar();
}

std::string YamlReader::TextOr(const char* aKey, const std::string& aDefault) {
  return this->Child(aKey).IsDefined() ? this->Text(aKey) : aDefault;
}

std::int64_t YamlReader::Whole(const char* aKey, std::int64_t aLow,
                               std::int64_t aHigh) {
  const YAML::Node child = this->Child(aKey);
  std::int64_t value = 0;
  const bool read = child.IsDefined() && child.IsScalar() &&
                    YAML::convert<std::int64_t>::decode(child, value);
  if (!read || value < aLow || value > aHigh) {
    this->Fault(aKey, "a whole number from " + std::to_string(aLow) + " to " +
                          std::to_string(aHigh));
    return aLow;
  }
  return value;
}

std::int64_t YamlReader::WholeOr(const char* aKey, std::int64_t aLow,
                                 std::int64_t aHigh, std::int64_t aDefault) {
  return this->Child(aKey).IsDefined() ? this->Whole(aKey, aLow, aHigh)
                                       : aDefault;
}

double YamlReader::NumberOr(const char* aKey, double aLow, double aHigh,
                            double aDefault) {
  const YAML::Node child = this->Child(aKey);
  if (!child.IsDefined()) {
    return aDefault;
  }
  double value = 0;
  const bool read =
      child.IsScalar() && YAML::convert<double>::decode(child, value);
  if (!read || !std::isfinite(value) || value < aLow || value > aHigh) {
    this->Fault(aKey, "a number from " + std::to_string(aLow) + " to " +
                          std::to_string(aHigh));
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
    this->Fault(aKey, "true or false");
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
    this->Fault(aKey, "a list of texts");
    return texts;
  }
  for (const YAML::Node& item : child) {
    if (!item.IsScalar() || item.Scalar().empty()) {
      this->FaultAt(item, this->path + "." + aKey, "a list of texts");
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
    this->Fault(aKey, "a list");
    return readers;
  }
  const std::string prefix = this->path.empty() ? "" : this->path + ".";
  for (std::size_t i = 0; i < child.size(); ++i) {
    const std::string place = prefix + aKey + "[" + std::to_string(i) + "]";
    readers.emplace_back(child[i], place, *this->faults);
  }
  return readers;
}

LayerRange YamlReader::Layers(const char* aKey) {
  const YAML::Node child = this->Child(aKey);
  LayerRange range;
  const bool read = child.IsDefined() && child.IsSequence() &&
                    child.size() == 2 &&
                    YAML::convert<int>::decode(child[0], range.first) &&
                    YAML::convert<int>::decode(child[1], range.last);
  if (!read || range.first < 0 || range.last <= range.first) {
    this->Fault(aKey, "[first, last] with 0 <= first < last");
    return {};
  }
  return range;
}

}  // namespace zincstep
