#include "Zincstep/Pool/UpstreamDirectory.h"

namespace zincstep {

void UpstreamDirectory::Put(UpstreamEntry aEntry, Instant aNow) {
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
  const UpstreamPtr upstream = this->TakeBack(std::move(aEntry), aNow);
  this->all.emplace(upstream->Entry().id, upstream);
  this->byNumber[upstream->Number()] = upstream;
  if (upstream->Entry().IsOfModel()) {
    this->modelsByDomain[upstream->Entry().failureDomain].push_back(upstream);
  }
  this->byService[upstream->Entry().service].push_back(upstream);
}

UpstreamPtr UpstreamDirectory::TakeBack(UpstreamEntry aEntry, Instant aNow) {
  const UpstreamPtr former = this->departed[aEntry.id].lock();
  this->departed.erase(aEntry.id);
  const bool isSameStart =
      former && former->Entry().Incarnation() == aEntry.Incarnation();
  if (isSameStart && former->Entry().service == aEntry.service) {
    former->SetBack();
    former->SetEntry(std::move(aEntry), aNow);
    return former;
  }
  if (former && !isSameStart) {
    former->SetEnded(aNow);
  }
  return std::make_shared<LiveUpstream>(std::move(aEntry));
}

UpstreamPtr UpstreamDirectory::Remove(const std::string& aId, Instant aNow) {
  const auto found = this->all.find(aId);
  if (found == this->all.end()) {
    return nullptr;
  }
  UpstreamPtr upstream = found->second;
  this->all.erase(found);
  this->byNumber.erase(upstream->Number());
  this->Unlist(upstream);
  upstream->SetGone(aNow);
  std::erase_if(this->departed,
                [](const auto& aEntry) { return aEntry.second.expired(); });
  this->departed[aId] = upstream;
  return upstream;
}

void UpstreamDirectory::Unlist(const UpstreamPtr& aUpstream) {
  const auto listed = this->byService.find(aUpstream->Entry().service);
  if (listed != this->byService.end()) {
    std::erase(listed->second, aUpstream);
  }
  const auto near = this->modelsByDomain.find(aUpstream->Entry().failureDomain);
  if (near != this->modelsByDomain.end()) {
    std::erase(near->second, aUpstream);
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
