#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Reads settings from flags and environment variables, flags first.
///
/// A program names each setting once, with its default and meaning; the
/// reader makes the help, reads flags by getopt_long, takes what is missing
/// from variables named ZINCSTEP_ and the flag's name, and collects every
/// fault, so that an operator mends them in one go.
class SettingsReader {
 public:
  /// `aUsage` is what stands behind the program's name in the help.
  SettingsReader(std::string aProgram, std::string aUsage);

  /// A text; faulty where it is `aRequired` and missing.
  void Text(const char* aName, std::string& aTarget, const char* aMeaning,
            bool aRequired = false);
  /// A whole number in [aLow, aHigh].
  void Integer(const char* aName, std::int64_t& aTarget, std::int64_t aLow,
               std::int64_t aHigh, const char* aMeaning);
  /// A number in [aLow, aHigh].
  void Number(const char* aName, double& aTarget, double aLow, double aHigh,
              const char* aMeaning);
  /// A span, written in whole milliseconds.
  void Millis(const char* aName, Micros& aTarget, std::int64_t aLow,
              std::int64_t aHigh, const char* aMeaning);
  /// A flag without a value.
  void Flag(const char* aName, bool& aTarget, const char* aMeaning);
  /// An address, written host:port.
  void Address(const char* aName, std::string& aTarget, const char* aMeaning,
               bool aRequired = false);

  /// Reads everything. Gives the words that are no flags.
  ///
  /// Prints the help or the version and ends the process where asked to;
  /// fails with all faults in the message, a line each.
  Result<std::vector<std::string>> Read(int aCount, char** aWords);

  /// The help text.
  std::string Help() const;

 private:
  struct Option {
    std::string name;
    std::string meaning;
    std::string shown;
    bool takesValue = true;
    bool required = false;
    bool isSet = false;
    /// Takes a value; gives what was expected where it is faulty.
    std::function<std::string(const std::string&)> take;
  };

  void Add(Option aOption);
  void TakeValue(Option& aOption, const std::string& aValue,
                 const std::string& aFrom);
  void ReadEnvironment();

  std::string program;
  std::string usage;
  std::vector<Option> options;
  std::vector<std::string> faults;
};

/// Version of all programs of this tree.
inline constexpr const char* kVersion = "0.1.0";

/// Reads settings in `main`; ends the process with status 2 on faults.
std::vector<std::string> ReadOrExit(SettingsReader& aReader, int aCount,
                                    char** aWords);

}  // namespace zincstep
