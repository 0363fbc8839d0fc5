#include "Zincstep/Settings/SettingsReader.h"

#include <getopt.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace zincstep {

namespace {

constexpr int kFirstOptionCode = 1000;
constexpr int kHelpCode = 1;
constexpr int kVersionCode = 2;
constexpr int kUsageErrorStatus = 2;

template <class T>
bool ReadNumber(const std::string& aText, T& aValue) {
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue);
  return result.ec == std::errc() && result.ptr == end;
}

template <class T>
std::string RangeText(T aMin, T aMax) {
  return "from " + std::to_string(aMin) + " to " + std::to_string(aMax);
}

std::string VariableName(const std::string& aName) {
  std::string variable = "ZINCSTEP_";
  for (const char character : aName) {
    variable +=
        character == '-' ? '_' : static_cast<char>(std::toupper(character));
  }
  return variable;
}

bool IsAddress(const std::string& aText) {
  const std::size_t colon = aText.rfind(':');
  std::uint16_t port = 0;
  return colon != std::string::npos && colon > 0 &&
         ReadNumber(aText.substr(colon + 1), port);
}

}  // namespace

SettingsReader::SettingsReader(std::string aProgram, std::string aUsage)
    : program(std::move(aProgram)), usage(std::move(aUsage)) {}

void SettingsReader::Add(Option aOption) {
  this->options.push_back(std::move(aOption));
}

void SettingsReader::Text(const char* aName, std::string& aTarget,
                          const char* aDescription, bool aRequired) {
  Option option;
  option.name = aName;
  option.description = aDescription;
  option.defaultText = aTarget;
  option.isRequired = aRequired;
  option.parse = [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string();
  };
  this->Add(std::move(option));
}

void SettingsReader::Address(const char* aName, std::string& aTarget,
                             const char* aDescription, bool aRequired) {
  this->Text(aName, aTarget, aDescription, aRequired);
  this->options.back().parse = [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string(IsAddress(aText) ? "" : "host:port");
  };
}

void SettingsReader::Integer(const char* aName, std::int64_t& aTarget,
                             std::int64_t aMin, std::int64_t aMax,
                             const char* aDescription) {
  Option option;
  option.name = aName;
  option.description = aDescription;
  option.defaultText = std::to_string(aTarget);
  option.parse = [&aTarget, aMin, aMax](const std::string& aText) {
    const bool isParsed = ReadNumber(aText, aTarget);
    const bool isInRange = isParsed && aTarget >= aMin && aTarget <= aMax;
    return isInRange ? std::string() : "an integer " + RangeText(aMin, aMax);
  };
  this->Add(std::move(option));
}

void SettingsReader::Number(const char* aName, double& aTarget, double aMin,
                            double aMax, const char* aDescription) {
  Option option;
  option.name = aName;
  option.description = aDescription;
  option.defaultText = std::to_string(aTarget);
  option.parse = [&aTarget, aMin, aMax](const std::string& aText) {
    const bool isParsed = ReadNumber(aText, aTarget);
    const bool isInRange = isParsed && aTarget >= aMin && aTarget <= aMax;
    return isInRange ? std::string() : "a number " + RangeText(aMin, aMax);
  };
  this->Add(std::move(option));
}

void SettingsReader::Millis(const char* aName, Micros& aTarget,
                            std::int64_t aMin, std::int64_t aMax,
                            const char* aDescription) {
  Option option;
  option.name = aName;
  option.description = aDescription;
  option.defaultText = std::to_string(aTarget.count() / 1000) + " ms";
  option.parse = [&aTarget, aMin, aMax](const std::string& aText) {
    double millis = 0;
    const bool isParsed = ReadNumber(aText, millis);
    const bool isInRange = isParsed && millis >= static_cast<double>(aMin) &&
                           millis <= static_cast<double>(aMax);
    if (!isInRange) {
      return "milliseconds " + RangeText(aMin, aMax);
    }
    aTarget = Micros{std::llround(millis * 1000)};
    return std::string();
  };
  this->Add(std::move(option));
}

