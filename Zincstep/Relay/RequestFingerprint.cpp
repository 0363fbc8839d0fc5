#include "Zincstep/Relay/RequestFingerprint.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "Zincstep/Core/Core.h"

namespace zincstep {

namespace {

constexpr std::size_t kDigits = 16;
constexpr int kHexadecimal = 16;

/// A part with its length before it, so that no two lists of parts read alike.
void AppendPart(std::string& aText, const std::string& aPart) {
  aText += std::to_string(aPart.size());
  aText += ':';
  aText += aPart;
}

}  // namespace

RequestFingerprint FingerprintOf(const CallerMessage& aMessage,
                                 const std::string& aHost,
                                 const std::string& aOrganisation) {
  std::string text;
  text.reserve(aMessage.body.size() + aMessage.head.target.size() +
               aHost.size() + aOrganisation.size() + 64);
  AppendPart(text, aMessage.head.method);
  AppendPart(text, aHost);
  AppendPart(text, aMessage.head.target);
  AppendPart(text, aOrganisation);
  AppendPart(text, aMessage.body);
  const std::string digest = Sha256Hex(text).substr(0, kDigits);
  return RequestFingerprint{std::stoull(digest, nullptr, kHexadecimal)};
}

std::string TextOf(RequestFingerprint aFingerprint) {
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64,
                static_cast<std::uint64_t>(aFingerprint));
  return text.data();
}

}  // namespace zincstep
