#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zincstep {

/// Names what a request asks for and for whom, whichever attempt it is.
///
/// Attempts have ids of their own; this is the same for all that have the same
/// method, host, target, organisation and body, at every daemon.
enum class RequestFingerprint : std::uint64_t {};

/// What makes two attempts the same request. The event that a stream goes on
/// behind is none of it: a caller that resumes asks for the same.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;
  /// So that one organisation's request is never taken for another's.
  std::string_view organisation;
  std::string_view body;
};

/// The first 64 bits of a SHA-256: nobody can make a request that is taken for
/// somebody else's.
RequestFingerprint FingerprintOf(const RequestIdentity& aIdentity);

/// As 16 hexadecimal digits, for logs and the store.
std::string TextOf(RequestFingerprint aFingerprint);

/// Reads what `TextOf` wrote; none where it is no such text.
std::optional<RequestFingerprint> ParseFingerprint(std::string_view aText);

}  // namespace zincstep
