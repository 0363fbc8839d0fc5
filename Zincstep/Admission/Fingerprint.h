#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zincstep {

/// Identifies a request independently of its attempts.
///
/// Each attempt has an id of its own. All attempts with the same method, host,
/// target, organisation and body have the same fingerprint, at every daemon.
enum class Fingerprint : std::uint64_t {};

/// Parts of a request that make up its fingerprint. The last event id of a
/// resumed stream is not one of them: a caller that resumes a stream repeats
/// the same request.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;
  /// Part of the identity so that requests of different organisations never
  /// match.
  std::string_view organisation;
  std::string_view body;
};

/// Returns the first 64 bits of a SHA-256, so that a caller cannot construct a
/// request that matches another organisation's.
Fingerprint FingerprintOf(const RequestIdentity& aIdentity);

/// Returns the fingerprint as 16 hexadecimal digits, for logs and the store.
std::string TextOf(Fingerprint aFingerprint);

/// Parses the format of `TextOf`; `nullopt` if the text is invalid.
std::optional<Fingerprint> ParseFingerprint(std::string_view aText);

}  // namespace zincstep
