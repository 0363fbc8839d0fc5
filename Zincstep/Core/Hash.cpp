#include "Zincstep/Core/Hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace zincstep {

std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed) {
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::string Sha256Hex(std::string_view aText) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

}  // namespace zincstep
