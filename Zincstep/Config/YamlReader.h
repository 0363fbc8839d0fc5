#pragma once

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "Zincstep/Config/ConfigurationParser.h"

namespace zincstep {

/// Reads one mapping of a YAML file and records every error with its path and
/// line.
class YamlReader {
 public:
  YamlReader(const YAML::Node& aNode, std::string aPath,
             std::vector<ConfigurationError>& aErrors);

  /// Records an error for each key that is not among `aKeys` or is duplicate.
  void AllowOnly(std::initializer_list<std::string_view> aKeys);

  /// Returns a string of at least one character; records an error and returns
  /// an empty one where the key is missing or has no such value.
  std::string Text(const char* aKey);
  /// Returns a string, or `aDefault` where the key is missing.
  std::string TextOr(const char* aKey, const std::string& aDefault);
  /// Returns an integer in [`aMin`, `aMax`]; records an error and returns
  /// `aMin` otherwise.
  std::int64_t Integer(const char* aKey, std::int64_t aMin, std::int64_t aMax);
  /// Returns an integer as above, or `aDefault` where the key is missing.
  std::int64_t IntegerOr(const char* aKey, std::int64_t aMin, std::int64_t aMax,
                         std::int64_t aDefault);
  /// Returns a number in [`aMin`, `aMax`], or `aDefault` where it is missing.
  double NumberOr(const char* aKey, double aMin, double aMax, double aDefault);
  /// Returns a boolean, or `aDefault` where the key is missing.
  bool FlagOr(const char* aKey, bool aDefault);
  /// Returns a list of strings; empty where the key is missing.
  std::vector<std::string> Texts(const char* aKey);
  /// Returns a reader for each mapping of a list; empty where the key is
  /// missing.
  std::vector<YamlReader> Mappings(const char* aKey);
  /// Returns a layer range, written `[first, last]` with `last` exclusive.
  LayerRange Layers(const char* aKey);

  /// Records an error at `aKey`, or at the mapping itself if `aKey` is empty.
  void AddError(const std::string& aKey, const std::string& aExpected);

 private:
  YAML::Node Child(const char* aKey) const;
  void AddErrorAt(const YAML::Node& aNode, const std::string& aPath,
                  const std::string& aExpected);

  YAML::Node node;
  std::string path;
  std::vector<ConfigurationError>* errors;
};

}  // namespace zincstep
