#pragma once

#include <cstdint>
#include <string>

#include "Zincstep/Net/CallerConnection.h"

namespace zincstep {

/// Names what a request asks for and for whom, whichever attempt it is.
///
/// Attempts have ids of their own; this is the same for all that have the same
/// method, host, target, organisation and body, at every daemon.
enum class RequestFingerprint : std::uint64_t {};

/// The first 64 bits of a SHA-256: nobody finds a request that is taken for
/// another organisation's. An event that a stream goes on behind is left out.
RequestFingerprint FingerprintOf(const CallerMessage& aMessage,
                                 const std::string& aHost,
                                 const std::string& aOrganisation);

/// As 16 hexadecimal digits, for logs and the store.
std::string TextOf(RequestFingerprint aFingerprint);

}  // namespace zincstep
