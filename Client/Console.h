#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep::client {

/// Exit statuses that scripts can rely on.
enum class ExitStatus {
  Ok = 0,
  /// The command failed, and nothing has changed.
  Failed = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The file is not valid.
  Invalid = 3,
  /// Another file was accepted in between.
  Conflict = 4,
  /// The platform or a daemon cannot be reached; a write is not known.
  Unavailable = 5,
  /// Accepted, and not in force everywhere in the time that was given.
  NotInForce = 6,
  /// `diff` found differences.
  Different = 7,
};

/// A table for people.
class Table {
 public:
  explicit Table(std::vector<std::string> aHeads);

  /// Adds a row; it has as many cells as there are heads.
  void Add(std::vector<std::string> aCells);
  /// Prints it to stdout with aligned columns.
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// Prints JSON on a line.
void PrintJson(const nlohmann::json& aJson);
/// Prints a fault to stderr and gives the status for its kind.
ExitStatus PrintError(const Error& aError);
/// `aMicros` since 1970 as seconds ago, or `never`.
std::string AgeOf(std::int64_t aMicros);

}  // namespace zincstep::client
