#pragma once

#include <string>
#include <vector>

#include "Zincstep/Config/Configuration.h"

namespace zincstep {

/// One fault in an operators' file.
struct ConfigurationError {
  /// Line in the file, from 1; 0 where the fault has no line.
  int line = 0;
  /// Path of the faulty value, such as `upstreams[3].layers`.
  std::string path;
  /// What was expected there.
  std::string expected;

  /// `line 12: upstreams[3].layers: expected ...`
  std::string Describe() const;
};

/// A parsed file, or all of its faults together.
struct ParsedConfiguration {
  Configuration configuration;
  std::vector<ConfigurationError> errors;

  /// Whether the file may be applied.
  bool IsValid() const { return this->errors.empty(); }
};

/// Parses and checks an operators' file in YAML.
///
/// Every fault is collected, so that an operator mends a file in one go.
/// A key that the format does not know is a fault: a misspelt limit that is
/// passed over would be a limit that does not hold.
ParsedConfiguration ParseConfiguration(const std::string& aYaml);

}  // namespace zincstep
