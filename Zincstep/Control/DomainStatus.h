#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// One daemon as its domain's control duty knows it.
struct DaemonStatus {
  std::string vm;
  std::string member;
  std::string address;
  /// Revision that is in force there; 0 for none.
  std::uint64_t revision = 0;
  bool isLive = false;
  bool isStopping = false;
  /// Microseconds since 1970 at which it was last heard.
  std::int64_t lastSeenAt = 0;
};

/// What the control duty of a domain writes for operators to read.
struct DomainStatus {
  std::string failureDomain;
  std::string leader;
  std::uint64_t fence = 0;
  /// Microseconds since 1970 at which it was written.
  std::int64_t writtenAt = 0;
  std::vector<DaemonStatus> daemons;
  /// Upstreams that are not as declared, with the reason.
  std::map<std::string, std::string> stuck;
  /// Upstreams that leave.
  std::vector<std::string> leaving;
};

/// Keys of domains' statuses begin so.
inline constexpr const char* kStatusPrefix = "status/";

/// A status as text, and back.
std::string WriteDomainStatus(const DomainStatus& aStatus);
Result<DomainStatus> ReadDomainStatus(const std::string& aText);

}  // namespace zincstep
