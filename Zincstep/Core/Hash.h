#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace zincstep {

/// Returns the 64-bit xxHash of `aText`, for placement and hash tables; not
/// cryptographic.
std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed = 0);

/// Returns the SHA-256 of `aText` as 64 hexadecimal digits, for keys and
/// configuration pieces.
std::string Sha256Hex(std::string_view aText);

/// Returns the rendezvous score of `aMember` for `aKey`; the member with the
/// highest score owns the key.
inline std::uint64_t RendezvousScore(std::uint64_t aKey,
                                     std::string_view aMember) {
  return Hash64(aMember, aKey);
}

}  // namespace zincstep
