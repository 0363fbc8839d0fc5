#pragma once

#include <map>
#include <string>
#include <vector>

#include "Zincstep/Once/Once.h"

namespace zincstep {

/// Settings of a member keeper.
struct MemberListPlannerSettings {
  /// Time for which a replaced list is still consulted.
  Micros memory = kKeyRetention;
  /// Least time between two new lists, once several are in use.
  Micros interval = 75s;
  Micros shortInterval = 3s;
  /// Lists in use up to which the short interval holds.
  std::size_t fewLists = 4;
  std::size_t maxLists = 8;
};

/// Decides how the agreed member lists of a region change.
///
/// A new list is made when members have come or gone. The ones before it
/// stay in use until the memory of keys has passed, counted here from the
/// moment that this daemon saw them replaced: a new keeper starts the
/// count again, which errs to the longer side.
class MemberListPlanner {
 public:
  explicit MemberListPlanner(MemberListPlannerSettings aSettings)
      : settings(aSettings) {}

  /// The lists as they should be; equal to `aLists` where all is well.
  ///
  /// `aDomain` is the domain that this keeper speaks for, `aLive` its
  /// members that are heard, `aGone` members that certainly run no more.
  MemberLists Next(const MemberLists& aLists, const std::string& aDomain,
                   const std::vector<Member>& aLive,
                   const std::vector<std::string>& aGone,
                   const std::map<std::string, std::string>& aHandedTo,
                   Instant aNow);

 private:
  bool MayAddList(const MemberLists& aLists, Instant aNow) const;
  void DropOld(MemberLists& aLists, Instant aNow);

  MemberListPlannerSettings settings;
  /// When each list was first seen to be replaced.
  std::map<std::uint64_t, Instant> replacedAt;
  Instant lastAdded;
  bool hasAdded = false;
};

}  // namespace zincstep
