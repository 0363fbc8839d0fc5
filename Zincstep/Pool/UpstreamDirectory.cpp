#include "Zincstep/Pool/UpstreamDirectory.h"

#include <algorithm>

namespace zincstep {

namespace {

/// Maximum former incarnations that are remembered per address: delayed entries
/// are of the last one or two.
constexpr std::size_t kMaxFormer = 8;

}  // namespace

void UpstreamDirectory::AddressUse::SetPresent(const LiveUpstream& aUpstream) {
  this->present = aUpstream.Number();
  this->id = aUpstream.Entry().id;
  this->service = aUpstream.Entry().service;
}

void UpstreamDirectory::AddressUse::Retire(std::uint64_t aUpstream) {
  std::erase(this->former, aUpstream);
  this->former.push_back(aUpstream);
  if (this->former.size() > kMaxFormer) {
    this->former.erase(this->former.begin());
  }
}

bool UpstreamDirectory::IsSuperseded(const LiveUpstream& aUpstream) {
  AddressUse& use = this->addressUses[aUpstream.Entry().address];
  const std::uint64_t number = aUpstream.Number();
  if (std::find(use.former.begin(), use.former.end(), number) !=
      use.former.end()) {
    return true;
  }
  const bool isListed = this->byNumber.contains(use.present);
  if (use.present == number || isListed) {
    return false;
  }
  // For two starts under one id the store's revision tells which is newer.
  const UpstreamEntry& entry = aUpstream.Entry();
  if (use.present != 0 && use.service == entry.service && use.id != entry.id) {
    use.Retire(use.present);
  }
  use.SetPresent(aUpstream);
  return false;
}

UpstreamPtr UpstreamDirectory::SuccessorOf(
    const LiveUpstream& aUpstream) const {
  const UpstreamEntry& entry = aUpstream.Entry();
  for (const UpstreamPtr& other : this->OfService(entry.service)) {
    if (other.get() != &aUpstream && other->Entry().address == entry.address &&
        !other->HasEnded()) {
      return other;
    }
  }
  return nullptr;
}

void UpstreamDirectory::Put(UpstreamEntry aEntry, Instant aNow) {
  this->changes += 1;
  const auto found = this->all.find(aEntry.id);
  if (found != this->all.end()) {
    LiveUpstream& known = *found->second;
    if (known.Entry().Incarnation() == aEntry.Incarnation() &&
        known.Entry().service == aEntry.service) {
      known.SetEntry(std::move(aEntry), aNow);
      return;
    }
    this->Remove(aEntry.id, aNow);
  }
  const UpstreamPtr upstream = this->Reactivate(std::move(aEntry), aNow);
  if (this->IsSuperseded(*upstream)) {
    // A delayed write of an ended incarnation: it stayed in the list for 3.6 s,
    // and of 170 sends per second 60 to 75 were refused for it (after a
    // partition).
    upstream->SetEnded(aNow);
  } else {
    this->SetSuccessor(*upstream);
  }
  this->all.emplace(upstream->Entry().id, upstream);
  this->byNumber[upstream->Number()] = upstream;
  if (upstream->Entry().IsOfModel()) {
    this->modelsByDomain[upstream->Entry().failureDomain].push_back(upstream);
  }
  this->byService[upstream->Entry().service].push_back(upstream);
}

void UpstreamDirectory::SetSuccessor(LiveUpstream& aUpstream) {
  const UpstreamEntry& entry = aUpstream.Entry();
  for (const UpstreamPtr& other : this->OfService(entry.service)) {
    if (other->Entry().address != entry.address) {
      continue;
    }
    // A list that is read whole is not in the order of the starts.
    const bool isNewer = entry.startTimeMs == 0 ||
                         entry.startTimeMs >= other->Entry().startTimeMs;
    (isNewer ? *other : aUpstream).SetSucceeded();
  }
}

UpstreamPtr UpstreamDirectory::Reactivate(UpstreamEntry aEntry, Instant aNow) {
  UpstreamPtr former = this->departed[aEntry.id].lock();
  this->departed.erase(aEntry.id);
  const bool isSameIncarnation =
      former && former->Entry().Incarnation() == aEntry.Incarnation();
  if (isSameIncarnation && former->Entry().service == aEntry.service) {
    former->SetReregistered();
    former->SetEntry(std::move(aEntry), aNow);
    return former;
  }
  if (former && !isSameIncarnation) {
    former->SetEnded(aNow);
  }
  return std::make_shared<LiveUpstream>(std::move(aEntry));
}

UpstreamPtr UpstreamDirectory::Remove(const std::string& aId, Instant aNow) {
  const auto found = this->all.find(aId);
  if (found == this->all.end()) {
    return nullptr;
  }
  this->changes += 1;
  UpstreamPtr upstream = found->second;
  this->all.erase(found);
  this->byNumber.erase(upstream->Number());
  this->RemoveFromLists(upstream);
  upstream->SetDeregistered(aNow);
  if (const UpstreamPtr successor = this->SuccessorOf(*upstream)) {
    AddressUse& use = this->addressUses[upstream->Entry().address];
    use.Retire(upstream->Number());
    use.SetPresent(*successor);
  }
  std::erase_if(this->departed,
                [](const auto& aEntry) { return aEntry.second.expired(); });
  this->departed[aId] = upstream;
  return upstream;
}

void UpstreamDirectory::RemoveFromLists(const UpstreamPtr& aUpstream) {
  const auto listed = this->byService.find(aUpstream->Entry().service);
  if (listed != this->byService.end()) {
    std::erase(listed->second, aUpstream);
  }
  const auto inDomain =
      this->modelsByDomain.find(aUpstream->Entry().failureDomain);
  if (inDomain != this->modelsByDomain.end()) {
    std::erase(inDomain->second, aUpstream);
  }
}

UpstreamPtr UpstreamDirectory::Find(const std::string& aId) const {
  const auto found = this->all.find(aId);
  return found == this->all.end() ? nullptr : found->second;
}

UpstreamPtr UpstreamDirectory::FindNumber(std::uint64_t aNumber) const {
  const auto found = this->byNumber.find(aNumber);
  return found == this->byNumber.end() ? nullptr : found->second;
}

const std::vector<UpstreamPtr>& UpstreamDirectory::OfService(
    const std::string& aService) const {
  static const std::vector<UpstreamPtr> none;
  const auto found = this->byService.find(aService);
  return found == this->byService.end() ? none : found->second;
}

}  // namespace zincstep
