#include "Zincstep/Admission/Fingerprint.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "Zincstep/Core/Core.h"

namespace zincstep {

namespace {

constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
/// Bytes reserved for the length prefixes of all parts.
constexpr std::size_t kLengthPrefixBytes = 64;

/// Appends a part with a length prefix, so that different lists of parts never
/// have the same encoding.
void AppendPart(std::string& aText, std::string_view aPart) {
  aText += std::to_string(aPart.size());
  aText += ':';
  aText += aPart;
}

}  // namespace

Fingerprint FingerprintOf(const RequestIdentity& aIdentity) {
  std::string text;
  text.reserve(aIdentity.body.size() + aIdentity.target.size() +
               aIdentity.host.size() + aIdentity.organisation.size() +
               kLengthPrefixBytes);
  AppendPart(text, aIdentity.method);
  AppendPart(text, aIdentity.host);
  AppendPart(text, aIdentity.target);
  AppendPart(text, aIdentity.organisation);
  AppendPart(text, aIdentity.body);
  const std::string digest = Sha256Hex(text).substr(0, kHexDigits);
  const auto fingerprint = ParseFingerprint(digest);
  ZINCSTEP_ASSERT(fingerprint.has_value());
  return *fingerprint;
}

std::string TextOf(Fingerprint aFingerprint) {
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64,
                static_cast<std::uint64_t>(aFingerprint));
  return text.data();
}

std::optional<Fingerprint> ParseFingerprint(std::string_view aText) {
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, value, kHexBase);
  const bool isNumber = read.ec == std::errc{} && read.ptr == end;
  return isNumber && aText.size() == kHexDigits
             ? std::optional(Fingerprint{value})
             : std::nullopt;
}

}  // namespace zincstep
