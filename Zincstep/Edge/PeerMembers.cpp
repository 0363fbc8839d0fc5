#include "Zincstep/Edge/PeerMembers.h"

#include <algorithm>

#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// So many questions in a row without an answer: it has ended or is cut off,
/// and the next member by name is asked. One that answers with old lists is not
/// passed over: whoever then relies on nobody reads the store itself.
constexpr int kMostUnanswered = 3;
/// Between questions to one that was passed over.
constexpr Micros kPassedOverPause = 2s;
/// Lists that are older when they are told come from a peer that does not
/// reach the store itself.
constexpr Micros kFreshLists = 1100ms;
/// Members that are missing from the list which the store has from a copy are
/// kept for so long: all write their entries again within a second, and these
/// are told once a second. Without them each daemon would be the first of its
/// domain and read all lists.
constexpr Micros kReturnTime = 3s;

}  // namespace

void PeerMembers::OnRestored() {
  this->keepsMissingUntil = this->clock.Now() + kReturnTime;
}

void PeerMembers::OnEntries(const StoreItems& aItems) {
  std::map<std::string, Member> known;
  known.swap(this->members);
  if (this->clock.Now() < this->keepsMissingUntil) {
    this->members = known;
  }
  for (const auto& [key, item] : aItems) {
    const auto entry = DaemonEntry::Read(key, item.value);
    if (!entry || entry->name == this->settings.name) {
      continue;
    }
    Member& member = this->members[entry->name] = known[entry->name];
    if (member.address != entry->address) {
      member = Member{};  // Another process, whatever the last one did.
    }
    member.address = entry->address;
    member.failureDomain = entry->failureDomain;
  }
}

bool PeerMembers::IsNear(const Member& aMember) const {
  return aMember.failureDomain == this->settings.failureDomain;
}

bool PeerMembers::IsBefore(const std::string& aName,
                           const Member& aMember) const {
  return aName < this->settings.name && this->IsNear(aMember);
}

std::vector<std::string> PeerMembers::Neighbours() const {
  std::vector<std::string> near;
  for (const auto& [name, member] : this->members) {
    if (this->IsNear(member)) {
      near.push_back(member.address);
    }
  }
  return near;
}

std::size_t PeerMembers::Rank() const {
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(), [this](const auto& aEntry) {
        return this->IsBefore(aEntry.first, aEntry.second);
      }));
}

bool PeerMembers::HasTeller() const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [this](const auto& aEntry) {
                       return this->IsBefore(aEntry.first, aEntry.second) &&
                              !aEntry.second.isPassedOver;
                     });
}

bool PeerMembers::MayRely() const {
  const Instant now = this->clock.Now();
  const Micros longest = LongestReliance(this->settings);
  // Whoever told last holds until the next one has read the store.
  return this->HasTeller() &&
         std::any_of(this->members.begin(), this->members.end(),
                     [&](const auto& aEntry) {
                       return this->IsBefore(aEntry.first, aEntry.second) &&
                              now - aEntry.second.toldFreshAt <= longest;
                     });
}

std::vector<std::string> PeerMembers::TakeTellers() {
  const Instant now = this->clock.Now();
  std::vector<std::string> asked;
  for (auto& [name, member] : this->members) {
    if (!this->IsBefore(name, member)) {
      continue;
    }
    if (!member.isPassedOver && member.unanswered >= kMostUnanswered) {
      LogInfo("peer_passed_over",
              {{"peer", member.address}, {"unanswered", member.unanswered}});
      member.isPassedOver = true;
      member.askAgainAt = now + kPassedOverPause;
    }
    if (!member.isPassedOver) {
      member.unanswered += 1;
      asked.push_back(member.address);
      return asked;
    }
    if (now >= member.askAgainAt) {
      member.askAgainAt = now + kPassedOverPause;
      asked.push_back(member.address);
    }
  }
  return asked;
}

void PeerMembers::OnAnswer(const std::string& aAddress,
                           std::optional<Micros> aListsAge) {
  const auto found = std::find_if(
      this->members.begin(), this->members.end(),
      [&](const auto& aEntry) { return aEntry.second.address == aAddress; });
  if (found == this->members.end()) {
    return;
  }
  Member& member = found->second;
  member.unanswered = 0;
  member.isPassedOver = false;
  if (aListsAge && *aListsAge <= kFreshLists) {
    member.toldFreshAt = this->clock.Now();
  }
}

}  // namespace zincstep
