#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Zincstep/Core/Error.h"

namespace zincstep {

/// Maximum nesting of a JSON text that another process wrote. The formats that
/// are read nest at most six levels. `nlohmann::json` copies and writes values
/// by recursion: 150,000 levels, 300 kB, ended the process by SIGSEGV.
inline constexpr std::size_t kMaxJsonDepth = 64;
/// Maximum size of a JSON text in bytes, that of an unpacked peer list.
inline constexpr std::size_t kMaxJsonBytes = 64 << 20;
/// Maximum size of the value of one entry in bytes, that of the store's values.
inline constexpr std::size_t kMaxEntryBytes = 1 << 20;

/// Limits of one JSON text.
struct JsonLimits {
  std::size_t maxBytes = kMaxJsonBytes;
  std::size_t maxDepth = kMaxJsonDepth;
};

/// Parses a JSON text that another process wrote. Fails with `BadRequest` where
/// it is malformed, too long or nested too deep; a text beyond its limits is
/// rejected by a scan, without recursion or memory per level.
///
/// All JSON from outside is parsed by the functions of this file.
Result<nlohmann::json> ParseForeignJson(std::string_view aText,
                                        JsonLimits aLimits = {});
/// The same, but also fails where an object has duplicate field names, since it
/// is unclear which value is meant.
Result<nlohmann::json> ParseUniqueForeignJson(std::string_view aText,
                                              JsonLimits aLimits = {});
/// The same as `ParseForeignJson` for code that catches
/// `nlohmann::json::exception`, which it throws instead of failing.
nlohmann::json ParseForeignJsonOrThrow(std::string_view aText,
                                       JsonLimits aLimits = {});

/// Returns a JSON text with U+FFFD for what no parser accepts in strings: bytes
/// that are not UTF-8, and escaped surrogates without their other half.
std::string RepairJsonText(std::string_view aText);

/// Writes JSON; bytes that are not UTF-8 become U+FFFD. `nlohmann::json::dump`
/// throws on them, which ends the process where text of another process is
/// written.
std::string WriteJson(const nlohmann::json& aJson, int aIndent = -1);

/// Whether `aText` can be a name: UTF-8 without control characters, spaces and
/// U+FFFD, and not empty. Names are sent in header fields, where a line break
/// would start another field.
bool IsPlainName(std::string_view aText);

}  // namespace zincstep
