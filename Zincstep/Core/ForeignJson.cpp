#include "Zincstep/Core/ForeignJson.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <vector>

namespace zincstep {

namespace {

using Json = nlohmann::json;

/// Id that nlohmann::json::other_error takes for errors raised by its users;
/// the library's own ones have other ids.
constexpr int kOtherErrorId = 599;
/// The replacement character in UTF-8.
constexpr std::string_view kReplacement = "\xef\xbf\xbd";
/// Length of an escaped UTF-16 unit, `\uXXXX`.
constexpr std::size_t kEscapeChars = 6;

/// Whether more than `aMaxDepth` arrays and objects are open at once. In a
/// malformed text this holds up to the first error, where the parser stops.
bool IsTooDeep(std::string_view aText, std::size_t aMaxDepth) {
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (isInString) {
      i += character == '\\' ? 1 : 0;
      isInString = character != '"';
    } else if (character == '"') {
      isInString = true;
    } else if (character == '[' || character == '{') {
      depth += 1;
      if (depth > aMaxDepth) {
        return true;
      }
    } else if (character == ']' || character == '}') {
      depth -= depth > 0 ? 1 : 0;
    }
  }
  return false;
}

/// Returns why a text is beyond its limits; empty if it is within.
std::string LimitProblem(std::string_view aText, JsonLimits aLimits) {
  if (aText.size() > aLimits.maxBytes) {
    return "JSON of " + std::to_string(aText.size()) +
           " bytes; the maximum is " + std::to_string(aLimits.maxBytes);
  }
  if (IsTooDeep(aText, aLimits.maxDepth)) {
    return "JSON nested deeper than " + std::to_string(aLimits.maxDepth) +
           " levels";
  }
  return {};
}

/// Parses the UTF-16 unit escaped at `aAt`; none where there is no such escape.
std::optional<unsigned> EscapedUnitAt(std::string_view aText, std::size_t aAt) {
  const std::string_view escape =
      aText.substr(std::min(aAt, aText.size()), kEscapeChars);
  unsigned unit = 0;
  if (escape.size() < kEscapeChars || !escape.starts_with("\\u")) {
    return std::nullopt;
  }
  const char* end = escape.data() + escape.size();
  const auto parsed = std::from_chars(escape.data() + 2, end, unit, 16);
  return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(unit)
                                                       : std::nullopt;
}

bool IsHighSurrogate(unsigned aUnit) {
  return aUnit >= 0xd800 && aUnit <= 0xdbff;
}

bool IsLowSurrogate(unsigned aUnit) {
  return aUnit >= 0xdc00 && aUnit <= 0xdfff;
}

/// Returns a string with U+FFFD for bytes that are not UTF-8.
std::string ReplaceInvalidUtf8(std::string_view aText) {
  return Json::parse(WriteJson(Json(std::string(aText)))).get<std::string>();
}

}  // namespace

Result<Json> ParseForeignJson(std::string_view aText, JsonLimits aLimits) {
  const std::string problem = LimitProblem(aText, aLimits);
  if (!problem.empty()) {
    return Fail(ErrorKind::BadRequest, problem);
  }
  Json parsed = Json::parse(aText, nullptr, false);
  if (parsed.is_discarded()) {
    return Fail(ErrorKind::BadRequest, "malformed JSON");
  }
  return parsed;
}

Result<Json> ParseUniqueForeignJson(std::string_view aText,
                                    JsonLimits aLimits) {
  const std::string problem = LimitProblem(aText, aLimits);
  if (!problem.empty()) {
    return Fail(ErrorKind::BadRequest, problem);
  }
  // Field names seen so far in each object that is still open.
  std::vector<std::set<std::string>> names;
  bool hasDuplicate = false;
  Json parsed = Json::parse(
      aText,
      [&](int, Json::parse_event_t aEvent, Json& aValue) {
        if (aEvent == Json::parse_event_t::object_start) {
          names.emplace_back();
        } else if (aEvent == Json::parse_event_t::object_end) {
          names.pop_back();
        } else if (aEvent == Json::parse_event_t::key) {
          const bool isNew =
              names.back().insert(aValue.get<std::string>()).second;
          hasDuplicate = hasDuplicate || !isNew;
        }
        return true;
      },
      false);
  if (parsed.is_discarded() || hasDuplicate) {
    return Fail(ErrorKind::BadRequest,
                hasDuplicate ? "duplicate field name" : "malformed JSON");
  }
  return parsed;
}

Json ParseForeignJsonOrThrow(std::string_view aText, JsonLimits aLimits) {
  const std::string problem = LimitProblem(aText, aLimits);
  if (!problem.empty()) {
    throw Json::other_error::create(kOtherErrorId, problem, nullptr);
  }
  return Json::parse(aText);
}

std::string RepairJsonText(std::string_view aText) {
  std::string text = ReplaceInvalidUtf8(aText);
  std::size_t at = text.find('\\');
  while (at != std::string::npos) {
    const std::optional<unsigned> unit = EscapedUnitAt(text, at);
    std::size_t length = unit ? kEscapeChars : 2;
    if (unit && IsHighSurrogate(*unit) &&
        IsLowSurrogate(EscapedUnitAt(text, at + kEscapeChars).value_or(0))) {
      length += kEscapeChars;
    } else if (unit && (IsHighSurrogate(*unit) || IsLowSurrogate(*unit))) {
      text.replace(at, kEscapeChars, "\\ufffd");
    }
    at = text.find('\\', at + length);
  }
  return text;
}

std::string WriteJson(const Json& aJson, int aIndent) {
  return aJson.dump(aIndent, ' ', false, Json::error_handler_t::replace);
}

bool IsPlainName(std::string_view aText) {
  constexpr unsigned char kDelete = 0x7f;
  return !aText.empty() &&
         std::none_of(aText.begin(), aText.end(),
                      [](char aCharacter) {
                        const auto byte =
                            static_cast<unsigned char>(aCharacter);
                        return byte <= ' ' || byte == kDelete;
                      }) &&
         aText.find(kReplacement) == std::string_view::npos &&
         ReplaceInvalidUtf8(aText) == aText;
}

}  // namespace zincstep
