#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// A daemon as seen by the leader of its domain.
struct DaemonStatus {
  std::string vm;
  std::string member;
  std::string address;
  /// Revision of the active configuration; 0: none.
  std::uint64_t revision = 0;
  bool isLive = false;
  bool isStopping = false;
  /// Microseconds since 1970 at which it was last seen alive; 0: never.
  std::int64_t lastSeenAt = 0;
};

/// Status of a failure domain that its leader writes for operators.
struct DomainStatus {
  std::string failureDomain;
  std::string leader;
  std::uint64_t fence = 0;
  /// Microseconds since 1970 at which the status was written.
  std::int64_t writtenAt = 0;
  std::vector<DaemonStatus> daemons;
  /// Upstreams that are not as declared, with the reason.
  std::map<std::string, std::string> stuck;
  /// Upstreams that are leaving.
  std::vector<std::string> leaving;
};

/// Prefix of the keys of domains' statuses.
inline constexpr const char* kStatusPrefix = "status/";

/// Converts a status to text and back.
std::string WriteDomainStatus(const DomainStatus& aStatus);
Result<DomainStatus> ReadDomainStatus(const std::string& aText);

}  // namespace zincstep
