#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Once/Once.h"

namespace zincstep {

/// Settings of a member list planner.
struct MemberListPlannerSettings {
  /// Time for which a replaced list is still consulted.
  Micros listRetention = kKeyRetention;
  /// Minimum time between two new lists once several are in use.
  Micros interval = 75s;
  Micros shortInterval = 3s;
  /// Number of lists in use below which `shortInterval` applies.
  std::size_t fewLists = 4;
  std::size_t maxLists = 8;
};

/// Decides how the agreed member lists of a region change.
///
/// A new list is added when members have joined or left. Earlier lists stay in
/// use until the retention time of keys has passed since this daemon saw them
/// replaced. A new planner starts that time again, so lists are kept too long
/// rather than too short.
class MemberListPlanner {
 public:
  explicit MemberListPlanner(MemberListPlannerSettings aSettings)
      : settings(aSettings) {}

  /// Returns the lists as they should be; equal to `aLists` if nothing changes.
  ///
  /// `aDomain` is the failure domain that this planner is responsible for,
  /// `aLive` its live members, and `aRemoved` the members that are certain to
  /// have stopped.
  MemberLists Next(const MemberLists& aLists, const std::string& aDomain,
                   const std::vector<Member>& aLive,
                   const std::vector<std::string>& aRemoved,
                   const std::map<std::string, std::string>& aHandedTo,
                   Instant aNow);

 private:
  bool CanAddList(const MemberLists& aLists, Instant aNow) const;
  void RemoveExpired(MemberLists& aLists, Instant aNow);

  MemberListPlannerSettings settings;
  /// When each list was first seen to be replaced.
  std::map<std::uint64_t, Instant> replacedAt;
  Instant lastAdded;
  bool hasAdded = false;
};

}  // namespace zincstep
