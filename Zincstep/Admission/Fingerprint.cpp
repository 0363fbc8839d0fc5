#include "Zincstep/Admission/Fingerprint.h"

#include <algorithm>
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

/// Bits that hold the kind, above those of the digest.
constexpr int kKindShift = 62;
constexpr std::uint64_t kDigestMask = (std::uint64_t{1} << kKindShift) - 1;

Fingerprint MakeFingerprint(FingerprintKind aKind, const std::string& aText) {
  const std::string digest = Sha256Hex(aText).substr(0, kHexDigits);
  const auto parsed = ParseFingerprint(digest);
  ZINCSTEP_ASSERT(parsed.has_value());
  return Fingerprint{(static_cast<std::uint64_t>(*parsed) & kDigestMask) |
                     (static_cast<std::uint64_t>(aKind) << kKindShift)};
}

}  // namespace

FingerprintKind KindOf(Fingerprint aFingerprint) {
  return static_cast<FingerprintKind>(
      static_cast<std::uint64_t>(aFingerprint) >> kKindShift);
}

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
  return MakeFingerprint(FingerprintKind::Request, text);
}

Fingerprint FingerprintOf(const PartIdentity& aIdentity) {
  std::string text;
  AppendPart(text, aIdentity.service);
  AppendPart(text, aIdentity.organisation);
  AppendPart(text, aIdentity.id);
  return MakeFingerprint(aIdentity.organisation.empty()
                             ? FingerprintKind::Part
                             : FingerprintKind::OrganisationPart,
                         text);
}

bool CrashCandidates::Contains(Fingerprint aOne) const {
  return this->request == aOne ||
         std::find(this->parts.begin(), this->parts.end(), aOne) !=
             this->parts.end();
}

CrashCandidates CandidatesOf(const RequestIdentity& aIdentity,
                             std::string_view aService,
                             const std::vector<std::string>& aParts) {
  CrashCandidates candidates{FingerprintOf(aIdentity), {}};
  const auto add = [&](const PartIdentity& aPart) {
    const Fingerprint part = FingerprintOf(aPart);
    if (!candidates.Contains(part)) {
      candidates.parts.push_back(part);
    }
  };
  for (const std::string& id : aParts) {
    add({aService, "", id});
    if (!aIdentity.organisation.empty()) {
      add({aService, aIdentity.organisation, id});
    }
  }
  return candidates;
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
