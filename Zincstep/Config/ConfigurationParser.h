#pragma once

#include <string>
#include <vector>

#include "Zincstep/Config/Configuration.h"

namespace zincstep {

/// One error in an operators' file.
struct ConfigurationError {
  /// Line in the file, from 1; 0 where the error has no line.
  int line = 0;
  /// Path of the invalid value, such as `upstreams[3].layers`.
  std::string path;
  /// Description of the expected value.
  std::string expected;

  /// Returns a message such as `line 12: upstreams[3].layers: expected ...`.
  std::string Describe() const;
};

/// A parsed file, or all of its errors.
struct ParsedConfiguration {
  Configuration configuration;
  std::vector<ConfigurationError> errors;

  /// Whether the file may be applied.
  bool IsValid() const { return this->errors.empty(); }
};

/// Parses and validates an operators' file in YAML.
///
/// Collects all errors, so that an operator can fix them in one pass. Unknown
/// keys are errors: a misspelt limit that is ignored would not be enforced.
ParsedConfiguration ParseConfiguration(const std::string& aYaml);

}  // namespace zincstep
