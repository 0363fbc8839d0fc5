#include "Zincstep/Control/MemberListPlanner.h"

#include <algorithm>
#include <set>

namespace zincstep {

namespace {

std::vector<Member> Wanted(const MemberList* aNewest,
                           const std::string& aDomain,
                           const std::vector<Member>& aLive,
                           const std::vector<std::string>& aGone) {
  std::vector<Member> wanted = aLive;
  if (aNewest == nullptr) {
    return wanted;
  }
  for (const Member& member : aNewest->members) {
    const bool isDeregistered =
        std::find(aGone.begin(), aGone.end(), member.name) != aGone.end();
    const bool isThere =
        std::find(wanted.begin(), wanted.end(), member) != wanted.end();
    // A silent member stays: only a VM that is gone votes no more.
    const bool stays = member.failureDomain != aDomain || !isDeregistered;
    if (stays && !isThere) {
      wanted.push_back(member);
    }
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.name < aRight.name;
            });
  return wanted;
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

bool MemberListPlanner::MayAddList(const MemberLists& aLists,
                                   Instant aNow) const {
  const std::size_t inUse = aLists.lists.size();
  if (inUse >= this->settings.maxLists) {
    return false;
  }
  const Micros pause = inUse < this->settings.fewLists
                           ? this->settings.shortInterval
                           : this->settings.interval;
  return !this->hasAdded || aNow - this->lastAdded >= pause;
}

void MemberListPlanner::DropOld(MemberLists& aLists, Instant aNow) {
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
    if (aNow - since < this->settings.memory) {
      break;
    }
    aLists.lists.pop_back();
  }
}

MemberLists MemberListPlanner::Next(
    const MemberLists& aLists, const std::string& aDomain,
    const std::vector<Member>& aLive, const std::vector<std::string>& aGone,
    const std::map<std::string, std::string>& aHandedTo, Instant aNow) {
  MemberLists next = aLists;
  for (const auto& [from, to] : aHandedTo) {
    next.handedTo[from] = to;
  }
  this->DropOld(next, aNow);
  std::erase_if(next.handedTo, [&](const auto& aEntry) {
    return next.Find(aEntry.first) == nullptr;
  });
  const MemberList* newest = next.lists.empty() ? nullptr : &next.lists.front();
  std::vector<Member> wanted = Wanted(newest, aDomain, aLive, aGone);
  const bool differs =
      newest == nullptr || !SameMembers(wanted, newest->members);
  if (differs && !wanted.empty() && this->MayAddList(next, aNow)) {
    MemberList list{next.Epoch() + 1, std::move(wanted)};
    next.lists.insert(next.lists.begin(), std::move(list));
    this->lastAdded = aNow;
    this->hasAdded = true;
    this->DropOld(next, aNow);
  }
  const bool changed = WriteMemberLists(next) != WriteMemberLists(aLists);
  next.version += changed ? 1 : 0;
  return next;
}

}  // namespace zincstep
