#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Reads settings from flags and environment variables, flags first.
///
/// A program declares each setting once, with its default and a description.
/// The reader generates the help text, parses flags with getopt_long, and reads
/// a missing flag from the environment variable ZINCSTEP_<FLAG>, unless that is
/// empty. It collects all errors, so that an operator can fix them in one pass.
class SettingsReader {
 public:
  /// `aUsage` follows the program's name in the help text.
  SettingsReader(std::string aProgram, std::string aUsage);

  /// Declares a string; an error where it is `aRequired` and missing.
  void Text(const char* aName, std::string& aTarget, const char* aDescription,
            bool aRequired = false);
  /// Declares an integer in [aMin, aMax].
  void Integer(const char* aName, std::int64_t& aTarget, std::int64_t aMin,
               std::int64_t aMax, const char* aDescription);
  /// Declares a number in [aMin, aMax].
  void Number(const char* aName, double& aTarget, double aMin, double aMax,
              const char* aDescription);
  /// Declares a duration in [aMin, aMax], in milliseconds.
  void Millis(const char* aName, Micros& aTarget, std::int64_t aMin,
              std::int64_t aMax, const char* aDescription);
  /// Declares a boolean: a flag without a value, or 1, true, 0 or false in the
  /// environment.
  void Flag(const char* aName, bool& aTarget, const char* aDescription);
  /// Declares one of the names of an enum.
  template <class E, std::size_t N>
  void Choice(const char* aName, E& aTarget, const NameTable<E, N>& aNames,
              const char* aDescription) {
    Option option;
    option.name = aName;
    option.description = aDescription;
    option.defaultText = NameIn(aNames, aTarget);
    std::string expected;
    for (const auto& [value, name] : aNames) {
      expected += expected.empty() ? "" : " or ";
      expected += name;
    }
    option.parse = [&aTarget, &aNames, expected](const std::string& aText) {
      const std::optional<E> value = ValueIn(aNames, aText);
      aTarget = value.value_or(aTarget);
      return value ? std::string() : expected;
    };
    this->Add(std::move(option));
  }
  /// Declares an address, written host:port.
  void Address(const char* aName, std::string& aTarget,
               const char* aDescription, bool aRequired = false);

  /// Parses all settings and returns the positional arguments.
  ///
  /// Prints the help text or the version and exits for --help and --version.
  /// Fails with `BadRequest` and all errors in the message, one per line.
  Result<std::vector<std::string>> Read(int aCount, char** aArguments);

  /// Returns the help text.
  std::string Help() const;

 private:
  struct Option {
    std::string name;
    std::string description;
    std::string defaultText;
    bool hasValue = true;
    bool isRequired = false;
    bool isSet = false;
    /// Parses and stores a value; returns what was expected if it is invalid,
    /// or an empty string.
    std::function<std::string(const std::string&)> parse;
  };

  void Add(Option aOption);
  void ApplyValue(Option& aOption, const std::string& aValue,
                  const std::string& aSource);
  void ReadEnvironment();

  std::string program;
  std::string usage;
  std::vector<Option> options;
  std::vector<std::string> errors;
};

/// Version of all programs in this source tree.
inline constexpr const char* kVersion = "0.1.0";

/// Reads the settings in `main`; exits with status 2 on errors.
std::vector<std::string> ReadOrExit(SettingsReader& aReader, int aCount,
                                    char** aArguments);

}  // namespace zincstep
