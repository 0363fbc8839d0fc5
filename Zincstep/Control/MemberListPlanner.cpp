#include "Zincstep/Control/MemberListPlanner.h"

#include <algorithm>
#include <set>

namespace zincstep {

namespace {

std::vector<Member> DesiredMembers(const MemberList* aNewest,
                                   const std::string& aDomain,
                                   const std::vector<Member>& aLive,
                                   const std::vector<std::string>& aRemoved) {
  std::vector<Member> desired = aLive;
  if (aNewest == nullptr) {
    return desired;
  }
  for (const Member& member : aNewest->members) {
    const bool isDeregistered = std::find(aRemoved.begin(), aRemoved.end(),
                                          member.name) != aRemoved.end();
    const bool isListed =
        std::find(desired.begin(), desired.end(), member) != desired.end();
    // A member that does not respond stays: only one whose VM was removed loses
    // its vote.
    const bool stays = member.failureDomain != aDomain || !isDeregistered;
    if (stays && !isListed) {
      desired.push_back(member);
    }
  }
  std::sort(desired.begin(), desired.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.name < aRight.name;
            });
  return desired;
}

bool SameMembers(std::vector<Member> aLeft, std::vector<Member> aRight) {
  const auto byName = [](const Member& aA, const Member& aB) {
    return aA.name < aB.name;
  };
  std::sort(aLeft.begin(), aLeft.end(), byName);
  std::sort(aRight.begin(), aRight.end(), byName);
  return aLeft == aRight;
}

}  // namespace

bool MemberListPlanner::CanAddList(const MemberLists& aLists,
                                   Instant aNow) const {
  const std::size_t inUse = aLists.lists.size();
  if (inUse >= this->settings.maxLists) {
    return false;
  }
  const Micros minInterval = inUse < this->settings.fewLists
                                 ? this->settings.shortInterval
                                 : this->settings.interval;
  return !this->hasAdded || aNow - this->lastAdded >= minInterval;
}

void MemberListPlanner::RemoveExpired(MemberLists& aLists, Instant aNow) {
  std::set<std::uint64_t> present;
  for (std::size_t i = 1; i < aLists.lists.size(); ++i) {
    this->replacedAt.try_emplace(aLists.lists[i].epoch, aNow);
    present.insert(aLists.lists[i].epoch);
  }
  std::erase_if(this->replacedAt, [&](const auto& aEntry) {
    return !present.contains(aEntry.first);
  });
  while (aLists.lists.size() > 1) {
    const auto since = this->replacedAt.at(aLists.lists.back().epoch);
    if (aNow - since < this->settings.listRetention) {
      break;
    }
    aLists.lists.pop_back();
  }
}

MemberLists MemberListPlanner::Next(
    const MemberLists& aLists, const std::string& aDomain,
    const std::vector<Member>& aLive, const std::vector<std::string>& aRemoved,
    const std::map<std::string, std::string>& aHandedTo, Instant aNow) {
  MemberLists next = aLists;
  for (const auto& [from, to] : aHandedTo) {
    next.handedTo[from] = to;
  }
  this->RemoveExpired(next, aNow);
  std::erase_if(next.handedTo, [&](const auto& aEntry) {
    return next.Find(aEntry.first) == nullptr;
  });
  const MemberList* newest = next.lists.empty() ? nullptr : &next.lists.front();
  std::vector<Member> desired =
      DesiredMembers(newest, aDomain, aLive, aRemoved);
  const bool hasChanged =
      newest == nullptr || !SameMembers(desired, newest->members);
  if (hasChanged && !desired.empty() && this->CanAddList(next, aNow)) {
    MemberList list{next.Epoch() + 1, std::move(desired)};
    next.lists.insert(next.lists.begin(), std::move(list));
    this->lastAdded = aNow;
    this->hasAdded = true;
    this->RemoveExpired(next, aNow);
  }
  const bool isNewVersion = WriteMemberLists(next) != WriteMemberLists(aLists);
  next.version += isNewVersion ? 1 : 0;
  return next;
}

}  // namespace zincstep
