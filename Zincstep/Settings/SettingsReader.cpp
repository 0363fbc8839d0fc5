#include "Zincstep/Settings/SettingsReader.h"

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>

namespace zincstep {

namespace {

constexpr int kFirstOption = 1000;
constexpr int kHelp = 1;
constexpr int kShowVersion = 2;
constexpr int kBadUsage = 2;

template <class T>
bool ReadNumber(const std::string& aText, T& aValue) {
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue);
  return result.ec == std::errc() && result.ptr == end;
}

template <class T>
std::string Between(T aLow, T aHigh) {
  return "from " + std::to_string(aLow) + " to " + std::to_string(aHigh);
}

std::string VariableName(const std::string& aName) {
  std::string variable = "ZINCSTEP_";
  for (const char letter : aName) {
    variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
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
                          const char* aMeaning, bool aRequired) {
  Option option;
  option.name = aName;
  option.meaning = aMeaning;
  option.shown = aTarget;
  option.required = aRequired;
  option.take = [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string();
  };
  this->Add(std::move(option));
}

void SettingsReader::Address(const char* aName, std::string& aTarget,
                             const char* aMeaning, bool aRequired) {
  this->Text(aName, aTarget, aMeaning, aRequired);
  this->options.back().take = [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string(IsAddress(aText) ? "" : "host:port");
  };
}

void SettingsReader::Integer(const char* aName, std::int64_t& aTarget,
                             std::int64_t aLow, std::int64_t aHigh,
                             const char* aMeaning) {
  Option option;
  option.name = aName;
  option.meaning = aMeaning;
  option.shown = std::to_string(aTarget);
  option.take = [&aTarget, aLow, aHigh](const std::string& aText) {
    const bool read = ReadNumber(aText, aTarget);
    const bool fits = read && aTarget >= aLow && aTarget <= aHigh;
    return fits ? std::string() : "a whole number " + Between(aLow, aHigh);
  };
  this->Add(std::move(option));
}

void SettingsReader::Number(const char* aName, double& aTarget, double aLow,
                            double aHigh, const char* aMeaning) {
  Option option;
  option.name = aName;
  option.meaning = aMeaning;
  option.shown = std::to_string(aTarget);
  option.take = [&aTarget, aLow, aHigh](const std::string& aText) {
    const bool read = ReadNumber(aText, aTarget);
    const bool fits = read && aTarget >= aLow && aTarget <= aHigh;
    return fits ? std::string() : "a number " + Between(aLow, aHigh);
  };
  this->Add(std::move(option));
}

void SettingsReader::Millis(const char* aName, Micros& aTarget,
                            std::int64_t aLow, std::int64_t aHigh,
                            const char* aMeaning) {
  Option option;
  option.name = aName;
  option.meaning = aMeaning;
  option.shown = std::to_string(aTarget.count() / 1000) + " ms";
  option.take = [&aTarget, aLow, aHigh](const std::string& aText) {
    std::int64_t millis = 0;
    const bool read = ReadNumber(aText, millis);
    aTarget = Micros{millis * 1000};
    const bool fits = read && millis >= aLow && millis <= aHigh;
    return fits ? std::string() : "whole milliseconds " + Between(aLow, aHigh);
  };
  this->Add(std::move(option));
}

void SettingsReader::Flag(const char* aName, bool& aTarget,
                          const char* aMeaning) {
  Option option;
  option.name = aName;
  option.meaning = aMeaning;
  option.takesValue = false;
  option.shown = "off";
  option.take = [&aTarget](const std::string& aText) {
    const bool on = aText.empty() || aText == "1" || aText == "true";
    const bool off = aText == "0" || aText == "false";
    aTarget = on;
    return std::string(on || off ? "" : "1 or 0");
  };
  this->Add(std::move(option));
}

std::string SettingsReader::Help() const {
  std::string text = "Usage: " + this->program + " " + this->usage + "\n\n";
  for (const Option& option : this->options) {
    std::string left = "  --" + option.name;
    left += option.takesValue ? " VALUE" : "";
    left.resize(std::max<std::size_t>(left.size() + 1, 32), ' ');
    const std::string shown =
        option.required
            ? "required"
            : "default: " +
                  (option.shown.empty() ? std::string("none") : option.shown);
    text += left + option.meaning + " (" + shown + ")\n";
  }
  text += "  --help                        Show this and exit\n";
  text += "  --version                     Show the version and exit\n\n";
  text += "Each flag can be set as an environment variable instead, such as " +
          VariableName(this->options.empty() ? "log-level"
                                             : this->options.front().name) +
          ".\n";
  return text;
}

void SettingsReader::TakeValue(Option& aOption, const std::string& aValue,
                               const std::string& aFrom) {
  aOption.isSet = true;
  const std::string expected = aOption.take(aValue);
  if (!expected.empty()) {
    this->faults.push_back(aFrom + ": expected " + expected + ", not '" +
                           aValue + "'");
  }
}

void SettingsReader::ReadEnvironment() {
  for (Option& option : this->options) {
    const std::string variable = VariableName(option.name);
    const char* value = std::getenv(variable.c_str());
    if (!option.isSet && value != nullptr) {
      this->TakeValue(option, value, variable);
    }
    if (!option.isSet && option.required) {
      this->faults.push_back("--" + option.name + " or " + variable +
                             " is required");
    }
  }
}

Result<std::vector<std::string>> SettingsReader::Read(int aCount,
                                                      char** aWords) {
  std::vector<::option> table;
  for (std::size_t i = 0; i < this->options.size(); ++i) {
    const Option& one = this->options[i];
    table.push_back({one.name.c_str(),
                     one.takesValue ? required_argument : no_argument, nullptr,
                     kFirstOption + static_cast<int>(i)});
  }
  table.push_back({"help", no_argument, nullptr, kHelp});
  table.push_back({"version", no_argument, nullptr, kShowVersion});
  table.push_back({nullptr, 0, nullptr, 0});
  opterr = 0;
  optind = 1;
  int found = 0;
  while ((found = getopt_long(aCount, aWords, "", table.data(), nullptr)) !=
         -1) {
    if (found == kHelp) {
      std::printf("%s", this->Help().c_str());
      std::exit(0);
    }
    if (found == kShowVersion) {
      std::printf("%s %s\n", this->program.c_str(), kVersion);
      std::exit(0);
    }
    if (found < kFirstOption) {
      this->faults.push_back(std::string(aWords[optind - 1]) +
                             ": no such flag, or its value is missing");
      continue;
    }
    Option& option =
        this->options[static_cast<std::size_t>(found - kFirstOption)];
    this->TakeValue(option, optarg == nullptr ? "" : optarg,
                    "--" + option.name);
  }
  this->ReadEnvironment();
  if (!this->faults.empty()) {
    std::string all;
    for (const std::string& fault : this->faults) {
      all += this->program + ": " + fault + "\n";
    }
    return Fail(ErrorKind::BadRequest, all);
  }
  return std::vector<std::string>(aWords + optind, aWords + aCount);
}

std::vector<std::string> ReadOrExit(SettingsReader& aReader, int aCount,
                                    char** aWords) {
  const auto words = aReader.Read(aCount, aWords);
  if (!words) {
    std::fprintf(stderr, "%sTry --help.\n", words.error().message.c_str());
    std::exit(kBadUsage);
  }
  return *words;
}

}  // namespace zincstep
