#include "Client/Console.h"

#include <algorithm>
#include <cstdio>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep::client {

Table::Table(std::vector<std::string> aHeaders) {
  this->rows.push_back(std::move(aHeaders));
}

void Table::Add(std::vector<std::string> aCells) {
  ZINCSTEP_ASSERT(aCells.size() == this->rows.front().size());
  this->rows.push_back(std::move(aCells));
}

void Table::Print() const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      cell.resize(i + 1 == row.size() ? cell.size() : widths[i] + 2, ' ');
      line += cell;
    }
    std::printf("%s\n", line.c_str());
  }
}

void PrintJson(const nlohmann::json& aJson) {
  std::printf("%s\n", WriteJson(aJson).c_str());
}

ExitStatus PrintError(const Error& aError) {
  std::fprintf(stderr, "zincstep: %s\n", aError.message.c_str());
  switch (aError.kind) {
    case ErrorKind::ConfigInvalid:
      return ExitStatus::Invalid;
    case ErrorKind::ConfigConflict:
      return ExitStatus::Conflict;
    case ErrorKind::PlatformUnavailable:
      return ExitStatus::Unavailable;
    default:
      return ExitStatus::Failed;
  }
}

std::string AgeOf(std::int64_t aMicros) {
  if (aMicros == 0) {
    return "never";
  }
  const double age = static_cast<double>(WallMicros() - aMicros) / 1e6;
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s ago", std::max(0.0, age));
  return text;
}

}  // namespace zincstep::client
