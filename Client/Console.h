#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep::client {

/// Exit statuses that scripts can rely on.
enum class ExitStatus {
  Ok = 0,
  /// The command failed and changed nothing.
  Failed = 1,
  /// The command line is invalid.
  Usage = 2,
  /// The file is not valid.
  Invalid = 3,
  /// Another file was accepted in the meantime.
  Conflict = 4,
  /// The platform or a daemon is unreachable; a write may have taken effect.
  Unavailable = 5,
  /// Accepted, but not active on all daemons within the wait time.
  NotActive = 6,
  /// `diff` found differences.
  Different = 7,
};

/// A human-readable table.
class Table {
 public:
  /// `aHeaders` are the column headers.
  explicit Table(std::vector<std::string> aHeaders);

  /// Adds a row with one cell per column header.
  void Add(std::vector<std::string> aCells);
  /// Prints the table to stdout with aligned columns.
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// Prints JSON to stdout on one line.
void PrintJson(const nlohmann::json& aJson);
/// Prints an error to stderr and returns the exit status of its kind.
ExitStatus PrintError(const Error& aError);
/// Formats a time in microseconds since 1970 as seconds ago; 0 as `never`.
std::string AgeOf(std::int64_t aMicros);

}  // namespace zincstep::client
