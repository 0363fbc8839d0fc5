#pragma once

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "Zincstep/Config/ConfigurationParser.h"

namespace zincstep {

/// Reads one mapping of a YAML file and notes every fault with its place.
class YamlReader {
 public:
  YamlReader(const YAML::Node& aNode, std::string aPath,
             std::vector<ConfigurationError>& aFaults);

  /// Notes a fault for each key that is not among `aKeys`.
  void AllowOnly(std::initializer_list<std::string_view> aKeys);

  /// A text of at least one character.
  std::string Text(const char* aKey);
  /// A text, or `aDefault` where the key is missing.
  std::string TextOr(const char* aKey, const std::string& aDefault);
  /// A whole number in [`aLow`, `aHigh`].
  std::int64_t Whole(const char* aKey, std::int64_t aLow, std::int64_t aHigh);
  /// A whole number in range, or `aDefault` where the key is missing.
  std::int64_t WholeOr(const char* aKey, std::int64_t aLow, std::int64_t aHigh,
                       std::int64_t aDefault);
  /// A number in [`aLow`, `aHigh`], or `aDefault` where it is missing.
  double NumberOr(const char* aKey, double aLow, double aHigh, double aDefault);
  /// `true` or `false`, or `aDefault` where the key is missing.
  bool FlagOr(const char* aKey, bool aDefault);
  /// A list of texts; empty where the key is missing.
  std::vector<std::string> Texts(const char* aKey);
  /// Readers of the mappings of a list; empty where the key is missing.
  std::vector<YamlReader> Mappings(const char* aKey);
  /// A layer range, written `[first, last]` with last outside.
  LayerRange Layers(const char* aKey);

  /// Notes a fault at `aKey`, or at the mapping itself when it is empty.
  void Fault(const std::string& aKey, const std::string& aExpected);

 private:
  YAML::Node Child(const char* aKey) const;
  void FaultAt(const YAML::Node& aNode, const std::string& aPath,
               const std::string& aExpected);

  YAML::Node node;
  std::string path;
  std::vector<ConfigurationError>* faults;
};

}  // namespace zincstep