void SettingsReader::Flag(const char* aName, bool& aTarget,
                          const char* aDescription) {
  Option option;
  option.name = aName;
  option.description = aDescription;
  option.hasValue = false;
  option.defaultText = "off";
  option.parse = [&aTarget](const std::string& aText) {
    const bool isOn = aText.empty() || aText == "1" || aText == "true";
    const bool isOff = aText == "0" || aText == "false";
    aTarget = isOn;
    return std::string(isOn || isOff ? "" : "1 or 0");
  };
  this->Add(std::move(option));
}

std::string SettingsReader::Help() const {
  std::string text = "Usage: " + this->program + " " + this->usage + "\n\n";
  for (const Option& option : this->options) {
    std::string flagColumn = "  --" + option.name;
    flagColumn += option.hasValue ? " VALUE" : "";
    flagColumn.resize(std::max<std::size_t>(flagColumn.size() + 1, 32), ' ');
    const std::string defaultColumn =
        option.isRequired
            ? "required"
            : "default: " + (option.defaultText.empty() ? std::string("none")
                                                        : option.defaultText);
    text += flagColumn + option.description + " (" + defaultColumn + ")\n";
  }
  text += "  --help                        Show this help and exit\n";
  text += "  --version                     Show the version and exit\n\n";
  text += "Each flag can also be set by an environment variable, such as " +
          VariableName(this->options.empty() ? "log-level"
                                             : this->options.front().name) +
          ".\n";
  return text;
}

void SettingsReader::ApplyValue(Option& aOption, const std::string& aValue,
                                const std::string& aSource) {
  aOption.isSet = true;
  const std::string expected = aOption.parse(aValue);
  if (!expected.empty()) {
    this->errors.push_back(aSource + ": expected " + expected + ", not '" +
                           aValue + "'");
  }
}

void SettingsReader::ReadEnvironment() {
  for (Option& option : this->options) {
    const std::string variable = VariableName(option.name);
    const char* value = std::getenv(variable.c_str());
    // Platforms set a variable that they have no value for to an empty text.
    if (!option.isSet && value != nullptr && *value != '\0') {
      this->ApplyValue(option, value, variable);
    }
    if (!option.isSet && option.isRequired) {
      this->errors.push_back("--" + option.name + " or " + variable +
                             " is required");
    }
  }
}

Result<std::vector<std::string>> SettingsReader::Read(int aCount,
                                                      char** aArguments) {
  std::vector<::option> table;
  for (std::size_t i = 0; i < this->options.size(); ++i) {
    const Option& option = this->options[i];
    table.push_back({option.name.c_str(),
                     option.hasValue ? required_argument : no_argument, nullptr,
                     kFirstOptionCode + static_cast<int>(i)});
  }
  table.push_back({"help", no_argument, nullptr, kHelpCode});
  table.push_back({"version", no_argument, nullptr, kVersionCode});
  table.push_back({nullptr, 0, nullptr, 0});
  opterr = 0;
  optind = 1;
  int code = 0;
  while ((code = getopt_long(aCount, aArguments, "", table.data(), nullptr)) !=
         -1) {
    if (code == kHelpCode) {
      std::printf("%s", this->Help().c_str());
      std::exit(0);
    }
    if (code == kVersionCode) {
      std::printf("%s %s\n", this->program.c_str(), kVersion);
      std::exit(0);
    }
    if (code < kFirstOptionCode) {
      this->errors.push_back(std::string(aArguments[optind - 1]) +
                             ": unknown flag or missing value");
      continue;
    }
    Option& option =
        this->options[static_cast<std::size_t>(code - kFirstOptionCode)];
    this->ApplyValue(option, optarg == nullptr ? "" : optarg,
                     "--" + option.name);
  }
  this->ReadEnvironment();
  if (!this->errors.empty()) {
    std::string message;
    for (const std::string& error : this->errors) {
      message += this->program + ": " + error + "\n";
    }
    return Fail(ErrorKind::BadRequest, message);
  }
  return std::vector<std::string>(aArguments + optind, aArguments + aCount);
}

std::vector<std::string> ReadOrExit(SettingsReader& aReader, int aCount,
                                    char** aArguments) {
  const auto arguments = aReader.Read(aCount, aArguments);
  if (!arguments) {
    // The reason is on the last line, which is what is kept of a failed start.
    std::fprintf(stderr, "See --help.\n%s", arguments.error().message.c_str());
    std::exit(kUsageErrorStatus);
  }
  return *arguments;
}

}  // namespace zincstep
